package proof

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/demo"
	"jackdawbarrow/fakes"
)

// replyBook collects what callers were told about their requests.
type replyBook struct {
	s  *system
	mu sync.Mutex
	// ran and notRun are the request ids by what the caller was told; lost
	// counts the connections that ended without an answer.
	ran, notRun map[string]jdaw.Code
	lost        int
	codes       map[jdaw.Code]int
	broken      []string // replies that contradict the table of result codes
}

func newReplyBook(s *system) *replyBook {
	return &replyBook{s: s, ran: map[string]jdaw.Code{}, notRun: map[string]jdaw.Code{}, codes: map[jdaw.Code]int{}}
}

func (b *replyBook) add(reply demo.Reply, err error) demo.Reply {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.lost++
		return reply
	}
	b.codes[reply.Code]++
	if reply.Code != jdaw.CodeOK && reply.Ran != reply.Code.Info().Ran {
		b.broken = append(b.broken, fmt.Sprintf("%s with ran %q", reply.Code, reply.Ran))
	}
	if reply.RequestID == "" {
		return reply
	}
	if reply.Ran == jdaw.NotRun {
		b.notRun[reply.RequestID] = reply.Code
	} else {
		b.ran[reply.RequestID] = reply.Code
	}
	return reply
}

// send sends the request once. Do repeats a refused request, and the reply to
// the first try would be lost.
func (b *replyBook) send(v *vm, q demo.Request) demo.Reply {
	r, err := http.NewRequest(q.Method, v.callers()+q.Path, io.NopCloser(bytes.NewReader(q.Body)))
	if err != nil {
		b.s.t.Error(err)
		return demo.Reply{}
	}
	r.ContentLength = int64(len(q.Body))
	for name, value := range map[string]string{
		"Authorization": "Bearer " + q.Key, "X-Jackdaw-Outlet": q.Outlet, "X-Jackdaw-Session": q.Session, "Idempotency-Key": q.IdemKey,
	} {
		if value != "" && value != "Bearer " {
			r.Header.Set(name, value)
		}
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return b.add(demo.Reply{}, err)
	}
	return b.add(readReply(resp))
}

// readReply finds the error object in a whole answer or in a stream.
func readReply(resp *http.Response) (demo.Reply, error) {
	defer resp.Body.Close()
	reply := demo.Reply{
		Status: resp.StatusCode, Code: jdaw.CodeOK, Ran: jdaw.DidRun,
		RequestID: resp.Header.Get("X-Jackdaw-Request-Id"), Session: resp.Header.Get("X-Jackdaw-Session"),
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply, err
	}
	reply.Text = string(body)
	for _, line := range strings.Split(reply.Text, "\n") {
		var refused struct {
			Error struct {
				Code jdaw.Code
				Ran  jdaw.Ran
			}
		}
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &refused) == nil && refused.Error.Code != 0 {
			reply.Code, reply.Ran = refused.Error.Code, refused.Error.Ran
		}
	}
	return reply, nil
}

// loggedIDs returns the request ids in the logs of all upstreams.
func (s *system) loggedIDs() map[string]bool {
	s.t.Helper()
	ids := map[string]bool{}
	for _, run := range s.engineRuns() {
		ids[run.RequestID] = true
	}
	for _, run := range s.plainRuns() {
		ids[run.RequestID] = true
	}
	return ids
}

// check compares the replies with the upstreams' logs. before are the ids that
// ran before the book was opened. With strict, every other id in a log must
// belong to a caller who was told that the request ran or may have.
func (b *replyBook) check(before map[string]bool, strict bool) {
	t := b.s.t
	t.Helper()
	for id := range b.s.loggedIDs() {
		if code, ok := b.notRun[id]; ok {
			t.Errorf("request %s was refused as not run (%s) and ran", id, code)
		}
		if _, ok := b.ran[id]; strict && !ok && !before[id] {
			t.Errorf("request %s ran and no caller was told so", id)
		}
	}
	for _, text := range b.broken {
		t.Errorf("a reply contradicts the table of result codes: %s", text)
	}
	b.broken = nil
}

