package bench

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/demo"
	"jackdawbarrow/fakes"
	"jackdawbarrow/peers"
)

// The engines have room for twice the streams of the largest run, so that
// neither their batch nor the owner's limit makes a request wait.
const (
	overheadEngines    = 12
	engineCapacity     = 64
	engineColdLimit    = 32
	engineFirstToken   = 50 * time.Millisecond
	enginePerToken     = 20 * time.Millisecond
	engineTokens       = 24
	streamLength       = engineFirstToken + engineTokens*enginePerToken
	overheadRound      = 500 // streams in a round of one side
	overheadRounds     = 4   // of each side
	overheadWarmStarts = 2   // warm-up streams per concurrent stream
)

// target is a way to the engines.
type target struct {
	urls  []string
	model string
	key   string
}

// overheadSystem is three VMs and the engines, all processes of their own.
type overheadSystem struct {
	b      *testing.B
	vms    []*child
	direct target
	entry  target
}

func startOverhead(b *testing.B) *overheadSystem {
	shape := demo.Authority()
	shape.VMs, shape.Engines, shape.Plains = 3, overheadEngines, 0
	kvURL := "http://" + startChild(b, roleKeyValue, nil).addrs[0]
	list := fakes.NewVMList(0)
	srv := httptest.NewServer(list)
	b.Cleanup(srv.Close)
	s := &overheadSystem{b: b}
	for i := range overheadEngines {
		e := startChild(b, roleEngine, fakes.EngineConfig{
			Name: fmt.Sprintf("e%d-", i), Versions: shape.VersionNames(), Capacity: engineCapacity, Tokens: engineTokens,
			FirstToken: engineFirstToken, CachedFirstToken: engineFirstToken, PerToken: enginePerToken,
		})
		s.direct.urls = append(s.direct.urls, "http://"+e.addrs[0])
	}
	doc, secrets := shape.Document(s.direct.urls, nil)
	for i := range doc.Upstreams {
		doc.Upstreams[i].MaxConcurrent, doc.Upstreams[i].ColdConcurrent = engineCapacity, engineColdLimit
	}
	if err := demo.StoreDocument(context.Background(), kvURL, doc); err != nil {
		b.Fatal(err)
	}
	for i := range shape.VMs {
		settings := config.Settings{
			VM: vmID(i), DataCentre: shape.DataCentreOf(i), Region: shape.Region,
			Listen: config.Addresses{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0"},
			Store:  config.StoreSettings{Addresses: []string{kvURL}}, VMList: srv.URL,
		}
		vm := startChild(b, roleVM, settings)
		s.vms = append(s.vms, vm)
		s.entry.urls = append(s.entry.urls, "http://"+vm.addrs[0])
		list.SetVM(peers.ListedVM{VM: vmID(i), DataCentre: settings.DataCentre, Region: shape.Region, PeerAddr: vm.addrs[1], EntryAddr: "http://" + vm.addrs[0]})
	}
	s.direct.model = shape.Models[0].Name + "@v1"
	s.entry.model = shape.Models[0].Name
	s.entry.key = secrets.Workspaces[jdaw.WorkspaceID(shape.Workspaces[0])]
	s.awaitReady()
	return s
}

// awaitReady waits until each VM answers a request.
func (s *overheadSystem) awaitReady() {
	client := &http.Client{Timeout: 5 * time.Second}
	end := time.Now().Add(20 * time.Second)
	for _, u := range s.entry.urls {
		for {
			_, err := stream(client, u, s.entry, 0)
			if err == nil {
				break
			}
			if time.Now().After(end) {
				s.b.Fatalf("the VM at %s answers no request: %v", u, err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// timing is what a caller saw of one stream.
type timing struct {
	first time.Duration
	gaps  []time.Duration
}

// times are the figures of one side.
type times struct {
	first, gaps, perToken []time.Duration
}

func (t *times) add(x timing) {
	t.first = append(t.first, x.first)
	t.gaps = append(t.gaps, x.gaps...)
	sum := time.Duration(0)
	for _, g := range x.gaps {
		sum += g
	}
	t.perToken = append(t.perToken, sum/time.Duration(len(x.gaps)))
}

// round sends streams to a target, the given number at a time.
func (s *overheadSystem) round(client *http.Client, to target, streams, concurrent int, into *times) {
	next := make(chan int, streams)
	for i := range streams {
		next <- i
	}
	close(next)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for w := range concurrent {
		wg.Go(func() {
			// Starts are spread over the length of a stream: a burst would
			// measure the queue at the processors.
			time.Sleep(time.Duration(w) * streamLength / time.Duration(concurrent))
			for i := range next {
				t, err := stream(client, to.urls[i%len(to.urls)], to, i)
				if err != nil {
					s.b.Error(err)
					return
				}
				if into != nil {
					mu.Lock()
					into.add(t)
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
}

// stream sends one streamed request and times its tokens.
func stream(client *http.Client, url string, to target, i int) (timing, error) {
	body := demo.ChatBody(to.model, true, "Answer briefly.", fmt.Sprintf("Question %d?", i))
	r, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return timing{}, err
	}
	r.Header.Set("Content-Type", "application/json")
	if to.key != "" {
		r.Header.Set("Authorization", "Bearer "+to.key)
	}
	began := time.Now()
	resp, err := client.Do(r)
	if err != nil {
		return timing{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return timing{}, fmt.Errorf("%s answered %s", url, resp.Status)
	}
	t := timing{gaps: make([]time.Duration, 0, engineTokens)}
	var last time.Time
	done := false
	for sc := bufio.NewScanner(resp.Body); sc.Scan(); {
		line := sc.Text()
		done = done || line == "data: [DONE]"
		if !strings.HasPrefix(line, "data: {") || !strings.Contains(line, `"content"`) {
			continue
		}
		now := time.Now()
		if t.first == 0 {
			t.first = now.Sub(began)
		} else {
			t.gaps = append(t.gaps, now.Sub(last))
		}
		last = now
	}
	if !done || len(t.gaps) != engineTokens-1 {
		return timing{}, fmt.Errorf("%s: %d tokens, want %d; end of stream seen: %v", url, len(t.gaps)+1, engineTokens, done)
	}
	return t, nil
}

// memory returns the mean private memory of the VM processes.
func (s *overheadSystem) memory() float64 {
	sum := 0.0
	for _, vm := range s.vms {
		sum += vm.residentMB(s.b)
	}
	return sum / float64(len(s.vms))
}

func (s *overheadSystem) processorTime() time.Duration {
	sum := time.Duration(0)
	for _, vm := range s.vms {
		sum += vm.processorTime(s.b)
	}
	return sum
}

func newClient(concurrent int) *http.Client {
	return &http.Client{Timeout: time.Minute, Transport: &http.Transport{MaxIdleConnsPerHost: concurrent, DisableCompression: true}}
}

// BenchmarkOverhead compares streams through an entry VM with streams straight
// from the engines, in alternating rounds of one run.
func BenchmarkOverhead(b *testing.B) {
	for _, concurrent := range []int{50, 200} {
		b.Run(fmt.Sprintf("streams=%d", concurrent), func(b *testing.B) { benchmarkOverhead(b, concurrent) })
	}
}

func benchmarkOverhead(b *testing.B, concurrent int) {
	s := startOverhead(b)
	atStart := s.memory()
	client := newClient(concurrent)
	s.round(client, s.direct, overheadWarmStarts*concurrent, concurrent, nil)
	s.round(client, s.entry, overheadWarmStarts*concurrent, concurrent, nil)
	var direct, entry times
	memory := []float64{}
	var processor time.Duration
	for b.Loop() {
		for range overheadRounds {
			s.round(client, s.direct, overheadRound, concurrent, &direct)
			before := s.processorTime()
			s.round(client, s.entry, overheadRound, concurrent, &entry)
			processor += s.processorTime() - before
			memory = append(memory, s.memory())
		}
	}
	b.ReportMetric(0, "ns/op")
	reportSide(b, "direct", direct)
	reportSide(b, "entry", entry)
	b.ReportMetric(milliseconds(quantile(entry.first, 50)-quantile(direct.first, 50)), "ms-added-first-p50")
	b.ReportMetric(milliseconds(quantile(entry.first, 99)-quantile(direct.first, 99)), "ms-added-first-p99")
	b.ReportMetric(milliseconds(quantile(entry.gaps, 50)-quantile(direct.gaps, 50)), "ms-added-gap-p50")
	b.ReportMetric(milliseconds(quantile(entry.gaps, 99)-quantile(direct.gaps, 99)), "ms-added-gap-p99")
	b.ReportMetric(milliseconds(quantile(entry.perToken, 50)-quantile(direct.perToken, 50)), "ms-added-token-p50")
	b.ReportMetric(milliseconds(quantile(entry.perToken, 99)-quantile(direct.perToken, 99)), "ms-added-token-p99")
	b.ReportMetric(float64(len(entry.first)), "streams")
	b.ReportMetric(milliseconds(processor)/float64(len(entry.first)), "ms-cpu/stream")
	b.ReportMetric(atStart, "MB-at-0")
	for i, at := range []int{500, 1000, 1500, 2000} {
		b.ReportMetric(memory[i], fmt.Sprintf("MB-at-%d", at))
	}
}

func reportSide(b *testing.B, side string, t times) {
	b.ReportMetric(milliseconds(quantile(t.first, 50)), "ms-first-p50-"+side)
	b.ReportMetric(milliseconds(quantile(t.first, 99)), "ms-first-p99-"+side)
	b.ReportMetric(milliseconds(quantile(t.gaps, 99)), "ms-gap-p99-"+side)
}

// quantile sorts the values.
func quantile(values []time.Duration, percent int) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)*percent/100]
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// BenchmarkOverheadMemory follows the memory of the VM processes over more
// requests, until the ring buffers of events, which start empty, are full.
func BenchmarkOverheadMemory(b *testing.B) {
	const concurrent = 200
	s := startOverhead(b)
	client := newClient(concurrent)
	atStart := s.memory()
	for b.Loop() {
		for i := 1; i <= 8; i++ {
			s.round(client, s.entry, 2000, concurrent, nil)
			b.ReportMetric(s.memory(), fmt.Sprintf("MB-at-%05d", 2000*i))
		}
	}
	b.ReportMetric(atStart, "MB-at-00000") // b.Loop resets what is reported before
	b.ReportMetric(0, "ns/op")
}
