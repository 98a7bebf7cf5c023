package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/admin"
	"jackdawbarrow/config"
	"jackdawbarrow/demo"
	"jackdawbarrow/fakes"
	"jackdawbarrow/ledger"
	"jackdawbarrow/peers"
	"jackdawbarrow/store"
)

// options are the size and the timing of a system under test.
type options struct {
	shape      demo.Shape
	firstToken time.Duration
	perToken   time.Duration
	tokens     int
	coldFor    time.Duration
	edit       func(d *config.Document) // changes the first configuration
}

// smallShape is enough for most failures: 3 VMs and a data centre each.
func smallShape(vms int) demo.Shape {
	s := demo.Authority()
	s.VMs, s.Engines, s.Plains = vms, 3, 3
	s.Workspaces = []string{"scoring", "stewards", "heats"}
	s.Large = 1
	return s
}

// system is a deployment of real processes.
type system struct {
	t        testing.TB
	opts     options
	kv       *process
	rating   *process
	vmList   *process
	engines  []*process
	plains   []*process
	vms      []*vm
	document config.Document
	secrets  demo.Secrets
}

// vm is an entry VM with the relays in front of it.
type vm struct {
	*process
	id       jdaw.VMID
	ip       netip.Addr
	settings config.Settings
	peer     *relay // in front of its peer address
	kv       *relay // between it and the key-value service
}

// start starts the stand-ins and the VMs and waits until all are ready.
func start(t testing.TB, opts options) *system {
	t.Helper()
	if opts.shape.Name == "" {
		opts.shape = smallShape(3)
	}
	if opts.tokens == 0 {
		opts.tokens = 12
	}
	s := &system{t: t, opts: opts}
	s.kv = startProcess(t, "key-value service", roleKeyValue, nil)
	s.vmList = startProcess(t, "VM list", roleVMList, nil)
	s.rating = startProcess(t, "rating service", roleRating, fakes.RatingConfig{Seed: 1})
	s.startUpstreams()
	if err := demo.StoreDocument(context.Background(), s.kv.url(0), s.document); err != nil {
		t.Fatal(err)
	}
	for i := 0; i < opts.shape.VMs; i++ {
		s.startVM(i)
	}
	s.awaitReady()
	return s
}

func (s *system) startUpstreams() {
	var engines, plains []string
	for i := 0; i < s.opts.shape.Engines; i++ {
		p := startProcess(s.t, fmt.Sprintf("engine %d", i), roleEngine, fakes.EngineConfig{
			Name: fmt.Sprintf("e%d-", i), Versions: s.opts.shape.VersionNames(), Capacity: 8, Tokens: s.opts.tokens,
			FirstToken: s.opts.firstToken, PerToken: s.opts.perToken, ColdFor: s.opts.coldFor, ColdCapacity: 2,
			ReportLag: time.Second, ChecksFence: i%2 == 0,
		})
		s.engines = append(s.engines, p)
		engines = append(engines, p.url(0))
	}
	for i := 0; i < s.opts.shape.Plains; i++ {
		p := startProcess(s.t, fmt.Sprintf("plain service %d", i), rolePlain, fakes.PlainConfig{
			Name: fmt.Sprintf("p%d-", i), Capacity: 16, Delay: s.opts.firstToken,
		})
		s.plains = append(s.plains, p)
		plains = append(plains, p.url(0))
	}
	s.document, s.secrets = s.opts.shape.Document(engines, plains)
	if s.opts.edit != nil {
		s.opts.edit(&s.document)
	}
}

// startVM starts the VM with this index, or starts it again after a kill.
// Each VM has an IP of its own, by which relays tell who connects.
func (s *system) startVM(i int) *vm {
	s.t.Helper()
	ip := netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)})
	kv := startRelay(s.t, s.kv.addrs[0])
	peerPort := startRelay(s.t, "") // the target is known after the start
	settings := config.Settings{
		VM:         jdaw.VMID(fmt.Sprintf("entry%d", i+1)),
		DataCentre: s.opts.shape.DataCentreOf(i),
		Region:     s.opts.shape.Region,
		Listen:     config.Addresses{Callers: ip.String() + ":0", Peers: ip.String() + ":0", Admin: ip.String() + ":0"},
		Advertise:  config.Addresses{Peers: peerPort.addr()},
		Store:      config.StoreSettings{Addresses: []string{"http://" + kv.addr()}},
		VMList:     s.vmList.url(0),
		Ratings:    s.rating.url(0),
	}
	p := startProcess(s.t, string(settings.VM), roleVM, settings)
	peerPort.target = p.addrs[1]
	v := &vm{process: p, id: settings.VM, ip: ip, settings: settings, peer: peerPort, kv: kv}
	for len(s.vms) <= i {
		s.vms = append(s.vms, nil)
	}
	s.vms[i] = v
	s.listVMs(fakes.VMListChange{Set: []peers.ListedVM{{
		VM: v.id, DataCentre: settings.DataCentre, Region: settings.Region,
		PeerAddr: peerPort.addr(), EntryAddr: v.callers(),
	}}})
	return v
}

// callers returns the VM's address for callers.
func (v *vm) callers() string { return v.url(0) }

// admin returns a client of the VM's administration API.
func (s *system) admin(v *vm) *admin.Client {
	return admin.NewClient(admin.ClientConfig{Address: v.url(2), Token: s.secrets.Operator})
}

