// Package admin is the administration API and its client.
//
// The API has an address of its own and authenticates operators by token. A
// viewer reads, an operator changes everything, the owner of a workspace
// changes that workspace alone. Every change is one [config.Change]: it is
// accepted as a whole, or refused as a whole with a numbered result code.
//
//	GET  /admin/v1/status            the VM's view: members, pools, roll-outs, suspensions
//	GET  /admin/v1/configuration     the configuration, secrets left out
//	POST /admin/v1/changes           make a change; ?dryRun=true only shows the difference
//	GET  /admin/v1/ledger            all bills, one JSON object a line
//	GET  /admin/v1/events            the merged time line of all VMs; ?limit=N events a VM
//
// # Usage
//
//	h := admin.NewHandler(admin.Config{Source: node, Changer: node, Status: status})
//	c := admin.NewClient(admin.ClientConfig{Address: "http://127.0.0.1:7201", Token: token})
//	result, err := c.Change(ctx, change, admin.ChangeOptions{DryRun: true})
//
// While the key-value service is down no change can be accepted. Orders that
// take something out of service then become suspensions; the result says so.
package admin
