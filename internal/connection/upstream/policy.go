package upstream

import (
	"math"
	"math/rand/v2"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Candidate is an upstream that may be given a new flow, with its load.
type Candidate struct {
	Route *bundle.UpstreamRoute
	Load  *Load
	// WarmingUp is set for an upstream that is slow because it has just started.
	WarmingUp bool
	// RequestsPerFlow is how many requests are in progress for each flow of the service, zero if
	// unknown. Flows per slot times RequestsPerFlow is the utilization.
	RequestsPerFlow float64
	// ZoneFlowsPerSlot is how many flows the candidate's zone holds for each slot, as counted by
	// the members of that zone, negative if unknown. It isn't used for the daemon's own zone, whose
	// flows are those of its candidates.
	ZoneFlowsPerSlot float64
}

// Policy chooses among candidates. seed differs from flow to flow, so that equal candidates are
// chosen in turn. Choose returns nil if no candidate may be given the flow.
type Policy interface {
	Choose(candidates []Candidate, seed uint64) *bundle.UpstreamRoute
}

// SamplingPolicy is a Policy that looks at a few random candidates only. With it, placing a flow
// costs the same however many upstreams there are.
type SamplingPolicy interface {
	Policy
	ChooseSampled(s Sampler, seed uint64) *bundle.UpstreamRoute
}

// Sampler finds candidates for one new flow.
type Sampler interface {
	// Sample returns up to n different random candidates that have free capacity, of the daemon's
	// own zone or of all others. The slice is valid until the next call.
	Sample(own bool, n int, rng *rand.Rand) []Candidate
	// Utilization estimates the share of the own zone's slots that are in use.
	Utilization() float64
}

// LeastLoaded chooses the upstream with the fewest flows per slot, counted over all members. Ties
// are broken by the number of requests in progress, then by the seed.
type LeastLoaded struct{}

// requestWeight is the weight of a request in progress relative to a flow. It is small enough that
// all requests in progress at an upstream weigh less than one flow.
const requestWeight = 1.0 / 1024

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
		if !c.hasCapacity() {
			continue
		}
		cost := c.cost()
		if cost < least {
			best, least = c.Route, cost
		}
	}
	return best
}

// Hashed chooses an upstream by the seed alone. It is a naive policy for comparison.
type Hashed struct{}

// Choose implements Policy.
func (Hashed) Choose(candidates []Candidate, seed uint64) *bundle.UpstreamRoute {
	if len(candidates) == 0 {
		return nil
	}
	return candidates[seed%uint64(len(candidates))].Route
}
