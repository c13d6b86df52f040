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

// firstStart is the start time of the first incarnation of an upstream.
const firstStart registry.UnixMilli = 1_764_720_000_000

// registrationsWithStart returns n registrations with a start time.
func registrationsWithStart(n int) []registry.Registration {
	list := registrations(n)
	for i := range list {
		list[i].StartTime, list[i].Sequence = firstStart, 50
	}
	return list
}

// restartedRegistration returns the entry that an upstream writes after a restart.
func restartedRegistration(r registry.Registration) registry.Registration {
	r.Revision += 1000
	r.StartTime += 90_000
	r.Sequence, r.Warmup = 1, 2*time.Second
	return r
}

// confirmPeriodically confirms the registrations each half second.
func confirmPeriodically(e *cookie.Engine, from, to time.Time) {
	for at := from; !at.After(to); at = at.Add(500 * ms) {
		e.ConfirmRegistrations(at)
	}
}

// updateOne applies one registration.
func updateOne(e *cookie.Engine, r registry.Registration, now time.Time) []cookie.Reset {
	return e.Update([]registry.Change{{Registration: r}}, now)
}

var _ = Describe("An upstream that restarts under its identifier", func() {
	// Guards against lost requests on an idle flow whose upstream crashes and restarts within a
	// heartbeat. Nothing informs the caller. Its next request goes to the new incarnation, which
	// doesn't hold the flow and resets it; a request that isn't idempotent can't be repeated.
	It("has the flows of its former incarnation reset, once", func() {
		list := registrationsWithStart(3)
		e := newEngine(list)
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		confirmPeriodically(e, start, start.Add(time.Minute))
		now := start.Add(time.Minute + time.Second)
		resets := updateOne(e, restartedRegistration(u.Registration()), now)
		Expect(resets).To(Equal([]cookie.Reset{
			{Key: c.key, Seq: c.ack, Cause: cookie.CauseRestarted, Upstream: resets[0].Upstream},
		}))
		Expect(resets[0].Upstream.ID).To(Equal(u.Route.ID))
		Expect(updateOne(e, restartedRegistration(u.Registration()), now)).To(BeEmpty(), "received twice")
		Expect(e.Flows()).To(BeZero())
	})

	// Guards against resets of live flows that the new incarnation took before its registration was
	// received.
	It("keeps the flows that it may have taken since its restart", func() {
		e := newEngine(registrationsWithStart(1))
		confirmPeriodically(e, start, start.Add(time.Minute))
		c := newCaller(1, feedAt)
		u := c.open(e, start.Add(time.Minute-time.Second))
		now := start.Add(time.Minute + time.Second)
		Expect(updateOne(e, restartedRegistration(u.Registration()), now)).To(BeEmpty())
		Expect(id(e.Decide(c.request(5), now))).To(Equal(u.Route.ID), "it resets the flow itself if it doesn't hold it")
	})

	// Guards against a reset of a live flow that was placed elsewhere before the upstream's restart and
	// moved there after it, since its first packet was lost.
	It("keeps a flow that was moved to its new incarnation", func() {
		list := registrationsWithStart(2)
		e := newEngine(list)
		began := start.Add(time.Minute)
		confirmPeriodically(e, start, began)
		c := newCaller(1, feedAt)
		first := e.Decide(c.first(0), began).Upstream
		e.NoteReportedDead(first.Route.ID, began)
		moved := began.Add(time.Second)
		second := e.Decide(c.first(1), moved).Upstream
		Expect(second).NotTo(Equal(first))
		c.receiveAnswer(second)
		e.Decide(c.ackPacket(1), moved)
		// The registration of the incarnation that took the flow arrives late.
		now := moved.Add(6500 * ms)
		confirmPeriodically(e, began, now)
		e.Decide(c.request(5), now)
		Expect(updateOne(e, restartedRegistration(second.Registration()), now)).To(BeEmpty())
	})

	// Guards against resets of live flows after an outage of the store of ten seconds. An upstream
	// restarts in its first second and serves flows, but can't write its new entry before the store
	// is back; the store still has the former one. Eleven seconds later all those flows would be
	// reset as flows of the former incarnation.
	It("keeps the flows that it took while the store was unavailable", func() {
		e := newEngine(registrationsWithStart(1))
		confirmPeriodically(e, start, start.Add(10*time.Second))
		old, taken := newCaller(1, feedAt), newCaller(2, feedAt)
		u := old.open(e, start.Add(time.Second))
		taken.open(e, start.Add(12*time.Second))
		confirmPeriodically(e, start.Add(20*time.Second), start.Add(21*time.Second))
		now := start.Add(21500 * ms)
		resets := updateOne(e, restartedRegistration(u.Registration()), now)
		Expect(resets).To(HaveLen(1))
		Expect(resets[0].Key).To(Equal(old.key), "this one certainly belongs to the former incarnation")
		Expect(id(e.Decide(taken.request(5), now))).To(Equal(u.Route.ID))
	})

	// The upstream itself can't reach the store for long, so its former entry lapses; its flows go
	// on.
	It("keeps the flows that it took before its former entry lapsed", func() {
		e := newEngine(registrationsWithStart(1))
		confirmPeriodically(e, start, start.Add(20*time.Second))
		old, taken := newCaller(1, feedAt), newCaller(2, feedAt)
		u := old.open(e, start.Add(time.Second))
		entry := u.Registration()
		taken.open(e, start.Add(21*time.Second))
		lapsed := start.Add(20*time.Second + 3600*ms)
		Expect(setUpstreams(e, nil, lapsed)).To(BeEmpty())
		confirmPeriodically(e, start.Add(20*time.Second), start.Add(40*time.Second))
		resets := updateOne(e, restartedRegistration(entry), start.Add(40*time.Second))
		Expect(resets).To(HaveLen(1))
		Expect(resets[0].Key).To(Equal(old.key))
	})

	// Guards against resets by a heartbeat of the same incarnation that was delayed on its way to
	// the store and written after later ones: its sequence is lower though nothing restarted.
	DescribeTable("causes no reset if its entry doesn't prove a restart", func(change func(r *registry.Registration)) {
		e := newEngine(registrationsWithStart(1))
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		now := start.Add(time.Minute)
		confirmPeriodically(e, start, now)
		r := u.Registration()
		r.Revision += 1000
		change(&r)
		Expect(updateOne(e, r, now)).To(BeEmpty())
		Expect(id(e.Decide(c.request(5), now))).To(Equal(u.Route.ID))
	},
		Entry("a sequence that decreases", func(r *registry.Registration) { r.StartTime, r.Sequence = 0, 3 }),
		Entry("a warm-up that begins", func(r *registry.Registration) { r.StartTime, r.Warmup = 0, time.Second }),
		Entry("an earlier start, since a clock was set or a write was late", func(r *registry.Registration) { r.StartTime -= 5 }),
	)

	// Guards against an upstream that gets no flows after its restart, since its former incarnation
	// was found dead or ejected.
	It("gets flows even if its former incarnation was found dead", func() {
		e := newEngine(registrationsWithStart(1))
		u := newCaller(1, feedAt).open(e, start)
		now := start.Add(2 * time.Second)
		e.NoteReportedDead(u.Route.ID, now)
		Expect(e.DueProbes(now)).To(HaveLen(1))
		e.ProbeDone(u.Route.ID, cookie.ProbeRefused, now, now)
		Expect(e.Decide(newCaller(2, feedAt).first(0), now).Action).To(Equal(cookie.ActionReset))
		updateOne(e, restartedRegistration(u.Registration()), now)
		Expect(id(e.Decide(newCaller(3, feedAt).first(0), now))).To(Equal(u.Route.ID))
	})

	It("gets flows even if its former incarnation was ejected", func() {
		list := registrationsWithStart(4)
		e := newEngine(list)
		r := list[0]
		failing := peer.Load{Cookie: uint32(cookie.Of(r.ID)), Flows: 9, Answered: 1, Failed: 9}
		all := peer.ServiceLoad{Service: "feed", Flows: 40, Answered: 99, Failed: 9}
		Expect(e.EjectFailing([]peer.Load{failing}, []peer.ServiceLoad{all}, start)).To(ConsistOf(r.ID))
		updateOne(e, restartedRegistration(r), start)
		gets := false
		for n := range 100 {
			gets = gets || id(e.Decide(newCaller(n, feedAt).first(0), start)) == r.ID
		}
		Expect(gets).To(BeTrue())
	})

	// Guards against resets by a probe of the former incarnation that was refused. When its result
	// arrives, the new one listens at the address and holds flows.
	It("isn't found dead by a probe of its former incarnation", func() {
		e := newEngine(registrationsWithStart(1))
		u := newCaller(1, feedAt).open(e, start)
		sent := start.Add(2 * time.Second)
		e.NoteReportedDead(u.Route.ID, sent)
		Expect(e.DueProbes(sent)).To(HaveLen(1))
		now := sent.Add(10 * ms)
		updateOne(e, restartedRegistration(u.Registration()), now)
		c := newCaller(2, feedAt)
		c.open(e, now.Add(ms))
		Expect(e.ProbeDone(u.Route.ID, cookie.ProbeRefused, sent, now.Add(20*ms))).To(BeEmpty())
		Expect(id(e.Decide(c.request(5), now.Add(30*ms)))).To(Equal(u.Route.ID))
		e.NoteReportedDead(u.Route.ID, now.Add(2*time.Second))
		Expect(e.DueProbes(now.Add(2*time.Second))).To(HaveLen(1), "the former probe prevents no later one")
	})

	// Guards against an idle upstream whose load still includes flows of before its restart, so
	// that the other upstreams get all new flows.
	It("isn't loaded by the flows of its former incarnation", func() {
		list := registrationsWithStart(2)
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
		updateOne(e, restartedRegistration(list[0]), now)
		Expect(load()).To(BeZero(), "neither by what other balancers reported of the former one")
		for _, c := range clients {
			e.Decide(c.request(5), now)
		}
		Expect(load()).To(BeZero(), "callers still send to the former one")
		Expect(e.LoadTable.Load(list[0].ID).Requests.Load()).To(BeZero())
		e.Decide(clients[0].ackPacket(10), now)
		Expect(load()).To(BeEquivalentTo(1), "it answers this flow, so it holds it")
	})

	It("warms up again", func() {
		list := registrationsWithStart(2)
		e := newEngine(list)
		now := start.Add(time.Minute)
		updateOne(e, restartedRegistration(list[0]), now)
		warm := 0
		for n := range 30 {
			if id(e.Decide(newCaller(n, feedAt).first(0), now)) == list[1].ID {
				warm++
			}
		}
		Expect(warm).To(BeNumerically(">=", 16), "the upstream that is slow after its start gets fewer")
	})

	// Guards against flows that reach an upstream of another service, which has the same identifier
	// as the former one. A retransmission of a first packet would open a flow there.
	It("takes no flow of its former service", func() {
		list := registrationsWithStart(2)
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
		moved := restartedRegistration(u.Registration())
		moved.Service = "sheets"
		now := start.Add(100 * ms)
		resets := updateOne(e, moved, now)
		keys := make([]cookie.Key, 0, len(resets))
		for _, r := range resets {
			keys = append(keys, r.Key)
		}
		Expect(keys).To(ContainElements(open.key, opening.key))
		v := e.Decide(opening.first(1), now)
		Expect(v.Upstream).NotTo(Equal(u), "a retransmission is placed again")
		Expect(v.Upstream.Route.Service.Name).To(Equal("feed"))
	})

	It("is reached at its new address and zone", func() {
		e := newEngine(registrationsWithStart(1))
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		moved := restartedRegistration(u.Registration())
		moved.Address, moved.Zone = netip.MustParseAddrPort("10.9.9.9:81"), otherZone
		updateOne(e, moved, start)
		v := e.Decide(newCaller(2, feedAt).first(0), start)
		Expect(v.Upstream.Route.Address).To(Equal(moved.Address))
		Expect(v.Upstream.Route.Zone).To(Equal(otherZone))
	})

	It("takes flows even if its former incarnation was draining", func() {
		e := newEngine(registrationsWithStart(1))
		r := registrationsWithStart(1)[0]
		r.Draining, r.Revision = true, r.Revision+10
		updateOne(e, r, start)
		Expect(e.Decide(newCaller(1, feedAt).first(0), start).Action).To(Equal(cookie.ActionReset))
		r.Draining = false
		updateOne(e, restartedRegistration(r), start)
		Expect(id(e.Decide(newCaller(2, feedAt).first(0), start))).To(Equal(r.ID))
	})

	// It restarted in an outage of the store: its entry lapsed, and the next one is another
	// incarnation's.
	It("has the flows of its former incarnation reset even if its entry lapsed in between", func() {
		e := newEngine(registrationsWithStart(1))
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		entry := u.Registration()
		confirmPeriodically(e, start, start.Add(time.Minute))
		now := start.Add(time.Minute)
		Expect(setUpstreams(e, nil, now)).To(BeEmpty())
		Expect(updateOne(e, restartedRegistration(entry), now)).To(HaveLen(1))
		Expect(id(e.Decide(newCaller(2, feedAt).first(0), now))).To(Equal(entry.ID))
	})
})

