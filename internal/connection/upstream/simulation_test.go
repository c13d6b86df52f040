package upstream_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// The patterns of load below are simulated by a small queueing model without a network. Its figures
// are those of the users' second installation: upstreams with 3 slots and a queue of 12 requests,
// requests of 55 ms, a flow with about 1.3 requests per second, and balancers that learn of each
// other's flows half a second late.
const (
	simSlots         = 3
	simQueue         = 12
	simServiceTime   = 55 * time.Millisecond
	simRequestPeriod = 750 * time.Millisecond
	simReportPeriod  = 500 * time.Millisecond
	simDeadline      = 250 * time.Millisecond
	simBalancers     = 3
	simLength        = 20 * time.Second
	simFlowLength    = 5 * time.Second
)

// simulation is one run of the model.
type simulation struct {
	rng       *rand.Rand
	policy    func(zone bundle.Zone) upstream.Policy
	now       time.Duration
	events    events
	upstreams []*simUpstream
	zones     map[bundle.Zone]*simZone
	// requestsPerFlow is what balancers assume as the number of requests in progress for each flow.
	requestsPerFlow       float64
	sent, refused, inTime int
}

type simUpstream struct {
	route               *bundle.UpstreamRoute
	flows               int64
	inProgress, waiting int
	// received counts the requests that arrived.
	received int
	dead     bool
	// queue holds the arrival times of the requests that wait for a slot.
	queue []time.Duration
}

