// Package strict rejects responses that net/http accepts although they are no valid
// HTTP/1.1. An upstream that fails may send them, and their status, fields and body
// are not to be relied on. The request may have run.
//
// # Usage
//
// Clients of net/http use a Transport, which fails in place of such a response:
//
//	client := &http.Client{Transport: strict.New(strict.Config{})}
//	resp, err := client.Do(req)
//
// Code that reads responses itself checks each of them:
//
//	resp, err := http.ReadResponse(r, req)
//	if err == nil {
//		err = strict.CheckHead(resp)
//	}
package strict