// notRunOptions add to the configuration what some refusals need.
func notRunOptions(t *testing.T, relays *[]*relay) options {
	return options{shape: smallShape(4), firstToken: 2 * time.Millisecond, tokens: 4, edit: func(d *config.Document) {
		for i, u := range d.Upstreams {
			r := startRelay(t, strings.TrimPrefix(u.Address, "http://"))
			*relays = append(*relays, r)
			d.Upstreams[i].Address = "http://" + r.addr()
		}
		d.Services = append(d.Services, config.Service{Name: "ghost", Kind: "ghost"})
		d.Upstreams = append(d.Upstreams, config.Upstream{
			ID: "ghost-1", Kind: "ghost", Protocol: config.ProtocolService, DataCentre: d.DataCentres[0].Name,
			Address: "http://" + refusingAddr(t), MaxConcurrent: 8, ColdConcurrent: 8,
		})
		closed := time.Now().UTC().Add(2 * time.Hour)
		for i := range d.Workspaces {
			w := &d.Workspaces[i]
			if w.ID == "heats" { // may use one model and no service
				w.Allow, w.Services, w.Cascade = []string{d.Models[1].Name}, nil, ""
				continue
			}
			w.Services = append(w.Services, "ghost")
			w.Outlets = append(w.Outlets,
				config.Outlet{Name: "closed", WaitMillis: 5000, Opens: closed.Format("15:04"), Closes: closed.Add(time.Hour).Format("15:04")},
				config.Outlet{Name: "hurry", WaitMillis: 120})
		}
	}}
}

// refusingAddr is an address that refuses connections.
func refusingAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Guards against a refusal that says "not run" although an upstream ran the
// request or still runs it: connections break before, during and after the
// request is written, and every refusal that can be brought about from outside
// is compared with the upstreams' logs.
func TestInvariantNotRun(t *testing.T) {
	var relays []*relay
	s := start(t, notRunOptions(t, &relays))
	book := newReplyBook(s)
	before := s.loggedIDs()
	n := times(20)
	s.breakUpstreams(book, n)
	s.cutUpstreams(book, relays, n)
	book.check(before, true)
	s.refuseBadInput(book, n)
	s.refuseForUpstreams(book, n)
	book.check(before, true)
	s.refuseConnections(book, relays, n)
	s.refuseInOutage(book, n)
	book.check(before, true)
	s.refuseForVMs(book, n)
	time.Sleep(2 * time.Second) // longer than any wait of the requests: none may run late
	book.check(before, false)
	for _, code := range []jdaw.Code{
		jdaw.CodeBrokenJSON, jdaw.CodeBodyTooLarge, jdaw.CodeBodyCut, jdaw.CodeUnknownModel, jdaw.CodeUnknownService,
		jdaw.CodeUnknownOutlet, jdaw.CodeBadField, jdaw.CodeNoRoute, jdaw.CodeMethodNotAllowed, jdaw.CodeNoKey, jdaw.CodeWrongKey,
		jdaw.CodeModelNotAllowed, jdaw.CodeServiceNotAllowed, jdaw.CodeVersionWithdrawn, jdaw.CodeSessionVersionWithdrawn,
		jdaw.CodeBadSession, jdaw.CodeOutletClosed, jdaw.CodeNoConfiguration, jdaw.CodeIsolated, jdaw.CodeDraining,
		jdaw.CodeStoreUnavailable, jdaw.CodeDataCentreOut, jdaw.CodeUpstreamRefused, jdaw.CodeUpstreamConnection,
		jdaw.CodeNoUpstream, jdaw.CodeNoCapacity, jdaw.CodeDeadline, jdaw.CodeKeyReused, jdaw.CodeKeyUnknown,
	} {
		if book.codes[code] < n {
			t.Errorf("%s was brought about %d times, want %d", code, book.codes[code], n)
		}
	}
	t.Logf("seed %d: replies by code %v, %d connections lost", *seed, book.codes, book.lost)
}

