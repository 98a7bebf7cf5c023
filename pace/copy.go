package pace

import (
	"maps"
	"time"

	"jackdawbarrow"
)

// Clone returns a copy that shares no state, without upstreams.
func (s *Service) Clone() *Service {
	c := *s
	c.usual = maps.Clone(s.usual)
	return &c
}

// WithService returns a copy of the upstream that belongs to a copy of its service.
func (u Upstream) WithService(s *Service) Upstream {
	u.service = s
	return u
}

// LastReport returns the load that the upstream stated last, and when; a zero report
// if it stated none.
func (u *Upstream) LastReport() (jdaw.LoadReport, time.Time) { return u.report, u.reportAt }
