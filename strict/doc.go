// Package strict rejects responses that net/http accepts although they are no valid
// HTTP/1.1, or broke off. An upstream that fails may send them, and their status,
// fields and body are not to be relied on. The request may have run. Rejected are
//
//   - status codes outside 100 to 599, and 101 without an upgrade
//   - names of fields that are no tokens, folded lines, transfer codings of HTTP/1.0
//   - the end of a body that ends with its connection, if the connection was reset or
//     ended before the request was written
//
// # Usage
//
// Clients of net/http use a Transport, which fails in place of such a response:
//
//	client := &http.Client{Transport: strict.New(strict.Config{})}
//	resp, err := client.Do(req)
//
// Code that reads responses itself reads them from a Conn, and checks each of them:
//
//	c := strict.NewConn(conn)
//	err := c.BeginHead(nil)
//	resp, err := http.ReadResponse(bufio.NewReader(c), req)
//	if err == nil {
//		err = strict.CheckHead(resp)
//	}
package strict
