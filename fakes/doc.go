// Package fakes holds stand-ins for the systems around the router: the
// key-value service, the model engine, the rating service, the VM list and the
// plain service. Each is an http.Handler that speaks the published protocol of
// what it stands for, and can be told to fail.
//
// # Usage
//
//	kv := fakes.NewKeyValue()
//	srv := httptest.NewServer(kv)
//	kv.SetFault(fakes.KeyValueFault{Outage: fakes.OutageHang})
package fakes
