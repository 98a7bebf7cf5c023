package strict

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// The valid status codes, see RFC 9110, section 15.
const (
	minInterimStatus = 100
	minFinalStatus   = 200
	maxFinalStatus   = 599
)

// IsFinalStatus reports whether a final response can have the status code.
func IsFinalStatus(code int) bool { return minFinalStatus <= code && code <= maxFinalStatus }

// isInterimStatus reports whether another response follows one with the status code. It
// does not after 101, which answers a request for an upgrade.
func isInterimStatus(code int) bool {
	return minInterimStatus <= code && code < minFinalStatus && code != http.StatusSwitchingProtocols
}

// CheckHead returns an error if the head of a response to a request without an
// upgrade is invalid. What net/http hides of the head is found by a [Conn].
func CheckHead(r *http.Response) error {
	if !IsFinalStatus(r.StatusCode) && !isInterimStatus(r.StatusCode) {
		return errors.Newf("the status %q of the response is invalid", r.Status)
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Newf("the name %q of a field of the response is invalid", name)
		}
	}
	return nil
}
