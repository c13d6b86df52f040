package cookie_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

const ms = time.Millisecond

// doubted opens a flow at some upstream, lets that fall silent while another is
// heard, and returns the flow, the upstream and the time.
func doubted(e *cookie.Engine) (*caller, *cookie.Upstream, time.Time) {
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

var _ = Describe("An upstream that leaves a repeated packet unanswered", func() {
	It("is probed and gets no new flow meanwhile", func() {
		e := newPatientEngine(registrations(3))
		_, u, now := doubted(e)
		due := e.DueProbes(now)
		Expect(due).To(HaveLen(1))
		Expect(due[0].Upstream.ID).To(Equal(u.Route.ID))
		Expect(due[0].Reference).NotTo(BeNil())
		Expect(due[0].Reference.ID).NotTo(Equal(u.Route.ID))
		for n := range 20 {
			Expect(id(e.Decide(newCaller(200+n, feedAt).first(0), now))).NotTo(Equal(u.Route.ID))
		}
		Expect(e.DueProbes(now)).To(BeEmpty(), "one at a time")
	})

	DescribeTable("is found dead by",
		func(results []cookie.ProbeResult, dead bool) {
			e := newPatientEngine(registrations(3))
			c, u, now := doubted(e)
			resets := make([]cookie.Reset, 0, 1)
			for _, r := range results {
				now = now.Add(300 * ms)
				Expect(e.DueProbes(now)).To(HaveLen(1))
				resets = append(resets, e.ProbeDone(u.Route.ID, r, now, now.Add(ms))...)
			}
			if !dead {
				Expect(resets).To(BeEmpty())
				Expect(id(e.Decide(c.request(1), now))).To(Equal(u.Route.ID), "a wrong reset breaks a live flow")
				return
			}
			Expect(resets).To(Equal([]cookie.Reset{
				{Key: c.key, Seq: c.ack, Cause: cookie.CauseDead, Upstream: u.Route},
			}))
			v := e.Decide(c.request(1), now)
			Expect(v.Action).To(Equal(cookie.ActionReset), "of later packets too")
			Expect(v.Cause).To(Equal(cookie.CauseDead))
		},
		Entry("a refused connection", []cookie.ProbeResult{cookie.ProbeRefused}, true),
		Entry("another that answers at its address", []cookie.ProbeResult{cookie.ProbeOther}, true),
		Entry("two time-outs", []cookie.ProbeResult{cookie.ProbeTimeout, cookie.ProbeTimeout}, true),
		Entry("not by one time-out: a connection attempt may be lost", []cookie.ProbeResult{cookie.ProbeTimeout}, false),
		Entry("not if the reference was slow too",
			[]cookie.ProbeResult{cookie.ProbeUnsure, cookie.ProbeUnsure, cookie.ProbeUnsure}, false),
		Entry("not if it answers", []cookie.ProbeResult{cookie.ProbeTimeout, cookie.ProbeAlive}, false),
	)

	// An upstream falls silent. Its callers wait until two attempts to connect have timed out;
	// if the second begins only when the first has, they wait 150 ms more.
	It("is probed a second time while the first attempt waits, and dead only by both", func() {
		e := newPatientEngine(registrations(3))
		c, u, now := doubted(e)
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

	It("lives if the first of two attempts is answered late", func() {
		e := newPatientEngine(registrations(3))
		c, u, now := doubted(e)
		Expect(e.DueProbes(now)).To(HaveLen(1))
		second := now.Add(100 * ms)
		Expect(e.DueProbes(second)).To(HaveLen(1))
		Expect(e.ProbeDone(u.Route.ID, cookie.ProbeAlive, now, now.Add(240*ms))).To(BeEmpty())
		Expect(e.ProbeDone(u.Route.ID, cookie.ProbeTimeout, second, now.Add(350*ms))).To(BeEmpty())
		Expect(e.Health(u.Route.ID)).To(Equal(cookie.HealthGood))
		Expect(id(e.Decide(c.request(1), now.Add(360*ms)))).To(Equal(u.Route.ID))
	})

	// A busy upstream works on a request for longer than 200 ms, so its caller
	// repeats it; probes wait behind the requests. Its feeds must not be reset.
	It("lives if a flow hears from it while the probes wait", func() {
		e := newPatientEngine(registrations(3))
		c, u, now := doubted(e)
		for range 3 {
			e.DueProbes(now)
			sent := now
			now = now.Add(250 * ms)
			Expect(id(e.Decide(c.ackPacket(100), now))).To(Equal(u.Route.ID))
			Expect(e.ProbeDone(u.Route.ID, cookie.ProbeTimeout, sent, now)).To(BeEmpty())
		}
		Expect(e.Health(u.Route.ID)).To(Equal(cookie.HealthGood))
	})

	// A host is stopped for four seconds. When it goes on, it finds copies of packets
	// that callers sent meanwhile and takes live upstreams for dead.
	It("isn't doubted for what was repeated while the process was paused", func() {
		e := newPatientEngine(registrations(3))
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

	// A host's own link is full. It hears no upstream, doubts every one whose flow
	// repeats a packet, and has nowhere to place new flows.
	It("isn't doubted while no upstream is heard", func() {
		e := newPatientEngine(registrations(3))
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
		e := newPatientEngine(registrations(1))
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		e.ReportedDead(u.Route.ID, start.Add(2*time.Second))
		now := start.Add(2 * time.Second)
		Expect(e.DueProbes(now)).To(HaveLen(1))
		e.ProbeDone(u.Route.ID, cookie.ProbeRefused, now, now)
		Expect(e.Decide(newCaller(2, feedAt).first(0), now).Action).To(Equal(cookie.ActionReset))
		now = now.Add(1100 * ms)
		Expect(e.DueProbes(now)).To(HaveLen(1), "dead ones are looked at again")
		e.ProbeDone(u.Route.ID, cookie.ProbeAlive, now, now)
		Expect(id(e.Decide(newCaller(3, feedAt).first(0), now))).To(Equal(u.Route.ID))
	})
})

var _ = Describe("An upstream that drains", func() {
	// An upstream closes its health port some milliseconds before it ends its flows. A
	// balancer whose probe was refused in between reset a feed that was still served,
	// just before its last answer.
	DescribeTable("isn't taken for dead by one refused connection", func(leaves bool) {
		list := registrations(3)
		e := newPatientEngine(list)
		c, u, now := doubted(e)
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
		Entry("while the list has it", false),
		Entry("after it left the list", true),
	)
})

var _ = Describe("An upstream that the list no longer has", func() {
	// An upstream loses its way to the store but not to the balancers. Its entry
	// lapses, and all its feeds are reset though it serves them.
	It("keeps its flows if it answers under its own identifier, and gets no new one", func() {
		e := newPatientEngine(registrations(1))
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

	// An upstream crashes and its address goes to another service. A desk's idle feed
	// carries a booking to nowhere.
	It("has its flows reset once another answers at its address", func() {
		e := newPatientEngine(registrations(1))
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

	// A balancer restarts after an upstream crashed. It doesn't know the cookie of the
	// crashed one's flows, and their callers wait for three seconds without a word.
	It("has its flows reset at once by a balancer that started later and was told", func() {
		e, c, u := crashed()
		Expect(e.DeregisteredDead()).To(HaveLen(1))
		later := newPatientEngine(nil)
		Expect(later.Decide(c.request(1), start).Action).To(Equal(cookie.ActionDrop))
		later.LearnDeregisteredDead(e.DeregisteredDead(), start)
		later.Decide(c.request(1), start)
		Expect(later.DueProbes(start)).To(HaveLen(1), "it looks for itself")
		Expect(later.ProbeDone(u.Route.ID, cookie.ProbeOther, start, start)).To(HaveLen(1))
		Expect(later.Decide(c.request(1), start).Cause).To(Equal(cookie.CauseGone))
	})

	It("is forgotten after the lifetime of flows", func() {
		e, c, _ := crashed()
		e.Expire(start.Add(30 * time.Second))
		Expect(e.Decide(c.request(1), start.Add(30*time.Second)).Cause).To(Equal(cookie.CauseGone))
		e.Expire(start.Add(2 * time.Minute))
		Expect(e.Decide(c.request(1), start.Add(2*time.Minute)).Cause).To(Equal(cookie.CauseUnknownCookie))
	})
})

var _ = Describe("What is counted of flows", func() {
	load := func(e *cookie.Engine, u *cookie.Upstream) (flows, requests int64) {
		l := e.LoadTable.Load(u.Route.ID)
		return l.Flows.Load(), l.Requests.Load()
	}

	It("is a flow until it ends, and a request until its answer", func() {
		e := newPatientEngine(registrations(1))
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

	// Routers move all flows when a host joins. What the former balancer counted stays
	// counted there, and new flows keep away from upstreams that have room.
	It("no longer counts a flow that other balancers see now", func() {
		e := newPatientEngine(registrations(1))
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		e.Expire(start.Add(4 * time.Second))
		flows, _ := load(e, u)
		Expect(flows).To(BeZero())
		e.Decide(c.request(1), start.Add(5*time.Second))
		flows, _ = load(e, u)
		Expect(flows).To(Equal(int64(1)), "it came back")
	})
})

// crashed returns a balancer that has found its only upstream dead, a caller with a flow
// there, and that upstream.
func crashed() (*cookie.Engine, *caller, *cookie.Upstream) {
	e := newPatientEngine(registrations(1))
	c := newCaller(1, feedAt)
	u := c.open(e, start)
	setUpstreams(e, nil, start)
	e.DueProbes(start)
	e.ProbeDone(u.Route.ID, cookie.ProbeRefused, start, start)
	return e, c, u
}
