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

	It("has a record in each zone, and another one in its owner's zone", func() {
		u := c.call(c.nodes[0], post)
		replicas := c.nodesWithUpstream(post)
		Expect(len(replicas)).To(BeNumerically(">=", 4))
		zonesWithRecord := make([]any, 0, len(replicas))
		for _, h := range replicas {
			zonesWithRecord = append(zonesWithRecord, h.member.Zone)
		}
		for _, route := range c.routing.Upstreams() {
			if route.Name == u[0] {
				Expect(zonesWithRecord).To(ContainElement(route.Zone))
			}
		}
	})

	It("is recorded without extra packets", func() {
		for flow := range uint16(100) {
			r := post
			r.flow = 5000 + flow
			Expect(c.exchange(c.nodes[int(flow)%9], r)).To(HaveLen(1))
			Expect(len(c.nodesWithUpstream(r))).To(BeNumerically(">=", 4))
		}
		Expect(c.controlPackets).To(BeZero())
	})

	It("needs at most one extra hop per packet on average", func() {
		for flow := range uint16(200) {
			r := post
			r.flow = 5000 + flow
			c.exchange(c.nodes[int(flow)%9], r)
		}
		c.hops = 0
		const packets = 1800
		for i := range packets {
			r := post
			r.flow, r.id, r.token = 5000+uint16(i%200), uint16(100+i), byte(i/200+2)
			u := c.call(c.nodes[i%9], r)
			Expect(c.answer(c.nodes[(i+3)%9], u[0], r)).To(BeTrue())
		}
		Expect(float64(c.hops) / (2 * packets)).To(BeNumerically("<=", 1))
	})

	// Guards against losing a flow when a balancer is killed. The owner is killed; the
	// next packet reaches the next member in rank, which has no record and queries the
	// backup.
	It("survives the loss of any one replica", func() {
		for i := range 4 {
			c = newCluster(9)
			u := c.call(c.nodes[0], post)
			dead := c.nodesWithUpstream(post)[i]
			c.kill(dead)
			c.syncViews(true)
			r := post
			r.id, r.token = 2, 2
			Expect(c.call(c.other(dead), r)).To(Equal(u))
			Expect(c.answer(c.other(dead), u[0], r)).To(BeTrue())
		}
	})

	// Guards against losing a flow when balancers are killed one after the other,
	// minutes apart. Unless the first lost replica is replaced, the second kill loses
	// the record.
	It("survives the loss of one replica after the other", func() {
		u := c.exchange(c.nodes[0], post)
		for i := range 6 {
			c.kill(c.replicas(post)[0])
			c.syncViews(true)
			c.sweep()
			Expect(c.replicas(post)).NotTo(BeEmpty())
			r := post
			r.id, r.token = uint16(10+i), byte(10+i)
			Expect(c.exchange(c.other(), r)).To(Equal(u))
		}
	})

	// Guards against losing a flow when each host is replaced in turn. A leaving
	// balancer hands its records over; the new process has no records.
	It("survives the replacement of every host", func() {
		u := c.exchange(c.nodes[0], post)
		for i, n := range c.nodes {
			n.member.State = peer.StateLeaving
			c.syncViews(true)
			c.sweep()
			r := post
			r.id, r.token = uint16(20+2*i), byte(20+2*i)
			Expect(c.exchange(n, r)).To(Equal(u), "through the leaving host")
			n.up = false
			c.syncViews(true)
			n.member.State = peer.StateAlive
			n.member.Boot++
			c.boot(n)
			c.syncViews(true)
			r.id, r.token = uint16(21+2*i), byte(21+2*i)
			Expect(c.exchange(n, r)).To(Equal(u), "through the new host")
		}
	})

	// Guards against placing an existing flow again. A host is killed and restarts
	// before others detect it; it is the owner again but has no records, and must not
	// take the flow for new.
	It("isn't placed again by an owner whose restart wasn't detected", func() {
		u := c.exchange(c.nodes[0], post)
		r := post
		c.idle(2 * time.Second)
		for _, h := range c.replicas(post) {
			c.kill(h)
			h.member.Boot++
			c.boot(h)
			c.syncViews(true)
			r.id++
			r.token++
			Expect(c.exchange(c.nodes[0], r)).To(Equal(u))
			c.idle(2 * time.Second)
		}
	})

	// Guards against running a request twice. Owner and backup are killed together
	// after the request ran but before its answer; the caller repeats it, and a
	// balancer that takes it for new would send it to another upstream.
	It("answers that the outcome is unknown if all replicas were lost", func() {
		u := c.call(c.nodes[0], post)
		Expect(u).To(HaveLen(1))
		for _, h := range c.nodesWithUpstream(post) {
			c.kill(h)
		}
		c.syncViews(true)
		Expect(c.call(c.other(), post)).To(BeEmpty(), "the repeated POST must not run again")
		Expect(c.callerGot).To(HaveLen(1))
		Expect(c.callerGot[0].Code).To(Equal(codes.GatewayTimeout))
	})

	It("continues with idempotent requests after all replicas were lost", func() {
		c.call(c.nodes[0], post)
		for _, h := range c.nodesWithUpstream(post) {
			c.kill(h)
		}
		c.syncViews(true)
		get := request{vni: vniOrders, flow: post.flow, code: codes.GET, id: 2, token: 2}
		Expect(c.call(c.other(), get)).To(HaveLen(1))
	})

	// Guards against losing a flow whose replicas were all lost. The upstream keeps
	// sending, and its packets show which upstream holds the flow.
	It("is recovered from its upstream's answers after all replicas were lost", func() {
		get := request{vni: vniOrders, flow: 4002, code: codes.GET, id: 1, token: 1}
		u := c.call(c.nodes[0], get)
		for _, h := range c.nodesWithUpstream(get) {
			c.kill(h)
		}
		c.syncViews(true)
		Expect(c.answer(c.other(), u[0], get)).To(BeTrue())
		get.id, get.token = 2, 2
		Expect(c.call(c.other(), get)).To(Equal(u))
	})

	// Guards against placing an existing flow again. Its upstream has not answered yet;
	// a joining host displaces the backup, which removes a record that it no longer
	// needs, while the owner, which has only proposed the upstream, is killed.
	It("isn't removed by a displaced backup before its owner has confirmed it", func() {
		displaced := 0
		for flow := range uint16(40) {
			c = newCluster(6)
			r := post
			r.flow = 6000 + flow
			u := c.call(c.nodes[0], r)
			before := c.replicas(r)
			for range 3 {
				c.add()
			}
			c.syncViews(true)
			c.sweep()
			c.syncViews(false)
			c.sweep()
			if len(c.replicas(r)) > 0 && c.replicas(r)[0] != before[0] {
				displaced++
			}
			c.kill(c.ownerOf(r))
			c.syncViews(true)
			r.code, r.id, r.token = codes.GET, 2, 2
			Expect(c.call(c.other(), r)).To(Equal(u), "flow %d", flow)
		}
		Expect(displaced).To(BeNumerically(">", 3))
	})

	// Guards against sending two packets of one new flow to two upstreams. Two
	// balancers both take themselves for the owner because their views differ; they
	// must agree on one upstream.
	It("has one upstream even if two owners place it", func() {
		for flow := range uint16(60) {
			c = newCluster(9)
			c.skewLoads()
			r := post
			r.flow = 6000 + flow
			owner := c.ownerOf(r)
			var members []peer.Member
			for _, n := range c.nodes {
				if n != owner {
					members = append(members, n.member)
				}
			}
			late := c.other(owner)
			late.engine.SetView(peer.NewView(late.member.ID, members, peer.Changes{RecentlyChanged: true}))
			first := c.callWithRetry(late, r)
			Expect(first).To(HaveLen(1))
			r.id, r.token = 2, 2
			Expect(c.callWithRetry(c.other(late), r)).To(Equal(first))
		}
	})

	// Guards against new flows waiting until a dead placer is detected. The caller's
	// first repetition must be placed without the placer.
	It("is placed by its owner if the placer is dead", func() {
		for flow := range uint16(30) {
			c = newCluster(9)
			r := post
			r.flow = 6000 + flow
			placer := c.nodeAt(c.nodes[0].engine.View().Placer(vniOrders).Data.Addr())
			if placer == c.ownerOf(r) {
				continue
			}
			placer.up = false
			first := c.callWithRetry(c.other(placer), r)
			if slices.Contains(c.firstPacketPath(r), placer) {
				continue // The packet passes through the placer too and is lost there.
			}
			Expect(first).To(HaveLen(1))
		}
	})

	// Guards against using a record from before a pause. A balancer is paused and taken
	// for dead, another member with a replica is killed, and the flow may be placed
	// again; then the balancer resumes with its old record.
	It("isn't forwarded by records from before a pause", func() {
		get := request{vni: vniOrders, flow: 4003, code: codes.GET, id: 1, token: 1}
		c.call(c.nodes[0], get)
		replicas := c.nodesWithUpstream(get)
		replicas[0].paused = true
		c.lost = append(c.lost, replicas[0].member)
		c.kill(replicas[1])
		c.syncViews(true)
		get.id, get.token = 2, 2
		current := c.call(c.other(), get)
		c.now = c.now.Add(4 * time.Second)
		replicas[0].paused = false
		get.id, get.token = 3, 3
		Expect(c.call(replicas[0], get)).To(Or(BeEmpty(), Equal(current)), "its view is as outdated as its records")
		c.lost = nil
		c.syncViews(true)
		get.id, get.token = 4, 4
		Expect(c.call(replicas[0], get)).To(Equal(current))
		Expect(replicas[0].engine.Counters.Pauses.Load()).To(BeEquivalentTo(1))
	})
})
