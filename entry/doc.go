// Package entry is the HTTP API for callers.
//
// A request goes through these stages: admission (the VM is not isolated, not
// draining, has a configuration, and its data centre is in service),
// authentication, validation, the ledger, the claim of an idempotency key, and
// then one or more dispatches. Each dispatch holds a credit and is checked
// against the current configuration right before its first byte is written. The
// bill is settled before the last byte of the answer.
//
// An error reports "not run" only if no attempt of the request can have reached
// an upstream. Once one may have, the error of that attempt is returned, even
// if a later attempt found no capacity.
//
// Retries: idempotent requests (all chat requests, and calls configured as
// idempotent) get at most 2 retries within the deadline, from a retry budget of
// 10 % of the requests of each pool. A call that is not idempotent is retried
// at another upstream only if no byte was written to the first one.
//
// # Usage
//
//	e := entry.New(entry.Config{
//		VM: "entry1", DataCentre: "oban", Region: "scot-west",
//		Credits: holder, Ledger: led, Claims: led, Engine: client, Service: client,
//		Rater: rater, Planner: node, Learner: node, Views: peers, Config: spread,
//	})
//	srv := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: 10 * time.Second}
//	err := e.Drain(ctx) // after SIGTERM, before srv.Shutdown
//
// # Headers
//
// X-Jackdaw-Outlet names the outlet, X-Jackdaw-New-Session starts a session,
// X-Jackdaw-Session carries its token in both directions, X-Jackdaw-Task names
// the task whose estimates a cascade uses (or "metadata": {"task": ...}), and
// Idempotency-Key makes a request run at most once over all VMs. Answers carry
// X-Jackdaw-Request-Id and X-Jackdaw-Model.
//
// # Metrics
//
//	jackdaw.entry.requests     {request}     by code and api (chat, service)
//	jackdaw.entry.firstToken   s             from the first byte of the request
//	jackdaw.entry.duration     s             whole request, by api
//	jackdaw.entry.tokens       {token}       by direction (prompt, output)
//	jackdaw.entry.retries      {attempt}     attempts after the first
//	jackdaw.entry.resumes      {stream}      by way (resumed, continued)
//	jackdaw.entry.escalations  {step}        cascade steps after the first
//	jackdaw.entry.inProgress   {request}     requests in flight
package entry
