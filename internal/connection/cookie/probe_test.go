package cookie_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

const ms = time.Millisecond

// suspectedUpstream opens a flow at some upstream, which falls silent while another one is seen,
// and returns the flow, the upstream and the time at which the upstream is suspected.
func suspectedUpstream(e *cookie.Engine) (*caller, *cookie.Upstream, time.Time) {
	GinkgoHelper()
	c := newCaller(1, feedAt)
	u := c.open(e, start)
	now := start.Add(400 * ms)
	p := c.request(10)
	e.Decide(p, now)
	now = now.Add(200 * ms)
	openAtOther(e, u, now)
	Expect(e.DueProbes(now)).To(BeEmpty())
	e.Decide(p, now)
	return c, u, now
}

var _ = Describe("An upstream that leaves a retransmitted packet unanswered", func() {
	It("is probed and gets no new flow meanwhile", func() {
		e := newEngineWithoutObjectives(registrations(3))
		_, u, now := suspectedUpstream(e)
		due := e.DueProbes(now)
		Expect(due).To(HaveLen(1))
		Expect(due[0].Upstream.ID).To(Equal(u.Route.ID))
		Expect(due[0].Reference).NotTo(BeNil())
		Expect(due[0].Reference.ID).NotTo(Equal(u.Route.ID))
		for n := range 20 {
			Expect(id(e.Decide(newCaller(200+n, feedAt).first(0), now))).NotTo(Equal(u.Route.ID))
		}
		Expect(e.DueProbes(now)).To(BeEmpty(), "only one probe at a time")
	})

	DescribeTable("is found dead by",
		func(results []cookie.ProbeResult, dead bool) {
			e := newEngineWithoutObjectives(registrations(3))
			c, u, now := suspectedUpstream(e)
			resets := make([]cookie.Reset, 0, 1)
			for _, r := range results {
				now = now.Add(300 * ms)
				Expect(e.DueProbes(now)).To(HaveLen(1))
				resets = append(resets, e.ProbeDone(u.Route.ID, r, now, now.Add(ms))...)
			}
			if !dead {
				Expect(resets).To(BeEmpty())
				Expect(id(e.Decide(c.request(1), now))).To(Equal(u.Route.ID), "a wrong reset would break a live flow")
				return
			}
			Expect(resets).To(Equal([]cookie.Reset{
				{Key: c.key, Seq: c.ack, Cause: cookie.CauseDead, Upstream: u.Route},
			}))
			v := e.Decide(c.request(1), now)
			Expect(v.Action).To(Equal(cookie.ActionReset), "later packets are reset too")
			Expect(v.Cause).To(Equal(cookie.CauseDead))
		},
		Entry("a refused connection", []cookie.ProbeResult{cookie.ProbeRefused}, true),
		Entry("another upstream that answers at its address", []cookie.ProbeResult{cookie.ProbeOther}, true),
		Entry("two timeouts", []cookie.ProbeResult{cookie.ProbeTimeout, cookie.ProbeTimeout}, true),
		Entry("not by one timeout: a connection attempt may be lost", []cookie.ProbeResult{cookie.ProbeTimeout}, false),
		Entry("not if the reference was slow too",
			[]cookie.ProbeResult{cookie.ProbeUnsure, cookie.ProbeUnsure, cookie.ProbeUnsure}, false),
		Entry("not if it answers", []cookie.ProbeResult{cookie.ProbeTimeout, cookie.ProbeAlive}, false),
	)

	// Guards against long waits when an upstream falls silent. Its callers wait until two
	// connection attempts have timed out. If the second began only after the first, they would wait
	// 150 ms more.
	It("is probed a second time while the first attempt waits, and is dead only after both", func() {
		e := newEngineWithoutObjectives(registrations(3))
		c, u, now := suspectedUpstream(e)
		first := now
		Expect(e.DueProbes(first)).To(HaveLen(1))
		Expect(e.DueProbes(now.Add(50 * ms))).To(BeEmpty())
		second := now.Add(100 * ms)
		Expect(e.DueProbes(second)).To(HaveLen(1))
		Expect(e.DueProbes(now.Add(220*ms))).To(BeEmpty(), "never more than two")
		Expect(e.ProbeDone(u.Route.ID, cookie.ProbeTimeout, first, now.Add(250*ms))).To(BeEmpty())
		Expect(e.DueProbes(now.Add(260 * ms))).To(BeEmpty())
		Expect(e.ProbeDone(u.Route.ID, cookie.ProbeTimeout, second, now.Add(350*ms))).To(HaveLen(1))
		Expect(e.Decide(c.request(1), now.Add(350*ms)).Action).To(Equal(cookie.ActionReset))
	})

	It("is alive if the first of two attempts is answered late", func() {
		e := newEngineWithoutObjectives(registrations(3))
		c, u, now := suspectedUpstream(e)
		Expect(e.DueProbes(now)).To(HaveLen(1))
		second := now.Add(100 * ms)
		Expect(e.DueProbes(second)).To(HaveLen(1))
		Expect(e.ProbeDone(u.Route.ID, cookie.ProbeAlive, now, now.Add(240*ms))).To(BeEmpty())
		Expect(e.ProbeDone(u.Route.ID, cookie.ProbeTimeout, second, now.Add(350*ms))).To(BeEmpty())
		Expect(e.Health(u.Route.ID)).To(Equal(cookie.HealthGood))
		Expect(id(e.Decide(c.request(1), now.Add(360*ms)))).To(Equal(u.Route.ID))
	})

	// Guards against resets of flows at a busy upstream. It works on a request for longer than 200
	// ms, so the caller retransmits it, and probes wait behind the requests.
	It("is alive if it answers a flow while the probes wait", func() {
		e := newEngineWithoutObjectives(registrations(3))
		c, u, now := suspectedUpstream(e)
		for range 3 {
			e.DueProbes(now)
			sent := now
			now = now.Add(250 * ms)
			Expect(id(e.Decide(c.ackPacket(100), now))).To(Equal(u.Route.ID))
			Expect(e.ProbeDone(u.Route.ID, cookie.ProbeTimeout, sent, now)).To(BeEmpty())
		}
		Expect(e.Health(u.Route.ID)).To(Equal(cookie.HealthGood))
	})

	// Guards against suspecting live upstreams after a pause of the host of four seconds. It then
	// receives retransmissions that callers sent meanwhile.
	It("isn't suspected for packets that were retransmitted while the process was paused", func() {
		e := newEngineWithoutObjectives(registrations(3))
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		p := c.request(10)
		e.Decide(p, start)
		now := start.Add(4 * time.Second)
		e.Paused(now)
		openAtOther(e, u, now)
		e.Decide(p, now)
		Expect(e.DueProbes(now)).To(BeEmpty())
	})

	// Guards against a host that sees no upstream since its own link is full. If it suspected every
	// upstream whose flow has a retransmitted packet, it could place no new flows.
	It("isn't suspected while no upstream is seen", func() {
		e := newEngineWithoutObjectives(registrations(3))
		c := newCaller(1, feedAt)
		c.open(e, start)
		now := start.Add(400 * ms)
		p := c.request(10)
		e.Decide(p, now)
		now = now.Add(200 * ms)
		e.Decide(p, now)
		Expect(e.DueProbes(now)).To(BeEmpty())
	})

	It("takes flows again once a probe is answered", func() {
		e := newEngineWithoutObjectives(registrations(1))
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		e.NoteReportedDead(u.Route.ID, start.Add(2*time.Second))
		now := start.Add(2 * time.Second)
		Expect(e.DueProbes(now)).To(HaveLen(1))
		e.ProbeDone(u.Route.ID, cookie.ProbeRefused, now, now)
		Expect(e.Decide(newCaller(2, feedAt).first(0), now).Action).To(Equal(cookie.ActionReset))
		now = now.Add(1100 * ms)
		Expect(e.DueProbes(now)).To(HaveLen(1), "dead upstreams are probed again")
		e.ProbeDone(u.Route.ID, cookie.ProbeAlive, now, now)
		Expect(id(e.Decide(newCaller(3, feedAt).first(0), now))).To(Equal(u.Route.ID))
	})
})

