package relay_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawbarrow/config"
	"jackdawbarrow/intake"
	"jackdawbarrow/relay"
)

// Guards against an answer that is lost for lack of memory while a caller with an
// unfinished body holds it: the upstream has run the request.
func TestAnswerTakesMemoryOfUnfinishedBody(t *testing.T) {
	const (
		memory     = 64 << 10
		unfinished = 20 << 10 // takes three quarters of the memory, as its buffer grows
		answer     = 12 << 10
	)
	for _, kind := range []config.RouteKind{config.RouteUnsafe, config.RouteSafe} {
		t.Run(string(kind), func(t *testing.T) {
			d, _ := startConfigured(t, route(kind), relay.Config{BodyMemory: memory}, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, strings.Repeat("a", answer))
			})
			log := logrus.New()
			log.SetOutput(io.Discard)
			account := intake.New(intake.Config{Log: log})
			t.Cleanup(account.Close)
			srv := httptest.NewUnstartedServer(account.Handler(d.relay))
			srv.Listener = account.Listen(srv.Listener, intake.Callers)
			srv.Config.ConnContext, srv.Config.ConnState = intake.ConnContext, account.ConnStateChanged
			srv.Start()
			t.Cleanup(srv.Close)
			conn, err := net.Dial("tcp", srv.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			head := "POST /a/x HTTP/1.1\r\nHost: h.example\r\nId: unfinished\r\nKey: k\r\nContent-Length: 1000000\r\n\r\n"
			if _, err := io.WriteString(conn, head+strings.Repeat("b", unfinished)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond) // the relay reads the unfinished body
			got := send(t, srv.URL, http.MethodPost, "/a/x", nil)
			if got.status != http.StatusOK || len(got.body) != answer {
				t.Errorf("status %d and %d bytes, want 200 and %d", got.status, len(got.body), answer)
			}
		})
	}
}
