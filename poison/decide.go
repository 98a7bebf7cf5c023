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
	// provisionalTime is the duration of a quarantine of the part that the prompt of
	// a quarantined one shares with others. It says that the crashes had either cause.
	provisionalTime = time.Minute
	// companionPatience is the time in which an answer to such a part shows that
	// the prompt alone was the cause.
	companionPatience = time.Second
	// activeTime is the time after a crash in which each call of Decide weighs the
	// evidence; later calls do so once in weighInterval, for the answers that came.
	activeTime    = 2 * time.Second
	weighInterval = time.Second
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
	isLast    bool      // in all of its prompts: only repeats of one prompt have it
}

// Decide quarantines the parts against which there is enough evidence.
func (d *Detector) Decide(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(at)
	if at.Sub(d.crashedAt) < activeTime || at.Sub(d.weighedAt) >= weighInterval {
		d.weighedAt = at
		for len(d.decided) < maxQuarantined {
			s, ok := d.strongest(at)
			if !ok {
				break
			}
			d.quarantine(at, s)
		}
	}
	d.quarantineCompanions(at)
}

// strongest returns the suspect that explains most crashes.
func (d *Detector) strongest(at time.Time) (suspect, bool) {
	var all, found []suspect
	for _, s := range suspectsOf(d.crashes) {
		s.weigh()
		all = append(all, s)
	}
	rivals := map[jdaw.PromptPartKey]bool{}
	for _, s := range all {
		if !d.isGuilty(at, s) {
			continue
		}
		rivals[s.part.Key] = hasRival(s, all)
		if len(s.processes) >= sureProcesses || !rivals[s.part.Key] {
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
		if hasA, hasB := rivals[a.part.Key], rivals[b.part.Key]; hasA != hasB {
			return hasB
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
			s.isLast = depth == len(c.Parts)-1 && (s.isLast || len(s.crashes) == 0)
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

// hasRival reports whether a part of other requests explains the same crashes. If
// prompts that have nothing else in common do so, each by itself, what they share is
// the simpler explanation, and they are no rivals.
func hasRival(s suspect, all []suspect) bool {
	var nested []suspect
	for _, r := range all {
		switch {
		case !containsAll(r.processes, s.processes) || containsAll(r.requests, s.requests):
		case containsAll(s.requests, r.requests):
			nested = append(nested, r)
		default:
			return true
		}
	}
	for _, a := range nested {
		for _, b := range nested {
			if isDisjoint(a.requests, b.requests) {
				return false
			}
		}
	}
	return len(nested) > 0
}

func isDisjoint(a, b map[uint64]bool) bool {
	for x := range a {
		if b[x] {
			return false
		}
	}
	return true
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
	companions := companionsOf(s)
	for _, p := range companions {
		d.companions[p.Key] = at
	}
	delete(d.companions, key)
	if s.isLast && len(companions) > 0 {
		d.doubted = append(d.doubted, doubt{part: companions[len(companions)-1], service: s.service, crashes: len(s.processes), since: at})
	}
	for _, c := range s.crashes {
		d.explain(at, c.Process)
	}
	d.cfg.Log.WithFields(logrus.Fields{
		"service": s.service, "part": s.part.ID, "crashes": len(s.processes), "requests": len(s.requests), "chain": s.chain,
		"sinceFirstMs": at.Sub(s.first).Milliseconds(),
	}).Warn("prompt part quarantined: it crashes upstreams")
}

// companionsOf returns the other parts that are in every crash of a suspect, in the
// order of the prompt.
func companionsOf(s suspect) []jdaw.SuspectPart {
	counts := map[jdaw.PromptPartKey]int{}
	for _, c := range s.crashes {
		for _, p := range c.Parts {
			counts[p.Key]++
		}
	}
	var parts []jdaw.SuspectPart
	for _, p := range s.crashes[0].Parts {
		if counts[p.Key] == len(s.crashes) && p.Key != s.part.Key {
			parts = append(parts, p)
		}
	}
	return parts
}

// doubt is a shared part that explains the same crashes as a quarantined prompt.
type doubt struct {
	part    jdaw.SuspectPart
	service string
	crashes int
	since   time.Time
}

// quarantineCompanions quarantines, for a short time, the parts in doubt that nobody
// has answered meanwhile: the next request with one may crash an upstream.
func (d *Detector) quarantineCompanions(at time.Time) {
	kept := d.doubted[:0]
	for _, q := range d.doubted {
		if at.Sub(q.since) < companionPatience {
			kept = append(kept, q)
			continue
		}
		_, isCompanion := d.companions[q.part.Key]
		_, isQuarantined := d.quarantineOf(at, q.part.Key)
		if !isCompanion || isQuarantined || len(d.decided) >= maxQuarantined {
			continue
		}
		d.decided[q.part.Key] = decision{isProvisional: true, Quarantine: jdaw.Quarantine{
			Part: q.part, Service: q.service, Crashes: q.crashes, Until: at.Add(provisionalTime),
		}}
		d.cfg.Log.WithFields(logrus.Fields{
			"service": q.service, "part": q.part.ID, "crashes": q.crashes, "forMs": provisionalTime.Milliseconds(),
		}).Warn("prompt part quarantined for a short time: it may crash upstreams")
	}
	d.doubted = kept
}
