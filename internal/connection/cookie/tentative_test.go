package cookie_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// newInquirer returns an engine that asks other balancers about ambiguous flows.
func newInquirer(upstreams int) *cookie.Engine {
	e := cookie.NewEngine(cookie.Options{
		Zone: ownZone, Policy: upstream.NewZoneAware(ownZone, upstream.DefaultChoices), FlowLifetime: time.Minute, Inquire: true,
	})
	e.SetRouting(bundle.NewRouting(1, content(), nil), start)
	setUpstreams(e, registrations(upstreams), start)
	e.ConfirmRegistrations(start)
	return e
}

var _ = Describe("A packet with a tentative cookie", func() {
	var e *cookie.Engine
	var c *caller
	var u, other bundle.UpstreamID
	BeforeEach(func() {
		e, c = newInquirer(2), newCaller(1, feedAt)
		u, other = registration(1).ID, registration(2).ID
		c.cookie = cookie.Of(u).Tentative()
	})

	It("is held until another balancer tells at which upstream the flow opened", func() {
		p := c.ackPacket(1)
		v := e.Decide(p, start)
		Expect(v.Action).To(Equal(cookie.ActionHold))
		Expect(v.Inquire).To(BeTrue())
		e.InquiryBegun(c.key, 2)
		again := e.Decide(p, start)
		Expect(again.Action).To(Equal(cookie.ActionHold))
		Expect(again.Inquire).To(BeFalse())
		Expect(e.InquiryAnswered(cookie.Placement{Key: c.key}, start)).To(BeFalse())
		Expect(e.InquiryAnswered(cookie.Placement{Key: c.key, Cookie: cookie.Of(other), Ack: p.Ack}, start)).To(BeTrue())
		Expect(id(e.Decide(p, start))).To(Equal(other))
	})

	It("follows its cookie if no other balancer knows the flow", func() {
		p := c.ackPacket(1)
		e.Decide(p, start)
		e.InquiryBegun(c.key, 1)
		Expect(e.InquiryAnswered(cookie.Placement{Key: c.key}, start)).To(BeTrue())
		Expect(id(e.Decide(p, start))).To(Equal(u))
	})

	It("follows its cookie if the inquiry isn't answered in time", func() {
		p := c.ackPacket(1)
		e.Decide(p, start)
		e.InquiryBegun(c.key, 1)
		Expect(e.ExpiredInquiries(start.Add(99 * ms))).To(BeEmpty())
		Expect(e.ExpiredInquiries(start.Add(100 * ms))).To(Equal([]cookie.Key{c.key}))
		Expect(id(e.Decide(p, start.Add(100*ms)))).To(Equal(u))
	})

	It("isn't asked about if the flow's placement was announced", func() {
		p := c.ackPacket(1)
		e.LearnPlacement(cookie.Placement{Key: c.key, Cookie: cookie.Of(other), Ack: p.Ack}, start)
		Expect(id(e.Decide(p, start))).To(Equal(other))
	})

	// Guards against a packet of a new flow between the same addresses that goes where the former flow was.
	It("is asked about if the placement is that of another flow between the same addresses", func() {
		p := c.ackPacket(1)
		e.LearnPlacement(cookie.Placement{Key: c.key, Cookie: cookie.Of(other), Ack: p.Ack + 1}, start)
		Expect(e.Decide(p, start).Action).To(Equal(cookie.ActionHold))
	})

	// Guards against memory that callers with made-up packets can fill.
	It("follows its cookie if too many inquiries are in progress", func() {
		for i := range cookie.MaxInquiries {
			f := newCaller(100+i, feedAt)
			f.cookie = c.cookie
			Expect(e.Decide(f.ackPacket(1), start).Action).To(Equal(cookie.ActionHold))
		}
		Expect(id(e.Decide(c.ackPacket(1), start))).To(Equal(u))
		Expect(e.ExpiredInquiries(start.Add(time.Second))).To(BeEmpty())
		Expect(e.Decide(newCallerWith(9, c.cookie).ackPacket(1), start.Add(time.Second)).Action).To(Equal(cookie.ActionHold))
	})
})

// newCallerWith returns a caller that has received a cookie.
func newCallerWith(n int, carried cookie.Cookie) *caller {
	c := newCaller(n, feedAt)
	c.cookie = carried
	return c
}

var _ = Describe("A flow that opens", func() {
	// Guards against a host that knows at which upstream a flow opened and tells nobody, and against one that tells of all flows.
	DescribeTable("is announced if another upstream may have received a copy of its first packet",
		func(copies []uint32, openedAfter time.Duration, announced bool) {
			e, c := newInquirer(1), newCaller(1, feedAt)
			sentAt := map[uint32]time.Duration{0: 0, 1: 200 * ms, 2: 600 * ms}
			var v cookie.Verdict
			for _, n := range copies {
				v = e.Decide(c.first(n), start.Add(sentAt[n]))
			}
			c.cookie = cookie.Of(registration(1).ID).Tentative()
			p, now := c.ackPacket(1), start.Add(openedAfter)
			v = e.Decide(p, now)
			if v.Action == cookie.ActionHold {
				e.InquiryBegun(c.key, 0)
				v = e.Decide(p, now)
			}
			Expect(v.Action).To(Equal(cookie.ActionForward))
			Expect(v.Cookie).To(Equal(v.Upstream.Cookie))
			list := e.TakePlacements()
			if !announced {
				Expect(list).To(BeEmpty())
				return
			}
			Expect(list).To(Equal([]cookie.Placement{{Key: c.key, Cookie: v.Upstream.Cookie, Ack: p.Ack}}))
			Expect(e.PlacementOf(c.key, p.Ack+1000)).To(Equal(v.Upstream.Cookie))
		},
		Entry("not if the first packet was answered at once", []uint32{0}, 10*ms, false),
		Entry("not if all copies arrived here and went to one upstream", []uint32{0, 1}, 210*ms, false),
		Entry("when a copy may have gone elsewhere", []uint32{0}, 300*ms, true),
		Entry("when the first packet went elsewhere", []uint32{1}, 210*ms, true),
		Entry("when no copy arrived here", []uint32{}, 10*ms, true),
	)

	It("keeps its placement for the lifetime of a flow", func() {
		e, c := newInquirer(2), newCaller(1, feedAt)
		e.LearnPlacement(cookie.Placement{Key: c.key, Cookie: cookie.Of(registration(1).ID), Ack: 7}, start)
		e.Expire(start.Add(time.Minute))
		Expect(e.Placements()).To(HaveLen(1))
		e.Expire(start.Add(time.Minute + ms))
		Expect(e.Placements()).To(BeEmpty())
	})
})
