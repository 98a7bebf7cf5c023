package poison

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawbarrow"
)

const (
	// answerMemory is the time for which an answer clears the parts of a request.
	// It bridges the gaps between requests with rare parts while crashes of other
	// requests cut them off.
	answerMemory = 10 * time.Second
	// crashMemory bounds the time in which the crashes of one part must happen.
	crashMemory = 10 * time.Minute
	// maxCrashes and maxAnswered bound the evidence that is kept; callers choose
	// the IDs of parts.
	maxCrashes  = 512
	maxAnswered = 1 << 15
	// toldFor is the time for which a crash is told in each message: messages may be
	// lost, and the VM that decides may be replaced.
	toldFor = 5 * time.Second
	// maxSentCrashes and maxSentAnswers bound the evidence in a message.
	maxSentCrashes = 64
	maxSentAnswers = 1024
	// maxQuarantined bounds the quarantines that evidence may cause at once: more
	// of them mean that the upstreams have another fault.
	maxQuarantined = 16
	// reportTime is the time for which the quarantines that another VM reported
	// hold without another report.
	reportTime = 1500 * time.Millisecond
	// storeRetryTime is the time until a quarantine that isn't in the store is
	// written again.
	storeRetryTime = 2 * time.Second
	// expiryInterval is the time between two searches for expired answers.
	expiryInterval = time.Second
)

// Config configures a Detector.
type Config struct {
	Log logrus.FieldLogger
}

// Detector holds the evidence against prompt parts and the quarantines in force.
// It is safe for concurrent use.
type Detector struct {
	cfg     Config
	changed chan struct{} // new evidence to be passed on

	mu       sync.Mutex
	crashes  []evidence
	answered map[jdaw.PromptPartKey]answer
	// companions are parts that were in every request with a quarantined part, and
	// explained the processes that quarantined parts crashed.
	companions map[jdaw.PromptPartKey]time.Time
	doubted    []doubt
	explained  map[uint64]time.Time
	decided    map[jdaw.PromptPartKey]decision
	stored     map[jdaw.PromptPartKey]jdaw.Quarantine
	reported   map[jdaw.PromptPartKey]time.Time // last report of another VM
	expiredAt  time.Time                        // last search for expired answers
	crashedAt  time.Time                        // last crash that became known
	weighedAt  time.Time                        // last time that the evidence was weighed
}

// evidence is a crash and whether a VM of this data centre saw it.
type evidence struct {
	jdaw.Crash
	isLocal bool
}

// answer is the last answer to a part and the last one that a VM of this data
// centre saw, of which this VM heard at heardAt.
type answer struct {
	at, localAt, heardAt time.Time
}

// decision is a quarantine that this VM decided.
type decision struct {
	jdaw.Quarantine
	writtenAt time.Time
	// isProvisional is set for one that the store doesn't get.
	isProvisional bool
}

// New returns a detector without evidence.
func New(cfg Config) *Detector {
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	return &Detector{
		cfg: cfg, changed: make(chan struct{}, 1), answered: map[jdaw.PromptPartKey]answer{},
		companions: map[jdaw.PromptPartKey]time.Time{}, explained: map[uint64]time.Time{},
		decided: map[jdaw.PromptPartKey]decision{}, reported: map[jdaw.PromptPartKey]time.Time{},
	}
}

// Changed signals evidence that other VMs should get at once.
func (d *Detector) Changed() <-chan struct{} { return d.changed }

// Crashed records a request that was at an upstream when its process ended.
func (d *Detector) Crashed(at time.Time, c jdaw.Crash) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addCrash(at, evidence{Crash: c, isLocal: true})
}

// Answered records that an upstream of the service answers, and that it has
// answered parts to the end.
func (d *Detector) Answered(at time.Time, service string, parts []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addAnswer(at, at, jdaw.PromptPartKeyOf(service, ""), true)
	for _, id := range parts {
		d.addAnswer(at, at, jdaw.PromptPartKeyOf(service, id), true)
	}
}

// Find returns the quarantine of the first of the parts that has one.
func (d *Detector) Find(at time.Time, service string, parts []string) (jdaw.Quarantine, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.decided)+len(d.stored)+len(d.reported) == 0 {
		return jdaw.Quarantine{}, false
	}
	for _, id := range parts {
		part := jdaw.NewSuspectPart(service, id)
		if q, ok := d.quarantineOf(at, part.Key); ok {
			q.Part, q.Service = part, service
			return q, true
		}
	}
	return jdaw.Quarantine{}, false
}

