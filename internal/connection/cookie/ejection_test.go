package cookie_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// fail lets so many requests at each upstream of the list go without an answer.
func fail(e *cookie.Engine, now time.Time, at func(bundle.UpstreamID) bool) time.Time {
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

// placed counts where new flows go. Callers are told apart by the time.
func placed(e *cookie.Engine, now time.Time) map[bundle.UpstreamID]int {
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

	// An upstream's health check is good, and two of five requests hang. Desks whose
	// alerts came late reconnect, and are given the same upstream again.
	It("gets no new flows for a while, and then again", func() {
		e := newEngine(registrations(6))
		now := fail(e, start, isBad)
		Expect(e.EjectFailing(e.UpstreamLoads(), e.ServiceLoads(), now)).To(Equal([]bundle.UpstreamID{bad}))
		Expect(placed(e, now)).NotTo(HaveKey(bad))
		now = now.Add(2 * time.Second)
		Expect(placed(e, now)).To(HaveKey(bad))
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
		now := fail(e, start, isBad)
		Expect(e.EjectFailing(e.UpstreamLoads(), e.ServiceLoads(), now)).To(HaveLen(1))
		Expect(id(e.Decide(c.request(5), now))).To(Equal(bad))
	})

	// The link of a whole zone is slow. Every upstream seems to fail, and leaving all
	// out would refuse everybody.
	It("isn't left out if most others fail too", func() {
		e := newEngine(registrations(6))
		now := fail(e, start, func(bundle.UpstreamID) bool { return true })
		Expect(len(e.EjectFailing(e.UpstreamLoads(), e.ServiceLoads(), now))).To(BeNumerically("<=", 1))
		Expect(len(placed(e, now))).To(BeNumerically(">=", 5))
	})

	It("takes flows if it is the last one", func() {
		e := newEngine(registrations(1))
		now := fail(e, start, isBad)
		Expect(e.EjectFailing(e.UpstreamLoads(), e.ServiceLoads(), now)).To(BeEmpty())
		Expect(placed(e, now)).To(HaveKey(bad))
	})

	It("isn't left out for a few failures or for a small share", func() {
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

	// Hosts are replaced one after the other, and routers move nearly all flows each
	// time. The balancers that had them see requests without an answer at every upstream,
	// and left out a quarter of them each time: the rest got a third more new flows.
	It("isn't left out when flows move to other balancers", func() {
		e := newEngine(registrations(12))
		moved := 0
		now := fail(e, start, func(bundle.UpstreamID) bool {
			moved++
			return moved%2 == 0
		})
		Expect(e.EjectFailing(e.UpstreamLoads(), e.ServiceLoads(), now)).To(BeEmpty())
	})
})
