package loads

import (
	"time"

	"jackdawbarrow"
	"jackdawbarrow/wire"
)

const (
	// maxCrashes and maxParts bound what is read of a message.
	maxCrashes = 256
	maxParts   = 64
	// maxEvidenceAge bounds the ages in a message.
	maxEvidenceAge = time.Hour
)

// encodeEvidence encodes times as ages: the clocks of VMs differ.
func encodeEvidence(at time.Time, e jdaw.CrashEvidence) *wire.CrashEvidence {
	w := &wire.CrashEvidence{}
	for _, c := range e.Crashes {
		m := &wire.Crash{
			Process: c.Process, Request: c.Request, Service: c.Service,
			SentAgeMs: ageOf(at, c.Sent), EndedAgeMs: ageOf(at, c.Ended),
		}
		for _, p := range c.Parts[:min(len(c.Parts), maxParts)] {
			m.Parts = append(m.Parts, uint64(p.Key))
			m.PartIds = append(m.PartIds, p.ID)
		}
		w.Crashes = append(w.Crashes, m)
	}
	for key, answeredAt := range e.Answered {
		w.Answered = append(w.Answered, uint64(key))
		w.AnsweredAgeMs = append(w.AnsweredAgeMs, ageOf(at, answeredAt))
	}
	return w
}

func ageOf(at, t time.Time) uint32 {
	return uint32(min(max(at.Sub(t), 0), maxEvidenceAge).Milliseconds())
}

// decodeEvidence reads evidence. Crashes and answers that are incomplete are left
// out.
func decodeEvidence(at time.Time, w *wire.CrashEvidence) jdaw.CrashEvidence {
	before := func(ms uint32) time.Time {
		return at.Add(-min(time.Duration(ms)*time.Millisecond, maxEvidenceAge))
	}
	e := jdaw.CrashEvidence{Answered: map[jdaw.PromptPartKey]time.Time{}}
	for _, m := range w.GetCrashes()[:min(len(w.GetCrashes()), maxCrashes)] {
		n := len(m.GetParts())
		if n == 0 || n > maxParts || n != len(m.GetPartIds()) {
			continue
		}
		c := jdaw.Crash{
			Process: m.GetProcess(), Request: m.GetRequest(), Service: m.GetService(),
			Sent: before(m.GetSentAgeMs()), Ended: before(m.GetEndedAgeMs()),
		}
		for i, key := range m.GetParts() {
			c.Parts = append(c.Parts, jdaw.SuspectPart{Key: jdaw.PromptPartKey(key), ID: m.GetPartIds()[i]})
		}
		e.Crashes = append(e.Crashes, c)
	}
	if len(w.GetAnswered()) == len(w.GetAnsweredAgeMs()) {
		for i, key := range w.GetAnswered() {
			e.Answered[jdaw.PromptPartKey(key)] = before(w.GetAnsweredAgeMs()[i])
		}
	}
	return e
}

func encodeKeys(keys []jdaw.PromptPartKey) []uint64 {
	list := make([]uint64, 0, len(keys))
	for _, key := range keys {
		list = append(list, uint64(key))
	}
	return list
}

func decodeKeys(list []uint64) []jdaw.PromptPartKey {
	keys := make([]jdaw.PromptPartKey, 0, len(list))
	for _, key := range list {
		keys = append(keys, jdaw.PromptPartKey(key))
	}
	return keys
}