// simZone is the balancers of a zone: what each counts, and the counts of all as of the last
// report.
type simZone struct {
	hosts    []map[*simUpstream]*upstream.Load
	reported map[*simUpstream]int64
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSimulation(perZone int, zones []bundle.Zone, policy func(bundle.Zone) upstream.Policy) *simulation {
	r := &simulation{
		rng: rand.New(rand.NewPCG(1, 2)), policy: policy, zones: make(map[bundle.Zone]*simZone),
		requestsPerFlow: simServiceTime.Seconds() / simRequestPeriod.Seconds(),
	}
	for i, z := range zones {
		r.zones[z] = &simZone{reported: make(map[*simUpstream]int64)}
		for range simBalancers {
			r.zones[z].hosts = append(r.zones[z].hosts, make(map[*simUpstream]*upstream.Load))
		}
		for n := range perZone {
			r.upstreams = append(r.upstreams, &simUpstream{route: &bundle.UpstreamRoute{
				ID: bundle.UpstreamID(100*i + n + 1), Zone: z, Slots: simSlots, Connections: 2000,
			}})
		}
	}
	r.every(simReportPeriod, r.report)
	return r
}

func (r *simulation) at(d time.Duration, do func()) {
	heap.Push(&r.events, event{at: r.now + d, do: do})
}

func (r *simulation) every(d time.Duration, do func()) {
	r.at(d, func() {
		do()
		r.every(d, do)
	})
}

func (r *simulation) play() {
	for len(r.events) > 0 && r.events[0].at < simLength {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
}

// report makes the flows of all balancers known to the balancers of each zone.
func (r *simulation) report() {
	for _, z := range r.zones {
		for _, u := range r.upstreams {
			z.reported[u] = u.flows
		}
	}
}

// caller opens flows from a zone one after the other.
func (r *simulation) caller(zone bundle.Zone) {
	u, l := r.place(zone)
	if u == nil {
		r.at(simRequestPeriod, func() { r.caller(zone) })
		return
	}
	u.flows++
	l.Flows.Add(1)
	end := r.now + simFlowLength/2 + time.Duration(r.rng.Int64N(int64(simFlowLength)))
	r.requests(zone, u, l, end)
}

func (r *simulation) requests(zone bundle.Zone, u *simUpstream, l *upstream.Load, end time.Duration) {
	pause := simRequestPeriod/2 + time.Duration(r.rng.Int64N(int64(simRequestPeriod)))
	r.at(pause, func() {
		if u.dead || r.now > end {
			u.flows--
			l.Flows.Add(-1)
			r.caller(zone)
			return
		}
		r.request(u)
		r.requests(zone, u, l, end)
	})
}

func (r *simulation) request(u *simUpstream) {
	r.sent++
	u.received++
	if u.inProgress == simSlots && u.waiting == simQueue {
		r.refused++
		return
	}
	if u.inProgress == simSlots {
		u.waiting++
		u.queue = append(u.queue, r.now)
		return
	}
	u.inProgress++
	r.work(u, r.now)
}

func (r *simulation) work(u *simUpstream, sentAt time.Duration) {
	took := time.Duration(r.rng.ExpFloat64() * float64(simServiceTime))
	r.at(took, func() {
		if !u.dead && r.now-sentAt <= simDeadline {
			r.inTime++
		}
		if u.waiting == 0 {
			u.inProgress--
			return
		}
		next := u.queue[0]
		u.queue = u.queue[1:]
		u.waiting--
		r.work(u, next)
	})
}

// place chooses an upstream by the policy of one of the zone's balancers.
func (r *simulation) place(zone bundle.Zone) (*simUpstream, *upstream.Load) {
	z := r.zones[zone]
	host := z.hosts[r.rng.IntN(simBalancers)]
	var candidates []upstream.Candidate
	byID := make(map[bundle.UpstreamID]*simUpstream)
	table := upstream.NewLoadTable()
	for _, u := range r.upstreams {
		if u.dead {
			continue
		}
		if host[u] == nil {
			host[u] = &upstream.Load{}
		}
		l := table.Load(u.route.ID)
		own := host[u].Flows.Load()
		l.Flows.Store(own)
		table.UpdateReported(upstream.MemberID(u.route.ID), []bundle.UpstreamID{u.route.ID},
			[]uint32{uint32(max(0, z.reported[u]-own))})
		byID[u.route.ID] = u
		candidates = append(candidates, upstream.Candidate{
			Route: u.route, Load: l, RequestsPerFlow: r.requestsPerFlow, ZoneFlowsPerSlot: r.zoneFlowsPerSlot(zone, u.route.Zone),
		})
	}
	route := r.policy(zone).Choose(candidates, r.rng.Uint64())
	if route == nil {
		return nil, nil
	}
	u := byID[route.ID]
	return u, host[u]
}

func (r *simulation) zoneFlowsPerSlot(own, zone bundle.Zone) float64 {
	if own == zone {
		return 0
	}
	flows, slots := int64(0), 0
	for _, u := range r.upstreams {
		if u.route.Zone == zone && !u.dead {
			flows += r.zones[zone].reported[u]
			slots += simSlots
		}
	}
	return float64(flows) / float64(max(1, slots))
}

func (r *simulation) String() string {
	return fmt.Sprintf("%d of %d in time, %d refused", r.inTime, r.sent, r.refused)
}

func (r *simulation) share() float64 { return float64(r.inTime) / float64(max(1, r.sent)) }

// ownOnly is a policy without spillover to other zones.
type ownOnly struct{ upstream.Policy }

func (o ownOnly) Choose(candidates []upstream.Candidate, seed uint64) *bundle.UpstreamRoute {
	for i := range candidates {
		if candidates[i].ZoneFlowsPerSlot != 0 {
			candidates[i].ZoneFlowsPerSlot = -1 // Unknown: no flow spills over to that zone.
		}
	}
	return o.Policy.Choose(candidates, seed)
}

// ownZoneHashed is a naive policy: an upstream of the own zone by the flow's hash.
type ownZoneHashed bundle.Zone

func (o ownZoneHashed) Choose(candidates []upstream.Candidate, seed uint64) *bundle.UpstreamRoute {
	var own []upstream.Candidate
	for i := range candidates {
		if candidates[i].Route.Zone == bundle.Zone(o) {
			own = append(own, candidates[i])
		}
	}
	return upstream.Hashed{}.Choose(own, seed)
}

var _ = Describe("Placement by two choices", func() {
	// Each of many balancers chooses the upstream that had the fewest flows half a second ago. All
	// choose the same one, its queue fills, and it sheds requests while others idle.
	It("doesn't send all new flows of half a second to one upstream", func() {
		play := func(choices int) *simulation {
			r := newSimulation(40, []bundle.Zone{"a"}, func(z bundle.Zone) upstream.Policy { return upstream.NewZoneAware(z, choices) })
			for range 1100 {
				r.at(time.Duration(r.rng.Int64N(int64(time.Second))), func() { r.caller("a") })
			}
			r.play()
			return r
		}
		two, all := play(upstream.DefaultChoices), play(1000)
		Expect(two.share()).To(BeNumerically(">", all.share()+0.01), "two: %v; least of all: %v", two, all)
		Expect(two.refused).To(BeNumerically("<", all.refused), "two: %v; least of all: %v", two, all)
	})
})

var _ = Describe("Placement across zones", func() {
	zones := []bundle.Zone{"a", "b", "c"}
	play := func(policy func(bundle.Zone) upstream.Policy, crash int) *simulation {
		r := newSimulation(5, zones, policy)
		for i := range 360 {
			r.at(time.Duration(r.rng.Int64N(int64(time.Second))), func() { r.caller(zones[i%3]) })
		}
		r.at(6*time.Second, func() {
			for _, u := range r.upstreams[:crash] {
				u.dead = true
			}
		})
		r.play()
		return r
	}
	spillover := func(z bundle.Zone) upstream.Policy { return upstream.NewZoneAware(z, upstream.DefaultChoices) }
	ownZoneOnly := func(z bundle.Zone) upstream.Policy { return ownOnly{spillover(z)} }
	// leastOfAll places flows on the least loaded upstream of all zones, whatever the traffic
	// between zones costs.
	leastOfAll := func(bundle.Zone) upstream.Policy { return upstream.LeastLoaded{} }

	// Three of a zone's five upstreams crash before the weekly peak. Without spillover its requests
	// wait for the remaining two, while other zones idle.
	It("serves a zone that lost most of its upstreams nearly as well as placement in any zone does", func() {
		with, without, best := play(spillover, 3), play(ownZoneOnly, 3), play(leastOfAll, 3)
		Expect(with.share()).To(BeNumerically(">", without.share()+0.05), "with: %v; without: %v", with, without)
		Expect(with.share()).To(BeNumerically(">", best.share()-0.05), "with: %v; anywhere: %v", with, best)
	})

	// The editing service has just the upstreams that the weekly peak needs. If one upstream of a
	// zone gets a third more requests than the others, requests wait there while others have free
	// slots.
	It("spreads the requests of a zone over its upstreams within a fifth of their mean", func() {
		worst := func(policy func(bundle.Zone) upstream.Policy) float64 {
			most := 0.0
			byZone := make(map[bundle.Zone][]int)
			for _, u := range play(policy, 0).upstreams {
				byZone[u.route.Zone] = append(byZone[u.route.Zone], u.received)
			}
			for _, received := range byZone {
				sum := 0
				for _, n := range received {
					sum += n
				}
				most = max(most, float64(slices.Max(received)*len(received))/float64(sum))
			}
			return most
		}
		hashed := worst(func(z bundle.Zone) upstream.Policy { return ownZoneHashed(z) })
		ours := worst(spillover)
		Expect(ours).To(BeNumerically("<", 1.2))
		Expect(ours).To(BeNumerically("<", hashed), "ours %.3f, hashed %.3f", ours, hashed)
	})

	It("stays in the own zone while it has free capacity", func() {
		r := play(spillover, 0)
		crossed := int64(0)
		for z, hosts := range r.zones {
			for _, h := range hosts.hosts {
				for u, l := range h {
					if u.route.Zone != z {
						crossed += l.Flows.Load()
					}
				}
			}
		}
		Expect(crossed).To(BeZero())
	})
})
