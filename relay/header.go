package relay

import (
	"net/http"
	"strings"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// connectionHeaders are the hop-by-hop headers and those that the router sets.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// cloneHeader copies a caller's headers without the hop-by-hop ones.
func cloneHeader(from http.Header) http.Header {
	to := make(http.Header, len(from))
	copyHeader(to, from)
	return to
}

// copyHeader copies headers without the hop-by-hop ones.
func copyHeader(to, from http.Header) {
	named := map[string]bool{}
	for _, line := range from["Connection"] {
		for _, name := range strings.Split(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !connectionHeaders[name] && !named[name] {
			to[name] = values
		}
	}
}

func checkHeader(r *http.Request, limits config.CallerLimits) error {
	if size := headerSize(r); size > limits.HeaderBytes {
		return jdaw.Fail(jdaw.CodeHeaderTooLarge, "the header has %d bytes, the limit is %d", size, limits.HeaderBytes)
	}
	return nil
}

// headerSize returns the size of the request line and header fields in bytes.
func headerSize(r *http.Request) int {
	const line = len("  HTTP/1.1\r\n")
	const field = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + line + len("Host") + field + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + field
		}
	}
	return size
}
