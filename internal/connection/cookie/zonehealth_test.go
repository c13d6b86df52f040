package cookie_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// silentZone is an engine of whose own zone's four upstreams nobody answers any more, with a caller at each, and one of
// another zone to which no flow goes.
type silentZone struct {
	*cookie.Engine
	callers []*caller
	// now is when the callers have repeated their requests.
	now time.Time
}

func newSilentZone() *silentZone {
	GinkgoHelper()
	list := registrations(5)
	list[4].Zone = otherZone
	for i := range list {
		list[i].StartTime = 1
	}
	z := &silentZone{Engine: newPatientEngine(list), now: start.Add(time.Second)}
	at := make(map[bundle.UpstreamID]bool)
	for n := 0; len(at) < 4; n++ {
		c := newCaller(n, feedAt)
		if u := c.open(z.Engine, start); !at[u.Route.ID] {
			at[u.Route.ID] = true
			z.callers = append(z.callers, c)
		}
	}
	for _, c := range z.callers {
		p := c.request(10)
		z.Decide(p, z.now.Add(-200*ms))
		z.Decide(p, z.now)
	}
	return z
}

// checkElsewhere lets the check that is due be answered.
func (z *silentZone) checkElsewhere(accepted bool) {
	GinkgoHelper()
	due := z.DueProbes(z.now)
	Expect(due).To(HaveLen(1), "nobody is doubted before")
	Expect(due[0].Check).To(BeTrue())
	Expect(due[0].Upstream.Zone).To(Equal(otherZone))
	z.CheckDone(accepted, z.now)
}

// All upstreams of a zone lose power at once. A host of that zone hears nobody any more, as if its own link were full;
// it goes on placing flows there, and its callers wait until their patience ends.
var _ = Describe("A host that hears no upstream", func() {
	It("doubts some of its zone's once an upstream of another zone accepts a connection", func() {
		z := newSilentZone()
		z.checkElsewhere(true)
		due := z.DueProbes(z.now)
		Expect(due).To(HaveLen(3))
		for _, p := range due {
			Expect(p.Upstream.Zone).To(Equal(ownZone))
			Expect(p.Reference.Zone).To(Equal(otherZone), "one of the own zone would be as silent")
		}
	})

	It("places new flows in another zone from then on", func() {
		z := newSilentZone()
		z.checkElsewhere(true)
		for n := range 50 {
			Expect(z.Decide(newCaller(100+n, feedAt).first(0), z.now).Upstream.Route.Zone).To(Equal(otherZone))
		}
	})

	It("doubts nobody if that one doesn't accept it either, and asks again a little later", func() {
		z := newSilentZone()
		z.checkElsewhere(false)
		Expect(z.DueProbes(z.now)).To(BeEmpty())
		Expect(z.Decide(newCaller(100, feedAt).first(0), z.now).Upstream.Route.Zone).To(Equal(ownZone))
		z.now = z.now.Add(300 * ms)
		p := z.callers[0].request(0)
		p.Seq, p.Length = p.Seq-10, 10
		z.Decide(p, z.now)
		z.checkElsewhere(true)
	})

	It("asks nobody once it hears one, of whatever zone", func() {
		for _, at := range []bundle.UpstreamID{registration(1).ID, registration(5).ID} {
			z := newSilentZone()
			c := newCaller(99, feedAt)
			c.cookie = cookie.Of(at)
			z.Decide(c.request(10), z.now)
			z.Decide(c.ackPacket(10), z.now)
			Expect(z.DueProbes(z.now)).To(BeEmpty())
		}
	})
})

