package cookie_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// failRequests sends a request on each of 60 new flows and answers only those of upstreams for
// which the function returns false. It returns a time after the others have failed.
func failRequests(e *cookie.Engine, now time.Time, at func(bundle.UpstreamID) bool) time.Time {
	for n := range 60 {
		c := newCaller(1000+n, feedAt)
		u := c.open(e, now)
		e.Decide(c.request(10), now)
		if !at(u.Route.ID) {
			e.Decide(c.ackPacket(500), now)
		}
	}
	now = now.Add(1100 * ms)
	e.Expire(now)
	return now
}

// countPlacements counts where 60 new flows are placed. The time makes callers differ from those of
// other calls.
func countPlacements(e *cookie.Engine, now time.Time) map[bundle.UpstreamID]int {
	out := make(map[bundle.UpstreamID]int)
	first := 3000 + int(now.Sub(start)/(10*ms))
	for n := range 60 {
		out[id(e.Decide(newCaller(first+n, feedAt).first(0), now))]++
	}
	return out
}

var _ = Describe("An upstream that accepts requests and doesn't answer", func() {
	bad := registration(1).ID
	isBad := func(u bundle.UpstreamID) bool { return u == bad }

	// Guards against callers that reconnect after a late answer and get an upstream again that
	// passes its health check but leaves two of five requests unanswered.
	It("gets no new flows while it is ejected, and some afterwards", func() {
		e := newEngine(registrations(6))
		now := failRequests(e, start, isBad)
		Expect(e.EjectFailing(e.UpstreamLoads(), e.ServiceLoads(), now)).To(Equal([]bundle.UpstreamID{bad}))
		Expect(countPlacements(e, now)).NotTo(HaveKey(bad))
		now = now.Add(2 * time.Second)
		Expect(countPlacements(e, now)).To(HaveKey(bad))
	})

	It("keeps its open flows", func() {
		e := newEngine(registrations(6))
		c := newCaller(1, feedAt)
		for n := 2; ; n++ {
			if c.open(e, start).Route.ID == bad {
				break
			}
			c = newCaller(n, feedAt)
		}
		now := failRequests(e, start, isBad)
		Expect(e.EjectFailing(e.UpstreamLoads(), e.ServiceLoads(), now)).To(HaveLen(1))
		Expect(id(e.Decide(c.request(5), now))).To(Equal(bad))
	})

	// Guards against refusing all flows: if the link of a whole zone is slow, every upstream seems
	// to fail.
	It("isn't ejected if most others fail too", func() {
		e := newEngine(registrations(6))
		now := failRequests(e, start, func(bundle.UpstreamID) bool { return true })
		Expect(len(e.EjectFailing(e.UpstreamLoads(), e.ServiceLoads(), now))).To(BeNumerically("<=", 1))
		Expect(len(countPlacements(e, now))).To(BeNumerically(">=", 5))
	})

	It("takes flows if it is the only upstream", func() {
		e := newEngine(registrations(1))
		now := failRequests(e, start, isBad)
		Expect(e.EjectFailing(e.UpstreamLoads(), e.ServiceLoads(), now)).To(BeEmpty())
		Expect(countPlacements(e, now)).To(HaveKey(bad))
	})

	It("isn't ejected for a few failures or for a small share", func() {
		e := newEngine(registrations(6))
		judge := func(failed, answered uint32) []bundle.UpstreamID {
			return e.EjectFailing(
				[]peer.Load{{Cookie: uint32(cookie.Of(bad)), Failed: failed, Answered: answered}},
				[]peer.ServiceLoad{{Service: "feed", Failed: failed, Answered: answered + 500}}, start)
		}
		Expect(judge(2, 0)).To(BeEmpty())
		Expect(judge(10, 90)).To(BeEmpty())
		Expect(judge(30, 70)).To(HaveLen(1))
	})

	// Guards against ejections during a rolling replacement of hosts. Routers move nearly all flows
	// each time, so the former balancers see requests without an answer at every upstream. If they
	// eject a quarter of the upstreams, the others get a third more new flows.
	It("isn't ejected when flows move to other balancers", func() {
		e := newEngine(registrations(12))
		moved := 0
		now := failRequests(e, start, func(bundle.UpstreamID) bool {
			moved++
			return moved%2 == 0
		})
		Expect(e.EjectFailing(e.UpstreamLoads(), e.ServiceLoads(), now)).To(BeEmpty())
	})
})
