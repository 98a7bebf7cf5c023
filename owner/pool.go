package owner

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"jackdawbarrow"
	"jackdawbarrow/config"
	"jackdawbarrow/route"
)

const (
	// takeoverWait exceeds the time for which a credit of the previous owner
	// stays usable (1 s) plus the time until that owner detects its isolation.
	takeoverWait = 2 * time.Second
	// queryInterval is the time after which a member without a reply is
	// queried again for its credits.
	queryInterval = 500 * time.Millisecond
	// pollInterval is the period of load reports.
	pollInterval = time.Second
	// retryShare is what each first request adds to the retry budget.
	retryShare = 0.1
	// retryBurst is the size of the retry budget: the number of retries that an
	// idle pool may grant at once.
	retryBurst = 10
	// maxWaiting bounds the queue depth of one pool.
	maxWaiting = 4096
	// minDurations is the number of ended requests from which waiting times
	// are estimated.
	minDurations = 10
	// durationWeight is the weight of a new duration in the mean.
	durationWeight = 0.05
	// prefixWarmUp is the time after a takeover in which a prefix unknown to
	// the owner may be cached from before the takeover.
	prefixWarmUp = time.Minute
	// anyVersion is offered by each upstream; plain services have no versions.
	anyVersion int16 = -1
)

// credit is the right to run one request on one upstream.
type credit struct {
	id            string
	u             *upstream
	vm            jdaw.VMID
	incarnation   jdaw.Incarnation
	workspace     jdaw.WorkspaceID
	isMiss        bool // the prefix is not expected to be cached
	bucket        int
	grantedAt     time.Time
	renewedAt     time.Time
	deadAt        time.Time        // when the holder was declared dead; zero if alive
	isUnconfirmed bool             // not known to have reached the upstream
	canary        *versionOutcomes // nil if the version is not counted
}

// queried is the query of a new owner for the credits that a member holds.
type queried struct {
	vm       jdaw.VMID
	addr     string
	last     time.Time
	answered bool
}

// pool is the owner's state of one pool.
type pool struct {
	id             jdaw.PoolID
	active         bool // owned, not isolated, with a majority
	takeoverDone   bool // the wait after the takeover has ended
	takeoverDoneAt time.Time
	grantFrom      time.Time
	queried        []queried

	ups        []*upstream
	free       int // upstreams in service below their limit
	byID       map[jdaw.UpstreamID]*upstream
	candidates []route.Candidate // parallel to ups, kept between decisions
	versions   map[jdaw.ModelVersion]int16
	chooser    route.Chooser
	holders    holderIndex
	wasOut     bool

	queue        queue
	unservable   []uint64 // keys without a free upstream in this round
	retryTokens  float64
	meanDuration float64 // nanoseconds
	durations    int
	stats        PoolStats
	outcomes     *outcomes
	canaries     []canary
}

func newPool(id jdaw.PoolID, chooser route.Chooser) *pool {
	return &pool{
		id:          id,
		byID:        map[jdaw.UpstreamID]*upstream{},
		versions:    map[jdaw.ModelVersion]int16{},
		chooser:     chooser,
		holders:     holderIndex{},
		queue:       queue{byID: map[jdaw.WorkspaceID]*flow{}},
		retryTokens: retryBurst,
		stats:       PoolStats{Pool: id},
	}
}

// versionID returns an integer for the version, so that a decision does not
// compare strings for each upstream.
func (p *pool) versionID(v jdaw.ModelVersion) int16 {
	id, ok := p.versions[v]
	if !ok {
		id = int16(len(p.versions))
		p.versions[v] = id
	}
	return id
}

func (p *pool) isGranting(at time.Time) bool {
	return p.active && p.takeoverDone && !at.Before(p.grantFrom)
}

// configure sets the pool's upstreams from a new configuration and returns the
// credits of removed upstreams.
func (p *pool) configure(at time.Time, snap *config.Snapshot) []*credit {
	list := snap.Pool(p.id)
	isOut := snap.IsOut(p.id.DataCentre)
	back := p.wasOut && !isOut
	p.wasOut = isOut
	var orphaned []*credit
	old := p.byID
	p.byID = make(map[jdaw.UpstreamID]*upstream, len(list))
	p.ups = p.ups[:0]
	p.candidates = make([]route.Candidate, len(list))
	for i, cfg := range list {
		u := old[cfg.ID]
		if u != nil && u.cfg.Address == cfg.Address {
			delete(old, cfg.ID)
			u.reconfigure(cfg)
		} else {
			u = newUpstream(at, p, cfg)
		}
		u.pos = i
		p.byID[cfg.ID] = u
		p.ups = append(p.ups, u)
		p.candidates[i].Hash = u.hash
		if back {
			u.returnToCold(at)
		}
		u.sync()
	}
	for _, u := range old {
		if u.isFree {
			p.free--
		}
		u.prefixes.clear(p.holders, u)
		orphaned = append(orphaned, u.credits...)
	}
	return orphaned
}

func (u *upstream) reconfigure(cfg config.Upstream) {
	u.cfg = cfg
	u.limit = min(max(u.limit, u.coldLimit()), u.maxLimit())
	u.setVersions()
}

// refresh decides which upstreams are in service.
func (p *pool) refresh(snap *config.Snapshot, leavingAddrs map[string]bool) {
	reachable := 0
	for _, u := range p.ups {
		if u.isReachable() {
			reachable++
		}
	}
	for _, u := range p.ups {
		unreachable := !u.isReachable() && reachable > 0
		u.inService = !unreachable && !u.isLeaving() &&
			!snap.IsLeaving(u.cfg.ID) && !leavingAddrs[u.cfg.Address] &&
			!snap.IsOut(p.id.DataCentre)
		u.countFree()
	}
}

