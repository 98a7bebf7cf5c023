package demo

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jackdawbarrow"
)

// maxLatency is above the longest wait of an outlet.
const maxLatency = 5 * time.Minute

// Report collects what callers saw. It is safe for concurrent use.
type Report struct {
	mu         sync.Mutex
	requests   int
	answers    map[string]int
	refusals   map[string]int
	failures   int
	ids        map[string]bool
	retried    int
	firstToken *hdrhistogram.Histogram
	duration   *hdrhistogram.Histogram
}

// NewReport makes an empty report.
func NewReport() *Report {
	return &Report{
		answers: map[string]int{}, refusals: map[string]int{}, ids: map[string]bool{},
		firstToken: hdrhistogram.New(1, maxLatency.Microseconds(), 3),
		duration:   hdrhistogram.New(1, maxLatency.Microseconds(), 3),
	}
}

// Add records the end of one job.
func (r *Report) Add(job Job, reply Reply, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	if reply.Tries > 1 {
		r.retried++
	}
	if reply.RequestID != "" {
		r.ids[reply.RequestID] = true
	}
	switch {
	case err != nil:
		r.failures++
	case reply.Code != jdaw.CodeOK:
		r.refusals[reply.Code.String()]++
	default:
		r.answers[job.Kind]++
		_ = r.duration.RecordValue(reply.Duration.Microseconds()) // bounded by maxLatency
		if reply.FirstToken > 0 {
			_ = r.firstToken.RecordValue(reply.FirstToken.Microseconds())
		}
	}
}

// Requests returns the number of requests so far.
func (r *Report) Requests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests
}

// Answered returns the number of answers.
func (r *Report) Answered() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answered()
}

func (r *Report) answered() int {
	total := 0
	for _, n := range r.answers {
		total += n
	}
	return total
}

// Billing compares the callers' request ids with the ledger.
type Billing struct {
	Bills       int
	Cost        float64
	Escalated   int
	Unbilled    []string // ids that callers saw and the ledger lacks
	Twice       []string // ids with more than one bill
	Unsettled   []string // ids without a settlement
	BillsOfNone int      // bills of requests whose id no caller saw
}

// IsExact reports whether each request that a caller saw has one settled bill.
func (b Billing) IsExact() bool {
	return len(b.Unbilled)+len(b.Twice)+len(b.Unsettled) == 0
}

// Compare checks the ledger's bills against the request ids that callers saw.
func (r *Report) Compare(bills []jdaw.Bill) Billing {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Billing{Bills: len(bills)}
	count := map[string]int{}
	for _, b := range bills {
		id := string(b.RequestID)
		count[id]++
		out.Cost += b.Cost
		if b.Steps > 1 {
			out.Escalated++
		}
		if !r.ids[id] {
			out.BillsOfNone++
			continue
		}
		if count[id] == 2 {
			out.Twice = append(out.Twice, id)
		}
		if b.State != jdaw.BillSettled {
			out.Unsettled = append(out.Unsettled, id)
		}
	}
	for id := range r.ids {
		if count[id] == 0 {
			out.Unbilled = append(out.Unbilled, id)
		}
	}
	sort.Strings(out.Unbilled)
	return out
}

// Write prints the table.
func (r *Report) Write(out io.Writer, b Billing) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "requests\t%d\n", r.requests)
	fmt.Fprintf(w, "answers\t%d\n", r.answered())
	for _, kind := range sortedKeys(r.answers) {
		fmt.Fprintf(w, "  %s\t%d\n", kind, r.answers[kind])
	}
	for _, name := range sortedKeys(r.refusals) {
		fmt.Fprintf(w, "refused: %s\t%d\n", name, r.refusals[name])
	}
	fmt.Fprintf(w, "connections lost\t%d\n", r.failures)
	fmt.Fprintf(w, "repeated by the caller\t%d\n", r.retried)
	fmt.Fprintf(w, "escalated to a costlier model\t%d\n", b.Escalated)
	fmt.Fprintf(w, "first token p50, p99\t%s, %s\n", quantile(r.firstToken, 50), quantile(r.firstToken, 99))
	fmt.Fprintf(w, "whole answer p50, p99\t%s, %s\n", quantile(r.duration, 50), quantile(r.duration, 99))
	fmt.Fprintf(w, "cost\t%.4f\n", b.Cost)
	fmt.Fprintf(w, "requests with an id\t%d\n", len(r.ids))
	fmt.Fprintf(w, "bills\t%d (%d of requests whose answer was lost)\n", b.Bills, b.BillsOfNone)
	fmt.Fprintf(w, "not billed, billed twice, not settled\t%d, %d, %d\n", len(b.Unbilled), len(b.Twice), len(b.Unsettled))
	return w.Flush()
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond)
}

func sortedKeys(m map[string]int) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
