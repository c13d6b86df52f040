package cookie_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// fixedShare is a WarmupLimiter that always allows the same number of flows a second.
type fixedShare int

func (f fixedShare) Share(bundle.UpstreamID, bundle.Zone, float64) int { return int(f) }

// Guards against overloaded upstreams when the evacuation of a zone ends. Its upstreams have just
// started and can handle a few requests a second each; requests beyond that are answered late or
// not at all, though other upstreams have free capacity.
var _ = Describe("An upstream that is slow after its start", func() {
	const slowFor = 3 * time.Second
	// slowEngine returns an engine whose service allows 20 flows a second at each slow upstream, of
	// which the limiter gives the share of this balancer. The first of its upstreams is slow.
	slowEngine := func(w cookie.WarmupLimiter, list []registry.Registration) *cookie.Engine {
		GinkgoHelper()
		list[0].Warmup = slowFor
		e := cookie.NewEngine(cookie.Options{
			Zone: ownZone, Policy: upstream.NewZoneAware(ownZone, upstream.DefaultChoices), FlowLifetime: time.Minute, WarmupLimiter: w,
		})
		b := content()
		for i := range b.Services {
			b.Services[i].WarmupRate = 20
		}
		e.SetRouting(bundle.NewRouting(1, b, nil), start)
		setUpstreams(e, list, start)
		e.ConfirmRegistrations(start)
		return e
	}
	// placed opens n flows, one each 10 ms from a time on, and returns how many of them the
	// upstream gets.
	placed := func(e *cookie.Engine, n int, from time.Time, u bundle.UpstreamID) int {
		got := 0
		for i := range n {
			if id(e.Decide(newCaller(i, feedAt).first(0), from.Add(time.Duration(i)*10*ms))) == u {
				got++
			}
		}
		return got
	}

	It("gets no more than this balancer's share in any second", func() {
		list := registrations(2)
		e := slowEngine(fixedShare(4), list)
		Expect(placed(e, 90, start, list[0].ID)).To(BeNumerically("<=", 4))
	})

	// Guards against upstreams that count as slow again after the store was restored from a
	// snapshot, which gives their entries new positions.
	It("isn't slow again when its entry only has another position", func() {
		list := registrations(2)
		e := slowEngine(fixedShare(4), list)
		warm := start.Add(slowFor)
		for i := range list {
			p, err := objects.NewPosition(1, list[i].Revision.Revision())
			Expect(err).NotTo(HaveOccurred())
			list[i].Revision, list[i].Created = p, p
		}
		setUpstreams(e, list, warm)
		e.ConfirmRegistrations(warm)
		Expect(placed(e, 90, warm, list[0].ID)).To(BeNumerically(">", 20))
	})

	It("gets as many flows as others once it is no longer slow", func() {
		list := registrations(2)
		e := slowEngine(fixedShare(4), list)
		Expect(placed(e, 90, start.Add(slowFor), list[0].ID)).To(BeNumerically(">", 30))
	})

	It("gets nothing from a balancer that has no share", func() {
		list := registrations(2)
		for _, w := range []cookie.WarmupLimiter{nil, fixedShare(0)} {
			e := slowEngine(w, list)
			Expect(placed(e, 50, start, list[0].ID)).To(BeZero())
		}
	})

	It("gets no flows beyond that even if there is no other: the caller is refused immediately", func() {
		list := registrations(1)
		e := slowEngine(fixedShare(2), list)
		Expect(placed(e, 50, start, list[0].ID)).To(Equal(2))
		Expect(e.Decide(newCaller(99, feedAt).first(0), start.Add(500*ms)).Action).To(Equal(cookie.ActionReset))
	})
})