// The probes of several upstreams of one zone are left open at once. Until each has timed out twice, its callers wait,
// and others send requests on idle flows there which nobody may repeat.
var _ = Describe("Upstreams that leave connections open together", func() {
	// probed returns the upstreams of a zone whose probes have been under way for a while.
	probed := func(z *silentZone) []cookie.Probe {
		GinkgoHelper()
		z.checkElsewhere(true)
		due := z.DueProbes(z.now)
		Expect(due).To(HaveLen(3))
		return due
	}

	It("are dead at once, and the zone's others are looked at", func() {
		z := newSilentZone()
		due, sent := probed(z), z.now
		now := sent.Add(60 * ms)
		ended := make(map[bundle.UpstreamID]bool)
		for i, p := range due {
			found, resets := z.ProbePending(p.Upstream.ID, sent, now)
			Expect(found).To(HaveLen([]int{0, 0, 3}[i]))
			for _, r := range resets {
				ended[r.Upstream.ID] = true
			}
		}
		Expect(ended).To(HaveLen(3), "their callers are told")
		next := z.DueProbes(now)
		Expect(next).To(HaveLen(1), "the fourth has a caller too")
		found, _ := z.ProbePending(next[0].Upstream.ID, now, now.Add(60*ms))
		Expect(found).To(HaveLen(1), "it is no exception")
	})

	It("aren't dead by it if one of their zone is heard meanwhile", func() {
		z := newSilentZone()
		due, sent := probed(z), z.now
		z.Decide(z.callers[0].ackPacket(10), sent.Add(10*ms))
		for _, p := range due {
			found, resets := z.ProbePending(p.Upstream.ID, sent, sent.Add(60*ms))
			Expect(found).To(BeEmpty())
			Expect(resets).To(BeEmpty(), "a live flow would break")
		}
	})

	It("aren't dead by it if one of them accepts a probe meanwhile", func() {
		z := newSilentZone()
		due, sent := probed(z), z.now
		z.ProbeDone(due[0].Upstream.ID, cookie.ProbeAlive, sent, sent.Add(10*ms))
		for _, p := range due[1:] {
			found, _ := z.ProbePending(p.Upstream.ID, sent, sent.Add(60*ms))
			Expect(found).To(BeEmpty())
		}
	})

	// fourth returns the upstream of the zone that isn't probed.
	fourth := func(due []cookie.Probe) bundle.UpstreamID {
		for _, r := range registrations(4) {
			if !slices.ContainsFunc(due, func(p cookie.Probe) bool { return p.Upstream.ID == r.ID }) {
				return r.ID
			}
		}
		return 0
	}

	It("aren't dead by it if another of their zone is heard meanwhile", func() {
		z := newSilentZone()
		due, sent := probed(z), z.now
		c := newCaller(99, feedAt)
		c.cookie = cookie.Of(fourth(due))
		z.Decide(c.request(10), sent)
		z.Decide(c.ackPacket(10), sent.Add(10*ms))
		for _, p := range due {
			found, _ := z.ProbePending(p.Upstream.ID, sent, sent.Add(60*ms))
			Expect(found).To(BeEmpty())
		}
	})

	It("aren't dead by it if another of their zone accepts a probe meanwhile", func() {
		z := newSilentZone()
		due, sent := probed(z), z.now
		z.ReportedDead(fourth(due), sent)
		Expect(z.DueProbes(sent)).To(HaveLen(1))
		z.ProbeDone(fourth(due), cookie.ProbeAlive, sent, sent.Add(10*ms))
		for _, p := range due {
			found, _ := z.ProbePending(p.Upstream.ID, sent, sent.Add(60*ms))
			Expect(found).To(BeEmpty())
		}
	})

	It("aren't dead by it if their references were slow too", func() {
		z := newSilentZone()
		due, sent := probed(z), z.now
		for _, p := range due[:2] {
			z.ProbePending(p.Upstream.ID, sent, sent.Add(60*ms))
			z.ProbeDone(p.Upstream.ID, cookie.ProbeUnsure, sent, sent.Add(250*ms))
		}
		found, _ := z.ProbePending(due[2].Upstream.ID, sent, sent.Add(260*ms))
		Expect(found).To(BeEmpty())
	})

	// A rolling replacement ends several upstreams at once, and others of the zone are busy.
	It("aren't dead by it if they left the list", func() {
		z := newSilentZone()
		due, sent := probed(z), z.now
		left := registrations(5)
		left[4].Zone = otherZone
		left = slices.DeleteFunc(left, func(r registry.Registration) bool { return r.ID == due[0].Upstream.ID })
		for i := range left {
			left[i].StartTime = 1
		}
		setUpstreams(z.Engine, left, sent)
		z.DueProbes(sent)
		for _, p := range due {
			found, resets := z.ProbePending(p.Upstream.ID, sent, sent.Add(60*ms))
			Expect(found).To(BeEmpty())
			Expect(resets).To(BeEmpty())
		}
	})

	It("have two time-outs each if they are too few, as any has", func() {
		z := newSilentZone()
		due, sent := probed(z), z.now
		for _, p := range due[:2] {
			found, _ := z.ProbePending(p.Upstream.ID, sent, sent.Add(60*ms))
			Expect(found).To(BeEmpty())
		}
	})

	It("say nothing of an incarnation that started since", func() {
		z := newSilentZone()
		due, sent := probed(z), z.now
		again := registrations(5)
		again[4].Zone = otherZone
		for i := range again[:4] {
			again[i].StartTime, again[i].Revision = 5, again[i].Revision+10
		}
		setUpstreams(z.Engine, again, sent.Add(10*ms))
		for _, p := range due {
			found, _ := z.ProbePending(p.Upstream.ID, sent, sent.Add(60*ms))
			Expect(found).To(BeEmpty())
		}
	})
})

