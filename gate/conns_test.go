package gate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/fleet"
)

// Guards against closing connections before the configured limit, while callers
// still send on them, against connections that are never closed, and against
// limits that are fixed at the start of the process instead of following the
// configuration in force.
func TestCallerConnections(t *testing.T) {
	const short, long = 200 * time.Millisecond, 10 * time.Second
	cases := map[string]struct {
		limits      config.CallerLimits
		requests    int
		headerPause time.Duration // pause in the middle of the first header
		isClosed    bool
	}{
		"idle beyond the limit":                        {config.CallerLimits{IdleTime: short, HeaderTime: long}, 1, 0, true},
		"idle within the limit":                        {config.CallerLimits{IdleTime: long, HeaderTime: short}, 1, 0, false},
		"no request within the header timeout":         {config.CallerLimits{IdleTime: long, HeaderTime: short}, 0, 0, true},
		"no request yet":                               {config.CallerLimits{IdleTime: short, HeaderTime: long}, 0, 0, false},
		"slow header within the timeout":               {config.CallerLimits{IdleTime: long, HeaderTime: long}, 1, 2 * short, false},
		"several requests, then idle beyond the limit": {config.CallerLimits{IdleTime: short, HeaderTime: long}, 3, 0, true},
		"no limits configured: the default applies":    {config.CallerLimits{}, 1, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := logrus.New()
			log.SetOutput(io.Discard)
			var limits atomic.Pointer[config.CallerLimits]
			limits.Store(&config.CallerLimits{IdleTime: time.Millisecond, HeaderTime: time.Millisecond})
			srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
			srv.Config.ConnState = newCallerConns(func() config.CallerLimits { return *limits.Load() }, log).stateChanged
			srv.Start()
			defer srv.Close()
			limits.Store(&c.limits) // a configuration change after the start
			conn, err := net.Dial("tcp", srv.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			r := bufio.NewReader(conn)
			for i := range c.requests {
				fmt.Fprint(conn, "GET / HTTP/1.1\r\n")
				if i == 0 {
					time.Sleep(c.headerPause)
				}
				fmt.Fprint(conn, "Host: h\r\n\r\n")
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Fatalf("request %d: %v", i, err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
			}
			_ = conn.SetReadDeadline(time.Now().Add(5 * short))
			_, err = r.ReadByte()
			timeout, isTimeout := err.(net.Error)
			if isOpen := isTimeout && timeout.Timeout(); isOpen == c.isClosed {
				t.Errorf("after %s without a request: %v, want closed %t", 5*short, err, c.isClosed)
			}
		})
	}
}

// Guards against VMs of a large deployment that get no callers because each
// directory response lists the same subset.
func TestDirectoryOfManyVMs(t *testing.T) {
	const vms = 90
	p, _ := startProcess(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") })
	st := &fleet.State{}
	for i := range vms {
		name := fmt.Sprintf("vm%d", i)
		st.Members = append(st.Members, fleet.Member{VM: jdaw.VMID(name), Address: name})
	}
	listed := map[string]int{}
	for _, m := range st.Members {
		p.cfg.Settings.VM = m.VM
		list := p.addresses(st)
		if len(list) != maxAddresses {
			t.Fatalf("%s lists %d VMs, want %d", m.VM, len(list), maxAddresses)
		}
		for _, address := range list {
			listed[address]++
		}
	}
	for _, m := range st.Members {
		if n := listed[m.Address]; n < vms/3 {
			t.Errorf("%s is listed by %d of %d VMs", m.VM, n, vms)
		}
	}
}
