package admission

import (
	"cmp"
	"slices"
	"time"
)

// State is what a host knows of the loads of all reachable zones, as it hands it to one that starts.
type State struct {
	Services []ServiceState
	// Phase is the position of the rotation of callers, from 0 to 1, Age the time since the last update.
	Phase float64
	Age   time.Duration
}

// ServiceState is the part of a State that concerns one service. Latest and Smoothed are the
// utilization in the last update and over the updates.
type ServiceState struct {
	Service          string
	Slots            int
	Latest, Smoothed float64
	Classes          []ClassState
}

// ClassState is the part of a ServiceState that concerns one class.
type ClassState struct {
	Priority int
	Share    float64
	// Cost is the mean time at the upstream of a request that didn't wait, zero if it isn't known.
	Cost time.Duration
	// Answered is the number of requests answered in the last window.
	Answered uint32
	// Yields says that the class gives way to more urgent ones.
	Yields bool
}

// State returns what this host knows, and false if it has no update that can be used.
func (c *Control) State(now time.Time) (State, bool) {
	if c.isStale(now) {
		return State{}, false
	}
	out := State{Phase: c.phase, Age: c.age(now)}
	for _, s := range c.services {
		out.Services = append(out.Services, s.state(now))
	}
	out.Services = slices.DeleteFunc(out.Services, func(s ServiceState) bool { return len(s.Classes) == 0 })
	slices.SortFunc(out.Services, func(a, b ServiceState) int { return cmp.Compare(a.Service, b.Service) })
	return out, true
}

func (s *service) state(now time.Time) ServiceState {
	out := ServiceState{Service: s.name, Slots: s.slots, Latest: s.latest, Smoothed: s.smoothed}
	for _, k := range s.classes {
		if k.inUse(now) {
			out.Classes = append(out.Classes, ClassState{
				Priority: k.priority, Share: k.share, Cost: k.cost, Answered: k.zones.Answered, Yields: k.yields,
			})
		}
	}
	return out
}

// Restore takes over what another host knows. Without it, a host that starts in a shortage admits all
// flows until its first update, and the shares that it computes then are lower than those of others, as it
// doesn't know which shares were in force. Restore has no effect after an update.
func (c *Control) Restore(st State, now time.Time) {
	if !c.updated.IsZero() || st.Age > maxUpdateAge {
		return
	}
	c.phase, c.updated = st.Phase, now.Add(-st.Age)
	for i := range st.Services {
		from := &st.Services[i]
		for _, k := range from.Classes {
			to := c.class(Class{Service: from.Service, Priority: k.Priority})
			to.share, to.cost, to.yields, to.usedAt = k.Share, k.Cost, k.Yields, now
			to.zones.Answered = k.Answered
		}
		if s := c.services[from.Service]; s != nil {
			s.slots, s.latest, s.smoothed = from.Slots, from.Latest, from.Smoothed
			s.utilization = max(s.latest, s.smoothed)
		}
	}
}
