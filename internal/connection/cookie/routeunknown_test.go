package cookie_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/admission"
	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Guards against a reset of an open flow whose route this balancer hasn't received yet: it opened through a balancer that has.
func TestOpenFlowIsNotResetBeforeItsRouteIsKnown(t *testing.T) {
	RegisterTestingT(t)
	for name, tentative := range map[string]bool{"during its handshake": true, "later": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := newEngineOf(content(feedAt), registrations(1))
			c := newCaller(1, feedAt)
			if c.cookie = cookie.Of(registration(1).ID); tentative {
				c.cookie = c.cookie.Tentative()
			}
			g.Expect(e.Decide(c.ackPacket(1), start).Action).NotTo(Equal(cookie.ActionReset))
		})
	}
}

// routeGrace is how long a flow must have been without a route when the table without it is confirmed.
const routeGrace = 3 * time.Second

// tableHistory is a balancer with a flow that opened elsewhere, at a time after start.
type tableHistory struct {
	e   *cookie.Engine
	c   *caller
	now time.Time
}

// set puts a version in force, with or without the flow's route, and returns how many flows it resets.
func (h *tableHistory) set(v bundle.Version, routed bool) int {
	table := routing(v)
	if !routed {
		table = routing(v, feedAt)
	}
	return len(h.e.SetRouting(table, h.now))
}

// confirm confirms the table in force each half second for a time, and returns how many flows are reset.
func (h *tableHistory) confirm(lasting time.Duration) int {
	n := 0
	for end := h.now.Add(lasting); h.now.Before(end); {
		h.now = h.now.Add(500 * ms)
		h.e.ConfirmRouting(h.now)
		n += len(h.e.EndUnrouted())
	}
	return n
}

// packet returns where a packet of the flow goes.
func (h *tableHistory) packet() bundle.UpstreamID { return id(h.e.Decide(h.c.request(10), h.now)) }

