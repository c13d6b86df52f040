package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minUpdateInterval is the least time between two updates. Starting hosts report the same window
	// several times.
	minUpdateInterval = 400 * time.Millisecond
	// maxUpdateAge is how long an update is used: another store reader takes over within that time from
	// one that died, and hosts that admitted all meanwhile would let the shortage begin anew.
	maxUpdateAge = 3 * time.Second
	// maxClasses bounds the classes of an update, as in the messages.
	maxClasses = 64
	// utilizationSmoothing is the weight of the latest window in the utilization.
	utilizationSmoothing = 0.7
	// minStartSpan is the least time after a start whose counts are scaled to a window: the counts of less
	// say little.
	minStartSpan = 60 * time.Millisecond
	// routeInterval is the time in which each route gets at least one new flow at each host, so that
	// no class is starved.
	routeInterval = time.Second
	// maxRoutes is how many routes are kept before those without a recent flow are removed.
	maxRoutes = 4096
	// reservedUtilization is the utilization at which the reserved share of slots suffices for the
	// most urgent class, maxReservedShare the largest such share.
	reservedUtilization = 0.8
	maxReservedShare    = 0.5
)

// Control decides on the new flows of one host. It isn't safe for concurrent use.
type Control struct {
	services map[string]*service
	// routes holds when each route last had an admitted flow.
	routes map[string]time.Time
	phase  float64
	// updated is when the last update was applied, zero before the first.
	updated time.Time
	// startedAt is when the host started, zero if Start wasn't called. rotations is the number of windows
	// that ended since.
	startedAt time.Time
	rotations int
}

// New returns a control that admits everything until it knows of a shortage.
func New() *Control {
	return &Control{services: make(map[string]*service), routes: make(map[string]time.Time)}
}

// Start notes that the host starts now: until a window is complete, Loads returns what was counted since,
// scaled to the length of a window.
func (c *Control) Start(now time.Time) { c.startedAt, c.rotations = now, 0 }

// Class returns the counter of a class and creates it at first use. It stays valid. Counters are
// kept for good: a class is only created from a service and a priority of a bundle.
func (c *Control) Class(service string, priority int) *Counter {
	k := c.class(Class{Service: service, Priority: priority})
	k.held = true
	return k
}

func (c *Control) class(id Class) *Counter {
	s := c.services[id.Service]
	if s == nil {
		s = &service{name: id.Service}
		c.services[id.Service] = s
	}
	i, ok := slices.BinarySearchFunc(s.classes, id.Priority, func(k *Counter, p int) int { return cmp.Compare(k.priority, p) })
	if !ok {
		k := &Counter{
			priority: id.Priority, service: s, share: 1,
			current: Load{Class: id}, last: Load{Class: id}, totals: ClassStatus{Priority: id.Priority},
		}
		s.classes = slices.Insert(s.classes, i, k)
	}
	return s.classes[i]
}

// Decision is the decision on a new flow with its inputs.
type Decision struct {
	Admitted bool
	// Utilization is the mean number of requests per slot, waiting or being worked on.
	Utilization float64
	// Share is the share of the class's callers that are admitted, Age the time since the last
	// update.
	Share float64
	Age   time.Duration
}

// Admit decides on a new flow and counts it. caller is a hash of the caller's address only.
func (c *Control) Admit(k *Counter, route string, caller uint64, now time.Time) Decision {
	k.usedAt = now
	stale := c.isStale(now)
	d := Decision{Utilization: k.service.utilizationAt(stale, now), Share: k.shareAt(stale, now), Age: c.age(now)}
	d.Admitted = d.Share >= 1 || c.selects(caller, d.Share)
	if !d.Admitted {
		last, ok := c.routes[route]
		d.Admitted = !ok || now.Sub(last) >= routeInterval
	}
	if d.Admitted {
		c.routes[route] = now
	}
	k.countFlow(d.Admitted)
	return d
}

// selects reports whether a caller is among the share of callers that are admitted. All hosts with
// the same phase agree on it.
func (c *Control) selects(caller uint64, share float64) bool {
	distance := math.Ldexp(float64(caller), -64) - c.phase
	return distance-math.Floor(distance) < share
}

// Rotate ends a window.
func (c *Control) Rotate() {
	c.rotations++
	for _, s := range c.services {
		for _, k := range s.classes {
			k.last, k.current = k.current, Load{Class: k.current.Class}
		}
	}
}