// mixed returns one request of each kind: a look-up, an order with a key and
// one without, a streamed chat and a whole one.
func (s *system) mixed(key string) []demo.Request {
	lookUp := s.order("scoring", "")
	lookUp.Method, lookUp.Path, lookUp.Body = http.MethodGet, "/v1/services/"+s.opts.shape.PlainKind+"/results/7", nil
	whole := s.chat("scoring", s.opts.shape.Models[0].Name, key)
	whole.Body = demo.ChatBody(s.opts.shape.Models[0].Name, false, "Answer briefly.", key)
	return []demo.Request{
		lookUp, s.order("scoring", key), s.order("scoring", ""),
		s.chat("scoring", s.opts.shape.Models[0].Name, key), whole, s.chat("scoring", "cascade", key),
	}
}

// sendAll sends the requests to a VM at once.
func (b *replyBook) sendAll(v *vm, list []demo.Request) {
	var wg sync.WaitGroup
	for _, q := range list {
		wg.Go(func() { b.send(v, q) })
	}
	wg.Wait()
}

// breakUpstreams lets upstreams break connections at each stage, for one call
// each or for all.
func (s *system) breakUpstreams(book *replyBook, n int) {
	for _, stage := range []fakes.Break{fakes.BreakBefore, fakes.BreakDuring, fakes.BreakAfter} {
		for i := range n {
			for _, p := range s.engines {
				s.fault(p, fakes.EngineFault{Break: stage, Count: i % 3})
			}
			for _, p := range s.plains {
				s.fault(p, fakes.PlainFault{Break: stage, Count: i % 3})
			}
			book.sendAll(s.vms[i%len(s.vms)], s.mixed(fmt.Sprintf("break-%s-%d", stage, i)))
		}
	}
	s.healUpstreams()
}

func (s *system) healUpstreams() {
	for _, p := range s.engines {
		s.fault(p, fakes.EngineFault{})
	}
	for _, p := range s.plains {
		s.fault(p, fakes.PlainFault{})
	}
}

// cutUpstreams cuts the connections between VMs and upstreams at random times.
func (s *system) cutUpstreams(book *replyBook, relays []*relay, n int) {
	random := rand.New(rand.NewPCG(*seed, 4))
	for i := range n {
		done := make(chan struct{})
		go func() {
			book.sendAll(s.vms[i%len(s.vms)], s.mixed(fmt.Sprintf("cut-%d", i)))
			close(done)
		}()
		for range 3 {
			time.Sleep(time.Duration(random.IntN(6000)) * time.Microsecond)
			for _, r := range relays {
				r.setCut(func(netip.Addr) bool { return true })
				r.setCut(nil)
			}
		}
		<-done
	}
}

// refuseBadInput sends what a VM refuses by itself.
func (s *system) refuseBadInput(book *replyBook, n int) {
	model := s.opts.shape.Models[0]
	chat := func(body string) demo.Request {
		q := s.chat("scoring", model.Name, "")
		q.Body = []byte(body)
		return q
	}
	with := func(q demo.Request, edit func(q *demo.Request)) demo.Request {
		edit(&q)
		return q
	}
	good, order := s.chat("scoring", model.Name, "x"), s.order("scoring", "")
	session := s.startSession(book, model.Name)
	for i := range n {
		v := s.vms[i%len(s.vms)]
		key := fmt.Sprintf("reused-%d", i)
		book.send(v, s.order("scoring", key))
		book.sendAll(v, []demo.Request{
			chat("{"),
			chat(`{"model":"nobody","messages":[{"role":"user","content":"x"}]}`),
			chat(`{"model":"` + model.Name + `","messages":[{"role":"user","content":"x"}],"max_tokens":-1}`),
			with(order, func(q *demo.Request) { q.Body = make([]byte, 5<<20) }),
			with(order, func(q *demo.Request) { q.Path = "/v1/services/nobody/orders" }),
			with(order, func(q *demo.Request) { q.Outlet = "nobody" }),
			with(order, func(q *demo.Request) { q.Path = "/v2/orders" }),
			with(order, func(q *demo.Request) { q.Method = http.MethodPut }),
			with(order, func(q *demo.Request) { q.Key = "" }),
			with(order, func(q *demo.Request) { q.Key = "jw_nobody" }),
			with(order, func(q *demo.Request) { q.Outlet = "closed" }),
			with(order, func(q *demo.Request) { q.IdemKey = "jdk1.e30.k1.00" }),
			with(order, func(q *demo.Request) { q.IdemKey, q.Body = key, []byte(`{"order":"another"}`) }),
			s.order("heats", ""),
			s.chat("heats", model.Name, "x"),
			with(good, func(q *demo.Request) { q.Session = "nonsense" }),
		})
		book.add(s.cutBody(v))
	}
	s.refuseWithdrawn(book, model.Name+"@"+model.Versions[0], session, n)
}

