package cookie_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// zoneAtCapacity returns an engine whose only upstream of the own zone has two requests
// outstanding, one for each slot, and that has a report of free capacity in the other zone, which
// has two upstreams.
func zoneAtCapacity() *cookie.Engine {
	GinkgoHelper()
	list := registrations(3)
	list[1].Zone, list[2].Zone = otherZone, otherZone
	e := newEngine(list)
	reportFreeCapacity(e, start)
	for n := range 2 {
		c := newCaller(100+n, feedAt)
		u := c.open(e, start)
		Expect(u.Route.Zone).To(Equal(ownZone))
		e.Decide(c.request(10), start)
	}
	return e
}

// reportFreeCapacity makes an engine receive a report that the other zone has free capacity.
func reportFreeCapacity(e *cookie.Engine, now time.Time) {
	e.SetZoneLoads([]peer.ZoneLoad{{Zone: otherZone, Service: "feed", Flows: 1, Slots: 4}}, now)
}

var _ = Describe("A new flow of a zone that is short of slots", func() {
	// Guards against requests that wait in the own zone's queues when its callers send twice as
	// many for a few seconds. The load that members report is that of the seconds before.
	It("spills over to another zone if this host alone fills the slots of the own one", func() {
		e := zoneAtCapacity()
		v := e.Decide(newCaller(1, feedAt).first(0), start)
		Expect(v.Cause).To(Equal(cookie.CauseSpilled))
	})

	It("stays while there is a slot for it", func() {
		list := registrations(2)
		list[0].Slots, list[1].Zone = 3, otherZone
		e := newEngine(list)
		reportFreeCapacity(e, start)
		for n := range 2 {
			c := newCaller(100+n, feedAt)
			c.open(e, start)
			e.Decide(c.request(10), start)
		}
		Expect(e.Decide(newCaller(1, feedAt).first(0), start).Cause).To(Equal(cookie.CausePlaced))
	})

	It("stays if no report shows free capacity in another zone", func() {
		e := zoneAtCapacity()
		now := start.Add(1200 * ms)
		e.SetZoneLoads(nil, now)
		Expect(e.Decide(newCaller(1, feedAt).first(0), now).Cause).To(Equal(cookie.CausePlaced))
	})

	// Guards against flow after flow being sent to zones that are cut off at the moment of the
	// burst. The reports of their free capacity are from before, and each flow would wait 200 ms
	// for its retransmission.
	It("stays once a first packet to the other zone went unanswered", func() {
		e := zoneAtCapacity()
		c := newCaller(1, feedAt)
		Expect(e.Decide(c.first(0), start).Cause).To(Equal(cookie.CauseSpilled))
		now := start.Add(200 * ms)
		seeOwnZone(e, now)
		Expect(e.Decide(c.first(1), now).Cause).To(Equal(cookie.CauseSilent))
		reportFreeCapacity(e, now)
		Expect(e.Decide(newCaller(2, feedAt).first(0), now).Cause).To(Equal(cookie.CausePlaced))
		later := now.Add(2100 * ms)
		reportFreeCapacity(e, later)
		fillSlots(e, later)
		Expect(e.Decide(newCaller(3, feedAt).first(0), later).Cause).To(Equal(cookie.CauseSpilled), "the zone may be reachable again")
	})

	// One upstream of the other zone is dead, and the rest of that zone answers.
	It("spills over there if other upstreams of that zone are seen", func() {
		e := zoneAtCapacity()
		c := newCaller(1, feedAt)
		dead := e.Decide(c.first(0), start).Upstream
		now := start.Add(200 * ms)
		seeOtherZone(e, dead, now)
		Expect(e.Decide(c.first(1), now).Cause).To(Equal(cookie.CauseSilent))
		Expect(e.Decide(newCaller(2, feedAt).first(0), now).Cause).To(Equal(cookie.CauseSpilled))
	})
})

// seeOwnZone makes the upstream of the own zone show a sign of life.
func seeOwnZone(e *cookie.Engine, now time.Time) {
	c := newCaller(300, feedAt)
	c.cookie = cookie.Of(registration(1).ID)
	e.Decide(c.request(1), now)
	e.Decide(c.ackPacket(1), now)
}

// seeOtherZone makes another upstream of the other zone show a sign of life.
func seeOtherZone(e *cookie.Engine, not *cookie.Upstream, now time.Time) {
	for _, r := range []registry.Registration{registration(2), registration(3)} {
		if r.ID == not.Route.ID {
			continue
		}
		c := newCaller(301, feedAt)
		c.cookie = cookie.Of(r.ID)
		e.Decide(c.request(1), now)
		e.Decide(c.ackPacket(1), now)
	}
}

// fillSlots fills the slots of the own zone's upstream again.
func fillSlots(e *cookie.Engine, now time.Time) {
	for n := range 2 {
		c := newCaller(400+n, feedAt)
		c.cookie = cookie.Of(registration(1).ID)
		e.Decide(c.request(10), now)
	}
}