// Loads returns the counts of the last complete window, without classes whose counts are all zero. A host
// that has just started would otherwise report a window in which it ran for a part of the time, or none:
// the sums of all zones would show less load than there is, and all hosts would admit too much.
func (c *Control) Loads(now time.Time) []Load {
	sinceStart := now.Sub(c.startedAt)
	if !c.hasStarted() && sinceStart < minStartSpan {
		return nil
	}
	var out []Load
	for _, s := range c.services {
		for _, k := range s.classes {
			l := k.last
			if !c.hasStarted() {
				l.add(&k.current)
				l = l.scaled(float64(Window) / float64(sinceStart))
			}
			if !l.isZero() {
				out = append(out, l)
			}
		}
	}
	return Sum(out)
}

// hasStarted reports whether the last window is complete.
func (c *Control) hasStarted() bool { return c.startedAt.IsZero() || c.rotations > 1 }

// Update is what is known of the loads of all reachable zones.
type Update struct {
	Loads []Load
	// Slots holds the usable slots by service.
	Slots map[string]int
	// Phase is the position of the rotation of callers, from 0 to 1.
	Phase float64
	Now   time.Time
}

// Update computes the shares of all classes and returns the services whose shortage began or ended.
func (c *Control) Update(u Update) []Transition {
	if !c.updated.IsZero() && u.Now.Sub(c.updated) < minUpdateInterval {
		return nil
	}
	stale := c.isStale(u.Now)
	c.updated, c.phase = u.Now, u.Phase
	loads := largest(Sum(u.Loads), maxClasses)
	for i := range loads {
		c.class(loads[i].Class)
	}
	var out []Transition
	for name, s := range c.services {
		if stale {
			s.reset()
		}
		slots := u.Slots[name]
		if !slices.ContainsFunc(loads, func(l Load) bool { return l.Service == name }) {
			slots = s.slots // Slots come with the loads of a service.
		}
		s.update(loads, slots, u.Now)
		if t, ok := s.transition(u.Now); ok {
			out = append(out, t)
		}
	}
	c.removeUnused(u.Now)
	slices.SortFunc(out, func(a, b Transition) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// removeUnused removes classes that only other hosts reported and that are no longer in use, and
// old entries of routes. If there are more such classes than an update has, it keeps only those of
// the last update: what other hosts report doesn't determine the memory used here.
func (c *Control) removeUnused(now time.Time) {
	notHeld := 0
	for _, s := range c.services {
		for _, k := range s.classes {
			if !k.held {
				notHeld++
			}
		}
	}
	for name, s := range c.services {
		s.classes = slices.DeleteFunc(s.classes, func(k *Counter) bool {
			return !k.held && (!k.inUse(now) || notHeld > maxClasses && k.zones.isZero())
		})
		if len(s.classes) == 0 {
			delete(c.services, name)
		}
	}
	if len(c.routes) > maxRoutes {
		for name, at := range c.routes {
			if now.Sub(at) >= routeInterval {
				delete(c.routes, name)
			}
		}
	}
}

// age returns the time since the last update, 0 before the first.
func (c *Control) age(now time.Time) time.Duration {
	if c.updated.IsZero() {
		return 0
	}
	return max(0, now.Sub(c.updated))
}

// isStale reports whether there is no update that can be used.
func (c *Control) isStale(now time.Time) bool {
	return c.updated.IsZero() || now.Sub(c.updated) > maxUpdateAge
}

// Shortage describes a service that is short of capacity.
type Shortage struct {
	// MostUrgent is the last priority in use that doesn't give way to more urgent ones, Classes the
	// number of classes in use.
	MostUrgent, Classes int
	// ReservedShare is the share of the upstreams that other classes avoid.
	ReservedShare float64
}

// Shortage returns the shortage of a service, and false if it isn't short.
func (c *Control) Shortage(service string, now time.Time) (Shortage, bool) {
	s := c.services[service]
	if s == nil || !s.isShort(c.isStale(now), now) {
		return Shortage{}, false
	}
	var out Shortage
	urgent := 0.0
	for _, k := range s.classes {
		if !k.inUse(now) {
			continue
		}
		out.Classes++
		if !k.yields {
			out.MostUrgent = k.priority
			urgent += k.work()
		}
	}
	if out.Classes > 1 && s.slots > 0 {
		out.ReservedShare = min(maxReservedShare, urgent/s.slotTime()/reservedUtilization)
	}
	return out, true
}
