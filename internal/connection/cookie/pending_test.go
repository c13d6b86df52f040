package cookie_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// seeUpstream makes an upstream show a sign of life to a caller.
func seeUpstream(e *cookie.Engine, n int, u bundle.UpstreamID, now time.Time) {
	c := newCaller(n, feedAt)
	c.cookie = cookie.Of(u)
	e.Decide(c.request(10), now)
	e.Decide(c.ackPacket(10), now)
}

// seeOtherUpstream makes one of the first three upstreams other than the given one show a sign of
// life.
func seeOtherUpstream(e *cookie.Engine, n int, not *cookie.Upstream, now time.Time) {
	for _, r := range registrations(3) {
		if r.ID != not.Route.ID {
			seeUpstream(e, n, r.ID, now)
			return
		}
	}
}

// Guards against missed objectives when an upstream falls silent. Its caller retransmits the
// request only after 200 ms. If the upstream were suspected only then, the objective of 150 ms
// would have passed long before the upstream is found dead and its flows are reset.
var _ = Describe("A request that waits for a large part of its objective", func() {
	// waiting opens a flow, makes another upstream show a sign of life and sends a request at the
	// time that it returns.
	waiting := func(e *cookie.Engine) (*caller, *cookie.Upstream, time.Time) {
		GinkgoHelper()
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		now := start.Add(400 * ms)
		openAtOther(e, u, now)
		e.Decide(c.request(10), now)
		return c, u, now
	}

	It("has its upstream probed before the caller retransmits it", func() {
		e := newEngine(registrations(3))
		_, u, asked := waiting(e)
		Expect(e.DueProbes(asked.Add(40*ms))).To(BeEmpty(), "any request may take that long")
		due := e.DueProbes(asked.Add(objective / 2))
		Expect(due).To(HaveLen(1))
		Expect(due[0].Upstream.ID).To(Equal(u.Route.ID))
	})

	It("causes no probe if it is answered, even if a later one waits", func() {
		e := newEngine(registrations(3))
		c, u, asked := waiting(e)
		e.Decide(c.ackPacket(100), asked.Add(20*ms))
		Expect(e.DueProbes(asked.Add(objective))).To(BeEmpty())
		again := asked.Add(400 * ms)
		seeOtherUpstream(e, 78, u, again)
		e.Decide(c.request(10), again)
		Expect(e.DueProbes(again.Add(40*ms))).To(BeEmpty(), "the earlier request has been answered")
	})

	// The daemon checks the waiting requests late, as on a host that is short of processor time.
	It("causes no probe if its upstream has answered another flow since", func() {
		e := newEngine(registrations(3))
		_, u, asked := waiting(e)
		seeUpstream(e, 77, u.Route.ID, asked.Add(10*ms))
		seeOtherUpstream(e, 78, u, asked.Add(290*ms))
		Expect(e.DueProbes(asked.Add(300 * ms))).To(BeEmpty())
	})

	It("causes no probe while an answered one shows that its upstream is alive", func() {
		e := newEngine(registrations(3))
		c, u, asked := waiting(e)
		now := asked.Add(objective / 2)
		Expect(e.DueProbes(now)).To(HaveLen(1))
		e.ProbeDone(u.Route.ID, cookie.ProbeAlive, now, now)
		e.Decide(c.ackPacket(100), now.Add(10*ms))
		e.Decide(c.request(10), now.Add(300*ms))
		Expect(e.DueProbes(now.Add(300*ms+objective))).To(BeEmpty(), "the upstream is busy")
	})

	// Guards against a probe for each request of a service whose answers take long. The probes
	// would take up slots and show nothing.
	It("causes no probe while it waits no longer than is typical for its service", func() {
		e := newEngine(registrations(3))
		for n := range 200 {
			c := newCaller(300+n, feedAt)
			c.open(e, start)
			e.Decide(c.request(10), start)
			e.Decide(c.ackPacket(100), start.Add(60*ms))
		}
		c := newCaller(1, feedAt)
		u := c.open(e, start.Add(time.Second))
		asked := start.Add(1400 * ms)
		openAtOther(e, u, asked)
		e.Decide(c.request(10), asked)
		Expect(e.DueProbes(asked.Add(170 * ms))).To(BeEmpty())
		seeOtherUpstream(e, 78, u, asked.Add(190*ms))
		Expect(e.DueProbes(asked.Add(190 * ms))).To(HaveLen(1))
	})

	It("causes no probe if its route has no objective", func() {
		e := newEngineWithoutObjectives(registrations(3))
		_, _, asked := waiting(e)
		Expect(e.DueProbes(asked.Add(10 * time.Second))).To(BeEmpty())
	})
})

var _ = Describe("An upstream that refuses new flows at once", func() {
	// Guards against a zone whose upstreams crash and refuse connections: their callers don't repeat
	// first packets, come back with other flows, and were sent to the same upstreams again for as long
	// as those were down.
	It("is probed although no first packet is repeated", func() {
		e := newEngine(registrations(2))
		alive := newCaller(1, feedAt)
		u := alive.open(e, start)
		var refusing *cookie.Upstream
		for i := 2; refusing == nil; i++ {
			if v := e.Decide(newCaller(i, feedAt).first(0), start); v.Upstream != u {
				refusing = v.Upstream
			}
		}
		Expect(e.DueProbes(start.Add(50 * ms))).To(BeEmpty())
		e.Decide(alive.ackPacket(1), start.Add(60*ms))
		due := e.DueProbes(start.Add(100 * ms))
		Expect(due).To(HaveLen(1))
		Expect(due[0].Upstream.ID).To(Equal(refusing.Route.ID))
		e.ProbeDone(refusing.Route.ID, cookie.ProbeRefused, start.Add(100*ms), start.Add(101*ms))
		for i := range 20 {
			Expect(id(e.Decide(newCaller(100+i, feedAt).first(0), start.Add(110*ms)))).To(Equal(u.Route.ID))
		}
	})

	It("isn't suspected if the flow opens or the upstream is seen elsewhere", func() {
		e := newEngine(registrations(3))
		for i := range 6 {
			newCaller(i, feedAt).open(e, start)
		}
		Expect(e.DueProbes(start.Add(150 * ms))).To(BeEmpty())
	})
})