// refuseWithdrawn withdraws a version and asks for it by name and by session.
func (s *system) refuseWithdrawn(book *replyBook, version, session string, n int) {
	s.t.Helper()
	if _, err := s.change(s.vms[0], config.Op{Kind: config.OpWithdrawVersion, Name: version}); err != nil {
		s.t.Fatal(err)
	}
	byName := s.chat("scoring", version, "x")
	bySession := s.chat("scoring", s.opts.shape.Models[0].Name, "x")
	bySession.Session = session
	for _, v := range s.vms {
		s.within(6*time.Second, "the withdrawal is in force at "+string(v.id), func() bool {
			return book.send(v, byName).Code == jdaw.CodeVersionWithdrawn
		})
	}
	for i := range n {
		book.sendAll(s.vms[i%len(s.vms)], []demo.Request{byName, bySession})
	}
}

// startSession returns the token of a new session.
func (s *system) startSession(book *replyBook, model string) string {
	s.t.Helper()
	q := s.chat("scoring", model, "x")
	r, err := http.NewRequest(http.MethodPost, s.vms[0].callers()+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+q.Key)
	r.Header.Set("X-Jackdaw-New-Session", "session-1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	reply, err := readReply(resp)
	book.add(reply, err)
	if err != nil || reply.Session == "" {
		s.t.Fatalf("no session: %+v, %v", reply, err)
	}
	return reply.Session
}

// cutBody ends a request in the middle of its body.
func (s *system) cutBody(v *vm) (demo.Reply, error) {
	c, err := net.Dial("tcp", strings.TrimPrefix(v.callers(), "http://"))
	if err != nil {
		return demo.Reply{}, err
	}
	defer c.Close()
	q := s.order("scoring", "")
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", q.Path, q.Key)
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		return demo.Reply{}, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return demo.Reply{}, err
	}
	return readReply(resp)
}

// refuseForUpstreams brings about the refusals that come from the upstreams'
// state: they refuse, are not there, or are full.
func (s *system) refuseForUpstreams(book *replyBook, n int) {
	ghost := s.order("scoring", "")
	ghost.Path = "/v1/services/ghost/orders"
	for i := range n {
		for _, p := range s.engines {
			s.fault(p, fakes.EngineFault{Refuse: true})
		}
		for _, p := range s.plains {
			s.fault(p, fakes.PlainFault{Refuse: true})
		}
		book.sendAll(s.vms[i%len(s.vms)], s.mixed(fmt.Sprintf("refused-%d", i)))
		book.send(s.vms[i%len(s.vms)], ghost)
		s.healUpstreams()
	}
	// More than the engines take in the time that the outlet has.
	for _, p := range s.engines {
		s.fault(p, fakes.EngineFault{SlowMillis: 20})
	}
	hurry := s.chat("scoring", s.opts.shape.Models[0].Name, "x")
	hurry.Outlet = "hurry"
	rounds := 0
	s.within(time.Minute, "deadlines pass and capacity ends", func() bool {
		var wg sync.WaitGroup
		for _, v := range s.vms {
			for range 10 {
				wg.Go(func() { book.send(v, hurry) })
			}
		}
		wg.Wait()
		rounds++
		return rounds >= n && book.codes[jdaw.CodeDeadline] >= n && book.codes[jdaw.CodeNoCapacity] >= n
	})
	s.healUpstreams()
}

