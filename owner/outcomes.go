package owner

import (
	"time"

	"jackdawbarrow"
)

// outcomes are the cumulative counts of one pool at this owner.
type outcomes struct {
	counts  []VersionCounts
	changed bool
	sentAt  time.Time
}

func (o *outcomes) count(pool jdaw.PoolID, r Released) {
	isOK, isFailed := r.Outcome == jdaw.OutcomeOK, r.Outcome == jdaw.OutcomeFailed
	if r.Version.Model == "" || (!isOK && !isFailed) {
		return
	}
	c := o.version(pool, r.Version)
	if isFailed {
		c.Failed++
	} else {
		c.OK++
	}
	if r.Rated {
		c.Rated++
		c.RatingSum += r.Rating
		c.RatingSquareSum += r.Rating * r.Rating
	}
	o.changed = true
}

func (o *outcomes) version(pool jdaw.PoolID, v jdaw.ModelVersion) *VersionCounts {
	for i := range o.counts {
		if o.counts[i].Version == v {
			return &o.counts[i]
		}
	}
	o.counts = append(o.counts, VersionCounts{Version: v, Pool: pool})
	return &o.counts[len(o.counts)-1]
}
