package cookie_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// busyZone returns an engine whose one upstream of the own zone has two requests outstanding,
// one for each slot, and that was told of room in the other zone, where another two upstreams
// are.
func busyZone() *cookie.Engine {
	GinkgoHelper()
	list := registrations(3)
	list[1].Zone, list[2].Zone = otherZone, otherZone
	e := newEngine(list)
	room(e, start)
	for n := range 2 {
		c := newCaller(100+n, feedAt)
		u := c.open(e, start)
		Expect(u.Route.Zone).To(Equal(ownZone))
		e.Decide(c.request(10), start)
	}
	return e
}

// room tells an engine that the other zone has room.
func room(e *cookie.Engine, now time.Time) {
	e.SetZoneLoads([]peer.ZoneLoad{{Zone: otherZone, Service: "feed", Flows: 1, Slots: 4}}, now)
}

var _ = Describe("A new flow of a zone that is short of slots", func() {
	// A zone's callers ask twice as much for a few seconds. The load that members tell each
	// other is of the seconds before, so their requests wait in the own zone's queues.
	It("goes to another zone if this host alone fills the slots of the own one", func() {
		e := busyZone()
		v := e.Decide(newCaller(1, feedAt).first(0), start)
		Expect(v.Cause).To(Equal(cookie.CauseSpilled))
	})

	It("stays while there is a slot for it", func() {
		list := registrations(2)
		list[0].Slots, list[1].Zone = 3, otherZone
		e := newEngine(list)
		room(e, start)
		for n := range 2 {
			c := newCaller(100+n, feedAt)
			c.open(e, start)
			e.Decide(c.request(10), start)
		}
		Expect(e.Decide(newCaller(1, feedAt).first(0), start).Cause).To(Equal(cookie.CausePlaced))
	})

	It("stays if nobody tells of another zone's room", func() {
		e := busyZone()
		now := start.Add(1200 * ms)
		e.SetZoneLoads(nil, now)
		Expect(e.Decide(newCaller(1, feedAt).first(0), now).Cause).To(Equal(cookie.CausePlaced))
	})

	// The other zones are cut off at the moment of the burst. What is known of their room is
	// from before, so flow after flow goes there and waits 200 ms for its copy.
	It("stays once a first packet to the other zone went unanswered", func() {
		e := busyZone()
		c := newCaller(1, feedAt)
		Expect(e.Decide(c.first(0), start).Cause).To(Equal(cookie.CauseSpilled))
		now := start.Add(200 * ms)
		openAtOwn(e, now)
		Expect(e.Decide(c.first(1), now).Cause).To(Equal(cookie.CauseSilent))
		room(e, now)
		Expect(e.Decide(newCaller(2, feedAt).first(0), now).Cause).To(Equal(cookie.CausePlaced))
		later := now.Add(2100 * ms)
		room(e, later)
		busy(e, later)
		Expect(e.Decide(newCaller(3, feedAt).first(0), later).Cause).To(Equal(cookie.CauseSpilled), "the cut may be over")
	})

	// One upstream of the other zone is dead, and the rest of that zone answers.
	It("goes there all the same if others of that zone are heard", func() {
		e := busyZone()
		c := newCaller(1, feedAt)
		dead := e.Decide(c.first(0), start).Upstream
		now := start.Add(200 * ms)
		heardElsewhere(e, dead, now)
		Expect(e.Decide(c.first(1), now).Cause).To(Equal(cookie.CauseSilent))
		Expect(e.Decide(newCaller(2, feedAt).first(0), now).Cause).To(Equal(cookie.CauseSpilled))
	})
})

// openAtOwn lets an upstream of the own zone be heard.
func openAtOwn(e *cookie.Engine, now time.Time) {
	c := newCaller(300, feedAt)
	c.cookie = cookie.Of(registration(1).ID)
	e.Decide(c.request(1), now)
	e.Decide(c.ackPacket(1), now)
}

// heardElsewhere lets another upstream of the other zone be heard.
func heardElsewhere(e *cookie.Engine, not *cookie.Upstream, now time.Time) {
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

// busy fills the slots of the own zone's upstream anew.
func busy(e *cookie.Engine, now time.Time) {
	for n := range 2 {
		c := newCaller(400+n, feedAt)
		c.cookie = cookie.Of(registration(1).ID)
		e.Decide(c.request(10), now)
	}
}
