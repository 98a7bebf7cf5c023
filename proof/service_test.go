package proof

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/demo"
	"jackdawbarrow/fakes"
)

var (
	measure   = flag.Bool("measure", false, "run TestMeasureService")
	loadShare = flag.Float64("load", 0.7, "share of the engines' capacity that TestMeasureService uses")
)

// Timing of the engines in TestMeasureService.
const (
	measureFirstToken = 40 * time.Millisecond
	measurePerToken   = 10 * time.Millisecond
	measureTokens     = 24
	measurePhase      = 10 * time.Second
)

// openLoad sends requests at a rate, whether or not earlier ones have ended.
type openLoad struct {
	s      *system
	caller *demo.Caller
	rate   float64
	stop   chan struct{}
	wg     sync.WaitGroup

	mu     sync.Mutex
	events []exchange
}

func (s *system) openLoad(rate float64) *openLoad {
	l := &openLoad{s: s, caller: s.caller(), rate: rate, stop: make(chan struct{})}
	l.caller.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: time.Minute}
	l.wg.Go(l.run)
	return l
}

func (l *openLoad) run() {
	random := rand.New(rand.NewPCG(*seed, 3))
	next := time.Now()
	for i := 0; ; i++ {
		next = next.Add(time.Duration(random.ExpFloat64() / l.rate * float64(time.Second)))
		select {
		case <-l.stop:
			return
		case <-time.After(time.Until(next)):
		}
		workspace := l.s.opts.shape.Workspaces[random.IntN(len(l.s.opts.shape.Workspaces))]
		q := l.s.chat(workspace, l.s.opts.shape.Models[0].Name, fmt.Sprintf("question %d", i))
		l.wg.Go(func() {
			e := exchange{began: time.Now(), request: q}
			e.reply, e.err = l.caller.Do(context.Background(), q)
			e.ended = time.Now()
			l.mu.Lock()
			defer l.mu.Unlock()
			l.events = append(l.events, e)
		})
	}
}

// row is a line of the table.
type row struct {
	name     string
	from, to time.Time
}

// TestMeasureService measures the service while a data centre leaves and
// returns, after the kill of one VM and in an outage of the key-value service.
// It prints a table for docs/measurements-service.md and judges nothing but
// that requests were sent.
func TestMeasureService(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	shape := demo.Authority()
	s := start(t, options{shape: shape, firstToken: measureFirstToken, perToken: measurePerToken, tokens: measureTokens})
	places := float64(shape.Engines * 8)
	// An engine at this share of its batch takes perToken*(1+share/2) a token.
	took := measureFirstToken + time.Duration(float64(measurePerToken)*measureTokens*(1+*loadShare/2))
	rate := *loadShare * places / took.Seconds()
	l := s.openLoad(rate)
	time.Sleep(measurePhase) // the engines' limits grow
	var rows []row
	phase := func(name string, d time.Duration) {
		from := time.Now()
		time.Sleep(d)
		rows = append(rows, row{name, from, time.Now()})
	}
	phase("steady", measurePhase)
	out := shape.DataCentres[1]
	order := func(kind config.OpKind) {
		go func() {
			if _, err := s.change(s.vms[0], config.Op{Kind: kind, Name: string(out)}); err != nil {
				t.Error(err)
			}
		}()
	}
	order(config.OpDataCentreOut)
	phase("data centre out", measurePhase)
	order(config.OpDataCentreIn)
	phase("data centre back", measurePhase)
	phase("steady", measurePhase)
	s.fault(s.kv, fakes.KeyValueFault{Outage: fakes.OutageCut})
	phase("store outage", measurePhase)
	s.fault(s.kv, fakes.KeyValueFault{})
	phase("after the outage", measurePhase)
	s.vms[len(s.vms)-1].kill()
	phase("one VM killed", measurePhase)
	close(l.stop)
	l.wg.Wait()
	load, _ := os.ReadFile("/proc/loadavg")
	t.Logf("%.0f requests/s, load average of the machine %s\n%s", rate, strings.TrimSpace(string(load)), l.table(rows))
}

func (l *openLoad) table(rows []row) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 1, ' ', 0)
	fmt.Fprintln(w, "| phase\t| requests\t| answered\t| at once\t| first token p50 ms\t| p99 ms\t| not answered\t|")
	fmt.Fprintln(w, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, r := range rows {
		firstToken := hdrhistogram.New(1, (5 * time.Minute).Microseconds(), 3)
		sent, answered, once := 0, 0, 0
		failed := map[string]int{}
		for _, e := range l.events {
			if e.began.Before(r.from) || !e.began.Before(r.to) {
				continue
			}
			sent++
			switch {
			case e.err != nil:
				failed["connection"]++
			case e.reply.Code != jdaw.CodeOK:
				failed[e.reply.Code.String()]++
			default:
				answered++
				_ = firstToken.RecordValue(e.reply.FirstToken.Microseconds())
				if e.reply.Tries == 1 {
					once++
				}
			}
		}
		fmt.Fprintf(w, "| %s\t| %d\t| %d (%.2f %%)\t| %.2f %%\t| %.1f\t| %.1f\t| %v\t|\n", r.name, sent, answered, percent(answered, sent),
			percent(once, sent), ms(firstToken.ValueAtQuantile(50)), ms(firstToken.ValueAtQuantile(99)), failed)
	}
	_ = w.Flush()
	return b.String()
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(max(1, of)) }

func ms(micros int64) float64 { return float64(micros) / 1000 }