// refuseConnections lets the upstreams' addresses refuse connections, until
// the refusal has been seen often enough.
func (s *system) refuseConnections(book *replyBook, relays []*relay, n int) {
	s.t.Helper()
	s.within(30*time.Second, "connections are refused", func() bool {
		for _, r := range relays {
			_ = r.listener.Close()
			r.setCut(func(netip.Addr) bool { return true })
		}
		var wg sync.WaitGroup
		for i, v := range s.vms {
			wg.Go(func() { book.sendAll(v, s.mixed(fmt.Sprintf("connection-%d", i))) })
		}
		wg.Wait()
		for i, r := range relays {
			l, err := net.Listen("tcp", r.addr())
			if err != nil {
				s.t.Fatal(err)
			}
			s.t.Cleanup(func() { _ = l.Close() })
			relays[i] = &relay{listener: l, target: r.target, conns: map[net.Conn]netip.Addr{}}
			go relays[i].accept()
		}
		time.Sleep(1200 * time.Millisecond) // the next load reports
		return book.codes[jdaw.CodeUpstreamConnection] >= n
	})
}

// refuseInOutage sends orders with callers' own keys while the key-value
// service is down, and keeps one VM from reading any configuration.
func (s *system) refuseInOutage(book *replyBook, n int) {
	s.fault(s.kv, fakes.KeyValueFault{Outage: fakes.OutageCut})
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { book.send(s.vms[i%len(s.vms)], s.order("scoring", fmt.Sprintf("outage-%d", i))) })
	}
	lost := s.vms[0].settings
	lost.VM = "entry-lost"
	lost.Listen = config.Addresses{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	lost.Advertise = config.Addresses{}
	lost.VMList = "http://" + startRelay(s.t, "").addr()
	p := startProcess(s.t, "VM without a configuration", roleVM, lost)
	for range n {
		book.send(&vm{process: p}, s.order("scoring", ""))
	}
	p.kill()
	wg.Wait()
	s.fault(s.kv, fakes.KeyValueFault{})
}

// refuseForVMs brings about the refusals that come from the state of a VM: its
// data centre is out, it is cut off, it drains, or it is the last one in an
// outage of the key-value service.
func (s *system) refuseForVMs(book *replyBook, n int) {
	s.t.Helper()
	out := s.vms[1]
	dc := string(out.settings.DataCentre)
	if _, err := s.change(s.vms[0], config.Op{Kind: config.OpDataCentreOut, Name: dc}); err != nil {
		s.t.Fatal(err)
	}
	s.refuseUntil(book, out, jdaw.CodeDataCentreOut, n)
	if _, err := s.change(s.vms[0], config.Op{Kind: config.OpDataCentreIn, Name: dc}); err != nil {
		s.t.Fatal(err)
	}
	s.cutOff(s.vms[2])
	s.refuseUntil(book, s.vms[2], jdaw.CodeIsolated, n)
	s.heal()
	s.drainSlowly(book, s.vms[3])
	s.refuseUntil(book, s.vms[3], jdaw.CodeDraining, n)
	s.fault(s.kv, fakes.KeyValueFault{Outage: fakes.OutageCut})
	s.vms[1].kill()
	s.vms[2].kill()
	s.refuseUntil(book, s.vms[0], jdaw.CodeIsolated, n)
	s.fault(s.kv, fakes.KeyValueFault{})
}

// drainSlowly starts a drain while an order is in progress that outlasts the
// time for which a draining VM still accepts requests.
func (s *system) drainSlowly(book *replyBook, v *vm) {
	for _, p := range s.plains {
		s.fault(p, fakes.PlainFault{SlowMillis: 10_000, Count: 1})
	}
	go book.send(v, s.order("scoring", ""))
	time.Sleep(200 * time.Millisecond)
	s.healUpstreams()
	v.terminate()
}

// refuseUntil sends requests of all kinds until the VM has given the refusal
// often enough.
func (s *system) refuseUntil(book *replyBook, v *vm, code jdaw.Code, n int) {
	s.t.Helper()
	had := book.codes[code]
	i := 0
	s.within(20*time.Second, string(v.id)+" refuses with "+code.String(), func() bool {
		i++
		book.sendAll(v, s.mixed(fmt.Sprintf("%s-%s-%d", code, v.id, i)))
		return book.codes[code] >= had+n
	})
}
