package cookie

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// pool holds the registered upstreams of one service in one zone, and the sums over those that are
// usable. A new flow is placed by the pools and a few samples of their members, so that it costs the
// same in a pool of ten thousand upstreams as in one of fifty.
type pool struct {
	service string
	zone    bundle.Zone
	// health is the state of the path to the zone.
	health                      *zoneHealth
	registered, usable, ejected set
	// slots and flows are the sums over the usable upstreams: of their slots, and of the flows that
	// all balancers of this one's zone count there.
	slots, flows int64
	// exhaustedUntil is the time until which no member is expected to take a flow, by whether
	// suspected members qualify.
	exhaustedUntil [2]time.Time
}

func newPool(service string, zone bundle.Zone, h *zoneHealth) *pool {
	return &pool{
		service: service, zone: zone, health: h,
		registered: set{kind: setRegistered}, usable: set{kind: setUsable}, ejected: set{kind: setEjected},
	}
}

// exhaustedTTL is how long a pool in which no upstream takes a flow isn't searched again. A search
// that fails has looked at each member, and callers who are refused come back.
const exhaustedTTL = 50 * time.Millisecond

// members returns the upstreams among which a flow is placed: the usable ones, or all if suspected
// ones qualify too.
func (p *pool) members(suspected bool) []*Upstream {
	if suspected {
		return p.registered.list
	}
	return p.usable.list
}

// isExhausted reports whether a search found lately that no member takes a flow.
func (p *pool) isExhausted(suspected bool, now time.Time) bool {
	return now.Before(p.exhaustedUntil[searchKind(suspected)])
}

// markExhausted records that a search found no member that takes a flow.
func (p *pool) markExhausted(suspected bool, now time.Time) {
	p.exhaustedUntil[searchKind(suspected)] = now.Add(exhaustedTTL)
}

// clearExhausted makes the pool searched again, since a member may take flows now.
func (p *pool) clearExhausted() { p.exhaustedUntil = [2]time.Time{} }

func searchKind(suspected bool) int {
	if suspected {
		return 1
	}
	return 0
}

// add adds the upstream's part of the sums if n is 1, and removes it if n is -1.
func (p *pool) add(u *Upstream, n int64) {
	p.slots += n * int64(u.Route.Slots)
	p.flows += n * u.load.Total()
}

// flowsPerSlot returns how many flows the usable upstreams hold for each of their slots.
func (p *pool) flowsPerSlot() float64 { return float64(p.flows) / float64(max(1, p.slots)) }

// activeEjections returns the number of members that are ejected now.
func (p *pool) activeEjections(now time.Time) int {
	for i := len(p.ejected.list) - 1; i >= 0; i-- {
		if u := p.ejected.list[i]; !now.Before(u.ejectedUntil) {
			p.ejected.put(u, false)
		}
	}
	return len(p.ejected.list)
}
