package cookie_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

var _ = Describe("A flow", func() {
	// Guards against flows that break when routers move them to a balancer without a record of
	// them.
	It("reaches its upstream through a balancer without a record of it", func() {
		first, second := newEngine(registrations(5)), newEngine(registrations(5))
		c := newCaller(1, feedAt)
		u := c.open(first, start)
		Expect(id(second.Decide(c.request(10), start))).To(Equal(u.Route.ID))
	})

	It("is reset if no route has its address", func() {
		e := newEngine(registrations(2))
		c := newCaller(1, feedAt)
		c.key.ServicePort++
		v := e.Decide(c.first(0), start)
		Expect(v.Action).To(Equal(cookie.ActionReset))
		Expect(v.Cause).To(Equal(cookie.CauseNoRoute))
		v = e.Decide(&cookie.Packet{Key: c.key, Flags: cookie.FlagRST}, start)
		Expect(v.Action).To(Equal(cookie.ActionDrop), "a reset isn't answered with a reset")
	})

	It("ends when a bundle removes its route, and stays when a bundle keeps it", func() {
		e := newEngine(registrations(2))
		c, other := newCaller(1, feedAt), newCaller(2, feedAt)
		c.open(e, start)
		other.open(e, start)
		Expect(e.SetRouting(routing(2), start)).To(BeEmpty())
		resets := e.SetRouting(routing(3, feedAt), start)
		Expect(resets).To(HaveLen(2))
		Expect(resets).To(ContainElement(And(
			HaveField("Key", c.key),
			HaveField("Seq", c.ack), // Within the window of the caller.
			HaveField("Cause", cookie.CauseNoRoute),
		)))
	})

	// Guards against callers that wait until their deadline although no upstream can serve them.
	It("is refused immediately if no upstream can take it", func() {
		list := registrations(2)
		for i := range list {
			list[i].Draining = true
		}
		v := newEngine(list).Decide(newCaller(1, feedAt).first(0), start)
		Expect(v.Action).To(Equal(cookie.ActionReset))
		Expect(v.Cause).To(Equal(cookie.CauseNoUpstream))
	})

	It("is placed in another zone only if the own one has no free capacity", func() {
		list := registrations(2)
		list[1].Zone = otherZone
		e := newEngine(list)
		for n := range 20 {
			Expect(id(e.Decide(newCaller(n, feedAt).first(0), start))).To(Equal(list[0].ID))
		}
		list[0].Draining = true
		list[0].Revision++
		setUpstreams(e, list, start)
		v := e.Decide(newCaller(30, feedAt).first(0), start)
		Expect(id(v)).To(Equal(list[1].ID))
		Expect(v.Cause).To(Equal(cookie.CauseSpilled))
	})

	It("stays at an upstream that drains", func() {
		list := registrations(1)
		e := newEngine(list)
		c := newCaller(1, feedAt)
		c.open(e, start)
		list[0].Draining = true
		list[0].Revision++
		setUpstreams(e, list, start)
		Expect(id(e.Decide(c.request(10), start))).To(Equal(list[0].ID))
	})
})

var _ = Describe("A retransmission of a first packet", func() {
	It("goes to the same upstream as the first one if that answers other flows", func() {
		e := newEngine(registrations(4))
		c := newCaller(1, feedAt)
		u := e.Decide(c.first(0), start).Upstream
		for n := range 40 {
			o := newCaller(10+n, feedAt)
			v := e.Decide(o.first(0), start)
			if v.Upstream == u {
				o.receiveAnswer(u)
				e.Decide(o.ackPacket(1), start.Add(150*time.Millisecond))
			}
		}
		v := e.Decide(c.first(1), start.Add(200*time.Millisecond))
		Expect(v.Upstream).To(Equal(u))
		Expect(v.Cause).To(Equal(cookie.CauseRepeated))
	})

	// Guards against callers that reconnect after a quarter of the upstreams crashed, are placed at
	// a dead one and wait until their attempt times out, though others have free capacity.
	It("goes to another upstream if the first one is silent and others aren't", func() {
		e := newEngine(registrations(4))
		c := newCaller(1, feedAt)
		dead := e.Decide(c.first(0), start).Upstream
		openAtOther(e, dead, start.Add(150*time.Millisecond))
		v := e.Decide(c.first(1), start.Add(200*time.Millisecond))
		Expect(v.Action).To(Equal(cookie.ActionForward))
		Expect(v.Upstream).NotTo(Equal(dead))
		Expect(v.Cause).To(Equal(cookie.CauseSilent))
		third := e.Decide(c.first(2), start.Add(600*time.Millisecond))
		Expect(third.Action).To(Equal(cookie.ActionForward))
	})

	// Guards against moving flows from upstream to upstream while the host's own link is full for
	// half a second. Each upstream would keep a half-open flow.
	It("goes to the same upstream if no upstream at all is seen", func() {
		e := newEngine(registrations(4))
		c := newCaller(1, feedAt)
		u := e.Decide(c.first(0), start).Upstream
		v := e.Decide(c.first(1), start.Add(200*time.Millisecond))
		Expect(v.Upstream).To(Equal(u))
		Expect(e.DueProbes(start.Add(200 * time.Millisecond))).To(BeEmpty())
	})

	// Guards against lost requests when two upstreams answer one caller, since the first was only
	// slow. The caller repeats the cookie that it received last; by that cookie, its open flow
	// would go to the other upstream, which resets it.
	It("leaves the flow where it opened, even if another upstream answers late", func() {
		e := newEngine(registrations(4))
		c := newCaller(1, feedAt)
		slow := e.Decide(c.first(0), start).Upstream
		openAtOther(e, slow, start.Add(150*time.Millisecond))
		second := e.Decide(c.first(1), start.Add(200*time.Millisecond)).Upstream
		Expect(second).NotTo(Equal(slow))
		c.receiveAnswer(slow)
		now := start.Add(210 * time.Millisecond)
		Expect(e.Decide(c.ackPacket(1), now).Upstream).To(Equal(slow), "its answer was acknowledged")
		c.receiveAnswer(second)
		Expect(e.Decide(c.request(10), now).Upstream).To(Equal(slow))
	})
})

