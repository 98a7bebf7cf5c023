package queue

import (
	"math"
	"sort"
	"time"

	"jackdawbarrow"
)

const (
	// levelTime is the time for which the level of shares is kept.
	levelTime = 50 * time.Millisecond
	// shareMargin times the places are shared out. Demand counts callers who return
	// twice, and the time in the upstreams' queues; without the margin, slots were idle
	// at a demand just above them.
	shareMargin = 1.1
)

// level is the most that one workspace gets of all VMs, in decayed milliseconds.
type level struct {
	value float64
	part  float64 // places for what the workspaces ask of this VM, up to the level
	at    time.Time
	slots int
}

// share returns the part of a workspace's share that is this VM's, in decayed
// milliseconds; infinite if the workspace asks for no more than its share.
func (s *service) share(at time.Time, room Room, f *flow) float64 {
	return s.shareOf(at, s.levelAt(at, room).value, f)
}

func (s *service) shareOf(at time.Time, value float64, f *flow) float64 {
	if math.IsInf(value, 1) {
		return value
	}
	own := f.asked.valueAt(at)
	all := own + float64(s.others[f.key].Asked)
	if all <= value {
		return math.Inf(1)
	}
	return value * own / all
}

// levelAt returns the level, which is computed again at times.
func (s *service) levelAt(at time.Time, room Room) level {
	if s.level.slots == room.Slots && !at.Before(s.level.at) && at.Sub(s.level.at) < levelTime {
		return s.level
	}
	s.level = level{value: s.fairLevel(at, room), at: at, slots: room.Slots}
	for _, f := range s.flows {
		s.level.part += min(f.asked.valueAt(at), s.shareOf(at, s.level.value, f)) / milliseconds(useDecay)
	}
	return s.level
}

// claim is the demand of a number of workspaces with equal demand.
type claim struct {
	asked float64
	count float64
}

// fairLevel returns the level at which the demands of all workspaces, cut off there,
// add up to the places (max-min fairness); infinite if there is room for all.
func (s *service) fairLevel(at time.Time, room Room) float64 {
	total := s.demand(at)
	capacity := shareMargin * totalPlaces(room) * milliseconds(useDecay)
	if total <= capacity {
		return math.Inf(1)
	}
	asked := map[jdaw.DemandKey]float64{}
	// Messages hold the largest demands only. The others are taken for as large as the
	// smallest one there.
	least := math.Inf(1)
	for key, u := range s.others {
		if key.Total() == s.total && !key.IsTotal() {
			asked[key] = float64(u.Asked)
			least = min(least, float64(u.Asked))
		}
	}
	for _, f := range s.flows {
		asked[f.key] += f.asked.valueAt(at)
	}
	claims := make([]claim, 0, len(asked)+1)
	rest, count := total, 0.0
	for _, v := range asked {
		if v > 0 {
			claims = append(claims, claim{asked: v, count: 1})
			rest -= v
			count++
		}
	}
	if rest > 0 && least > 0 && !math.IsInf(least, 1) {
		claims = append(claims, claim{asked: least, count: rest / least})
		count += rest / least
	}
	sort.Slice(claims, func(i, j int) bool { return claims[i].asked < claims[j].asked })
	for _, c := range claims {
		if c.asked*count > capacity {
			return capacity / count
		}
		capacity -= c.asked * c.count
		count -= c.count
	}
	return math.Inf(1)
}
