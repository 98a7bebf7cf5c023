package relay

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"jackdawbarrow"
)

// Poison tracks prompt parts that crash upstreams.
type Poison interface {
	// Crashed records a request that was at an upstream when its process ended.
	Crashed(at time.Time, c jdaw.Crash)
	// Answered records that an upstream of the service answers, and that it has
	// answered parts to the end.
	Answered(at time.Time, service string, parts []string)
	// Find returns the quarantine of the first of the parts that has one.
	Find(at time.Time, service string, parts []string) (jdaw.Quarantine, bool)
}

// checkQuarantine rejects a request with a quarantined part.
func (c *call) checkQuarantine(at time.Time) error {
	parts := partIDs(c.info.Prompt)
	if c.x.cfg.Poison == nil || len(parts) == 0 {
		return nil
	}
	q, ok := c.x.cfg.Poison.Find(at, c.service, parts)
	if !ok {
		return nil
	}
	c.quarantineEnd = q.Until
	return c.notRunError(jdaw.CodeQuarantined, "part %q of the prompt crashes upstreams", q.Part.ID)
}

// reportBegun reports that the service answers.
func (c *call) reportBegun(at time.Time) {
	if c.x.cfg.Poison != nil {
		c.x.cfg.Poison.Answered(at, c.service, nil)
	}
}

// reportAnswer clears the parts of the prompt: an upstream has answered them. A
// begun answer doesn't clear them, since the upstream may crash at any of its
// events.
func (c *call) reportAnswer(at time.Time) {
	if c.x.cfg.Poison != nil {
		c.x.cfg.Poison.Answered(at, c.service, partIDs(c.info.Prompt))
	}
}

// reportCrash reports a failed attempt if the upstream's process crashed before
// the end of its answer.
func (c *call) reportCrash(a *attempt, v attemptResult) {
	parts := partIDs(c.info.Prompt)
	isCut := v.outcome == outcomeFailed && v.err != nil && !a.isAbandoned.Load() && c.ctx.Err() == nil
	if c.x.cfg.Poison == nil || len(parts) == 0 || !isCut || c.isLeaving(a) {
		return
	}
	ended := time.Now()
	if !c.x.cfg.Pool.Refuses(c.ctx, a.reservation.Address) {
		return
	}
	crash := jdaw.Crash{
		Process: xxhash.Sum64String(string(a.reservation.ID) + "/" + strconv.FormatInt(a.reservation.Born, 10)),
		Request: xxhash.Sum64String(c.info.ID), Service: c.service, Sent: a.sentAt, Ended: ended,
	}
	for _, id := range parts {
		crash.Parts = append(crash.Parts, jdaw.NewSuspectPart(c.service, id))
	}
	c.x.cfg.Poison.Crashed(ended, crash)
	c.x.cfg.Metrics.crashed()
	c.x.cfg.Log.WithFields(logrus.Fields{
		"request": c.info.ID, "upstream": a.reservation.ID, "address": a.reservation.Address, "service": c.service,
		"sharedParts": sharedPartIDs(c.info.Prompt), "lastPart": parts[len(parts)-1], "events": a.events,
	}).Warn("upstream crashed before it answered")
}

// isLeaving reports whether the upstream of an attempt has announced its end. Such
// a process may end in the middle of an answer without a crash.
func (c *call) isLeaving(a *attempt) bool {
	if a.info.IsLeaving {
		return true
	}
	for _, u := range c.x.cfg.Fleet.State().Upstreams[c.service] {
		if u.ID == a.reservation.ID {
			return u.Leaving
		}
	}
	return true // its entry was removed
}
