package cookie_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// manyRegistrations returns n upstreams of "feed", spread over the given zones.
func manyRegistrations(n int, zones ...bundle.Zone) []registry.Registration {
	out := make([]registry.Registration, 0, n)
	for i := range n {
		r := registration(1)
		r.ID = bundle.UpstreamID(0xdef0000 + 7919*i)
		r.Zone = zones[i%len(zones)]
		r.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8080)
		out = append(out, r)
	}
	return out
}

// placeFlows places n flows of different callers and returns how many each upstream got.
func placeFlows(e *cookie.Engine, n int, now time.Time) map[bundle.UpstreamID]int {
	GinkgoHelper()
	out := make(map[bundle.UpstreamID]int)
	for i := range n {
		p := newCaller(i, feedAt).first(0)
		p.Key.CallerIP[1] = byte(i >> 16)
		v := e.Decide(p, now)
		Expect(v.Action).To(Equal(cookie.ActionForward))
		out[v.Upstream.Route.ID]++
	}
	return out
}

// exclusion keeps a share of the upstreams from taking flows.
type exclusion struct {
	// apply excludes upstreams of the list and returns the changed list.
	apply func(e *cookie.Engine, list []registry.Registration) []registry.Registration
	// excluded reports whether a new flow must not be given to an upstream.
	excluded func(i int, r *registry.Registration) bool
}

var exclusions = map[string]exclusion{
	"none": {
		apply:    func(_ *cookie.Engine, list []registry.Registration) []registry.Registration { return list },
		excluded: func(int, *registry.Registration) bool { return false },
	},
	"half of them drain": {
		apply: func(e *cookie.Engine, list []registry.Registration) []registry.Registration {
			for i := range list {
				list[i].Draining = i/2%2 == 0
			}
			setUpstreams(e, list, start)
			return list
		},
		excluded: func(_ int, r *registry.Registration) bool { return r.Draining },
	},
	"a third are suspects": {
		apply: func(e *cookie.Engine, list []registry.Registration) []registry.Registration {
			for i := range list {
				if i%3 == 0 {
					e.NoteReportedDead(list[i].ID, start)
				}
			}
			return list
		},
		excluded: func(i int, _ *registry.Registration) bool { return i%3 == 0 },
	},
	"the own zone is evacuated": {
		apply: func(e *cookie.Engine, list []registry.Registration) []registry.Registration {
			e.SetEvacuatedZones([]bundle.Zone{ownZone}, start)
			return list
		},
		excluded: func(_ int, r *registry.Registration) bool { return r.Zone == ownZone },
	},
	"the own zone has no upstream": {
		apply: func(e *cookie.Engine, list []registry.Registration) []registry.Registration {
			for i := range list {
				list[i].Zone = otherZone
			}
			setUpstreams(e, list, start)
			return list
		},
		excluded: func(int, *registry.Registration) bool { return false },
	},
}

