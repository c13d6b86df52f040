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
	// A desk's feed breaks whenever routers move it: the next balancer has no record
	// of it and sends its packets anywhere.
	It("goes to its upstream through a balancer that has never seen it", func() {
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
		Expect(v.Action).To(Equal(cookie.ActionDrop), "a reset isn't answered by a reset")
	})

	It("ends when a bundle drops its route, and stays when it doesn't", func() {
		e := newEngine(registrations(2))
		c, other := newCaller(1, feedAt), newCaller(2, feedAt)
		c.open(e, start)
		other.open(e, start)
		Expect(e.SetRouting(routing(2), start)).To(BeEmpty())
		resets := e.SetRouting(routing(3, feedAt), start)
		Expect(resets).To(HaveLen(2))
		Expect(resets).To(ContainElement(And(
			HaveField("Key", c.key),
			HaveField("Seq", c.ack), // Within what the caller accepts.
			HaveField("Cause", cookie.CauseNoRoute),
		)))
	})

	// A secretary waits for her whole deadline although everybody knows that no
	// upstream can serve her.
	It("is refused at once if no upstream can take it", func() {
		list := registrations(2)
		for i := range list {
			list[i].Draining = true
		}
		v := newEngine(list).Decide(newCaller(1, feedAt).first(0), start)
		Expect(v.Action).To(Equal(cookie.ActionReset))
		Expect(v.Cause).To(Equal(cookie.CauseNoUpstream))
	})

	It("is placed in another zone only if the own one has no room", func() {
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

var _ = Describe("A first packet's copy", func() {
	It("follows the first one to an upstream that answers others", func() {
		e := newEngine(registrations(4))
		c := newCaller(1, feedAt)
		u := e.Decide(c.first(0), start).Upstream
		for n := range 40 {
			o := newCaller(10+n, feedAt)
			v := e.Decide(o.first(0), start)
			if v.Upstream == u {
				o.answered(u)
				e.Decide(o.ackPacket(1), start.Add(150*time.Millisecond))
			}
		}
		v := e.Decide(c.first(1), start.Add(200*time.Millisecond))
		Expect(v.Upstream).To(Equal(u))
		Expect(v.Cause).To(Equal(cookie.CauseRepeated))
	})

	// A quarter of the upstreams crash. A desk that reconnects is given a dead one and
	// waits until its attempt ends, though others have room.
	It("goes to another upstream if the first is silent and others aren't", func() {
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

	// A host's own link is full for half a second. Every flow it opens is moved from
	// upstream to upstream, each of which keeps half a flow.
	It("stays if no upstream at all is heard", func() {
		e := newEngine(registrations(4))
		c := newCaller(1, feedAt)
		u := e.Decide(c.first(0), start).Upstream
		v := e.Decide(c.first(1), start.Add(200*time.Millisecond))
		Expect(v.Upstream).To(Equal(u))
		Expect(e.DueProbes(start.Add(200 * time.Millisecond))).To(BeEmpty())
	})

	// Two upstreams answered one caller: the first was only slow. The caller repeats
	// the cookie that came last, and its open flow is sent to the other upstream,
	// which resets it: a booking is lost.
	It("leaves the flow where it opened, though another upstream answers late", func() {
		e := newEngine(registrations(4))
		c := newCaller(1, feedAt)
		slow := e.Decide(c.first(0), start).Upstream
		openAtOther(e, slow, start.Add(150*time.Millisecond))
		second := e.Decide(c.first(1), start.Add(200*time.Millisecond)).Upstream
		Expect(second).NotTo(Equal(slow))
		c.answered(slow)
		now := start.Add(210 * time.Millisecond)
		Expect(e.Decide(c.ackPacket(1), now).Upstream).To(Equal(slow), "its answer was acknowledged")
		c.answered(second)
		Expect(e.Decide(c.request(10), now).Upstream).To(Equal(slow))
	})
})

// openAtOther opens a flow anywhere but at u, so that some upstream is heard.
func openAtOther(e *cookie.Engine, u *cookie.Upstream, now time.Time) {
	GinkgoHelper()
	for n := range 50 {
		o := newCaller(100+n, feedAt)
		v := e.Decide(o.first(0), now)
		if v.Upstream != u {
			o.answered(v.Upstream)
			e.Decide(o.ackPacket(1), now)
			return
		}
	}
	Fail("every flow went to one upstream")
}

var _ = Describe("A cookie", func() {
	// A host lost power and comes back while upstreams' entries have lapsed in the
	// store. It finds cookies that it doesn't know and resets live feeds.
	It("that isn't known resets nothing until the list was complete for long", func() {
		e := newEngine(registrations(1))
		c := newCaller(1, feedAt)
		c.cookie = 77
		v := e.Decide(c.request(5), start)
		Expect(v.Action).To(Equal(cookie.ActionDrop))
		Expect(v.Cause).To(Equal(cookie.CauseUnknownCookie))
		e.ConfirmRegistrations(start.Add(2 * time.Second))
		Expect(e.Decide(c.request(5), start.Add(2*time.Second)).Action).To(Equal(cookie.ActionDrop))
		e.ConfirmRegistrations(start.Add(4 * time.Second))
		Expect(e.Decide(c.request(5), start.Add(4*time.Second)).Action).To(Equal(cookie.ActionReset))
	})

	It("of a newcomer is forwarded once the list has it", func() {
		e := newEngine(registrations(1))
		c := newCaller(1, feedAt)
		c.cookie = cookie.Of(registration(2).ID)
		Expect(e.Decide(c.request(5), start).Action).To(Equal(cookie.ActionDrop))
		setUpstreams(e, registrations(2), start)
		Expect(id(e.Decide(c.request(5), start))).To(Equal(registration(2).ID))
	})

	// Two upstreams whose identifiers give the same cookie: packets of one's flows
	// reach the other, which resets them.
	It("that two upstreams share belongs to the older one, and the younger gets no flow", func() {
		older, younger := registration(1), registration(2)
		older.ID, younger.ID = sameCookie()
		younger.Service = "sheets"
		e := newEngine([]registry.Registration{younger, older})
		c := newCaller(1, feedAt)
		Expect(c.open(e, start).Route.ID).To(Equal(older.ID))
		v := e.Decide(newCaller(2, sheetsAt).first(0), start)
		Expect(v.Action).To(Equal(cookie.ActionReset))
		setUpstreams(e, []registry.Registration{younger}, start)
		Expect(e.Decide(newCaller(3, sheetsAt).first(0), start).Action).To(Equal(cookie.ActionReset),
			"flows of the one that went may still come")
	})
})

// sameCookie finds two identifiers with one cookie: after 2^17 identifiers about
// two pairs are expected.
func sameCookie() (a, b bundle.UpstreamID) {
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
	// Each replacement of an upstream has an identifier of its own. What is counted at
	// each would fill the memory of a host that isn't restarted for long.
	It("forgets upstreams that were replaced, with what it counted there", func() {
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
