package entry_test

import (
	"bufio"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"jackdawbarrow/fakes"
)

// BenchmarkStreams compares streams through the entry with streams directly
// from the engine: time to first token and mean time per token, p50 and p99.
// Each iteration is one round of concurrent streams.
func BenchmarkStreams(b *testing.B) {
	for name, n := range map[string]int{"50": 50, "200": 200} {
		for _, direct := range []bool{true, false} {
			way := "entry"
			if direct {
				way = "direct"
			}
			b.Run(way+"/"+name, func(b *testing.B) { benchmarkStreams(b, n, direct) })
		}
	}
}

// streamsPerCaller is the number of streams that a caller reads in sequence.
const streamsPerCaller = 5

func benchmarkStreams(b *testing.B, streams int, direct bool) {
	h := newHarness(b, nil)
	h.doc.Upstreams = h.doc.Upstreams[:0]
	slow := fakes.NewEngine(fakes.EngineConfig{Versions: []string{"small@v1"}, PerToken: 10 * time.Millisecond, FirstToken: 10 * time.Millisecond, Capacity: 1000})
	h.addEngineFake("slow", "oban", slow)
	h.adopt()
	url := h.url
	if direct {
		url = h.doc.Upstreams[0].Address
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	var mu sync.Mutex
	var first, perToken []time.Duration
	round := func() {
		var wg sync.WaitGroup
		for i := range streams {
			wg.Go(func() {
				// Starts are spread over the duration of a stream: a burst
				// would measure CPU contention.
				time.Sleep(time.Duration(i) * 250 * time.Millisecond / time.Duration(streams))
				for range streamsPerCaller {
					f, p := timeStream(b, client, url)
					mu.Lock()
					first, perToken = append(first, f), append(perToken, p)
					mu.Unlock()
				}
			})
		}
		wg.Wait()
	}
	round() // opens the connections
	first, perToken = nil, nil
	for b.Loop() {
		round()
	}
	slices.Sort(first)
	slices.Sort(perToken)
	b.ReportMetric(float64(first[len(first)/2].Microseconds())/1000, "ms-first-p50")
	b.ReportMetric(float64(first[len(first)*99/100].Microseconds())/1000, "ms-first-p99")
	b.ReportMetric(float64(perToken[len(perToken)/2].Microseconds())/1000, "ms-token-p50")
	b.ReportMetric(float64(perToken[len(perToken)*99/100].Microseconds())/1000, "ms-token-p99")
	b.ReportMetric(float64(len(first)), "streams")
}

// timeStream returns the time to first token and the mean inter-token latency.
func timeStream(b *testing.B, client *http.Client, url string) (first, perToken time.Duration) {
	r, _ := http.NewRequest("POST", url+"/v1/chat/completions", strings.NewReader(chatBody("small@v1", "x", true)))
	r.Header.Set("Authorization", "Bearer "+secret)
	began := time.Now()
	resp, err := client.Do(r)
	if err != nil {
		b.Error(err)
		return 0, 0
	}
	defer resp.Body.Close()
	events := 0
	sc := bufio.NewScanner(resp.Body)
	var last time.Duration
	for sc.Scan() {
		if !strings.HasPrefix(sc.Text(), "data: {") || !strings.Contains(sc.Text(), `"content"`) {
			continue
		}
		last = time.Since(began)
		if events == 0 {
			first = last
		}
		events++
	}
	if events != 24 {
		b.Errorf("%d tokens, want 24", events)
		return first, 0
	}
	return first, (last - first) / time.Duration(events-1)
}