// Guards against a table that a balancer receives late, out of step or never: an open flow must not be reset by it, and one
// whose route was dropped must end.
func TestUnroutedFlowThroughVersions(t *testing.T) {
	RegisterTestingT(t)
	for name, play := range map[string]func(g *WithT, h *tableHistory){
		"stays while versions in between lack its route too": func(g *WithT, h *tableHistory) {
			h.packet()
			for v := bundle.Version(2); v < 38; v++ {
				h.now = h.now.Add(330 * ms)
				g.Expect(h.set(v, false)).To(BeZero())
				g.Expect(h.packet()).To(Equal(registration(1).ID))
			}
			g.Expect(h.set(38, true)).To(BeZero())
			g.Expect(h.e.UnroutedFlows()).To(BeZero())
			g.Expect(h.confirm(10 * time.Second)).To(BeZero())
			g.Expect(h.packet()).To(Equal(registration(1).ID))
		},
		"stays if the version that drops its route and the one that adds it are received together": func(g *WithT, h *tableHistory) {
			h.set(2, true)
			h.packet()
			g.Expect(h.set(4, true)).To(BeZero())
			g.Expect(h.confirm(10 * time.Second)).To(BeZero())
		},
		"stays if it may have opened after its route came again": func(g *WithT, h *tableHistory) {
			h.set(2, true)
			h.confirm(5 * time.Second)
			h.packet()
			g.Expect(h.set(3, false)).To(BeZero())
			g.Expect(h.packet()).To(Equal(registration(1).ID))
			g.Expect(h.set(4, true)).To(BeZero())
			g.Expect(h.confirm(10 * time.Second)).To(BeZero())
		},
		"ends with its route if it was open while the version before was the newest": func(g *WithT, h *tableHistory) {
			h.set(2, true)
			h.packet()
			h.confirm(routeGrace)
			g.Expect(h.set(3, false)).To(Equal(1))
		},
		"ends with its route if that was received and dropped later": func(g *WithT, h *tableHistory) {
			h.packet()
			h.set(2, true)
			h.confirm(routeGrace)
			g.Expect(h.set(3, false)).To(Equal(1))
			g.Expect(h.e.Flows()).To(BeZero())
		},
		"ends if the balancer started after its route was dropped": func(g *WithT, h *tableHistory) {
			h.packet()
			g.Expect(h.confirm(routeGrace - 500*ms)).To(BeZero())
			g.Expect(h.confirm(500 * ms)).To(Equal(1))
			g.Expect(h.e.UnroutedFlows()).To(BeZero())
		},
		"ends if a version in between lacks its route and is the newest": func(g *WithT, h *tableHistory) {
			h.packet()
			g.Expect(h.confirm(time.Second)).To(BeZero())
			g.Expect(h.set(2, false)).To(BeZero())
			g.Expect(h.confirm(routeGrace)).To(Equal(1))
		},
		"stays while nothing confirms the table": func(g *WithT, h *tableHistory) {
			for range 60 {
				h.packet()
				h.now = h.now.Add(time.Second)
				g.Expect(h.e.EndUnrouted()).To(BeEmpty())
			}
		},
		"stays while another balancer tells of a newer version, and ends afterwards": func(g *WithT, h *tableHistory) {
			h.packet()
			for range 20 {
				h.e.NoteNewerVersion(7, h.now)
				g.Expect(h.confirm(time.Second)).To(BeZero())
			}
			g.Expect(h.confirm(routeGrace + 500*ms)).To(Equal(1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := &tableHistory{e: newEngineOf(content(feedAt), registrations(1)), c: newCaller(1, feedAt), now: start}
			h.c.cookie = cookie.Of(registration(1).ID)
			play(NewWithT(t), h)
		})
	}
}

// Guards against an unrouted flow that is treated in another way than a routed one, apart from its route.
func TestUnroutedFlowIsAFlow(t *testing.T) {
	RegisterTestingT(t)
	for name, play := range map[string]func(g *WithT, e *cookie.Engine, c *caller){
		"counts at its upstream": func(g *WithT, e *cookie.Engine, c *caller) {
			e.Decide(c.request(10), start)
			load := e.LoadTable.Load(registration(1).ID)
			g.Expect(load.Flows.Load()).To(BeEquivalentTo(1))
			g.Expect(load.Requests.Load()).To(BeEquivalentTo(1))
			e.Decide(c.ackPacket(100), start.Add(10*ms))
			g.Expect(load.Requests.Load()).To(BeZero())
		},
		"is reset if its upstream is found dead": func(g *WithT, e *cookie.Engine, c *caller) {
			e.Decide(c.request(10), start)
			g.Expect(e.ProbeDone(registration(1).ID, cookie.ProbeRefused, start, start)).To(HaveLen(1))
			g.Expect(e.Decide(c.request(10), start).Cause).To(Equal(cookie.CauseDead))
		},
		"is dropped, not reset, while its upstream isn't known": func(g *WithT, e *cookie.Engine, c *caller) {
			c.cookie = cookie.Of(registration(9).ID)
			v := e.Decide(c.request(10), start)
			g.Expect([]any{v.Action, v.Cause}).To(Equal([]any{cookie.ActionDrop, cookie.CauseUnknownCookie}))
			for after := time.Duration(0); after <= routeGrace; after += 500 * ms {
				e.ConfirmRegistrations(start.Add(after))
			}
			g.Expect(e.Decide(c.request(10), start.Add(routeGrace)).Cause).To(Equal(cookie.CauseGone))
		},
		"needs a cookie": func(g *WithT, e *cookie.Engine, c *caller) {
			c.cookie = 0
			v := e.Decide(c.request(10), start)
			g.Expect([]any{v.Action, v.Cause}).To(Equal([]any{cookie.ActionDrop, cookie.CauseNoCookie}))
		},
		"leaves no record when its caller resets it": func(g *WithT, e *cookie.Engine, c *caller) {
			e.Decide(c.request(10), start)
			p := c.request(0)
			p.Flags |= cookie.FlagRST
			g.Expect(e.Decide(p, start).Action).To(Equal(cookie.ActionForward))
			g.Expect(e.Decide(p, start).Action).To(Equal(cookie.ActionForward))
			g.Expect(e.Flows() + e.UnroutedFlows()).To(BeZero())
		},
		"is forgotten when it is idle": func(g *WithT, e *cookie.Engine, c *caller) {
			e.Decide(c.request(10), start)
			e.Expire(start.Add(time.Hour))
			g.Expect(e.Flows() + e.UnroutedFlows()).To(BeZero())
			g.Expect(e.EndUnrouted()).To(BeEmpty())
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCaller(1, feedAt)
			c.cookie = cookie.Of(registration(1).ID)
			play(NewWithT(t), newEngineOf(content(feedAt), registrations(1)), c)
		})
	}
}