func (d *Detector) quarantineOf(at time.Time, key jdaw.PromptPartKey) (jdaw.Quarantine, bool) {
	if q, ok := d.decided[key]; ok && at.Before(q.Until) {
		return q.Quarantine, true
	}
	if q, ok := d.stored[key]; ok {
		return q, true
	}
	// One that lasts longer will be in the store by then.
	return jdaw.Quarantine{Until: at.Add(provisionalTime)}, d.isReported(at, key)
}

func (d *Detector) isReported(at time.Time, key jdaw.PromptPartKey) bool {
	reportedAt, ok := d.reported[key]
	return ok && at.Sub(reportedAt) < reportTime
}

// Evidence returns what VMs of this data centre saw: recent crashes, and the
// answers of which this VM heard within a time.
func (d *Detector) Evidence(at time.Time, within time.Duration) jdaw.CrashEvidence {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(at)
	e := jdaw.CrashEvidence{Answered: map[jdaw.PromptPartKey]time.Time{}}
	for i := len(d.crashes) - 1; i >= 0 && len(e.Crashes) < maxSentCrashes; i-- {
		if c := d.crashes[i]; c.isLocal && at.Sub(c.Ended) < toldFor {
			e.Crashes = append(e.Crashes, d.crashes[i].Crash)
		}
	}
	for key, a := range d.answered {
		if at.Sub(a.heardAt) < within && len(e.Answered) < maxSentAnswers {
			e.Answered[key] = a.localAt
		}
	}
	return e
}

// Merge adds the evidence of other VMs. isLocal is set for those of this data
// centre.
func (d *Detector) Merge(at time.Time, e jdaw.CrashEvidence, isLocal bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, answeredAt := range e.Answered {
		d.addAnswer(at, answeredAt, key, isLocal)
	}
	for _, c := range e.Crashes {
		d.addCrash(at, evidence{Crash: c, isLocal: isLocal})
	}
}

// Report takes the quarantines that another VM reports. They hold as long as it
// repeats them.
func (d *Detector) Report(at time.Time, keys []jdaw.PromptPartKey) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, key := range keys {
		d.reported[key] = at
	}
	d.explainQuarantined(at)
}

// Stored replaces the quarantines in the store. One that was removed there ends
// here too, unless it has lapsed: then it stays in force and is written again.
func (d *Detector) Stored(at time.Time, quarantines, lapsed map[jdaw.PromptPartKey]jdaw.Quarantine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, q := range d.stored {
		if _, ok := quarantines[key]; ok {
			continue
		}
		if _, ok := lapsed[key]; ok {
			d.decided[key] = decision{Quarantine: q}
			continue
		}
		delete(d.decided, key)
		d.cfg.Log.WithFields(logrus.Fields{"service": q.Service, "part": q.Part.ID}).Info("quarantine of a prompt part ended")
	}
	d.stored = maps.Clone(quarantines)
	d.explainQuarantined(at)
}

