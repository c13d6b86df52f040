package caller_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
)

var _ = Describe("A flow", func() {
	var c *cluster
	post := request{vni: vniOrders, flow: 4001, code: codes.POST, id: 1, token: 1}

	BeforeEach(func() { c = newCluster(9) })

	It("keeps its upstream whichever balancer gets a packet", func() {
		first := c.call(c.nodes[0], post)
		Expect(first).To(HaveLen(1))
		for i, n := range c.nodes {
			r := post
			r.id, r.token = uint16(10+i), byte(10+i)
			Expect(c.call(n, r)).To(Equal(first))
			Expect(c.answer(c.nodes[8-i], first[0], r)).To(BeTrue())
		}
	})

	It("has a holder in each zone, and another one in its home's", func() {
		u := c.call(c.nodes[0], post)
		holders := c.knowers(post)
		Expect(len(holders)).To(BeNumerically(">=", 4))
		zonesOfHolders := make([]any, 0, len(holders))
		for _, h := range holders {
			zonesOfHolders = append(zonesOfHolders, h.member.Zone)
		}
		for _, route := range c.routing.Upstreams() {
			if route.Name == u[0] {
				Expect(zonesOfHolders).To(ContainElement(route.Zone))
			}
		}
	})

	It("costs no packet of its own to be recorded", func() {
		for flow := range uint16(100) {
			r := post
			r.flow = 5000 + flow
			Expect(c.exchange(c.nodes[int(flow)%9], r)).To(HaveLen(1))
			Expect(len(c.knowers(r))).To(BeNumerically(">=", 4))
		}
		Expect(c.told).To(BeZero())
	})

	It("needs one hop more than its packets in the mean at most", func() {
		for flow := range uint16(200) {
			r := post
			r.flow = 5000 + flow
			c.exchange(c.nodes[int(flow)%9], r)
		}
		c.passes = 0
		const packets = 1800
		for i := range packets {
			r := post
			r.flow, r.id, r.token = 5000+uint16(i%200), uint16(100+i), byte(i/200+2)
			u := c.call(c.nodes[i%9], r)
			Expect(c.answer(c.nodes[(i+3)%9], u[0], r)).To(BeTrue())
		}
		Expect(float64(c.passes) / (2 * packets)).To(BeNumerically("<=", 1))
	})

	// A secretary's session goes on after a balancer died without notice. The
	// home dies; the next packet reaches the next in rank, which has no record
	// and asks the backup.
	It("survives the death of any one holder", func() {
		for i := range 4 {
			c = newCluster(9)
			u := c.call(c.nodes[0], post)
			dead := c.knowers(post)[i]
			c.kill(dead)
			c.settle(true)
			r := post
			r.id, r.token = 2, 2
			Expect(c.call(c.other(dead), r)).To(Equal(u))
			Expect(c.answer(c.other(dead), u[0], r)).To(BeTrue())
		}
	})

	// A session breaks when balancers die one after the other, minutes apart. The
	// first holder dies; unless its place is filled again, the second death
	// loses the record.
	It("survives the death of one holder after the other", func() {
		u := c.exchange(c.nodes[0], post)
		for i := range 6 {
			c.kill(c.holders(post)[0])
			c.settle(true)
			c.sweep()
			Expect(c.holders(post)).NotTo(BeEmpty())
			r := post
			r.id, r.token = uint16(10+i), byte(10+i)
			Expect(c.exchange(c.other(), r)).To(Equal(u))
		}
	})

	// Each host is replaced in turn while a feed stays open. A leaving balancer
	// hands its records over; the new process knows nothing.
	It("survives the replacement of every host", func() {
		u := c.exchange(c.nodes[0], post)
		for i, n := range c.nodes {
			n.member.State = peer.StateLeaving
			c.settle(true)
			c.sweep()
			r := post
			r.id, r.token = uint16(20+2*i), byte(20+2*i)
			Expect(c.exchange(n, r)).To(Equal(u), "through the leaving host")
			n.up = false
			c.settle(true)
			n.member.State = peer.StateAlive
			n.member.Boot++
			c.boot(n)
			c.settle(true)
			r.id, r.token = uint16(21+2*i), byte(21+2*i)
			Expect(c.exchange(n, r)).To(Equal(u), "through the new host")
		}
	})

	// A session moves to another upstream in mid-life. A host is killed and is
	// back before anyone noticed; it is home again but knows nothing, and must
	// not take the flow for a new one.
	It("isn't placed again by a home that restarted unnoticed", func() {
		u := c.exchange(c.nodes[0], post)
		r := post
		c.idle(2 * time.Second)
		for _, h := range c.holders(post) {
			c.kill(h)
			h.member.Boot++
			c.boot(h)
			c.settle(true)
			r.id++
			r.token++
			Expect(c.exchange(c.nodes[0], r)).To(Equal(u))
			c.idle(2 * time.Second)
		}
	})

	// A booking runs twice. Home and backup die together after the booking ran
	// but before its answer; the caller repeats it, and a balancer that takes it
	// for new sends it to another upstream.
	It("answers that the outcome is unknown if all holders died", func() {
		u := c.call(c.nodes[0], post)
		Expect(u).To(HaveLen(1))
		for _, h := range c.knowers(post) {
			c.kill(h)
		}
		c.settle(true)
		Expect(c.call(c.other(), post)).To(BeEmpty(), "the repeated POST must not run again")
		Expect(c.callerGot).To(HaveLen(1))
		Expect(c.callerGot[0].Code).To(Equal(codes.GatewayTimeout))
	})

	It("goes on with idempotent requests though all holders died", func() {
		c.call(c.nodes[0], post)
		for _, h := range c.knowers(post) {
			c.kill(h)
		}
		c.settle(true)
		get := request{vni: vniOrders, flow: post.flow, code: codes.GET, id: 2, token: 2}
		Expect(c.call(c.other(), get)).To(HaveLen(1))
	})

	// A feed falls silent for good. All holders of its record died; the upstream
	// goes on sending, and its own packets are the proof of who holds the flow.
	It("is found again from its upstream's answers if all holders died", func() {
		get := request{vni: vniOrders, flow: 4002, code: codes.GET, id: 1, token: 1}
		u := c.call(c.nodes[0], get)
		for _, h := range c.knowers(get) {
			c.kill(h)
		}
		c.settle(true)
		Expect(c.answer(c.other(), u[0], get)).To(BeTrue())
		get.id, get.token = 2, 2
		Expect(c.call(c.other(), get)).To(Equal(u))
	})

	// A session moves to another upstream. Its upstream has not answered yet; the
	// backup is displaced by a host that joins, and forgets the flow as no concern
	// of its own, while the home, which has only proposed it, dies.
	It("isn't forgotten by a displaced backup before its home is sure of it", func() {
		displaced := 0
		for flow := range uint16(40) {
			c = newCluster(6)
			r := post
			r.flow = 6000 + flow
			u := c.call(c.nodes[0], r)
			before := c.holders(r)
			for range 3 {
				c.add()
			}
			c.settle(true)
			c.sweep()
			c.settle(false)
			c.sweep()
			if len(c.holders(r)) > 0 && c.holders(r)[0] != before[0] {
				displaced++
			}
			c.kill(c.homeOf(r))
			c.settle(true)
			r.code, r.id, r.token = codes.GET, 2, 2
			Expect(c.call(c.other(), r)).To(Equal(u), "flow %d", flow)
		}
		Expect(displaced).To(BeNumerically(">", 3))
	})

	// Two packets of one new flow go to two upstreams. Two balancers each believe
	// to be home, as their views differ; both must come to the same upstream.
	It("has one upstream though two homes place it", func() {
		for flow := range uint16(60) {
			c = newCluster(9)
			c.unlikeLoads()
			r := post
			r.flow = 6000 + flow
			home := c.homeOf(r)
			var members []peer.Member
			for _, n := range c.nodes {
				if n != home {
					members = append(members, n.member)
				}
			}
			late := c.other(home)
			late.engine.SetView(peer.NewView(late.member.ID, members, peer.Changes{RecentlyChanged: true}))
			first := c.repeat(late, r)
			Expect(first).To(HaveLen(1))
			r.id, r.token = 2, 2
			Expect(c.repeat(c.other(late), r)).To(Equal(first))
		}
	})

	// New feeds don't open for as long as a dead balancer isn't found. It was the
	// one that chooses for the service; the caller's first repetition must do.
	It("is placed by its home if the one that chooses is dead", func() {
		for flow := range uint16(30) {
			c = newCluster(9)
			r := post
			r.flow = 6000 + flow
			placer := c.nodeAt(c.nodes[0].engine.View().Placer(vniOrders).Data.Addr())
			if placer == c.homeOf(r) {
				continue
			}
			placer.up = false
			first := c.repeat(c.other(placer), r)
			if slices.Contains(c.routeOf(r), placer) {
				continue // It is a holder too, and the packet is lost there.
			}
			Expect(first).To(HaveLen(1))
		}
	})

	// A desk's session jumps to another upstream. A balancer is paused, taken for
	// dead, and both its flow's other holders die and it is placed anew; then the
	// balancer goes on and still believes its old record.
	It("isn't sent by records from before a pause", func() {
		get := request{vni: vniOrders, flow: 4003, code: codes.GET, id: 1, token: 1}
		c.call(c.nodes[0], get)
		holders := c.knowers(get)
		holders[0].paused = true
		c.lost = append(c.lost, holders[0].member)
		c.kill(holders[1])
		c.settle(true)
		get.id, get.token = 2, 2
		now := c.call(c.other(), get)
		c.now = c.now.Add(4 * time.Second)
		holders[0].paused = false
		get.id, get.token = 3, 3
		Expect(c.call(holders[0], get)).To(Or(BeEmpty(), Equal(now)), "its view is as old as its records")
		c.lost = nil
		c.settle(true)
		get.id, get.token = 4, 4
		Expect(c.call(holders[0], get)).To(Equal(now))
		Expect(holders[0].engine.Counters.Pauses.Load()).To(BeEquivalentTo(1))
	})
})