var _ = Describe("Placement among many upstreams", func() {
	// Guards against a cost of a new flow that grows with the fleet: on a small host a walk over
	// 8,000 upstreams takes two milliseconds for each flow.
	It("looks at no more upstreams in a fleet a hundred times as large", func() {
		for name, x := range exclusions {
			looks := func(upstreams int) uint64 {
				list := manyRegistrations(upstreams, ownZone, otherZone)
				e := newEngine(list)
				x.apply(e, list)
				const flows = 200
				placeFlows(e, flows, start)
				return e.Looks() / flows
			}
			small, large := looks(200), looks(20_000)
			Expect(large).To(BeNumerically("<=", 2*small), name)
			Expect(large).To(BeNumerically("<=", 8), name)
		}
	})

	// Guards against samples that favour some upstreams, or that include those that must get none.
	It("spreads flows evenly over those that take flows", func() {
		for name, x := range exclusions {
			const upstreams, perUpstream = 400, 20
			list := manyRegistrations(upstreams, ownZone, otherZone)
			e := newEngine(list)
			list = x.apply(e, list)
			got := placeFlows(e, upstreams*perUpstream, start)
			most, least, used := 0, upstreams*perUpstream, 0
			for i := range list {
				n := got[list[i].ID]
				if x.excluded(i, &list[i]) {
					Expect(n).To(BeZero(), name)
					continue
				}
				if n > 0 {
					most, least, used = max(most, n), min(least, n), used+1
				}
			}
			mean := upstreams * perUpstream / used
			Expect(most-mean).To(BeNumerically("<=", 4), name)
			Expect(mean-least).To(BeNumerically("<=", 8), name)
		}
	})

	// Guards against work that each host does twenty times a second for every upstream of the fleet.
	It("checks and reports only upstreams that are in doubt or have flows", func() {
		list := manyRegistrations(20_000, ownZone, otherZone)
		e := newEngine(list)
		Expect(e.InDoubt()).To(BeZero())
		Expect(e.Active()).To(BeZero())
		placeFlows(e, 10, start)
		for i := range 5 {
			e.NoteReportedDead(list[i].ID, start)
		}
		Expect(e.InDoubt()).To(Equal(5))
		Expect(e.Active()).To(BeNumerically("<=", 10))
		Expect(e.DueProbes(start)).To(HaveLen(5))
	})

	It("finds the one upstream that still takes flows", func() {
		list := manyRegistrations(5000, ownZone)
		e := newEngine(list)
		for i := range list[1:] {
			e.NoteReportedDead(list[i+1].ID, start)
		}
		Expect(placeFlows(e, 10, start)).To(Equal(map[bundle.UpstreamID]int{list[0].ID: 10}))
	})
})

// TestIndexAgreesWithWalk compares the sets and sums that are kept up to date with a walk over all
// upstreams, after random events.
func TestIndexAgreesWithWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		RegisterTestingT(t)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		list := manyRegistrations(40, ownZone, otherZone)
		e := newEngine(list)
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rng.IntN(400)) * time.Millisecond)
			randomEvent(e, list, rng, now)
			if err := e.CheckIndex(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// randomEvent makes one event happen to the engine.
func randomEvent(e *cookie.Engine, list []registry.Registration, rng *rand.Rand, now time.Time) {
	r := &list[rng.IntN(len(list))]
	c := newCaller(rng.IntN(100), feedAt)
	switch rng.IntN(12) {
	case 0:
		e.Update([]registry.Change{{Registration: *r, Removed: true}}, now)
	case 1:
		r.Revision++
		r.Draining = rng.IntN(3) == 0
		e.Update([]registry.Change{{Registration: *r}}, now)
	case 2:
		r.Revision++
		r.StartTime += 1000
		e.Update([]registry.Change{{Registration: *r}}, now)
	case 3:
		r.Revision++
		unusable := *r
		unusable.Unusable = true
		e.Update([]registry.Change{{Registration: unusable}}, now)
	case 4:
		r.Revision++
		strange := *r
		strange.Service = []string{"feed", "sheets", "nowhere"}[rng.IntN(3)]
		e.Update([]registry.Change{{Registration: strange}}, now)
	case 5:
		e.NoteReportedDead(r.ID, now)
	case 6:
		for _, p := range e.DueProbes(now) {
			e.ProbeDone(p.Upstream.ID, cookie.ProbeResult(rng.IntN(5)), now, now.Add(time.Millisecond))
		}
	case 7:
		for _, p := range e.DueProbes(now) {
			e.ProbePending(p.Upstream.ID, now, now.Add(time.Millisecond))
		}
	case 8:
		e.Expire(now)
		e.Report(1)
	case 9:
		loads := []peer.Load{{Cookie: uint32(cookie.Of(r.ID)), Flows: uint32(rng.IntN(9)), Failed: uint32(rng.IntN(9))}}
		e.ApplyZoneReport(&peer.Report{From: 2, IsSum: true, Loads: loads, Dead: []bundle.UpstreamID{list[0].ID}}, now)
	case 10:
		e.SetRouting(routing(e.Version()+1), now)
	default:
		if v := e.Decide(c.first(uint32(rng.IntN(3))), now); v.Action == cookie.ActionForward && v.Upstream != nil {
			c.receiveAnswer(v.Upstream)
			e.Decide(c.ackPacket(1), now)
			e.Decide(c.request(10), now)
			if rng.IntN(2) == 0 {
				e.Decide(c.ackPacket(5), now)
			}
		}
	}
}