// A fifth of the upstreams falls silent while the others are heard. Each is found dead for itself; a half a second longer is
// half a second in which callers send requests on idle flows there that nobody may repeat.
var _ = Describe("An upstream that leaves two connections open in a row", func() {
	It("is dead by the second, which begins when the first is left open", func() {
		e := newPatientEngine(registrations(3))
		c, u, now := doubted(e)
		Expect(e.DueProbes(now)).To(HaveLen(1))
		found, _ := e.ProbePending(u.Route.ID, now, now.Add(60*ms))
		Expect(found).To(BeEmpty())
		second := now.Add(60 * ms)
		Expect(e.DueProbes(second)).To(HaveLen(1))
		found, resets := e.ProbePending(u.Route.ID, second, second.Add(60*ms))
		Expect(found).To(Equal([]bundle.UpstreamID{u.Route.ID}))
		Expect(resets).To(HaveLen(1))
		Expect(e.Decide(c.request(1), second.Add(60*ms)).Action).To(Equal(cookie.ActionReset))
	})

	It("lives if a flow heard from it meanwhile", func() {
		e := newPatientEngine(registrations(3))
		c, u, now := doubted(e)
		e.DueProbes(now)
		e.ProbePending(u.Route.ID, now, now.Add(60*ms))
		second := now.Add(60 * ms)
		e.DueProbes(second)
		e.Decide(c.ackPacket(10), second.Add(10*ms))
		found, _ := e.ProbePending(u.Route.ID, second, second.Add(60*ms))
		Expect(found).To(BeEmpty())
		Expect(e.Health(u.Route.ID)).To(Equal(cookie.HealthGood))
	})

	It("lives on if it left the list: it may be on its way out, with flows that it serves", func() {
		list := registrations(3)
		e := newPatientEngine(list)
		_, u, now := doubted(e)
		setUpstreams(e, slices.DeleteFunc(list, func(r registry.Registration) bool { return r.ID == u.Route.ID }), now)
		for range 3 {
			e.DueProbes(now)
			found, _ := e.ProbePending(u.Route.ID, now, now.Add(60*ms))
			Expect(found).To(BeEmpty())
			now = now.Add(60 * ms)
		}
	})

	It("lives if they were its former incarnation's", func() {
		list := registrations(3)
		for i := range list {
			list[i].StartTime = 1
		}
		e := newPatientEngine(list)
		_, u, now := doubted(e)
		e.DueProbes(now)
		for i := range list {
			if list[i].ID == u.Route.ID {
				list[i].StartTime, list[i].Revision = 5, list[i].Revision+10
			}
		}
		setUpstreams(e, list, now.Add(10*ms))
		e.ReportedDead(u.Route.ID, now.Add(2*time.Second))
		e.DueProbes(now.Add(2 * time.Second))
		for range 2 {
			found, _ := e.ProbePending(u.Route.ID, now, now.Add(2*time.Second))
			Expect(found).To(BeEmpty())
		}
	})

	// It closes its health port some milliseconds before it ends its flows.
	It("lives on if it drains", func() {
		list := registrations(3)
		e := newPatientEngine(list)
		_, u, now := doubted(e)
		for i := range list {
			list[i].Draining = list[i].ID == u.Route.ID
			list[i].Revision += 10
		}
		setUpstreams(e, list, now)
		for range 3 {
			e.DueProbes(now)
			found, _ := e.ProbePending(u.Route.ID, now, now.Add(60*ms))
			Expect(found).To(BeEmpty())
			now = now.Add(60 * ms)
		}
	})
})