// listVMs changes the VM list.
func (s *system) listVMs(c fakes.VMListChange) { s.post(s.vmList.url(0)+"/fake/vms", c) }

// fault sets the faults of a stand-in.
func (s *system) fault(p *process, f any) { s.post(p.url(0)+"/fake/fault", f) }

func (s *system) post(url string, body any) {
	s.t.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := http.Post(url, "application/json", bytes.NewReader(b))
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		s.t.Fatalf("%s answered %s", url, resp.Status)
	}
}

func (s *system) read(url string, into any) {
	s.t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		s.t.Fatalf("%s: %v", url, err)
	}
}

// cutOff cuts a VM off from all other VMs in both directions.
func (s *system) cutOff(v *vm) {
	v.peer.setCut(func(source netip.Addr) bool { return source != v.ip })
	for _, other := range s.vms {
		if other != v {
			other.peer.setCut(func(source netip.Addr) bool { return source == v.ip })
		}
	}
}

// cutStore cuts a VM off from the key-value service.
func (v *vm) cutStore() { v.kv.setCut(func(netip.Addr) bool { return true }) }

// healStore ends cutStore.
func (v *vm) healStore() { v.kv.setCut(nil) }

// heal ends all cuts between VMs.
func (s *system) heal() {
	for _, v := range s.vms {
		v.peer.setCut(nil)
	}
}

// awaitReady waits until all VMs are ready and every pool has an owner that
// grants credits.
func (s *system) awaitReady() {
	s.t.Helper()
	for _, v := range s.vms {
		s.within(20*time.Second, string(v.id)+" answers a request", func() bool { return s.isServing(v) })
	}
}

// isServing sends one cheap request to the VM.
func (s *system) isServing(v *vm) bool {
	caller := demo.NewCaller([]string{v.callers()})
	caller.Fixed = true
	reply, err := caller.Do(context.Background(), s.chat("scoring", s.opts.shape.Models[0].Name, "ready?"))
	return err == nil && reply.Code == jdaw.CodeOK
}

// chat is a streamed, repeatable request of a workspace.
func (s *system) chat(workspace, model, prompt string) demo.Request {
	return demo.Request{
		Key: s.secrets.Workspaces[jdaw.WorkspaceID(workspace)], Method: http.MethodPost,
		Path: "/v1/chat/completions", Stream: true, Repeatable: true,
		Body: demo.ChatBody(model, true, "Answer briefly.", prompt),
	}
}

// order is a call of the plain service that must run at most once.
func (s *system) order(workspace, key string) demo.Request {
	return demo.Request{
		Key: s.secrets.Workspaces[jdaw.WorkspaceID(workspace)], Method: http.MethodPost,
		Path: "/v1/services/" + s.opts.shape.PlainKind + "/orders", IdemKey: key,
		Body: []byte(fmt.Sprintf(`{"order":%q}`, key)),
	}
}

// caller returns a caller that knows the given VMs.
func (s *system) caller(vms ...*vm) *demo.Caller {
	if len(vms) == 0 {
		vms = s.vms
	}
	var addrs []string
	for _, v := range vms {
		addrs = append(addrs, v.callers())
	}
	return demo.NewCaller(addrs)
}

// to returns a caller that sends everything to one VM.
func (s *system) to(v *vm) *demo.Caller {
	c := demo.NewCaller([]string{v.callers()})
	c.Fixed = true
	return c
}

// change makes a change through a VM's administration API.
func (s *system) change(v *vm, ops ...config.Op) (admin.Result, error) {
	return s.admin(v).Change(context.Background(), config.Change{Ops: ops}, admin.ChangeOptions{})
}

// engineRuns returns the log of all engines: what they started to run.
func (s *system) engineRuns() []fakes.EngineRun {
	s.t.Helper()
	var all []fakes.EngineRun
	for _, p := range s.engines {
		var runs []fakes.EngineRun
		s.read(p.url(0)+"/fake/log", &runs)
		all = append(all, runs...)
	}
	return all
}

// plainRuns returns the log of all plain services: what they executed.
func (s *system) plainRuns() []fakes.PlainRun {
	s.t.Helper()
	var all []fakes.PlainRun
	for _, p := range s.plains {
		var runs []fakes.PlainRun
		s.read(p.url(0)+"/fake/log", &runs)
		all = append(all, runs...)
	}
	return all
}

// storeState returns the key-value service's own counters and log of writes.
func (s *system) storeState() fakes.KeyValueState {
	var state fakes.KeyValueState
	s.read(s.kv.url(0)+"/fake/state", &state)
	return state
}

// bills reads the ledger straight from the key-value service.
func (s *system) bills() []jdaw.Bill {
	s.t.Helper()
	kv, err := store.New(store.Config{Addresses: []string{s.kv.url(0)}})
	if err != nil {
		s.t.Fatal(err)
	}
	bills, err := ledger.Export(context.Background(), kv)
	if err != nil {
		s.t.Fatal(err)
	}
	return bills
}

// within waits until the condition holds and returns how long that took.
func (s *system) within(limit time.Duration, what string, ok func() bool) time.Duration {
	s.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			s.t.Fatalf("not within %s: %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// times returns how often a failure is brought about.
func times(n int) int {
	if *repeat > 0 {
		return *repeat
	}
	return n
}
