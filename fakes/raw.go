package fakes

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// InvalidStatuses are status codes that no final response of HTTP/1.1 has to a
// request without an upgrade.
var InvalidStatuses = []string{"000", "001", "099", "+99", "101", "600", "999"}

// InvalidFields returns lines, by name, that the head of no response has.
func InvalidFields() map[string]string {
	lines := map[string]string{
		"blank in the name":         "Bad Note: x",
		"blank before the colon":    "Note : x",
		"blank before the name":     " Note: x",
		"tab before the colon":      "Note\t: x",
		"tab before the name":       "\tNote: x",
		"no name":                   ": x",
		"blank name":                " : x",
		"no colon":                  "Note",
		"separator in the name":     "Note(s): x",
		"high byte in the name":     "Not\xe9: x",
		"length, blank after it":    "Content-Length : 2",
		"length, blank before it":   " Content-Length: 2",
		"chunks, blank after it":    "Transfer-Encoding : chunked",
		"control byte in the value": "Note: x\x00y",
		"carriage return alone":     "Note: x\ry",
	}
	for b := range byte(0x80) {
		if isControl := b < ' ' || b == 0x7f; isControl && b != '\n' {
			lines[fmt.Sprintf("byte %#02x in the name", b)] = "No" + string(rune(b)) + "te: x"
		}
	}
	return lines
}

// RawConfig configures [Raw].
type RawConfig struct {
	// Response returns the bytes to send, with the head, for a request.
	Response func(r *http.Request) string
	// ResetAfter, if set, is the time from the response to the reset of the
	// connection. The body of the request isn't read then.
	ResetAfter time.Duration
}

// Raw returns a handler that sends arbitrary bytes as its response and ends the
// connection, like an upstream that fails. A sound response needs Connection: close,
// or the next request may be sent on the connection as it ends.
func Raw(cfg RawConfig) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if cfg.ResetAfter == 0 {
			// Unread bytes would reset the connection, which can lose the response.
			_, _ = io.Copy(io.Discard, r.Body)
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, cfg.Response(r))
		if cfg.ResetAfter > 0 {
			time.Sleep(cfg.ResetAfter)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}
}

// RawText returns a handler that sends a text as [Raw] does, with the lines of its
// head separated by line feeds.
func RawText(head, body string) http.HandlerFunc {
	text := strings.ReplaceAll(head, "\n", "\r\n") + "\r\n\r\n" + body
	return Raw(RawConfig{Response: func(*http.Request) string { return text }})
}
