package upstream

import "github.com/fescueshed/fescueshed/internal/version/bundle"

// Candidate is an upstream that may take a new flow, with its load.
type Candidate struct {
	Route *bundle.UpstreamRoute
	Load  *Load
}

// Policy chooses among candidates. seed differs from flow to flow, so that
// several daemons with the same knowledge don't all choose the same upstream.
// It returns nil if none may take the flow.
type Policy interface {
	Choose(candidates []Candidate, seed uint64) *bundle.UpstreamRoute
}

// LeastLoaded takes the upstream with the smallest share of its connections and
// slots in use. Ties are broken by the seed.
type LeastLoaded struct{}

// Choose implements Policy.
func (LeastLoaded) Choose(candidates []Candidate, seed uint64) *bundle.UpstreamRoute {
	var best *bundle.UpstreamRoute
	var bestCost float64
	if len(candidates) == 0 {
		return nil
	}
	start := int(seed % uint64(len(candidates)))
	for i := range candidates {
		c := &candidates[(start+i)%len(candidates)]
		flows := c.Load.Flows.Load()
		if c.Route.Drain || flows >= int64(c.Route.Connections) {
			continue
		}
		busy := float64(c.Load.Requests.Load()) / float64(c.Route.Slots)
		cost := busy + float64(flows)/float64(c.Route.Slots)
		if best == nil || cost < bestCost {
			best, bestCost = c.Route, cost
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
