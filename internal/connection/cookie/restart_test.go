package cookie_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// bornFirst is when the first incarnation of an upstream started.
const bornFirst registry.UnixMilli = 1_764_720_000_000

// bornRegistrations are n upstreams that tell when they started.
func bornRegistrations(n int) []registry.Registration {
	list := registrations(n)
	for i := range list {
		list[i].StartTime, list[i].Sequence = bornFirst, 50
	}
	return list
}

// again is the entry that an upstream writes when it has started again.
func again(r registry.Registration) registry.Registration {
	r.Revision += 1000
	r.StartTime += 90_000
	r.Sequence, r.Warmup = 1, 2*time.Second
	return r
}

// steady confirms the list each half second.
func steady(e *cookie.Engine, from, to time.Time) {
	for at := from; !at.After(to); at = at.Add(500 * ms) {
		e.ConfirmRegistrations(at)
	}
}

// update takes in one entry.
func update(e *cookie.Engine, r registry.Registration, now time.Time) []cookie.Reset {
	return e.Update([]registry.Change{{Registration: r}}, now)
}

var _ = Describe("An upstream that starts again under its identifier", func() {
	// A desk's feed is idle while its upstream crashes and starts again within a
	// heartbeat. Nobody tells the desk. Its next booking goes to the new incarnation, which
	// knows nothing of the feed and resets it; a booking can't be repeated, so it is lost.
	It("has the flows of its former incarnation reset, once", func() {
		list := bornRegistrations(3)
		e := newEngine(list)
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		steady(e, start, start.Add(time.Minute))
		now := start.Add(time.Minute + time.Second)
		resets := update(e, again(u.Registration()), now)
		Expect(resets).To(Equal([]cookie.Reset{
			{Key: c.key, Seq: c.ack, Cause: cookie.CauseRestarted, Upstream: resets[0].Upstream},
		}))
		Expect(resets[0].Upstream.ID).To(Equal(u.Route.ID))
		Expect(update(e, again(u.Registration()), now)).To(BeEmpty(), "heard twice")
		Expect(e.Flows()).To(BeZero())
	})

	// The new incarnation took a flow before its entry was heard of. Resetting that breaks
	// a live flow.
	It("keeps the flows that it may have taken since", func() {
		e := newEngine(bornRegistrations(1))
		steady(e, start, start.Add(time.Minute))
		c := newCaller(1, feedAt)
		u := c.open(e, start.Add(time.Minute-time.Second))
		now := start.Add(time.Minute + time.Second)
		Expect(update(e, again(u.Registration()), now)).To(BeEmpty())
		Expect(id(e.Decide(c.request(5), now))).To(Equal(u.Route.ID), "it resets the flow itself if it doesn't hold it")
	})

	// The store is away for ten seconds. An upstream starts again in the first of them and serves
	// flows, but can't write its new entry before the store is back; the list still has the
	// former one. Eleven seconds later all of them would be reset as if they were of before.
	It("keeps the flows that it took while the store was away", func() {
		e := newEngine(bornRegistrations(1))
		steady(e, start, start.Add(10*time.Second))
		old, taken := newCaller(1, feedAt), newCaller(2, feedAt)
		u := old.open(e, start.Add(time.Second))
		taken.open(e, start.Add(12*time.Second))
		steady(e, start.Add(20*time.Second), start.Add(21*time.Second))
		now := start.Add(21500 * ms)
		resets := update(e, again(u.Registration()), now)
		Expect(resets).To(HaveLen(1))
		Expect(resets[0].Key).To(Equal(old.key), "this one is surely of the former incarnation")
		Expect(id(e.Decide(taken.request(5), now))).To(Equal(u.Route.ID))
	})

	// The upstream itself doesn't reach the store for long, so its former entry lapses; its
	// flows go on.
	It("keeps the flows that it took before its former entry lapsed", func() {
		e := newEngine(bornRegistrations(1))
		steady(e, start, start.Add(20*time.Second))
		old, taken := newCaller(1, feedAt), newCaller(2, feedAt)
		u := old.open(e, start.Add(time.Second))
		entry := u.Registration()
		taken.open(e, start.Add(21*time.Second))
		lapsed := start.Add(20*time.Second + 3600*ms)
		Expect(setUpstreams(e, nil, lapsed)).To(BeEmpty())
		steady(e, start.Add(20*time.Second), start.Add(40*time.Second))
		resets := update(e, again(entry), start.Add(40*time.Second))
		Expect(resets).To(HaveLen(1))
		Expect(resets[0].Key).To(Equal(old.key))
	})

	// A heartbeat of the same incarnation was held up on its way to the store and is
	// written after later ones: the sequence falls though nothing started again.
	DescribeTable("resets nothing by evidence that may be another's", func(change func(r *registry.Registration)) {
		e := newEngine(bornRegistrations(1))
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		now := start.Add(time.Minute)
		steady(e, start, now)
		r := u.Registration()
		r.Revision += 1000
		change(&r)
		Expect(update(e, r, now)).To(BeEmpty())
		Expect(id(e.Decide(c.request(5), now))).To(Equal(u.Route.ID))
	},
		Entry("a sequence that falls", func(r *registry.Registration) { r.StartTime, r.Sequence = 0, 3 }),
		Entry("a warm-up that begins", func(r *registry.Registration) { r.StartTime, r.Warmup = 0, time.Second }),
		Entry("an earlier start, since a clock was set or a write came late", func(r *registry.Registration) { r.StartTime -= 5 }),
	)

	// An upstream was found dead, or left out for failing, and started again. Nobody gives
	// it work for as long as the former incarnation would have been punished.
	It("gets flows though its former incarnation was found dead", func() {
		e := newEngine(bornRegistrations(1))
		u := newCaller(1, feedAt).open(e, start)
		now := start.Add(2 * time.Second)
		e.ReportedDead(u.Route.ID, now)
		Expect(e.DueProbes(now)).To(HaveLen(1))
		e.ProbeDone(u.Route.ID, cookie.ProbeRefused, now, now)
		Expect(e.Decide(newCaller(2, feedAt).first(0), now).Action).To(Equal(cookie.ActionReset))
		update(e, again(u.Registration()), now)
		Expect(id(e.Decide(newCaller(3, feedAt).first(0), now))).To(Equal(u.Route.ID))
	})

	It("gets flows though its former incarnation was left out for failing", func() {
		list := bornRegistrations(4)
		e := newEngine(list)
		r := list[0]
		failing := peer.Load{Cookie: uint32(cookie.Of(r.ID)), Flows: 9, Answered: 1, Failed: 9}
		all := peer.ServiceLoad{Service: "feed", Flows: 40, Answered: 99, Failed: 9}
		Expect(e.EjectFailing([]peer.Load{failing}, []peer.ServiceLoad{all}, start)).To(ConsistOf(r.ID))
		update(e, again(r), start)
		gets := false
		for n := range 100 {
			gets = gets || id(e.Decide(newCaller(n, feedAt).first(0), start)) == r.ID
		}
		Expect(gets).To(BeTrue())
	})

	// A probe waited for the former incarnation's address and was refused. When its result
	// comes, the new one listens there and holds flows, all of which would be reset.
	It("isn't found dead by a probe of its former incarnation", func() {
		e := newEngine(bornRegistrations(1))
		u := newCaller(1, feedAt).open(e, start)
		sent := start.Add(2 * time.Second)
		e.ReportedDead(u.Route.ID, sent)
		Expect(e.DueProbes(sent)).To(HaveLen(1))
		now := sent.Add(10 * ms)
		update(e, again(u.Registration()), now)
		c := newCaller(2, feedAt)
		c.open(e, now.Add(ms))
		Expect(e.ProbeDone(u.Route.ID, cookie.ProbeRefused, sent, now.Add(20*ms))).To(BeEmpty())
		Expect(id(e.Decide(c.request(5), now.Add(30*ms)))).To(Equal(u.Route.ID))
		e.ReportedDead(u.Route.ID, now.Add(2*time.Second))
		Expect(e.DueProbes(now.Add(2*time.Second))).To(HaveLen(1), "the former probe hinders no later one")
	})

	// Twenty desks wait for an upstream that crashed. It is back with nothing to do, but
	// counts their flows, so that the others get all the work.
	It("isn't loaded by the flows of its former incarnation", func() {
		list := bornRegistrations(2)
		e := newEngine(list)
		var clients []*caller
		for n := range 20 {
			c := newCaller(n, feedAt)
			if c.open(e, start).Route.ID == list[0].ID {
				clients = append(clients, c)
			}
		}
		Expect(len(clients)).To(BeNumerically(">", 5))
		load := func() int64 { return e.LoadTable.Load(list[0].ID).Total() }
		Expect(load()).To(BeNumerically(">", 5))
		others := []bundle.UpstreamID{list[0].ID}
		e.LoadTable.UpdateReported(1, others, []uint32{7})
		now := start.Add(time.Second)
		update(e, again(list[0]), now)
		Expect(load()).To(BeZero(), "neither by what other balancers told of the former one")
		for _, c := range clients {
			e.Decide(c.request(5), now)
		}
		Expect(load()).To(BeZero(), "what callers send to the former one")
		Expect(e.LoadTable.Load(list[0].ID).Requests.Load()).To(BeZero())
		e.Decide(clients[0].ackPacket(10), now)
		Expect(load()).To(BeEquivalentTo(1), "it answers this one, so it holds it")
	})

	It("warms up anew", func() {
		list := bornRegistrations(2)
		e := newEngine(list)
		now := start.Add(time.Minute)
		update(e, again(list[0]), now)
		warm := 0
		for n := range 30 {
			if id(e.Decide(newCaller(n, feedAt).first(0), now)) == list[1].ID {
				warm++
			}
		}
		Expect(warm).To(BeNumerically(">=", 16), "the one that is slow after its start gets fewer")
	})

	// An identifier comes back as an upstream of another service. The feed's packets reach
	// an upstream of the sheets, and a copy of a first packet opens a flow there.
	It("takes no flow of its former service", func() {
		list := bornRegistrations(2)
		e := newEngine(list)
		open := newCaller(1, feedAt)
		u := open.open(e, start)
		var opening *caller
		for n := 2; ; n++ {
			opening = newCaller(n, feedAt)
			if e.Decide(opening.first(0), start).Upstream == u {
				break
			}
		}
		moved := again(u.Registration())
		moved.Service = "sheets"
		now := start.Add(100 * ms)
		resets := update(e, moved, now)
		keys := make([]cookie.Key, 0, len(resets))
		for _, r := range resets {
			keys = append(keys, r.Key)
		}
		Expect(keys).To(ContainElements(open.key, opening.key))
		v := e.Decide(opening.first(1), now)
		Expect(v.Upstream).NotTo(Equal(u), "a copy is placed anew")
		Expect(v.Upstream.Route.Service.Name).To(Equal("feed"))
	})

	It("is reached at its new address and zone", func() {
		e := newEngine(bornRegistrations(1))
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		moved := again(u.Registration())
		moved.Address, moved.Zone = netip.MustParseAddrPort("10.9.9.9:81"), otherZone
		update(e, moved, start)
		v := e.Decide(newCaller(2, feedAt).first(0), start)
		Expect(v.Upstream.Route.Address).To(Equal(moved.Address))
		Expect(v.Upstream.Route.Zone).To(Equal(otherZone))
	})

	It("takes flows though its former incarnation was draining", func() {
		e := newEngine(bornRegistrations(1))
		r := bornRegistrations(1)[0]
		r.Draining, r.Revision = true, r.Revision+10
		update(e, r, start)
		Expect(e.Decide(newCaller(1, feedAt).first(0), start).Action).To(Equal(cookie.ActionReset))
		r.Draining = false
		update(e, again(r), start)
		Expect(id(e.Decide(newCaller(2, feedAt).first(0), start))).To(Equal(r.ID))
	})

	// It restarted in an outage of the store: its entry lapsed, and comes back as another
	// incarnation's.
	It("has the flows of its former incarnation reset though its entry lapsed between", func() {
		e := newEngine(bornRegistrations(1))
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		entry := u.Registration()
		steady(e, start, start.Add(time.Minute))
		now := start.Add(time.Minute)
		Expect(setUpstreams(e, nil, now)).To(BeEmpty())
		Expect(update(e, again(entry), now)).To(HaveLen(1))
		Expect(id(e.Decide(newCaller(2, feedAt).first(0), now))).To(Equal(entry.ID))
	})
})

