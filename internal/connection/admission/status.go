package admission

import (
	"cmp"
	"slices"
	"time"
)

// Transition is the beginning or the end of a shortage.
type Transition struct {
	Service     string
	Short       bool
	Utilization float64
	Shares      []ClassShare
}

// ClassShare is the share of a class's callers that are admitted.
type ClassShare struct {
	Priority int
	Share    float64
}

// transition returns the beginning or end of a shortage, and false without one since the last call.
func (s *service) transition(now time.Time) (Transition, bool) {
	short := s.isShort(false, now)
	if short == s.reported {
		return Transition{}, false
	}
	s.reported, s.since = short, now
	t := Transition{Service: s.name, Short: short, Utilization: s.utilization}
	for _, k := range s.classes {
		if k.inUse(now) {
			t.Shares = append(t.Shares, ClassShare{Priority: k.priority, Share: k.share})
		}
	}
	return t, true
}

// ServiceStatus is the state of a service for reports and metrics.
type ServiceStatus struct {
	Service string
	Short   bool
	// Since is when the shortage began. It is zero if the service isn't short, or only by local
	// observation.
	Since       time.Time
	Utilization float64
	Slots       int
	// Age is the time since the last update.
	Age     time.Duration
	Classes []ClassStatus
}

// ClassStatus holds the share of a class and this host's counts since its start.
type ClassStatus struct {
	Priority                   int
	Share                      float64
	Offered, Admitted, Refused uint64
	Requests, Answered         uint64
}

// Status returns the state of the services in use, sorted by name, with at most 64 classes in all.
func (c *Control) Status(now time.Time) []ServiceStatus {
	stale := c.isStale(now)
	var out []ServiceStatus
	for _, s := range c.services {
		st := ServiceStatus{
			Service: s.name, Short: s.isShort(stale, now), Utilization: s.utilizationAt(stale, now), Slots: s.slots, Age: c.age(now),
		}
		if st.Short && s.reported && !stale {
			st.Since = s.since
		}
		for _, k := range s.classes {
			if k.inUse(now) {
				k.totals.Share = k.shareAt(stale, now)
				st.Classes = append(st.Classes, k.totals)
			}
		}
		if len(st.Classes) > 0 {
			out = append(out, st)
		}
	}
	slices.SortFunc(out, func(a, b ServiceStatus) int { return cmp.Compare(a.Service, b.Service) })
	n := 0
	for i := range out {
		kept := min(len(out[i].Classes), maxClasses-n)
		if kept == 0 {
			return out[:i]
		}
		out[i].Classes = out[i].Classes[:kept]
		n += kept
	}
	return out
}
