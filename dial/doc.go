// Package dial pools the HTTP/1.1 connections to upstreams.
//
// Unlike the client of net/http, it writes a request at most once, reports whether
// a byte of it may have reached the upstream, discards responses to earlier requests of
// the connection, and rejects invalid ones, see package strict.
//
// # Usage
//
//	p := dial.New(dial.Config{})
//	defer p.Close()
//	resp, err := p.Do(ctx, dial.Request{Address: addr, Method: "GET", Target: "/x", Owner: owner})
//	if dial.WasSent(err) { ... } // the upstream may have executed it
//	defer resp.Close()
//
// A connection is reused only if request and response were complete.
package dial