var _ = Describe("An upstream that drains", func() {
	// Guards against a reset just before a flow's last answer. An upstream closes its health port
	// some milliseconds before it ends its flows, and a probe may be refused in between.
	DescribeTable("isn't dead after one refused connection", func(leaves bool) {
		list := registrations(3)
		e := newEngineWithoutObjectives(list)
		c, u, now := suspectedUpstream(e)
		var others []registry.Registration
		for i := range list {
			list[i].Draining = list[i].ID == u.Route.ID
			list[i].Revision += 10
			if !list[i].Draining {
				others = append(others, list[i])
			}
		}
		setUpstreams(e, list, now)
		if leaves {
			setUpstreams(e, others, now)
		}
		Expect(e.DueProbes(now)).To(HaveLen(1))
		Expect(e.ProbeDone(u.Route.ID, cookie.ProbeRefused, now, now)).To(BeEmpty())
		Expect(id(e.Decide(c.request(1), now))).To(Equal(u.Route.ID))
		Expect(e.DueProbes(now.Add(200 * ms))).To(BeEmpty())
		now = now.Add(300 * ms)
		Expect(e.DueProbes(now)).To(HaveLen(1))
		Expect(e.ProbeDone(u.Route.ID, cookie.ProbeRefused, now, now)).To(HaveLen(1))
	},
		Entry("while it is registered", false),
		Entry("after it was deregistered", true),
	)
})

