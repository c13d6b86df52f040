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

// silentZone is an engine whose own zone has four upstreams that no longer answer, with a caller at
// each, and whose other zone has one upstream without flows.
type silentZone struct {
	*cookie.Engine
	callers []*caller
	// now is when the callers have retransmitted their requests.
	now time.Time
}

func newSilentZone() *silentZone {
	GinkgoHelper()
	list := registrations(5)
	list[4].Zone = otherZone
	for i := range list {
		list[i].StartTime = 1
	}
	z := &silentZone{Engine: newEngineWithoutObjectives(list), now: start.Add(time.Second)}
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

// answerCheck reports the result of the check that is due.
func (z *silentZone) answerCheck(accepted bool) {
	GinkgoHelper()
	due := z.DueProbes(z.now)
	Expect(due).To(HaveLen(1), "no upstream is suspected before")
	Expect(due[0].Check).To(BeTrue())
	Expect(due[0].Upstream.Zone).To(Equal(otherZone))
	z.CheckDone(accepted, z.now)
}

// Guards against a host that places flows in its own zone after all upstreams there lost power. It
// sees no upstream, as if its own link were full, and its callers would wait until they give up.
var _ = Describe("A host that sees no upstream", func() {
	It("suspects some of its zone once an upstream of another zone accepts a connection", func() {
		z := newSilentZone()
		z.answerCheck(true)
		due := z.DueProbes(z.now)
		Expect(due).To(HaveLen(3))
		for _, p := range due {
			Expect(p.Upstream.Zone).To(Equal(ownZone))
			Expect(p.Reference.Zone).To(Equal(otherZone), "an upstream of the own zone would be as silent")
		}
	})

	It("places new flows in another zone from then on", func() {
		z := newSilentZone()
		z.answerCheck(true)
		for n := range 50 {
			Expect(z.Decide(newCaller(100+n, feedAt).first(0), z.now).Upstream.Route.Zone).To(Equal(otherZone))
		}
	})

	It("suspects none if that upstream doesn't accept it either, and checks again later", func() {
		z := newSilentZone()
		z.answerCheck(false)
		Expect(z.DueProbes(z.now)).To(BeEmpty())
		Expect(z.Decide(newCaller(100, feedAt).first(0), z.now).Upstream.Route.Zone).To(Equal(ownZone))
		z.now = z.now.Add(300 * ms)
		p := z.callers[0].request(0)
		p.Seq, p.Length = p.Seq-10, 10
		z.Decide(p, z.now)
		z.answerCheck(true)
	})

	It("checks no upstream once it sees one, whatever its zone", func() {
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

// Guards against long waits when several upstreams of one zone fall silent together. Until two
// probes of each had timed out, its callers would wait, and others would send requests on idle
// flows there that can't be repeated.
var _ = Describe("Upstreams that leave connections unaccepted together", func() {
	// probeSuspects makes the upstreams of the zone suspects and returns the probes that are sent.
	probeSuspects := func(z *silentZone) []cookie.Probe {
		GinkgoHelper()
		z.answerCheck(true)
		due := z.DueProbes(z.now)
		Expect(due).To(HaveLen(3))
		return due
	}

	It("are dead immediately, and the zone's others are probed", func() {
		z := newSilentZone()
		due, sent := probeSuspects(z), z.now
		now := sent.Add(60 * ms)
		ended := make(map[bundle.UpstreamID]bool)
		for i, p := range due {
			found, resets := z.ProbePending(p.Upstream.ID, sent, now)
			Expect(found).To(HaveLen([]int{0, 0, 3}[i]))
			for _, r := range resets {
				ended[r.Upstream.ID] = true
			}
		}
		Expect(ended).To(HaveLen(3), "their callers get a reset")
		next := z.DueProbes(now)
		Expect(next).To(HaveLen(1), "the fourth upstream has a caller too")
		found, _ := z.ProbePending(next[0].Upstream.ID, now, now.Add(60*ms))
		Expect(found).To(HaveLen(1), "one unaccepted connection is enough for it too")
	})

	It("aren't dead if an upstream of their zone is seen meanwhile", func() {
		z := newSilentZone()
		due, sent := probeSuspects(z), z.now
		z.Decide(z.callers[0].ackPacket(10), sent.Add(10*ms))
		for _, p := range due {
			found, resets := z.ProbePending(p.Upstream.ID, sent, sent.Add(60*ms))
			Expect(found).To(BeEmpty())
			Expect(resets).To(BeEmpty(), "a reset would break a live flow")
		}
	})

	It("aren't dead if one of them accepts a probe meanwhile", func() {
		z := newSilentZone()
		due, sent := probeSuspects(z), z.now
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

	It("aren't dead if another upstream of their zone is seen meanwhile", func() {
		z := newSilentZone()
		due, sent := probeSuspects(z), z.now
		c := newCaller(99, feedAt)
		c.cookie = cookie.Of(fourth(due))
		z.Decide(c.request(10), sent)
		z.Decide(c.ackPacket(10), sent.Add(10*ms))
		for _, p := range due {
			found, _ := z.ProbePending(p.Upstream.ID, sent, sent.Add(60*ms))
			Expect(found).To(BeEmpty())
		}
	})

	It("aren't dead if another upstream of their zone accepts a probe meanwhile", func() {
		z := newSilentZone()
		due, sent := probeSuspects(z), z.now
		z.NoteReportedDead(fourth(due), sent)
		Expect(z.DueProbes(sent)).To(HaveLen(1))
		z.ProbeDone(fourth(due), cookie.ProbeAlive, sent, sent.Add(10*ms))
		for _, p := range due {
			found, _ := z.ProbePending(p.Upstream.ID, sent, sent.Add(60*ms))
			Expect(found).To(BeEmpty())
		}
	})

	It("aren't dead if their references were slow too", func() {
		z := newSilentZone()
		due, sent := probeSuspects(z), z.now
		for _, p := range due[:2] {
			z.ProbePending(p.Upstream.ID, sent, sent.Add(60*ms))
			z.ProbeDone(p.Upstream.ID, cookie.ProbeUnsure, sent, sent.Add(250*ms))
		}
		found, _ := z.ProbePending(due[2].Upstream.ID, sent, sent.Add(260*ms))
		Expect(found).To(BeEmpty())
	})

	// A rolling replacement ends several upstreams together, while others of the zone are busy.
	It("aren't dead if one of them was deregistered", func() {
		z := newSilentZone()
		due, sent := probeSuspects(z), z.now
		remaining := registrations(5)
		remaining[4].Zone = otherZone
		remaining = slices.DeleteFunc(remaining, func(r registry.Registration) bool { return r.ID == due[0].Upstream.ID })
		for i := range remaining {
			remaining[i].StartTime = 1
		}
		setUpstreams(z.Engine, remaining, sent)
		z.DueProbes(sent)
		for _, p := range due {
			found, resets := z.ProbePending(p.Upstream.ID, sent, sent.Add(60*ms))
			Expect(found).To(BeEmpty())
			Expect(resets).To(BeEmpty())
		}
	})

	It("need two timeouts each if they are too few", func() {
		z := newSilentZone()
		due, sent := probeSuspects(z), z.now
		for _, p := range due[:2] {
			found, _ := z.ProbePending(p.Upstream.ID, sent, sent.Add(60*ms))
			Expect(found).To(BeEmpty())
		}
	})

	It("don't affect an incarnation that started since", func() {
		z := newSilentZone()
		due, sent := probeSuspects(z), z.now
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

// Guards against slow detection when a fifth of the upstreams falls silent while others are seen.
// Each is found dead by its own probes. For half a second longer, callers would send requests on
// idle flows there that can't be repeated.
var _ = Describe("An upstream that leaves two connections in a row unaccepted", func() {
	It("is dead after the second, which begins once the first is reported as pending", func() {
		e := newEngineWithoutObjectives(registrations(3))
		c, u, now := suspectedUpstream(e)
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

	It("is alive if it answers a flow meanwhile", func() {
		e := newEngineWithoutObjectives(registrations(3))
		c, u, now := suspectedUpstream(e)
		e.DueProbes(now)
		e.ProbePending(u.Route.ID, now, now.Add(60*ms))
		second := now.Add(60 * ms)
		e.DueProbes(second)
		e.Decide(c.ackPacket(10), second.Add(10*ms))
		found, _ := e.ProbePending(u.Route.ID, second, second.Add(60*ms))
		Expect(found).To(BeEmpty())
		Expect(e.Health(u.Route.ID)).To(Equal(cookie.HealthGood))
	})

	It("isn't dead if it was deregistered: it may be shutting down while it still serves flows", func() {
		list := registrations(3)
		e := newEngineWithoutObjectives(list)
		_, u, now := suspectedUpstream(e)
		setUpstreams(e, slices.DeleteFunc(list, func(r registry.Registration) bool { return r.ID == u.Route.ID }), now)
		for range 3 {
			e.DueProbes(now)
			found, _ := e.ProbePending(u.Route.ID, now, now.Add(60*ms))
			Expect(found).To(BeEmpty())
			now = now.Add(60 * ms)
		}
	})

	It("isn't dead if the connections were to its former incarnation", func() {
		list := registrations(3)
		for i := range list {
			list[i].StartTime = 1
		}
		e := newEngineWithoutObjectives(list)
		_, u, now := suspectedUpstream(e)
		e.DueProbes(now)
		for i := range list {
			if list[i].ID == u.Route.ID {
				list[i].StartTime, list[i].Revision = 5, list[i].Revision+10
			}
		}
		setUpstreams(e, list, now.Add(10*ms))
		e.NoteReportedDead(u.Route.ID, now.Add(2*time.Second))
		e.DueProbes(now.Add(2 * time.Second))
		for range 2 {
			found, _ := e.ProbePending(u.Route.ID, now, now.Add(2*time.Second))
			Expect(found).To(BeEmpty())
		}
	})

	// It closes its health port some milliseconds before it ends its flows.
	It("isn't dead if it drains", func() {
		list := registrations(3)
		e := newEngineWithoutObjectives(list)
		_, u, now := suspectedUpstream(e)
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
