package cookie_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
)

var _ = Describe("A flow that isn't known to be open", func() {
	// Guards against a reset of an open flow. Its caller sends a copy of the first packet, routers send
	// that to another balancer since hosts join or leave, and the flow opens at another upstream while
	// this balancer finds its own choice dead.
	DescribeTable("is reset when its upstream is found dead only while no other balancer can have a copy",
		func(copies []uint32, deadAfter time.Duration, reset bool) {
			e := newEngine(registrations(1))
			c := newCaller(1, feedAt)
			sentAt := map[uint32]time.Duration{0: 0, 1: 200 * ms, 2: 600 * ms}
			var u *cookie.Upstream
			for _, n := range copies {
				v := e.Decide(c.first(n), start.Add(sentAt[n]))
				Expect(v.Action).To(Equal(cookie.ActionForward))
				u = v.Upstream
			}
			now := start.Add(deadAfter)
			resets := e.ProbeDone(u.Route.ID, cookie.ProbeRefused, now.Add(-ms), now)
			Expect(e.Health(u.Route.ID)).To(Equal(cookie.HealthDead))
			if reset {
				Expect(resets).To(HaveLen(1))
				return
			}
			Expect(resets).To(BeEmpty())
		},
		Entry("before the first copy is sent", []uint32{0}, 140*ms, true),
		Entry("not when the first copy may be on its way", []uint32{0}, 190*ms, false),
		Entry("not when the first copy went elsewhere", []uint32{0}, 250*ms, false),
		Entry("after the first copy, before the second", []uint32{0, 1}, 300*ms, true),
		Entry("not when the second copy went elsewhere", []uint32{0, 1}, 650*ms, false),
		Entry("after the last copy", []uint32{0, 1, 2}, 700*ms, true),
		Entry("not when the first transmission went elsewhere", []uint32{1}, 210*ms, false),
		Entry("not when a copy in between went elsewhere", []uint32{0, 2}, 700*ms, false),
	)

	It("goes to a live upstream at its next copy if the first one was found dead", func() {
		e := newEngine(registrations(2))
		c := newCaller(1, feedAt)
		u := e.Decide(c.first(0), start).Upstream
		now := start.Add(190 * ms)
		Expect(e.ProbeDone(u.Route.ID, cookie.ProbeRefused, now, now)).To(BeEmpty())
		v := e.Decide(c.first(1), start.Add(200*ms))
		Expect(v.Action).To(Equal(cookie.ActionForward))
		Expect(v.Upstream).NotTo(Equal(u))
	})

	// Guards against a reset of a flow that is opening through the balancer that received its first
	// packet. This one has received neither the registrations nor the bundle that the other one has.
	It("isn't refused at a copy of its first packet by a balancer that received less", func() {
		withoutUpstreams := newEngine(nil)
		v := withoutUpstreams.Decide(newCaller(1, feedAt).first(1), start)
		Expect(v.Action).To(Equal(cookie.ActionDrop))
		Expect(v.Cause).To(Equal(cookie.CauseNoUpstream))

		withoutRoute := newEngineOf(content(feedAt), registrations(1))
		v = withoutRoute.Decide(newCaller(1, feedAt).first(1), start)
		Expect(v.Action).To(Equal(cookie.ActionDrop))
		Expect(v.Cause).To(Equal(cookie.CauseNoRoute))
	})
})

// Guards against two upstreams that answer the same caller, since copies of its first packet waited together, on the way or in
// this host's socket, and were handled one right after the other.
func TestCopiesThatWaitedTogetherGoToOneUpstream(t *testing.T) {
	RegisterTestingT(t)
	for name, tc := range map[string]struct {
		after time.Duration
		same  bool
	}{
		"at once":                           {after: 20 * time.Microsecond, same: true},
		"while the upstream may answer":     {after: 49 * ms, same: true},
		"after a time without an answer":    {after: 50 * ms},
		"as its caller sends them, in time": {after: 400 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := newEngine(registrations(3))
			c := newCaller(1, feedAt)
			now := start.Add(time.Second)
			u := e.Decide(c.first(1), now).Upstream
			now = now.Add(tc.after)
			// Another upstream was seen: the fault isn't on this host's side.
			other := newCaller(2, feedAt)
			for n := 3; e.Decide(other.first(0), now).Upstream == u; n++ {
				other = newCaller(n, feedAt)
			}
			other.receiveAnswer(e.Decide(other.first(0), now).Upstream)
			e.Decide(other.ackPacket(1), now)
			g.Expect(e.Decide(c.first(2), now).Upstream == u).To(Equal(tc.same))
		})
	}
}
