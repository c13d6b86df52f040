package caller_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

var _ = Describe("An answer", func() {
	var c *cluster
	get := request{vni: vniOrders, flow: 4001, code: codes.GET, id: 1, token: 1}

	BeforeEach(func() { c = newCluster(9) })

	// Guards against sending a caller another caller's answer. An upstream that held
	// the five-tuple earlier sends a late answer while another upstream holds it now.
	It("reaches the caller only from the upstream that holds the flow", func() {
		u := c.call(c.nodes[0], get)
		for _, route := range c.routing.Upstreams() {
			if route.Service.VNI == vniOrders && route.Name != u[0] {
				Expect(c.answer(c.nodes[1], route.Name, get)).To(BeFalse())
			}
		}
		Expect(c.answer(c.nodes[1], u[0], get)).To(BeTrue())
	})

	It("is dropped if no request with its token is open", func() {
		u := c.call(c.nodes[0], get)
		wrong := get
		wrong.token = 99
		Expect(c.answer(c.nodes[1], u[0], wrong)).To(BeFalse())
	})

	It("is forwarded again if it is repeated, but no other answer after it", func() {
		u := c.call(c.nodes[0], get)
		Expect(c.answer(c.nodes[1], u[0], get)).To(BeTrue())
		Expect(c.answer(c.nodes[2], u[0], get)).To(BeTrue())
		second := get
		second.id = 77
		Expect(c.answer(c.nodes[2], u[0], second)).To(BeFalse())
	})

	It("is dropped if the flow was never placed", func() {
		Expect(c.answer(c.nodes[1], "orders-0", get)).To(BeFalse())
	})

	It("can't come from an upstream of another service", func() {
		c.call(c.nodes[0], get)
		Expect(c.answer(c.nodes[1], "archive-0", get)).To(BeFalse())
	})
})

var _ = Describe("A request", func() {
	var c *cluster
	BeforeEach(func() { c = newCluster(3) })

	It("is refused, and not forwarded, if the upstream's slots are taken", func() {
		r := request{vni: vniOrders, flow: 4001, code: codes.POST}
		forwarded := 0
		for i := range 6 {
			r.id, r.token = uint16(i+1), byte(i+1)
			forwarded += len(c.call(c.nodes[0], r))
		}
		Expect(forwarded).To(Equal(4))
		Expect(c.callerGot).To(HaveLen(2))
		for _, m := range c.callerGot {
			Expect(m.Code).To(Equal(codes.ServiceUnavailable))
			Expect(m.Options.HasOption(14)).To(BeTrue(), "Max-Age says when to try again")
		}
	})

	// Guards against a caller waiting for an answer that never arrives. Its upstream
	// stopped answering; at the deadline the daemon answers that the outcome is
	// unknown.
	It("is answered at its deadline, once", func() {
		r := request{vni: vniOrders, flow: 4001, code: codes.POST, id: 1, token: 1}
		c.call(c.nodes[0], r)
		c.now = c.now.Add(11 * time.Second)
		c.sweep()
		Expect(c.callerGot).To(HaveLen(1))
		Expect(c.callerGot[0].Code).To(Equal(codes.GatewayTimeout))
	})

	// Guards against refusing nearly all requests after a pause of a balancer. Requests
	// that were open then were answered through others and would keep their slots
	// permanently.
	It("doesn't keep its slot over a pause", func() {
		r := request{vni: vniOrders, flow: 4001, code: codes.GET, id: 1, token: 1}
		u := c.call(c.nodes[0], r)
		owner := c.ownerOf(r)
		c.now = c.now.Add(4 * time.Second)
		owner.engine.DetectPause(c.now)
		c.sweep()
		Expect(u).To(HaveLen(1))
		Expect(owner.engine.Requests.Open()).To(BeZero())
	})
})
