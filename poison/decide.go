package poison

import (
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawbarrow"
)

const (
	// minChain is the number of processes that attempts with a part, one sent after
	// the other had ended, must have crashed. Crashes with a common cause don't
	// form such a chain: their requests were sent before.
	minChain = 3
	// minRequests is the number of requests behind them: the retries of one sound
	// request may meet several crashes.
	minRequests = 2
	// busyChain suffices for a part that crashed busyProcesses: many requests with
	// it wait at several upstreams at once.
	busyChain     = 2
	busyProcesses = 5
	// sureProcesses are enough even if a part of other requests explains the same
	// crashes; before, the next crash tells the two apart.
	sureProcesses = 5
	// companionChain suffices for a part that was in every request with a part that
	// is quarantined: crashes that go on without that part point to this one.
	companionChain = 2
	// settleTime is the time in which answers to a part, and other requests at the
	// same process, become known from other VMs.
	settleTime = 500 * time.Millisecond
	// clockSlack is the error of times that were told by other VMs as ages.
	clockSlack = 20 * time.Millisecond
)

// suspect is a part with the crashes that it may have caused.
type suspect struct {
	part      jdaw.SuspectPart
	service   string
	depth     int // position in the prompt
	crashes   []jdaw.Crash
	processes map[uint64]bool
	requests  map[uint64]bool
	chain     int
	first     time.Time // end of the first process
}

// Decide quarantines the parts against which there is enough evidence.
func (d *Detector) Decide(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(at)
	for len(d.decided) < maxQuarantined {
		s, ok := d.strongest(at)
		if !ok {
			return
		}
		d.quarantine(at, s)
	}
}

// strongest returns the suspect that explains most crashes.
func (d *Detector) strongest(at time.Time) (suspect, bool) {
	var all, found []suspect
	for _, s := range suspectsOf(d.crashes) {
		s.weigh()
		all = append(all, s)
	}
	for _, s := range all {
		if d.isGuilty(at, s) && (len(s.processes) >= sureProcesses || !hasRival(s, all)) {
			found = append(found, s)
		}
	}
	if len(found) == 0 {
		return suspect{}, false
	}
	sort.Slice(found, func(i, j int) bool {
		a, b := found[i], found[j]
		if len(a.processes) != len(b.processes) {
			return len(a.processes) > len(b.processes)
		}
		_, isA := d.companions[a.part.Key]
		_, isB := d.companions[b.part.Key]
		if isA != isB {
			return isA
		}
		// Of parts that always come together, the deepest one has the fewest
		// other requests.
		if a.depth != b.depth {
			return a.depth > b.depth
		}
		return a.part.Key < b.part.Key
	})
	return found[0], true
}

func suspectsOf(crashes []evidence) map[jdaw.PromptPartKey]suspect {
	suspects := map[jdaw.PromptPartKey]suspect{}
	for _, c := range crashes {
		for depth, p := range c.Parts {
			s := suspects[p.Key]
			s.part, s.service, s.depth = p, c.Service, depth
			s.crashes = append(s.crashes, c.Crash)
			suspects[p.Key] = s
		}
	}
	return suspects
}

// weigh counts processes and requests, and finds the longest chain.
func (s *suspect) weigh() {
	s.processes, s.requests = map[uint64]bool{}, map[uint64]bool{}
	sort.Slice(s.crashes, func(i, j int) bool { return s.crashes[i].Ended.Before(s.crashes[j].Ended) })
	s.first = s.crashes[0].Ended
	last := time.Time{}
	for _, c := range s.crashes {
		s.requests[c.Request] = true
		if !s.processes[c.Process] && c.Sent.Add(clockSlack).After(last) {
			s.chain++
			last = c.Ended
		}
		s.processes[c.Process] = true
	}
}

// hasRival reports whether a part of other requests explains the same crashes.
func hasRival(s suspect, all []suspect) bool {
	for _, r := range all {
		if containsAll(r.processes, s.processes) && !containsAll(r.requests, s.requests) {
			return true
		}
	}
	return false
}

func containsAll(set, subset map[uint64]bool) bool {
	for x := range subset {
		if !set[x] {
			return false
		}
	}
	return true
}

// isGuilty reports whether the evidence against a suspect suffices.
func (d *Detector) isGuilty(at time.Time, s suspect) bool {
	// A service that answers nobody has another fault.
	isServing := d.answered[jdaw.PromptPartKeyOf(s.service, "")].at.After(s.first)
	if !isServing || at.Sub(s.first) < settleTime {
		return false
	}
	if _, ok := d.companions[s.part.Key]; ok && s.chain >= companionChain {
		return true
	}
	return len(s.requests) >= minRequests &&
		(s.chain >= minChain || s.chain >= busyChain && len(s.processes) >= busyProcesses)
}

// quarantine puts a part in quarantine and drops the evidence that it explains.
func (d *Detector) quarantine(at time.Time, s suspect) {
	key := s.part.Key
	d.decided[key] = decision{Quarantine: jdaw.Quarantine{
		Part: s.part, Service: s.service, Crashes: len(s.processes), Until: at.Add(jdaw.QuarantineTime),
	}}
	for _, p := range companionsOf(s) {
		d.companions[p] = at
	}
	delete(d.companions, key)
	for _, c := range s.crashes {
		d.explain(at, c.Process)
	}
	d.cfg.Log.WithFields(logrus.Fields{
		"service": s.service, "part": s.part.ID, "crashes": len(s.processes), "requests": len(s.requests), "chain": s.chain,
		"sinceFirstMs": at.Sub(s.first).Milliseconds(),
	}).Warn("prompt part quarantined: it crashes upstreams")
}

// companionsOf returns the other parts that are in every crash of a suspect.
func companionsOf(s suspect) []jdaw.PromptPartKey {
	counts := map[jdaw.PromptPartKey]int{}
	for _, c := range s.crashes {
		for _, p := range c.Parts {
			counts[p.Key]++
		}
	}
	var keys []jdaw.PromptPartKey
	for key, n := range counts {
		if n == len(s.crashes) && key != s.part.Key {
			keys = append(keys, key)
		}
	}
	return keys
}
