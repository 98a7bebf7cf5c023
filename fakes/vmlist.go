package fakes

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/peers"
)

// VMList stands in for the platform's list of live and leaving VMs. It is an
// http.Handler for GET /v1/vms. A reader sees each change only after the lag.
// Another process changes it with POST /fake/vms and a VMListChange as body.
type VMList struct {
	mu      sync.Mutex
	lag     time.Duration
	down    bool
	history []listState // oldest first; the last one is the present
	reads   int
}

type listState struct {
	at   time.Time
	list peers.List
}

// NewVMList returns an empty list that shows changes after lag.
func NewVMList(lag time.Duration) *VMList {
	return &VMList{lag: lag, history: []listState{{list: peers.List{Version: 1}}}}
}

// SetLag changes the lag.
func (l *VMList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetDown makes the list answer 503.
func (l *VMList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// SetVM adds a VM or replaces the one with the same id.
func (l *VMList) SetVM(vm peers.ListedVM) {
	l.change(func(list *peers.List) {
		for i := range list.VMs {
			if list.VMs[i].VM == vm.VM {
				list.VMs[i] = vm
				return
			}
		}
		list.VMs = append(list.VMs, vm)
	})
}

// RemoveVM removes a VM.
func (l *VMList) RemoveVM(id jdaw.VMID) {
	l.change(func(list *peers.List) {
		kept := []peers.ListedVM{}
		for _, vm := range list.VMs {
			if vm.VM != id {
				kept = append(kept, vm)
			}
		}
		list.VMs = kept
	})
}

// SetUpstream adds an upstream or replaces the one with the same address.
func (l *VMList) SetUpstream(u peers.ListedUpstream) {
	l.change(func(list *peers.List) {
		for i := range list.Upstreams {
			if list.Upstreams[i].Address == u.Address {
				list.Upstreams[i] = u
				return
			}
		}
		list.Upstreams = append(list.Upstreams, u)
	})
}

// Reads returns the number of requests so far.
func (l *VMList) Reads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// VMListChange is the body of POST /fake/vms.
type VMListChange struct {
	Set       []peers.ListedVM       `json:"set,omitempty"`
	Remove    []jdaw.VMID            `json:"remove,omitempty"`
	Upstreams []peers.ListedUpstream `json:"upstreams,omitempty"`
	Down      *bool                  `json:"down,omitempty"`
	LagMillis *int                   `json:"lagMillis,omitempty"`
}

// Apply makes the changes.
func (l *VMList) Apply(c VMListChange) {
	for _, vm := range c.Set {
		l.SetVM(vm)
	}
	for _, id := range c.Remove {
		l.RemoveVM(id)
	}
	for _, u := range c.Upstreams {
		l.SetUpstream(u)
	}
	if c.Down != nil {
		l.SetDown(*c.Down)
	}
	if c.LagMillis != nil {
		l.SetLag(time.Duration(*c.LagMillis) * time.Millisecond)
	}
}

func (l *VMList) serveChange(w http.ResponseWriter, r *http.Request) {
	var c VMListChange
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Apply(c)
}

// ServeHTTP implements http.Handler.
func (l *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/fake/vms" && r.Method == http.MethodPost {
		l.serveChange(w, r)
		return
	}
	if r.URL.Path != "/v1/vms" || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	list, ok := l.visible()
	if !ok {
		http.Error(w, "VM list is down", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// visible returns the newest state that is older than the lag.
func (l *VMList) visible() (peers.List, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.down {
		return peers.List{}, false
	}
	limit := time.Now().Add(-l.lag)
	for i := len(l.history) - 1; i > 0; i-- {
		if !l.history[i].at.After(limit) {
			return l.history[i].list, true
		}
	}
	return l.history[0].list, true
}

func (l *VMList) change(edit func(*peers.List)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.history[len(l.history)-1].list
	next := peers.List{
		Version:   old.Version + 1,
		VMs:       append([]peers.ListedVM{}, old.VMs...),
		Upstreams: append([]peers.ListedUpstream{}, old.Upstreams...),
	}
	edit(&next)
	l.history = append(l.history, listState{at: time.Now(), list: next})
}
