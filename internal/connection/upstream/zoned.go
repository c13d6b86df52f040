package upstream

import (
	"math"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Zoned places new flows in the daemon's own zone as long as one of its upstreams
// there has room, and then by least load: what crosses zones is what a cut between
// them breaks, and its bytes are paid for.
type Zoned struct {
	Zone bundle.Zone
}

// coldFlows is how many flows more an upstream counts while it is slow after its
// start, so that a newcomer isn't given all new flows in its slow seconds.
const coldFlows = 2

// Choose implements Policy.
func (z Zoned) Choose(candidates []Candidate, seed uint64) *bundle.UpstreamRoute {
	own, other := z.least(candidates, seed, true), z.least(candidates, seed, false)
	if own != nil {
		return own
	}
	return other
}

func (z Zoned) least(candidates []Candidate, seed uint64, own bool) *bundle.UpstreamRoute {
	var best *bundle.UpstreamRoute
	least := math.Inf(1)
	n := uint64(len(candidates))
	for i := range candidates {
		c := &candidates[(seed+uint64(i))%n]
		if (c.Route.Zone == z.Zone) != own || !c.hasRoom() {
			continue
		}
		if cost := c.cost(); cost < least {
			best, least = c.Route, cost
		}
	}
	return best
}

// hasRoom reports whether the candidate may take one flow more.
func (c *Candidate) hasRoom() bool {
	return !c.Route.Drain && c.Load.Total() < int64(c.Route.Connections)
}

// cost is the candidate's load for each of its slots.
func (c *Candidate) cost() float64 {
	flows := float64(c.Load.Total())
	if c.Cold {
		flows += coldFlows
	}
	return (flows + requestShare*float64(c.Load.Requests.Load())) / float64(c.Route.Slots)
}