// AllKeys returns the quarantines in force, for VMs that pass them on to nobody.
func (d *Detector) AllKeys(at time.Time) []jdaw.PromptPartKey {
	keys := d.Keys(at)
	d.mu.Lock()
	defer d.mu.Unlock()
	for key := range d.reported {
		if d.isReported(at, key) && !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	return keys
}

// Keys returns the quarantines that this VM decided or read from the store. VMs
// tell each other of these alone, so that none outlasts its end by echoes.
func (d *Detector) Keys(at time.Time) []jdaw.PromptPartKey {
	d.mu.Lock()
	defer d.mu.Unlock()
	var keys []jdaw.PromptPartKey
	for key := range d.stored {
		keys = append(keys, key)
	}
	for key, q := range d.decided {
		if _, ok := d.stored[key]; !ok && at.Before(q.Until) {
			keys = append(keys, key)
		}
	}
	return keys
}

// Unstored returns the decided quarantines that must be written to the store
// now.
func (d *Detector) Unstored(at time.Time) []jdaw.Quarantine {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []jdaw.Quarantine
	for key, q := range d.decided {
		if _, ok := d.stored[key]; ok || q.isProvisional || at.Sub(q.writtenAt) < storeRetryTime || !at.Before(q.Until) {
			continue
		}
		q.writtenAt = at
		d.decided[key] = q
		list = append(list, q.Quarantine)
	}
	return list
}

// The methods below are called with mu held.

func (d *Detector) addAnswer(at, answeredAt time.Time, key jdaw.PromptPartKey, isLocal bool) {
	a, isKnown := d.answered[key]
	if answeredAt.After(a.at) {
		a.at = answeredAt
	}
	if isLocal && answeredAt.Sub(a.localAt) > clockSlack {
		a.localAt, a.heardAt = answeredAt, at
	}
	if isKnown || len(d.answered) < maxAnswered {
		d.answered[key] = a
	}
	delete(d.companions, key)
	d.clear(key, a.at)
}

// clear removes a part from the crashes that an answer clears it of.
func (d *Detector) clear(key jdaw.PromptPartKey, answeredAt time.Time) {
	for i, c := range d.crashes {
		if isCleared(answeredAt, c.Ended) {
			d.crashes[i].Crash = c.WithParts(without(c.Parts, key))
		}
	}
}

// isCleared reports whether an answer clears a part of a crash.
func isCleared(answeredAt, crashedAt time.Time) bool {
	return !answeredAt.IsZero() && crashedAt.Sub(answeredAt) < answerMemory
}

func without(parts []jdaw.SuspectPart, key jdaw.PromptPartKey) []jdaw.SuspectPart {
	for i := range parts {
		if parts[i].Key == key {
			return append(append([]jdaw.SuspectPart(nil), parts[:i]...), parts[i+1:]...)
		}
	}
	return parts
}

// addCrash adds a crash unless it is known or explained.
func (d *Detector) addCrash(at time.Time, c evidence) {
	d.expire(at)
	if _, ok := d.explained[c.Process]; ok || at.Sub(c.Ended) > crashMemory {
		return
	}
	var suspects []jdaw.SuspectPart
	for _, p := range c.Parts {
		if _, ok := d.quarantineOf(at, p.Key); ok {
			d.explain(at, c.Process)
			return
		}
		if !isCleared(d.answered[p.Key].at, c.Ended) {
			suspects = append(suspects, p)
		}
	}
	for i, known := range d.crashes {
		if known.Process == c.Process && known.Request == c.Request {
			// The time in transit adds to what other VMs tell, so the earliest is best.
			if c.Ended.Before(known.Ended) {
				d.crashes[i].Sent, d.crashes[i].Ended = c.Sent, c.Ended
			}
			return
		}
	}
	if len(suspects) == 0 {
		return
	}
	c.Crash = c.WithParts(suspects)
	d.crashes = append(d.crashes, c)
	d.crashes = d.crashes[max(0, len(d.crashes)-maxCrashes):]
	d.crashedAt = at
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// explain drops the evidence of a process that a quarantined part crashed.
func (d *Detector) explain(at time.Time, process uint64) {
	d.explained[process] = at
	kept := d.crashes[:0]
	for _, c := range d.crashes {
		if c.Process != process {
			kept = append(kept, c)
		}
	}
	d.crashes = kept
}

// explainQuarantined drops the evidence that the quarantines in force explain.
func (d *Detector) explainQuarantined(at time.Time) {
	explained := map[uint64]bool{}
	for _, c := range d.crashes {
		for _, p := range c.Parts {
			if _, ok := d.quarantineOf(at, p.Key); ok {
				explained[c.Process] = true
			}
		}
	}
	for process := range explained {
		d.explain(at, process)
	}
}

// expire drops what is too old.
func (d *Detector) expire(at time.Time) {
	kept := d.crashes[:0]
	for _, c := range d.crashes {
		if len(c.Parts) > 0 && at.Sub(c.Ended) <= crashMemory {
			kept = append(kept, c)
		}
	}
	d.crashes = kept
	for process, since := range d.explained {
		if at.Sub(since) > crashMemory {
			delete(d.explained, process)
		}
	}
	for key, since := range d.companions {
		if at.Sub(since) > crashMemory {
			delete(d.companions, key)
		}
	}
	for key, q := range d.decided {
		if !at.Before(q.Until) {
			delete(d.decided, key)
		}
	}
	if at.Sub(d.expiredAt) < expiryInterval {
		return
	}
	d.expiredAt = at
	for key := range d.reported {
		if !d.isReported(at, key) {
			delete(d.reported, key)
		}
	}
	for key, a := range d.answered {
		if at.Sub(a.at) > answerMemory {
			delete(d.answered, key)
		}
	}
}