// choice is the result of choosing an upstream for a request.
type choice struct {
	u          *upstream // nil if none is free
	version    jdaw.ModelVersion
	usable     bool // some upstream could serve the request if it were free
	limit      int  // of the usable upstreams
	throttled  int  // free slots at usable upstreams that are throttled
	denialCode jdaw.Code
}

// choose finds a free upstream for the versions, in order of preference.
// Permissions are checked here, at the grant, because the request may have
// waited while the configuration changed.
func (p *pool) choose(snap *config.Snapshot, q *AcquireRequested) choice {
	if len(q.Versions) == 0 {
		return p.chooseVersion(q, jdaw.ModelVersion{}, anyVersion)
	}
	result := choice{}
	for _, v := range q.Versions {
		if code := permission(snap, q.Workspace, v); code != jdaw.CodeOK {
			result.denialCode = max(result.denialCode, code)
			continue
		}
		result.denialCode = jdaw.CodeNoUpstream // the highest of the three codes
		id, known := p.versions[v]
		if !known {
			continue
		}
		c := p.chooseVersion(q, v, id)
		if c.u != nil {
			return c
		}
		result.usable = result.usable || c.usable
		result.limit += c.limit
		result.throttled += c.throttled
	}
	return result
}

func permission(snap *config.Snapshot, w jdaw.WorkspaceID, v jdaw.ModelVersion) jdaw.Code {
	if snap.IsWithdrawn(v) {
		return jdaw.CodeVersionWithdrawn
	}
	if !snap.IsAllowed(w, v) {
		return jdaw.CodeModelNotAllowed
	}
	return jdaw.CodeOK
}

func (p *pool) chooseVersion(q *AcquireRequested, v jdaw.ModelVersion, id int16) choice {
	c := choice{version: v, denialCode: jdaw.CodeNoUpstream}
	for i, u := range p.ups {
		usable := u.inService && u.offers(id)
		p.candidates[i].Usable = usable
		p.candidates[i].Cached = 0
	}
	for _, name := range q.Exclude {
		if u := p.byID[name]; u != nil {
			p.candidates[u.pos].Usable = false
		}
	}
	for i := range p.candidates {
		if p.candidates[i].Usable {
			c.usable = true
			c.limit += p.candidates[i].Limit
			if u := p.ups[i]; u.isThrottled() {
				c.throttled += max(u.limit-u.inUse(), 0)
			}
		}
	}
	if !c.usable || p.isAtCanaryLimit(id) {
		return c
	}
	if u := p.byID[q.Prefer]; u != nil && p.candidates[u.pos].IsFree() {
		c.u = u
		return c
	}
	if q.Prefix != 0 {
		list := p.holders[q.Prefix]
		for i := range list {
			p.candidates[list[i].u.pos].Cached = list[i].probability()
		}
	}
	if i := p.chooser.Choose(q.Prefix, p.candidates); i >= 0 {
		c.u = p.ups[i]
	}
	return c
}

// expectsMiss reports whether the upstream must compute the whole prompt.
func (p *pool) expectsMiss(at time.Time, u *upstream, prefix uint64) bool {
	if prefix == 0 {
		return true
	}
	for _, h := range p.holders[prefix] {
		if h.u == u {
			return false
		}
	}
	return at.Sub(p.takeoverDoneAt) >= prefixWarmUp
}

// keyOf returns waiter.key for a request.
func keyOf(q *AcquireRequested) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to the digest never fail.
	write := func(s string) { _, _ = d.WriteString(s); _, _ = d.WriteString("\x00") }
	for _, v := range q.Versions {
		write(v.Model)
		write(v.Version)
	}
	write("")
	for _, u := range q.Exclude {
		write(string(u))
	}
	write(string(q.Workspace)) // permissions differ between workspaces
	return d.Sum64()
}

func (p *pool) isUnservable(key uint64) bool {
	for _, k := range p.unservable {
		if k == key {
			return true
		}
	}
	return false
}

// wait estimates the time in the queue of a request with n others before it.
func (p *pool) wait(n, limit int) time.Duration {
	if p.durations < minDurations || limit == 0 {
		return 0
	}
	return time.Duration(float64(n+1) * p.meanDuration / float64(limit))
}

func (p *pool) recordDuration(d time.Duration) {
	p.durations++
	weight := max(durationWeight, 1/float64(p.durations))
	p.meanDuration += weight * (float64(d) - p.meanDuration)
}

// addRetryToken adds to the retry budget for a granted first request. Refused
// ones must not add: when credits are short, a request tries several pools, and
// each of them would allow a part of a retry.
func (p *pool) addRetryToken() {
	p.retryTokens = min(retryBurst, p.retryTokens+retryShare)
}

// takeRetryToken takes a token for a retry and reports whether the request may
// proceed; first attempts need none.
func (p *pool) takeRetryToken(q *AcquireRequested) bool {
	if len(q.Exclude) == 0 {
		return true
	}
	// Ten additions of 0.1 are a little less than 1.
	if p.retryTokens < 1-1e-9 {
		p.stats.RetriesRefused++
		return false
	}
	p.retryTokens--
	return true
}

// returnRetryToken undoes takeRetryToken for a request that was refused.
func (p *pool) returnRetryToken(q *AcquireRequested) {
	if len(q.Exclude) > 0 {
		p.retryTokens = min(retryBurst, p.retryTokens+1)
	}
}

// snapshotStats returns the statistics to publish.
func (p *pool) snapshotStats(at time.Time) PoolStats {
	s := p.stats
	s.Granting = p.isGranting(at)
	s.Waiting = p.queue.length
	for _, u := range p.ups {
		s.InUse += u.inUse()
		s.Limit += u.limit
	}
	return s
}
