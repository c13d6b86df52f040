package emulator

import (
	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// QueueObserver is what a policy that knows everything may look at.
type QueueObserver interface {
	// QueuePerSlot returns how many requests an upstream works on or lets wait, for each of its
	// slots, and whether it takes more.
	QueuePerSlot(id bundle.UpstreamID) (perSlot float64, room bool)
}

// QueuePerSlot implements QueueObserver.
func (w *play) QueuePerSlot(id bundle.UpstreamID) (perSlot float64, room bool) {
	s := w.server(id)
	if s == nil {
		return 0, false
	}
	return float64(s.working+len(s.queue)) / float64(s.service.Slots), s.room() > 0
}

// NamedPolicy is a policy to compare.
type NamedPolicy struct {
	Name string
	// New makes the policy of one host.
	New func(zone bundle.Zone, w QueueObserver) upstream.Policy
}

// Policies returns the policies that can be compared, the product's own first.
func Policies() []NamedPolicy {
	zoned := func(choices int) func(bundle.Zone, QueueObserver) upstream.Policy {
		return func(z bundle.Zone, _ QueueObserver) upstream.Policy { return upstream.NewZoneAware(z, choices) }
	}
	return []NamedPolicy{
		{Name: "Present", New: zoned(upstream.DefaultChoices)},
		{Name: "Before", New: func(z bundle.Zone, _ QueueObserver) upstream.Policy {
			return &blind{Policy: upstream.NewZoneAware(z, upstream.DefaultChoices)}
		}},
		{Name: "OneChoice", New: zoned(1)},
		{Name: "LeastOfAll", New: zoned(everyCandidate)},
		{Name: "Hashed", New: func(z bundle.Zone, _ QueueObserver) upstream.Policy { return &hashed{zone: z} }},
		{Name: "AllKnowing", New: func(z bundle.Zone, w QueueObserver) upstream.Policy { return &allKnowing{zone: z, world: w} }},
	}
}

// everyCandidate is more choices than a service has upstreams.
const everyCandidate = 1 << 20

// blind hides from a policy what a daemon itself waits for, as the product's own one didn't
// look at that before.
type blind struct {
	upstream.Policy
	seen []upstream.Candidate
}

// Choose implements upstream.Policy.
func (b *blind) Choose(candidates []upstream.Candidate, seed uint64) *bundle.UpstreamRoute {
	b.seen = append(b.seen[:0], candidates...)
	for i := range b.seen {
		l := &upstream.Load{}
		l.Flows.Store(candidates[i].Load.Total())
		b.seen[i].Load = l
	}
	return b.Policy.Choose(b.seen, seed)
}

// hashed is the naive policy: an upstream of the own zone by the flow's hash.
type hashed struct {
	zone bundle.Zone
	own  []upstream.Candidate
}

// Choose implements upstream.Policy.
func (h *hashed) Choose(candidates []upstream.Candidate, seed uint64) *bundle.UpstreamRoute {
	h.own = h.own[:0]
	for i := range candidates {
		if candidates[i].Route.Zone == h.zone {
			h.own = append(h.own, candidates[i])
		}
	}
	if len(h.own) == 0 {
		return upstream.Hashed{}.Choose(candidates, seed)
	}
	return upstream.Hashed{}.Choose(h.own, seed)
}

// allKnowing sees the queues of all upstreams at the moment of its choice, which no daemon
// can. It takes the shortest of the own zone while that has a slot free, and else the
// shortest of all. What it serves more than the product is what knowledge could still buy.
type allKnowing struct {
	zone  bundle.Zone
	world QueueObserver
}

// Choose implements upstream.Policy.
func (a *allKnowing) Choose(candidates []upstream.Candidate, seed uint64) *bundle.UpstreamRoute {
	var best *upstream.Candidate
	least := 0.0
	for i := range candidates {
		c := &candidates[(i+int(seed%uint64(len(candidates))))%len(candidates)]
		cost, ok := a.cost(c)
		if ok && (best == nil || cost < least) {
			best, least = c, cost
		}
	}
	if best == nil {
		return nil
	}
	return best.Route
}

// cost is how long a request would wait there, with its flows to tell equal ones apart.
func (a *allKnowing) cost(c *upstream.Candidate) (float64, bool) {
	perSlot, room := a.world.QueuePerSlot(c.Route.ID)
	if !room {
		return 0, false
	}
	flows := float64(c.Load.Total()) / float64(c.Route.Slots)
	cost := perSlot + flows/manyFlows
	if c.Route.Zone != a.zone {
		cost += otherZone
	}
	return cost, true
}

const (
	// manyFlows makes flows matter less than a request.
	manyFlows = 1000
	// otherZone is how many requests a slot more the own zone must have for a flow to leave it.
	otherZone = 1
)
