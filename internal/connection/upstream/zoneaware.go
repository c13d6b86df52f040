package upstream

import (
	"math"
	"math/rand/v2"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// ZoneAware places new flows in the daemon's own zone as long as the upstreams there have free
// capacity. While they are overloaded and another zone isn't, new flows spill over to that zone.
// Traffic between zones breaks when they are partitioned from each other, and its bytes are paid
// for. ZoneAware chooses the least loaded of a few random candidates. It isn't safe for concurrent
// use.
type ZoneAware struct {
	zone    bundle.Zone
	choices int
	source  *rand.PCG
	rng     *rand.Rand
	buffer  []Candidate
}

// DefaultChoices is the number of random candidates. The placements of other daemons are known half
// a second late. If all daemons chose the least loaded of all upstreams, they would send all flows
// of that time to one upstream. The better of two random choices spreads flows nearly as well as
// the best of all would with full knowledge (Mitzenmacher 2001).
const DefaultChoices = 2

// NewZoneAware returns a policy for a daemon in the given zone that chooses among that many random
// candidates.
func NewZoneAware(zone bundle.Zone, choices int) *ZoneAware {
	source := rand.NewPCG(0, 0)
	return &ZoneAware{zone: zone, choices: choices, source: source, rng: rand.New(source)}
}

// warmupFlows is the number of flows by which an upstream counts as more loaded while it is slow
// after its start, so that it isn't given all new flows during that time.
const warmupFlows = 2

// Conditions under which new flows spill over to another zone. At a utilization of 0.8, requests to
// the users' upstreams with two or three slots wait about as long as they are processed. The margin
// keeps two busy zones from sending their flows to each other.
const (
	spilloverUtilization = 0.8
	spilloverMargin      = 0.25
)

// The utilization is that of the last seconds, whereas the requests that this daemon itself waits
// for are known immediately. If these alone fill the slots of the upstream that it would choose, a
// new flow goes to another zone whose upstream has over half a request less per slot. Otherwise the
// upstreams of a zone would shed requests in a burst while other zones have free capacity.
const (
	fullOutstanding   = 1.0
	outstandingMargin = 0.5
)

// Choose implements Policy.
func (z *ZoneAware) Choose(candidates []Candidate, seed uint64) *bundle.UpstreamRoute {
	return z.ChooseSampled(&listSampler{zone: z.zone, list: candidates, buffer: &z.buffer}, seed)
}

// ChooseSampled implements SamplingPolicy.
func (z *ZoneAware) ChooseSampled(s Sampler, seed uint64) *bundle.UpstreamRoute {
	own, ownFound := z.leastLoaded(s, seed, true)
	utilization := s.Utilization()
	if ownFound && utilization <= spilloverUtilization && own.outstanding() < fullOutstanding {
		return own.Route
	}
	other, otherFound := z.leastLoaded(s, seed, false)
	switch {
	case !otherFound && !ownFound:
		return nil
	case !ownFound:
		return other.Route
	case !otherFound || other.ZoneFlowsPerSlot < 0:
		return own.Route
	case utilization > spilloverUtilization && other.ZoneFlowsPerSlot*other.RequestsPerFlow+spilloverMargin < utilization:
		return other.Route
	case own.outstanding() >= fullOutstanding && other.outstanding()+outstandingMargin < own.outstanding():
		return other.Route
	}
	return own.Route
}

// leastLoaded returns the least loaded of a few random candidates of the own zone or of the others,
// and whether there is one.
func (z *ZoneAware) leastLoaded(s Sampler, seed uint64, own bool) (best Candidate, found bool) {
	z.source.Seed(seed, seed)
	least := math.Inf(1)
	list := s.Sample(own, z.choices, z.rng)
	for i := range list {
		if cost := list[i].cost(); cost < least {
			best, least, found = list[i], cost, true
		}
	}
	return best, found
}

// listSampler is a Sampler over a list of candidates.
type listSampler struct {
	zone   bundle.Zone
	list   []Candidate
	buffer *[]Candidate
}

// Sample implements Sampler by a partial shuffle.
func (l *listSampler) Sample(own bool, n int, rng *rand.Rand) []Candidate {
	out := (*l.buffer)[:0]
	for i := range l.list {
		if c := &l.list[i]; (c.Route.Zone == l.zone) == own && c.hasCapacity() {
			out = append(out, *c)
		}
	}
	*l.buffer = out
	n = min(n, len(out))
	for i := range n {
		j := i + rng.IntN(len(out)-i)
		out[i], out[j] = out[j], out[i]
	}
	return out[:n]
}

// Utilization implements Sampler. It covers the whole zone, because the flows of a single upstream
// say too little.
func (l *listSampler) Utilization() float64 {
	var busy float64
	slots := 0
	for i := range l.list {
		if c := &l.list[i]; c.Route.Zone == l.zone && c.hasCapacity() {
			busy += float64(c.Load.Total()) * c.RequestsPerFlow
			slots += c.Route.Slots
		}
	}
	return busy / float64(max(1, slots))
}

// outstanding returns how many requests to the upstream this daemon waits for, per slot.
func (c *Candidate) outstanding() float64 {
	return float64(c.Load.Requests.Load()) / float64(c.Route.Slots)
}

// hasCapacity reports whether the candidate may be given one more flow.
func (c *Candidate) hasCapacity() bool {
	return !c.Route.Drain && c.Load.Total() < int64(c.Route.Connections)
}

// cost returns the candidate's load per slot.
func (c *Candidate) cost() float64 {
	flows := float64(c.Load.Total())
	if c.WarmingUp {
		flows += warmupFlows
	}
	return (flows + requestWeight*float64(c.Load.Requests.Load())) / float64(c.Route.Slots)
}
