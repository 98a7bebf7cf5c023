package ledger

import (
	"time"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// regionCutTime is how long a region without a live member is treated as
// partitioned. Regions lose contact for minutes several times a year; sealing
// journals across a partition would force a new incarnation on every VM of both
// regions and cause thousands of reads at once.
const regionCutTime = 15 * time.Minute

// otherRegionDelay exceeds the time to detect a partition: the members behind
// it are declared dead one by one within about 3 s.
const otherRegionDelay = 10 * time.Second

// lostRegions maps each region without a live member in the view to the time at
// which this was first observed.
type lostRegions map[jdaw.Region]time.Time

// update uses the regions of the member table and of the configuration; a VM
// that starts during a partition knows other regions only from the latter.
func (r lostRegions) update(view *jdaw.View, snap *config.Snapshot, now time.Time) {
	live := map[jdaw.Region]bool{}
	for i := range view.Members {
		m := &view.Members[i]
		live[m.Region] = live[m.Region] || m.VM == view.Self || m.IsServing() || m.State == jdaw.MemberDraining
	}
	if snap != nil {
		for _, dc := range snap.Doc.DataCentres {
			if _, ok := live[dc.Region]; !ok {
				live[dc.Region] = false
			}
		}
	}
	for region, alive := range live {
		_, lost := r[region]
		switch {
		case alive:
			delete(r, region)
		case !lost:
			r[region] = now
		}
	}
}

// isCutOff reports whether the region's VMs may be alive but unreachable.
func (r lostRegions) isCutOff(region jdaw.Region, now time.Time) bool {
	since, lost := r[region]
	return lost && now.Sub(since) < regionCutTime
}

// isAnyCutOff reports whether any region's VMs may be alive but unreachable.
func (r lostRegions) isAnyCutOff(now time.Time) bool {
	for region := range r {
		if r.isCutOff(region, now) {
			return true
		}
	}
	return false
}

// snapshot returns the configuration, or nil if there is none yet.
func (l *Ledger) snapshot() *config.Snapshot {
	if l.cfg.Config == nil {
		return nil
	}
	return l.cfg.Config.Snapshot()
}
