package strict

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// The range of valid status codes, see RFC 9110, section 15.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns an error if the head of a response to a request without an
// upgrade is invalid.
func CheckHead(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode > maxStatus || r.StatusCode == http.StatusSwitchingProtocols {
		return errors.Newf("the status %q of the response is invalid", r.Status)
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Newf("the name %q of a field of the response is invalid", name)
		}
	}
	return nil
}