// openAtOther opens a flow at any upstream except u, so that some upstream is seen.
func openAtOther(e *cookie.Engine, u *cookie.Upstream, now time.Time) {
	GinkgoHelper()
	for n := range 50 {
		o := newCaller(100+n, feedAt)
		v := e.Decide(o.first(0), now)
		if v.Upstream != u {
			o.receiveAnswer(v.Upstream)
			e.Decide(o.ackPacket(1), now)
			return
		}
	}
	Fail("every flow went to one upstream")
}

var _ = Describe("A cookie", func() {
	// Guards against resets of live flows by a host that restarts after a power loss, while
	// registrations have lapsed in the store. It receives cookies that it doesn't know.
	It("that isn't known causes no reset until the registrations have been complete for unknownGrace", func() {
		e := newEngine(registrations(1))
		c := newCaller(1, feedAt)
		c.cookie = 77
		v := e.Decide(c.request(5), start)
		Expect(v.Action).To(Equal(cookie.ActionDrop))
		Expect(v.Cause).To(Equal(cookie.CauseUnknownCookie))
		confirmPeriodically(e, start, start.Add(2*time.Second))
		Expect(e.Decide(c.request(5), start.Add(2*time.Second)).Action).To(Equal(cookie.ActionDrop))
		confirmPeriodically(e, start.Add(2*time.Second), start.Add(4*time.Second))
		Expect(e.Decide(c.request(5), start.Add(4*time.Second)).Action).To(Equal(cookie.ActionReset))
	})

	// Guards against resets of flows of live upstreams right after the store's return, by a balancer that started before a
	// second outage: the entries, which expired during the outage, aren't back yet.
	It("that isn't known causes no reset until unknownGrace after the last outage of the store", func() {
		e := newEngine(registrations(1))
		c := newCaller(1, feedAt)
		c.cookie = 77
		Expect(e.Decide(c.request(5), start).Action).To(Equal(cookie.ActionDrop))
		confirmPeriodically(e, start, start.Add(time.Second))
		back := start.Add(6 * time.Second)
		confirmPeriodically(e, back, back.Add(2500*ms))
		Expect(e.Decide(c.request(5), back.Add(2500*ms)).Action).To(Equal(cookie.ActionDrop))
		confirmPeriodically(e, back.Add(2500*ms), back.Add(3*time.Second))
		Expect(e.Decide(c.request(5), back.Add(3*time.Second)).Action).To(Equal(cookie.ActionReset))
	})

	It("of a new upstream is forwarded once the upstream is registered", func() {
		e := newEngine(registrations(1))
		c := newCaller(1, feedAt)
		c.cookie = cookie.Of(registration(2).ID)
		Expect(e.Decide(c.request(5), start).Action).To(Equal(cookie.ActionDrop))
		setUpstreams(e, registrations(2), start)
		Expect(id(e.Decide(c.request(5), start))).To(Equal(registration(2).ID))
	})

	// Guards against packets that reach the wrong of two upstreams whose identifiers have the same
	// cookie. That upstream would reset their flow.
	It("that two upstreams share belongs to the older one, and the newer one gets no flow", func() {
		older, younger := registration(1), registration(2)
		older.ID, younger.ID = idsWithSameCookie()
		younger.Service = "sheets"
		e := newEngine([]registry.Registration{younger, older})
		c := newCaller(1, feedAt)
		Expect(c.open(e, start).Route.ID).To(Equal(older.ID))
		v := e.Decide(newCaller(2, sheetsAt).first(0), start)
		Expect(v.Action).To(Equal(cookie.ActionReset))
		setUpstreams(e, []registry.Registration{younger}, start)
		Expect(e.Decide(newCaller(3, sheetsAt).first(0), start).Action).To(Equal(cookie.ActionReset),
			"packets for flows of the deregistered one may still arrive")
	})
})

// idsWithSameCookie finds two identifiers with the same cookie: among 2^17 identifiers about two
// pairs are expected.
func idsWithSameCookie() (a, b bundle.UpstreamID) {
	seen := make(map[cookie.Cookie]bundle.UpstreamID)
	for i := bundle.UpstreamID(1); ; i++ {
		c := cookie.Of(i)
		if first, ok := seen[c]; ok {
			return first, i
		}
		seen[c] = i
	}
}

var _ = Describe("A balancer that runs for weeks", func() {
	// Guards against unbounded memory in a balancer that runs for long: each replacement of an
	// upstream has an identifier of its own, with counts of its own.
	It("forgets upstreams that were replaced, and their counts", func() {
		const perRound = 10
		e := newEngine(nil)
		now := start
		for round := range 50 {
			list := make([]registry.Registration, 0, perRound)
			for i := range perRound {
				r := registration(i + 1)
				r.ID += bundle.UpstreamID(1000 * round)
				list = append(list, r)
			}
			setUpstreams(e, list, now)
			newCaller(round, feedAt).open(e, now)
			now = now.Add(2 * time.Minute)
			e.Expire(now)
		}
		Expect(e.LoadTable.Len()).To(BeNumerically("<=", 2*perRound))
	})
})