var _ = Describe("An upstream that is no longer registered", func() {
	// Guards against resets of live flows when an upstream can't reach the store, but still reaches
	// the balancers. Its registration lapses.
	It("keeps its flows if it answers with its own identifier, and gets no new one", func() {
		e := newEngineWithoutObjectives(registrations(1))
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		now := start.Add(time.Second)
		setUpstreams(e, nil, now)
		due := e.DueProbes(now)
		Expect(due).To(HaveLen(1))
		Expect(due[0].Registered).To(BeFalse())
		Expect(e.ProbeDone(u.Route.ID, cookie.ProbeAlive, now, now)).To(BeEmpty())
		Expect(id(e.Decide(c.request(5), now))).To(Equal(u.Route.ID))
		Expect(e.Decide(newCaller(2, feedAt).first(0), now).Action).To(Equal(cookie.ActionReset))
	})

	// Guards against a request on an idle flow that reaches the wrong service: the upstream crashed
	// and its address went to another service.
	It("has its flows reset once another upstream answers at its address", func() {
		e := newEngineWithoutObjectives(registrations(1))
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		now := start.Add(time.Second)
		reused := registration(2)
		reused.Service, reused.Address = "sheets", registration(1).Address
		setUpstreams(e, append(registrations(0), reused), now)
		e.DueProbes(now)
		Expect(e.ProbeDone(u.Route.ID, cookie.ProbeOther, now, now)).To(HaveLen(1))
		v := e.Decide(c.request(5), now)
		Expect(v.Cause).To(Equal(cookie.CauseGone))
	})

	// Guards against callers that wait for three seconds without a reset, since their balancer
	// restarted after an upstream crashed and doesn't know the cookie of its flows.
	It("has its flows reset immediately by a balancer that started later and learned of it", func() {
		e, c, u := deadUpstream()
		Expect(e.DeregisteredDead()).To(HaveLen(1))
		later := newEngineWithoutObjectives(nil)
		Expect(later.Decide(c.request(1), start).Action).To(Equal(cookie.ActionDrop))
		later.LearnDeregisteredDead(e.DeregisteredDead(), start)
		later.Decide(c.request(1), start)
		Expect(later.DueProbes(start)).To(HaveLen(1), "it probes the upstream itself")
		Expect(later.ProbeDone(u.Route.ID, cookie.ProbeOther, start, start)).To(HaveLen(1))
		Expect(later.Decide(c.request(1), start).Cause).To(Equal(cookie.CauseGone))
	})

	It("is forgotten after the lifetime of flows", func() {
		e, c, u := deadUpstream()
		now := start.Add(30 * time.Second)
		e.Expire(now)
		Expect(id(e.Decide(c.request(1), now))).To(Equal(u.Route.ID), "it is known, and may have started again")
		Expect(e.DueProbes(now)).To(HaveLen(1))
		Expect(e.ProbeDone(u.Route.ID, cookie.ProbeRefused, now, now)).To(ConsistOf(HaveField("Cause", cookie.CauseGone)))
		Expect(e.Decide(c.request(1), now).Cause).To(Equal(cookie.CauseGone))
		e.Expire(start.Add(2 * time.Minute))
		Expect(e.Decide(c.request(1), start.Add(2*time.Minute)).Cause).To(Equal(cookie.CauseUnknownCookie))
	})
})

