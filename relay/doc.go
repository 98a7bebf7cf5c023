// Package relay forwards callers' requests to upstreams by host and path.
//
// A [Relay] is an http.Handler. It matches the route, authenticates the
// workspace, selects a model if the route leaves the choice to the router, picks
// an upstream and forwards the response: buffered for a plain response, event by
// event for a stream. An idempotent request is retried at another upstream after
// a failure, also in the middle of a stream. Any other request is retried only if
// it is certain that it has not run.
//
// # Usage
//
//	r := relay.New(relay.Config{Fleet: node, Protocol: p, Pool: dial.New(dial.Config{}), ...})
//	http.Serve(l, r)
//
// Upstreams are picked locally, from the VM's own requests and the pending work
// that other VMs report. [picker] holds that state and is tested without a
// network.
package relay
