package cookie_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Guards against breaches of a contract by which a route's requests are answered in one region
// only. If an upstream elsewhere runs one, for want of another upstream or due to a retransmitted
// packet, data has left the region permanently.
var _ = Describe("A route that is bound to regions", func() {
	// boundEngine returns an engine with an upstream in each of two zones in two regions. Its
	// routes may use only the given regions.
	boundEngine := func(regions ...bundle.Region) *cookie.Engine {
		GinkgoHelper()
		list := registrations(2)
		list[1].Zone = otherZone
		e := newEngine(list)
		e.SetRegions(map[bundle.Zone]bundle.Region{ownZone: "north", otherZone: "south"})
		b := content()
		for i := range b.Routes {
			b.Routes[i].Regions = regions
		}
		e.SetRouting(bundle.NewRouting(2, b, nil), start)
		return e
	}

	It("sends new flows only there, even to another zone than the own one", func() {
		e := boundEngine("south")
		for n := range 50 {
			c := newCaller(n, feedAt)
			Expect(c.open(e, start).Route.Zone).To(Equal(otherZone))
			e.Decide(c.request(10), start)
		}
	})

	It("immediately refuses flows that can't be served there", func() {
		e := boundEngine("south")
		e.SetEvacuatedZones([]bundle.Zone{otherZone}, start)
		v := e.Decide(newCaller(1, feedAt).first(0), start)
		Expect(v.Action).To(Equal(cookie.ActionReset))
		Expect(v.Cause).To(Equal(cookie.CauseNoUpstream))
	})

	It("doesn't send the retransmission of a first packet elsewhere", func() {
		e := boundEngine("south")
		c := newCaller(1, feedAt)
		dead := e.Decide(c.first(0), start).Upstream
		other := newCaller(2, feedAt)
		other.cookie = cookie.Of(registration(1).ID)
		e.Decide(other.request(10), start)
		e.Decide(other.ackPacket(10), start.Add(150*ms))
		v := e.Decide(c.first(1), start.Add(200*ms))
		Expect(v.Upstream).To(Equal(dead))
	})

	It("doesn't use upstreams whose region isn't known", func() {
		e := boundEngine("south")
		e.SetRegions(nil)
		Expect(e.Decide(newCaller(1, feedAt).first(0), start).Action).To(Equal(cookie.ActionReset))
	})
})
