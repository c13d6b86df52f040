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

// The patterns of load below are played on a small queueing model without a
// network. Its figures are those of the brief's second user: upstreams with 3
// slots and 12 places to wait, requests of 55 ms, a flow with about 1.3 requests a
// second, balancers that learn of each other's flows half a second late.
const (
	rushSlots   = 3
	rushQueue   = 12
	rushWork    = 55 * time.Millisecond
	rushPeriod  = 750 * time.Millisecond
	rushTold    = 500 * time.Millisecond
	rushLate    = 250 * time.Millisecond
	rushHosts   = 3
	rushLength  = 20 * time.Second
	rushFlowFor = 5 * time.Second
)

// rush is one play of the model.
type rush struct {
	rng       *rand.Rand
	policy    func(zone bundle.Zone) upstream.Policy
	now       time.Duration
	events    events
	upstreams []*rushUpstream
	zones     map[bundle.Zone]*rushZone
	// busy is what balancers take for the requests in progress of one flow.
	busy                   float64
	asked, refused, inTime int
}

type rushUpstream struct {
	route           *bundle.UpstreamRoute
	flows           int64
	inWork, waiting int
	// asked counts the requests that came.
	asked int
	dead  bool
	// finish is when each slot is free.
	queue []time.Duration
}

// rushZone is the balancers of a zone: what each counts, and what all counted when
// it was last told.
type rushZone struct {
	hosts []map[*rushUpstream]*upstream.Load
	told  map[*rushUpstream]int64
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

func newRush(perZone int, zones []bundle.Zone, policy func(bundle.Zone) upstream.Policy) *rush {
	r := &rush{
		rng: rand.New(rand.NewPCG(1, 2)), policy: policy, zones: make(map[bundle.Zone]*rushZone),
		busy: rushWork.Seconds() / rushPeriod.Seconds(),
	}
	for i, z := range zones {
		r.zones[z] = &rushZone{told: make(map[*rushUpstream]int64)}
		for range rushHosts {
			r.zones[z].hosts = append(r.zones[z].hosts, make(map[*rushUpstream]*upstream.Load))
		}
		for n := range perZone {
			r.upstreams = append(r.upstreams, &rushUpstream{route: &bundle.UpstreamRoute{
				ID: bundle.UpstreamID(100*i + n + 1), Zone: z, Slots: rushSlots, Connections: 2000,
			}})
		}
	}
	r.every(rushTold, r.tell)
	return r
}

func (r *rush) at(d time.Duration, do func()) { heap.Push(&r.events, event{at: r.now + d, do: do}) }

func (r *rush) every(d time.Duration, do func()) {
	r.at(d, func() {
		do()
		r.every(d, do)
	})
}

func (r *rush) play() {
	for len(r.events) > 0 && r.events[0].at < rushLength {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
}

// tell lets the balancers of each zone know the flows of all.
func (r *rush) tell() {
	for _, z := range r.zones {
		for _, u := range r.upstreams {
			z.told[u] = u.flows
		}
	}
}

// caller opens flows of a zone one after the other.
func (r *rush) caller(zone bundle.Zone) {
	u, l := r.place(zone)
	if u == nil {
		r.at(rushPeriod, func() { r.caller(zone) })
		return
	}
	u.flows++
	l.Flows.Add(1)
	end := r.now + rushFlowFor/2 + time.Duration(r.rng.Int64N(int64(rushFlowFor)))
	r.requests(zone, u, l, end)
}

func (r *rush) requests(zone bundle.Zone, u *rushUpstream, l *upstream.Load, end time.Duration) {
	pause := rushPeriod/2 + time.Duration(r.rng.Int64N(int64(rushPeriod)))
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

func (r *rush) request(u *rushUpstream) {
	r.asked++
	u.asked++
	if u.inWork == rushSlots && u.waiting == rushQueue {
		r.refused++
		return
	}
	if u.inWork == rushSlots {
		u.waiting++
		u.queue = append(u.queue, r.now)
		return
	}
	u.inWork++
	r.work(u, r.now)
}

func (r *rush) work(u *rushUpstream, asked time.Duration) {
	took := time.Duration(r.rng.ExpFloat64() * float64(rushWork))
	r.at(took, func() {
		if !u.dead && r.now-asked <= rushLate {
			r.inTime++
		}
		if u.waiting == 0 {
			u.inWork--
			return
		}
		next := u.queue[0]
		u.queue = u.queue[1:]
		u.waiting--
		r.work(u, next)
	})
}

// place asks the policy of one of the zone's balancers.
func (r *rush) place(zone bundle.Zone) (*rushUpstream, *upstream.Load) {
	z := r.zones[zone]
	host := z.hosts[r.rng.IntN(rushHosts)]
	var candidates []upstream.Candidate
	byID := make(map[bundle.UpstreamID]*rushUpstream)
	board := upstream.NewLoadTable()
	for _, u := range r.upstreams {
		if u.dead {
			continue
		}
		if host[u] == nil {
			host[u] = &upstream.Load{}
		}
		l := board.Load(u.route.ID)
		own := host[u].Flows.Load()
		l.Flows.Store(own)
		board.UpdateReported(upstream.MemberID(u.route.ID), []bundle.UpstreamID{u.route.ID}, []uint32{uint32(max(0, z.told[u]-own))})
		byID[u.route.ID] = u
		candidates = append(candidates, upstream.Candidate{
			Route: u.route, Load: l, RequestsPerFlow: r.busy, ZoneFlowsPerSlot: r.zoneFlows(zone, u.route.Zone),
		})
	}
	route := r.policy(zone).Choose(candidates, r.rng.Uint64())
	if route == nil {
		return nil, nil
	}
	u := byID[route.ID]
	return u, host[u]
}

func (r *rush) zoneFlows(own, zone bundle.Zone) float64 {
	if own == zone {
		return 0
	}
	flows, slots := int64(0), 0
	for _, u := range r.upstreams {
		if u.route.Zone == zone && !u.dead {
			flows += r.zones[zone].told[u]
			slots += rushSlots
		}
	}
	return float64(flows) / float64(max(1, slots))
}

func (r *rush) String() string {
	return fmt.Sprintf("%d of %d in time, %d refused", r.inTime, r.asked, r.refused)
}

func (r *rush) share() float64 { return float64(r.inTime) / float64(max(1, r.asked)) }

// ownOnly is the policy before: never across zones.
type ownOnly struct{ upstream.Policy }

func (o ownOnly) Choose(candidates []upstream.Candidate, seed uint64) *bundle.UpstreamRoute {
	for i := range candidates {
		if candidates[i].ZoneFlowsPerSlot != 0 {
			candidates[i].ZoneFlowsPerSlot = -1 // Not known: nothing spills there.
		}
	}
	return o.Policy.Choose(candidates, seed)
}

// ownZoneHashed is the naive policy: an upstream of the own zone by the flow's hash.
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

var _ = Describe("Placing by two choices", func() {
	// Each of many balancers takes the upstream that had the fewest flows half a
	// second ago. All take the same one, its queue is full, and it sheds requests
	// while its neighbours idle.
	It("doesn't send all new flows of half a second to one upstream", func() {
		play := func(choices int) *rush {
			r := newRush(40, []bundle.Zone{"a"}, func(z bundle.Zone) upstream.Policy { return upstream.NewZoneAware(z, choices) })
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

var _ = Describe("Placing across zones", func() {
	zones := []bundle.Zone{"a", "b", "c"}
	play := func(policy func(bundle.Zone) upstream.Policy, crash int) *rush {
		r := newRush(5, zones, policy)
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
	spill := func(z bundle.Zone) upstream.Policy { return upstream.NewZoneAware(z, upstream.DefaultChoices) }
	never := func(z bundle.Zone) upstream.Policy { return ownOnly{spill(z)} }
	// knowing places by the least loaded of all zones: it pays for each byte across.
	knowing := func(bundle.Zone) upstream.Policy { return upstream.LeastLoaded{} }

	// Three of a zone's five upstreams crash before the weekly rush. Its secretaries
	// wait behind the two that are left, while the zones beside it idle.
	It("serves a zone that lost most of its upstreams nearly as well as placing anywhere does", func() {
		with, without, best := play(spill, 3), play(never, 3), play(knowing, 3)
		Expect(with.share()).To(BeNumerically(">", without.share()+0.05), "with: %v; never: %v", with, without)
		Expect(with.share()).To(BeNumerically(">", best.share()-0.05), "with: %v; anywhere: %v", with, best)
	})

	// The editing service has just the upstreams that the weekly rush needs. If one of a
	// zone gets a third more than its neighbours, secretaries wait there while the others
	// have slots free.
	It("spreads the work of a zone over its upstreams within a fifth of their mean", func() {
		worst := func(policy func(bundle.Zone) upstream.Policy) float64 {
			most := 0.0
			byZone := make(map[bundle.Zone][]int)
			for _, u := range play(policy, 0).upstreams {
				byZone[u.route.Zone] = append(byZone[u.route.Zone], u.asked)
			}
			for _, asked := range byZone {
				sum := 0
				for _, n := range asked {
					sum += n
				}
				most = max(most, float64(slices.Max(asked)*len(asked))/float64(sum))
			}
			return most
		}
		hashed := worst(func(z bundle.Zone) upstream.Policy { return ownZoneHashed(z) })
		ours := worst(spill)
		Expect(ours).To(BeNumerically("<", 1.2))
		Expect(ours).To(BeNumerically("<", hashed), "ours %.3f, hashed %.3f", ours, hashed)
	})

	It("stays in the own zone while it has room", func() {
		r := play(spill, 0)
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
