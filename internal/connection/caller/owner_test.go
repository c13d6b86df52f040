package caller_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

var _ = Describe("An owner", func() {
	var c *cluster
	post := request{vni: vniOrders, flow: 4001, code: codes.POST, id: 1, token: 1}
	next := func(i int) request {
		r := post
		r.id, r.token = uint16(i), byte(i)
		return r
	}
	BeforeEach(func() { c = newCluster(9) })

	// Guards against sending a flow to two upstreams. Its owner was paused, others took
	// it for dead and may have placed the flow again; then the owner uses its old
	// record.
	It("queries others about a record from before a pause", func() {
		u := c.exchange(c.nodes[0], post)
		owner := c.ownerOf(post)
		c.now = c.now.Add(4 * time.Second)
		queried := owner.engine.Counters.Queried.Load()
		Expect(c.exchange(owner, next(2))).To(Equal(u))
		Expect(owner.engine.Counters.Queried.Load()).To(Equal(queried + 1))
		Expect(c.exchange(owner, next(3))).To(Equal(u))
		Expect(owner.engine.Counters.Queried.Load()).To(Equal(queried+1), "one query is enough")
	})

	// Guards against refusing a request as not run although it ran. Its first copy
	// passed through another owner; the new one has no free slot and refuses the second
	// copy.
	It("doesn't refuse a request as not run while another owner may have forwarded it", func() {
		c.exchange(c.nodes[0], post)
		c.syncViews(true)
		for i := range 8 {
			Expect(c.call(c.nodes[0], next(i+10))).To(HaveLen(1))
		}
		c.syncViews(false)
		Expect(c.call(c.nodes[0], next(50))).To(BeEmpty())
		Expect(c.callerGot[len(c.callerGot)-1].Code).To(Equal(codes.ServiceUnavailable))
	})

	// Guards against losing a flow at the second of two failures, minutes apart. The
	// datagram with the record for the new backup was lost, and the owner took the
	// record for delivered.
	It("sends the record to a new backup until it has confirmed, and then no more", func() {
		c.exchange(c.nodes[0], post)
		owner := c.ownerOf(post)
		for _, h := range c.replicas(post) {
			if h != owner {
				c.kill(h)
			}
		}
		c.syncViews(true)
		c.drop = func(_, _ *node) bool { return true }
		c.sweep()
		Expect(c.replicas(post)).To(HaveLen(1))
		c.drop = nil
		c.sweep()
		Expect(c.replicas(post)).NotTo(HaveLen(1))
		c.sweep()
		sent := c.controlPackets
		c.sweep()
		Expect(c.controlPackets).To(Equal(sent))
	})

	// Guards against placing new flows at a leaving upstream, which would be cut off. A
	// bundle drains the upstream while balancers still place flows by earlier data.
	It("places no new flow at a draining upstream and keeps its open flows there", func() {
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

	// Guards against moving a flow to another upstream when a balancer is killed. An
	// earlier attempt proposed another upstream, which was committed; the datagram that
	// reports it to the owner was lost, and the owner continued with its own proposal.
	It("receives an earlier proposal that overrode its own, even if the first datagram about it is lost", func() {
		for flow := range uint16(30) {
			c = newCluster(9)
			c.skewLoads()
			r := request{vni: vniOrders, flow: 8000 + flow, code: codes.GET, id: 1, token: 1}
			owner := c.ownerOf(r)
			for _, n := range c.firstPacketPath(r) {
				if n != owner {
					c.storeProposalCopy(n, r, "orders-4")
					break
				}
			}
			c.now = c.now.Add(time.Second)
			c.hops = 0
			c.drop = func(_, to *node) bool { return to == owner && c.hops > 2 }
			Expect(c.call(owner, r)).To(Equal([]string{"orders-4"}))
			c.drop = nil
			c.sweep()
			for _, n := range c.nodesWithUpstream(r) {
				if n != owner {
					c.kill(n)
				}
			}
			c.syncViews(true)
			r.id, r.token = 2, 2
			Expect(c.call(owner, r)).To(Equal([]string{"orders-4"}), "flow %d", flow)
		}
	})

	// Guards against an answer from another service. All replicas of a flow's record
	// were lost, and an upstream of another service sends with this service's VNI.
	It("doesn't adopt a flow for an upstream of another service", func() {
		c.call(c.nodes[0], post)
		for _, n := range c.nodesWithUpstream(post) {
			c.kill(n)
		}
		c.syncViews(true)
		Expect(c.answer(c.other(), "archive-0", post)).To(BeFalse())
		Expect(c.answer(c.other(), "orders-0", post)).To(BeTrue())
	})
})
