package dial_test

import (
	"testing"

	"jackdawbarrow/dial"
	"jackdawbarrow/fakes"
)

// Guards against an invalid head that passes behind another response, and against a
// sound one that is rejected there.
func TestInvalidHeadsBehindOtherResponses(t *testing.T) {
	const folded = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nNote: x\r\n y\r\nContent-Length: 3\r\n\r\nyes"
	before := map[string]string{
		"nothing":               "",
		"interim":               "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
		"other request's":       response("0", "\n no\n\tno"),
		"other request's, both": response("0", "\n no") + "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
	}
	for name, text := range before {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, text+response("1", " yes"), text+folded, text+"HTTP/1.1 000 \r\nRequest-Id: 1\r\n\r\n", text+response("1", "\tyes"))
			p := dial.New(dial.Config{})
			defer p.Close()
			for i, want := range []string{" yes", "", "", "\tyes"} {
				got, err := u.do(t, p, dial.Request{Owner: ownerOf("1")})
				if got != want || (err != nil) != (want == "") {
					t.Errorf("response %d: got %q, %v", i, got, err)
				}
			}
		})
	}
}

// Guards against interim responses with malformed fields that pass.
func TestInvalidInterimResponses(t *testing.T) {
	for name, line := range fakes.InvalidFields() {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, "HTTP/1.1 103 Early Hints\r\nNote: x\r\n"+line+"\r\n\r\n"+response("1", "yes"))
			p := dial.New(dial.Config{})
			defer p.Close()
			if got, err := u.do(t, p, dial.Request{Owner: ownerOf("1")}); err == nil || !dial.WasSent(err) {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
}
