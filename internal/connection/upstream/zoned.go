package upstream

import (
	"math"
	"math/rand/v2"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// ZoneAware places new flows in the daemon's own zone as long as its upstreams there have
// room, and in another zone while they are crowded and that one isn't: what crosses
// zones is what a cut between them breaks, and its bytes are paid for. It takes
// the least loaded of a few candidates that it draws. It isn't safe for concurrent use.
type ZoneAware struct {
	zone    bundle.Zone
	choices int
	drawn   []int
}

// DefaultChoices is how many candidates are drawn. What others placed is known half
// a second late; if all daemons took the least loaded of all, they would send all
// flows of that time to one upstream. Two choices at random are spread nearly as
// well as the best of all would be with full knowledge (Mitzenmacher 2001).
const DefaultChoices = 2

// NewZoneAware returns a policy for a daemon in a zone that draws so many candidates.
func NewZoneAware(zone bundle.Zone, choices int) *ZoneAware {
	return &ZoneAware{zone: zone, choices: choices}
}

// coldFlows is how many flows more an upstream counts while it is slow after its
// start, so that a newcomer isn't given all new flows in its slow seconds.
const coldFlows = 2

// When new flows cross zones. At a utilization of 0.8, requests of the users'
// upstreams with two or three slots wait about as long as they are worked on; the
// margin keeps two busy zones from sending their flows to each other.
const (
	crowded     = 0.8
	spillMargin = 0.25
)

// The utilization is that of the last seconds. What this daemon itself waits for is known at
// once: if that alone fills the slots of the upstream that it would choose, a new flow goes
// to another zone whose upstream has half a request a slot less to do. In a burst of one zone its upstreams
// would else shed while the other zones have room.
const (
	occupied       = 1.0
	occupiedMargin = 0.5
)

// Choose implements Policy.
func (z *ZoneAware) Choose(candidates []Candidate, seed uint64) *bundle.UpstreamRoute {
	own := z.least(candidates, seed, true)
	crowding := z.utilization(candidates)
	if own != nil && crowding <= crowded && own.outstanding() < occupied {
		return own.Route
	}
	other := z.least(candidates, seed, false)
	switch {
	case other == nil && own == nil:
		return nil
	case own == nil:
		return other.Route
	case other == nil || other.ZoneFlowsPerSlot < 0:
		return own.Route
	case crowding > crowded && other.ZoneFlowsPerSlot*other.RequestsPerFlow+spillMargin < crowding:
		return other.Route
	case own.outstanding() >= occupied && other.outstanding()+occupiedMargin < own.outstanding():
		return other.Route
	}
	return own.Route
}

// utilization estimates the share of the own zone's slots that are in use. It is
// taken over the whole zone: one upstream's flows say too little.
func (z *ZoneAware) utilization(candidates []Candidate) float64 {
	var busy float64
	slots := 0
	for i := range candidates {
		c := &candidates[i]
		if c.Route.Zone == z.zone && c.hasRoom() {
			busy += float64(c.Load.Total()) * c.RequestsPerFlow
			slots += c.Route.Slots
		}
	}
	return busy / float64(max(1, slots))
}

// least draws candidates of the own zone or of others by a partial shuffle and
// returns the least loaded, or nil if none has room.
func (z *ZoneAware) least(candidates []Candidate, seed uint64, own bool) *Candidate {
	z.drawn = z.drawn[:0]
	for i := range candidates {
		if (candidates[i].Route.Zone == z.zone) == own && candidates[i].hasRoom() {
			z.drawn = append(z.drawn, i)
		}
	}
	var src rand.PCG
	src.Seed(seed, seed)
	rng := rand.New(&src)
	var best *Candidate
	least := math.Inf(1)
	for i := range min(z.choices, len(z.drawn)) {
		j := i + rng.IntN(len(z.drawn)-i)
		z.drawn[i], z.drawn[j] = z.drawn[j], z.drawn[i]
		c := &candidates[z.drawn[i]]
		if cost := c.cost(); cost < least {
			best, least = c, cost
		}
	}
	return best
}

// outstanding is how many requests this daemon waits for there, for each slot.
func (c *Candidate) outstanding() float64 {
	return float64(c.Load.Requests.Load()) / float64(c.Route.Slots)
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
