package upstream

import (
	"math"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Candidate is an upstream that may take a new flow, with its load.
type Candidate struct {
	Route *bundle.UpstreamRoute
	Load  *Load
	// Cold is set for an upstream that is slow since it just started.
	Cold bool
	// RequestsPerFlow is how many requests are in progress for each flow of the service, zero
	// if that isn't known. Flows for each slot times RequestsPerFlow is the utilization.
	RequestsPerFlow float64
	// ZoneFlowsPerSlot is how many flows the candidate's zone holds for each slot, as its
	// own members count them, negative if that isn't known. It isn't used for the
	// daemon's own zone, whose flows are those of its candidates.
	ZoneFlowsPerSlot float64
}

// Policy chooses among candidates. seed differs from flow to flow, so that equal
// candidates take turns. It returns nil if none may take the flow.
type Policy interface {
	Choose(candidates []Candidate, seed uint64) *bundle.UpstreamRoute
}

// LeastLoaded takes the upstream with the fewest flows for each of its slots,
// over all members. Ties are broken by the requests in progress, then the seed.
type LeastLoaded struct{}

// requestShare keeps requests in progress below the weight of a whole flow.
const requestShare = 1.0 / 1024

// Choose implements Policy.
func (LeastLoaded) Choose(candidates []Candidate, seed uint64) *bundle.UpstreamRoute {
	n := len(candidates)
	if n == 0 {
		return nil
	}
	var best *bundle.UpstreamRoute
	least := math.Inf(1)
	start := int(seed % uint64(n))
	for i := range candidates {
		c := &candidates[(start+i)%n]
		if !c.hasRoom() {
			continue
		}
		cost := c.cost()
		if cost < least {
			best, least = c.Route, cost
		}
	}
	return best
}

// Hashed takes an upstream by the seed alone. It is the naive policy to compare with.
type Hashed struct{}

// Choose implements Policy.
func (Hashed) Choose(candidates []Candidate, seed uint64) *bundle.UpstreamRoute {
	if len(candidates) == 0 {
		return nil
	}
	return candidates[seed%uint64(len(candidates))].Route
}