var _ = Describe("The load of an upstream", func() {
	load := func(e *cookie.Engine, u *cookie.Upstream) (flows, requests int64) {
		l := e.LoadTable.Load(u.Route.ID)
		return l.Flows.Load(), l.Requests.Load()
	}

	It("includes a flow until it ends, and a request until its answer", func() {
		e := newEngineWithoutObjectives(registrations(1))
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		e.Decide(c.request(10), start)
		flows, requests := load(e, u)
		Expect([]int64{flows, requests}).To(Equal([]int64{1, 1}))
		e.Decide(c.ackPacket(4000), start)
		flows, requests = load(e, u)
		Expect([]int64{flows, requests}).To(Equal([]int64{1, 0}))
		p := c.request(0)
		p.Flags |= cookie.FlagFIN
		e.Decide(p, start)
		flows, _ = load(e, u)
		Expect(flows).To(BeZero())
		e.Expire(start.Add(3 * time.Second))
		Expect(e.Flows()).To(BeZero())
	})

	// Guards against counts that stay with the former balancer when a host joins and routers move
	// all flows. New flows would avoid upstreams that have free capacity.
	It("excludes a flow that other balancers see now", func() {
		e := newEngineWithoutObjectives(registrations(1))
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		e.Expire(start.Add(4 * time.Second))
		flows, _ := load(e, u)
		Expect(flows).To(BeZero())
		e.Decide(c.request(1), start.Add(5*time.Second))
		flows, _ = load(e, u)
		Expect(flows).To(Equal(int64(1)), "the flow came back")
	})
})

// deadUpstream returns a balancer that has found its only upstream dead after that was
// deregistered, a caller with a flow there, and the upstream.
func deadUpstream() (*cookie.Engine, *caller, *cookie.Upstream) {
	e := newEngineWithoutObjectives(registrations(1))
	c := newCaller(1, feedAt)
	u := c.open(e, start)
	setUpstreams(e, nil, start)
	e.DueProbes(start)
	e.ProbeDone(u.Route.ID, cookie.ProbeRefused, start, start)
	return e, c, u
}

var _ = Describe("An upstream whose entry lapsed and is back", func() {
	list := registrations(3)

	// Guards against probes by every host of each upstream whose entry lapsed for a moment: hosts times
	// upstreams.
	It("isn't probed if nothing else speaks against it", func() {
		e := newEngine(list)
		setUpstreams(e, list[1:], start)
		Expect(e.DueProbes(start)).To(BeEmpty())
		setUpstreams(e, list, start.Add(time.Second))
		Expect(e.DueProbes(start.Add(time.Second))).To(BeEmpty())
		Expect(e.Health(list[0].ID)).To(Equal(cookie.HealthGood))
	})

	It("is probed if it was a suspect before", func() {
		e := newEngine(list)
		e.NoteReportedDead(list[0].ID, start)
		setUpstreams(e, list[1:], start)
		setUpstreams(e, list, start.Add(time.Second))
		Expect(e.DueProbes(start.Add(time.Second))).To(HaveLen(1))
	})
})
