package emulator

import (
	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// QueueObserver shows the current queues of upstreams to a policy that has perfect knowledge.
type QueueObserver interface {
	// QueuePerSlot returns how many requests an upstream processes or has queued, divided by its
	// number of slots, and whether it has free capacity for another one.
	QueuePerSlot(id bundle.UpstreamID) (perSlot float64, hasCapacity bool)
}

// QueuePerSlot implements QueueObserver.
func (sim *simulation) QueuePerSlot(id bundle.UpstreamID) (perSlot float64, hasCapacity bool) {
	s := sim.server(id)
	if s == nil {
		return 0, false
	}
	return float64(s.working+len(s.queue)) / float64(s.service.Slots), s.freeSlots() > 0
}

// NamedPolicy is a policy to compare.
type NamedPolicy struct {
	Name string
	// New returns the policy of one host.
	New func(zone bundle.Zone, queues QueueObserver) upstream.Policy
}

// Policies returns the policies that can be compared. The first one is the product's own.
func Policies() []NamedPolicy {
	zoneAware := func(choices int) func(bundle.Zone, QueueObserver) upstream.Policy {
		return func(z bundle.Zone, _ QueueObserver) upstream.Policy { return upstream.NewZoneAware(z, choices) }
	}
	return []NamedPolicy{
		{Name: "Present", New: zoneAware(upstream.DefaultChoices)},
		{Name: "Before", New: func(z bundle.Zone, _ QueueObserver) upstream.Policy {
			return &withoutRequests{Policy: upstream.NewZoneAware(z, upstream.DefaultChoices)}
		}},
		{Name: "OneChoice", New: zoneAware(1)},
		{Name: "LeastOfAll", New: zoneAware(allCandidates)},
		{Name: "Hashed", New: func(z bundle.Zone, _ QueueObserver) upstream.Policy { return &hashed{zone: z} }},
		{Name: "AllKnowing", New: func(z bundle.Zone, q QueueObserver) upstream.Policy { return &allKnowing{zone: z, queues: q} }},
	}
}

// allCandidates is a number of choices larger than the number of upstreams of any service.
const allCandidates = 1 << 20

// withoutRequests hides from a policy the open requests of its own daemon, which an earlier
// version of the product's policy didn't take into account.
type withoutRequests struct {
	upstream.Policy
	stripped []upstream.Candidate
}

// Choose implements upstream.Policy.
func (p *withoutRequests) Choose(candidates []upstream.Candidate, seed uint64) *bundle.UpstreamRoute {
	p.stripped = append(p.stripped[:0], candidates...)
	for i := range p.stripped {
		l := &upstream.Load{}
		l.Flows.Store(candidates[i].Load.Total())
		p.stripped[i].Load = l
	}
	return p.Policy.Choose(p.stripped, seed)
}

// hashed is a naive policy: it chooses an upstream of its own zone by the flow's hash.
type hashed struct {
	zone    bundle.Zone
	ownZone []upstream.Candidate
}

// Choose implements upstream.Policy.
func (h *hashed) Choose(candidates []upstream.Candidate, seed uint64) *bundle.UpstreamRoute {
	h.ownZone = h.ownZone[:0]
	for i := range candidates {
		if candidates[i].Route.Zone == h.zone {
			h.ownZone = append(h.ownZone, candidates[i])
		}
	}
	if len(h.ownZone) == 0 {
		return upstream.Hashed{}.Choose(candidates, seed)
	}
	return upstream.Hashed{}.Choose(h.ownZone, seed)
}

// allKnowing reads the queues of all upstreams at the moment of its choice, which no daemon can
// do. It chooses the shortest queue, and leaves its own zone only if the queue elsewhere is
// shorter by more than otherZoneCost. The difference between its results and those of the
// product's policy shows what better knowledge could still gain.
type allKnowing struct {
	zone   bundle.Zone
	queues QueueObserver
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

// cost returns the requests that are ahead of a new one, per slot, and whether the upstream has
// free capacity. Its flows decide between equal upstreams.
func (a *allKnowing) cost(c *upstream.Candidate) (float64, bool) {
	perSlot, hasCapacity := a.queues.QueuePerSlot(c.Route.ID)
	if !hasCapacity {
		return 0, false
	}
	flows := float64(c.Load.Total()) / float64(c.Route.Slots)
	cost := perSlot + flows/flowsPerRequest
	if c.Route.Zone != a.zone {
		cost += otherZoneCost
	}
	return cost, true
}

const (
	// flowsPerRequest is the number of flows per slot that weigh as much as one request per slot.
	flowsPerRequest = 1000
	// otherZoneCost is the additional cost, in requests per slot, of an upstream in another zone.
	otherZoneCost = 1
)