// Guards against an unrouted flow whose caller carries a late answer's cookie and that follows it without asking.
func TestUnroutedFlowWithTentativeCookieIsAskedAbout(t *testing.T) {
	RegisterTestingT(t)
	g := NewWithT(t)
	e := newInquirer(2)
	c := newCaller(1, feedAt)
	c.key.ServicePort++
	c.cookie = cookie.Of(registration(1).ID).Tentative()
	p := c.request(10)
	v := e.Decide(p, start)
	g.Expect([]any{v.Action, v.Inquire}).To(Equal([]any{cookie.ActionHold, true}))
	e.InquiryBegun(c.key, 1)
	g.Expect(e.InquiryAnswered(cookie.Placement{Key: c.key, Cookie: cookie.Of(registration(2).ID), Ack: p.Ack}, start)).To(BeTrue())
	g.Expect(id(e.Decide(p, start))).To(Equal(registration(2).ID))
}

// Guards against an unrouted flow that is counted in a class of no priority of its own, or in none once its route is known.
func TestUnroutedFlowGetsItsClassWithItsRoute(t *testing.T) {
	RegisterTestingT(t)
	g := NewWithT(t)
	control := admission.New()
	control.Start(start)
	e := cookie.NewEngine(cookie.Options{
		Zone: ownZone, Policy: upstream.NewZoneAware(ownZone, upstream.DefaultChoices), FlowLifetime: time.Minute, Admission: control,
	})
	e.SetRouting(routing(1, feedAt), start)
	setUpstreams(e, registrations(1), start)
	c := newCaller(1, feedAt)
	c.cookie = cookie.Of(registration(1).ID)
	requests := func() (n uint32) {
		e.RotateClasses()
		for _, l := range control.Loads(start.Add(time.Second)) {
			n += l.Requests
		}
		return n
	}
	e.Decide(c.request(10), start)
	g.Expect(requests()).To(BeZero())
	e.SetRouting(routing(2), start)
	g.Expect(requests()).To(BeEquivalentTo(1))
}

// Guards against callers that are refused on an address that was just added, and against ones that wait although the address
// has no route.
func TestFlowToAddressWithoutRoute(t *testing.T) {
	RegisterTestingT(t)
	for name, tc := range map[string]struct {
		newer bundle.Version
		after time.Duration
		want  cookie.Action
	}{
		"is refused at once by a balancer that knows of no newer version": {want: cookie.ActionReset},
		"is refused at once if others have the same version":              {newer: 1, want: cookie.ActionReset},
		"waits for the version that another balancer has":                 {newer: 2, want: cookie.ActionDrop},
		"waits no longer than a version takes to be received":             {newer: 2, after: routeGrace, want: cookie.ActionReset},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := newEngineOf(content(feedAt), registrations(1))
			e.NoteNewerVersion(tc.newer, start)
			g.Expect(e.Decide(newCaller(1, feedAt).first(0), start.Add(tc.after)).Action).To(Equal(tc.want))
			e.SetRouting(routing(2), start)
			g.Expect(e.Decide(newCaller(2, feedAt).first(0), start.Add(tc.after)).Action).To(Equal(cookie.ActionForward))
		})
	}
}

// Guards against memory that callers with made-up flows to addresses without a route can fill.
func TestUnroutedFlowsAreBounded(t *testing.T) {
	RegisterTestingT(t)
	g := NewWithT(t)
	const bound = 4096
	e := newEngineOf(content(feedAt), registrations(1))
	for i := range bound + 100 {
		c := newCaller(i, feedAt)
		c.cookie = cookie.Of(registration(1).ID)
		g.Expect(id(e.Decide(c.request(10), start))).To(Equal(registration(1).ID))
	}
	g.Expect(e.Flows()).To(Equal(bound))
	g.Expect(e.UnroutedFlows()).To(Equal(bound))
}