var _ = Describe("An upstream whose entry can't be used any more", func() {
	unreadable := func(r registry.Registration) registry.Registration {
		return registry.Registration{ID: r.ID, Revision: r.Revision + 1, Unusable: true}
	}

	// A tool overwrites the entries of two upstreams. Their desks' feeds must go on, since
	// the upstreams may live, but nobody knows whether they should get new ones.
	It("gets no new flow and keeps those that are open", func() {
		list := bornRegistrations(2)
		e := newEngine(list)
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		Expect(update(e, unreadable(u.Registration()), start)).To(BeEmpty())
		for n := range 20 {
			Expect(id(e.Decide(newCaller(10+n, feedAt).first(0), start))).NotTo(Equal(u.Route.ID))
		}
		Expect(id(e.Decide(c.request(5), start))).To(Equal(u.Route.ID))
		back := u.Registration()
		back.Revision, back.Unusable = back.Revision+2, false
		update(e, back, start)
		gets := false
		for n := range 40 {
			gets = gets || id(e.Decide(newCaller(50+n, feedAt).first(0), start)) == u.Route.ID
		}
		Expect(gets).To(BeTrue(), "the entry is good again")
	})

	It("refuses new flows at once if there is no other", func() {
		e := newEngine(bornRegistrations(1))
		update(e, unreadable(bornRegistrations(1)[0]), start)
		v := e.Decide(newCaller(1, feedAt).first(0), start)
		Expect(v.Action).To(Equal(cookie.ActionReset))
		Expect(v.Cause).To(Equal(cookie.CauseNoUpstream))
	})

	// A balancer that started after the entry was overwritten doesn't know the upstream's
	// address. After three seconds it would reset live feeds, as if the upstream were gone.
	It("has its flows neither forwarded nor reset by a balancer that never knew it", func() {
		e := newEngine(bornRegistrations(1))
		r := registration(9)
		update(e, unreadable(r), start)
		c := newCaller(1, feedAt)
		c.cookie = cookie.Of(r.ID)
		for _, at := range []time.Duration{0, 4 * time.Second, 8 * time.Second} {
			e.ConfirmRegistrations(start.Add(at))
			v := e.Decide(c.request(5), start.Add(at))
			Expect(v.Action).To(Equal(cookie.ActionDrop))
		}
		update(e, again(r), start.Add(9*time.Second))
		Expect(id(e.Decide(c.request(5), start.Add(9*time.Second)))).To(Equal(r.ID))
	})

	// The entry is overwritten by one of a service that doesn't exist, at the address of
	// some other program. Feeds that follow it there are reset.
	It("keeps its flows where they are if the entry names a service of no bundle", func() {
		e := newEngine(bornRegistrations(2))
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		r := again(u.Registration())
		r.Service, r.Address = "backup", netip.MustParseAddrPort("10.9.9.9:81")
		Expect(update(e, r, start)).To(BeEmpty())
		v := e.Decide(c.request(5), start)
		Expect(v.Upstream).To(Equal(u))
		Expect(v.Upstream.Route.Address).NotTo(Equal(r.Address))
		for n := range 20 {
			Expect(id(e.Decide(newCaller(10+n, feedAt).first(0), start))).NotTo(Equal(r.ID))
		}
	})

	It("belongs to the service that it names as soon as a bundle does", func() {
		list := bornRegistrations(1)
		e := newEngine(list)
		r := again(list[0])
		r.Service = "backup"
		update(e, r, start)
		e.SetRouting(routingWith(2, "backup"), start)
		Expect(id(e.Decide(newCaller(1, sheetsAt).first(0), start))).To(Equal(r.ID))
	})
})