var _ = Describe("An upstream whose entry became unusable", func() {
	unreadable := func(r registry.Registration) registry.Registration {
		return registry.Registration{ID: r.ID, Revision: r.Revision + 1, Unusable: true}
	}

	// Guards against broken flows when a tool overwrites the entry of an upstream. The upstream may
	// be alive, so its open flows must go on, but it isn't known whether it should get new ones.
	It("gets no new flow and keeps its open ones", func() {
		list := registrationsWithStart(2)
		e := newEngine(list)
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		Expect(updateOne(e, unreadable(u.Registration()), start)).To(BeEmpty())
		for n := range 20 {
			Expect(id(e.Decide(newCaller(10+n, feedAt).first(0), start))).NotTo(Equal(u.Route.ID))
		}
		Expect(id(e.Decide(c.request(5), start))).To(Equal(u.Route.ID))
		back := u.Registration()
		back.Revision, back.Unusable = back.Revision+2, false
		updateOne(e, back, start)
		gets := false
		for n := range 40 {
			gets = gets || id(e.Decide(newCaller(50+n, feedAt).first(0), start)) == u.Route.ID
		}
		Expect(gets).To(BeTrue(), "the entry is usable again")
	})

	It("has new flows refused immediately if there is no other upstream", func() {
		e := newEngine(registrationsWithStart(1))
		updateOne(e, unreadable(registrationsWithStart(1)[0]), start)
		v := e.Decide(newCaller(1, feedAt).first(0), start)
		Expect(v.Action).To(Equal(cookie.ActionReset))
		Expect(v.Cause).To(Equal(cookie.CauseNoUpstream))
	})

	// Guards against resets of live flows by a balancer that started after the entry was
	// overwritten and doesn't know the upstream's address. After three seconds it would treat the
	// cookie as unknown.
	It("has its flows neither forwarded nor reset by a balancer that never had a usable entry", func() {
		e := newEngine(registrationsWithStart(1))
		r := registration(9)
		updateOne(e, unreadable(r), start)
		c := newCaller(1, feedAt)
		c.cookie = cookie.Of(r.ID)
		for _, at := range []time.Duration{0, 4 * time.Second, 8 * time.Second} {
			e.ConfirmRegistrations(start.Add(at))
			v := e.Decide(c.request(5), start.Add(at))
			Expect(v.Action).To(Equal(cookie.ActionDrop))
		}
		updateOne(e, restartedRegistration(r), start.Add(9*time.Second))
		Expect(id(e.Decide(c.request(5), start.Add(9*time.Second)))).To(Equal(r.ID))
	})

	// Guards against flows that follow an entry that names a service that doesn't exist, at the
	// address of some other program, which resets them.
	It("keeps its flows at its former address if the entry names a service of no bundle", func() {
		e := newEngine(registrationsWithStart(2))
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		r := restartedRegistration(u.Registration())
		r.Service, r.Address = "backup", netip.MustParseAddrPort("10.9.9.9:81")
		Expect(updateOne(e, r, start)).To(BeEmpty())
		v := e.Decide(c.request(5), start)
		Expect(v.Upstream).To(Equal(u))
		Expect(v.Upstream.Route.Address).NotTo(Equal(r.Address))
		for n := range 20 {
			Expect(id(e.Decide(newCaller(10+n, feedAt).first(0), start))).NotTo(Equal(r.ID))
		}
	})

	It("belongs to the service that it names as soon as a bundle does", func() {
		list := registrationsWithStart(1)
		e := newEngine(list)
		r := restartedRegistration(list[0])
		r.Service = "backup"
		updateOne(e, r, start)
		e.SetRouting(routingWith(2, "backup"), start)
		Expect(id(e.Decide(newCaller(1, sheetsAt).first(0), start))).To(Equal(r.ID))
	})
})
