package caller_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

var _ = Describe("A home", func() {
	var c *cluster
	post := request{vni: vniOrders, flow: 4001, code: codes.POST, id: 1, token: 1}
	next := func(i int) request {
		r := post
		r.id, r.token = uint16(i), byte(i)
		return r
	}
	BeforeEach(func() { c = newCluster(9) })

	// A desk's session goes to two upstreams. Its home was paused, others took it
	// for dead and may have placed the flow again; it goes on by its old record.
	It("asks others for a record from before a pause", func() {
		u := c.exchange(c.nodes[0], post)
		home := c.homeOf(post)
		c.now = c.now.Add(4 * time.Second)
		asked := home.engine.Counters.Queried.Load()
		Expect(c.exchange(home, next(2))).To(Equal(u))
		Expect(home.engine.Counters.Queried.Load()).To(Equal(asked + 1))
		Expect(c.exchange(home, next(3))).To(Equal(u))
		Expect(home.engine.Counters.Queried.Load()).To(Equal(asked+1), "once is enough")
	})

	// A caller is told that its booking didn't run, and it ran. Its first copy went
	// through another home; the new one has no slot left and refuses the second.
	It("doesn't call a request not run while another home may have let it through", func() {
		c.exchange(c.nodes[0], post)
		c.settle(true)
		for i := range 8 {
			Expect(c.call(c.nodes[0], next(i+10))).To(HaveLen(1))
		}
		c.settle(false)
		Expect(c.call(c.nodes[0], next(50))).To(BeEmpty())
		Expect(c.callerGot[len(c.callerGot)-1].Code).To(Equal(codes.ServiceUnavailable))
	})

	// A session breaks at the second of two deaths, minutes apart. The datagram
	// that told the new backup was lost, and the home believed it told.
	It("tells a new backup until it has confirmed, and then no more", func() {
		c.exchange(c.nodes[0], post)
		home := c.homeOf(post)
		for _, h := range c.holders(post) {
			if h != home {
				c.kill(h)
			}
		}
		c.settle(true)
		c.drop = func(_, _ *node) bool { return true }
		c.sweep()
		Expect(c.holders(post)).To(HaveLen(1))
		c.drop = nil
		c.sweep()
		Expect(c.holders(post)).NotTo(HaveLen(1))
		c.sweep()
		told := c.told
		c.sweep()
		Expect(c.told).To(Equal(told))
	})

	// An upstream that leaves gets new flows for minutes, and its open ones are cut
	// off. A bundle drains it while balancers place by what they knew before.
	It("places no new flow at a draining upstream and leaves its open ones there", func() {
		u := c.exchange(c.nodes[0], post)
		b := testBundle()
		for i := range b.Services[0].Upstreams {
			b.Services[0].Upstreams[i].Drain = b.Services[0].Upstreams[i].Name == u[0]
		}
		c.routing = bundle.NewRouting(2, b, c.routing)
		for _, n := range c.nodes {
			n.engine.SetRouting(c.routing)
		}
		for flow := range uint16(60) {
			r := post
			r.flow = 7000 + flow
			Expect(c.exchange(c.nodes[int(flow)%9], r)).NotTo(Equal(u))
		}
		Expect(c.exchange(c.nodes[3], next(2))).To(Equal(u))
	})

	// A session moves to another upstream when a balancer dies. An earlier try had
	// proposed another one, which held; the datagram that told the home was lost,
	// and the home went on with its own proposal.
	It("learns of an earlier proposal that overruled its own, though the first word of it is lost", func() {
		for flow := range uint16(30) {
			c = newCluster(9)
			c.unlikeLoads()
			r := request{vni: vniOrders, flow: 8000 + flow, code: codes.GET, id: 1, token: 1}
			home := c.homeOf(r)
			for _, n := range c.routeOf(r) {
				if n != home {
					c.leaveCopy(n, r, "orders-4")
					break
				}
			}
			c.now = c.now.Add(time.Second)
			c.passes = 0
			c.drop = func(_, to *node) bool { return to == home && c.passes > 2 }
			Expect(c.call(home, r)).To(Equal([]string{"orders-4"}))
			c.drop = nil
			c.sweep()
			for _, n := range c.knowers(r) {
				if n != home {
					c.kill(n)
				}
			}
			c.settle(true)
			r.id, r.token = 2, 2
			Expect(c.call(home, r)).To(Equal([]string{"orders-4"}), "flow %d", flow)
		}
	})

	// Editing traffic is answered by the archive. All holders of a flow died, and
	// an upstream of another service sends under this service's VNI.
	It("doesn't adopt a flow for an upstream of another service", func() {
		c.call(c.nodes[0], post)
		for _, n := range c.knowers(post) {
			c.kill(n)
		}
		c.settle(true)
		Expect(c.answer(c.other(), "archive-0", post)).To(BeFalse())
		Expect(c.answer(c.other(), "orders-0", post)).To(BeTrue())
	})
})
