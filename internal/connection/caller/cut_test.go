package caller_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/fescueshed/fescueshed/internal/connection/caller"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// cut separates zone a from the others: what is sent between them is lost, and
// each side takes the other for dead.
func (c *cluster) cut() {
	c.apart = func(a, b bundle.Zone) bool { return (a == "a") != (b == "a") }
	for _, n := range c.nodes {
		var members, away []peer.Member
		for _, o := range c.nodes {
			if (o.member.Zone == "a") == (n.member.Zone == "a") {
				members = append(members, o.member)
			} else {
				away = append(away, o.member)
			}
		}
		cutZones := []bundle.Zone{"a"}
		if n.member.Zone == "a" {
			cutZones = []bundle.Zone{"b", "c"}
		}
		n.engine.SetView(peer.NewView(n.member.ID, members, peer.Changes{
			RecentlyChanged: true, RepeatsPossible: true, Lost: away, UnreachableZones: cutZones, UnreachableMembers: away,
		}))
	}
}

func (c *cluster) heal() {
	c.apart = nil
	c.settle(true)
}

// side returns the nodes that reach a zone while the network is cut.
func (c *cluster) side(z bundle.Zone) []*node {
	var out []*node
	for _, n := range c.nodes {
		if (n.member.Zone == "a") == (z == "a") {
			out = append(out, n)
		}
	}
	return out
}

func (c *cluster) zoneOf(upstream string) bundle.Zone {
	for _, u := range c.routing.Upstreams() {
		if u.Name == upstream {
			return u.Zone
		}
	}
	panic("no upstream " + upstream)
}

var _ = Describe("A zone that is cut off", func() {
	var c *cluster
	request1 := func(flow uint16, code codes.Code) request {
		return request{vni: vniOrders, flow: flow, code: code, id: 1, token: 1}
	}
	BeforeEach(func() {
		c = newCluster(9)
		c.unlikeLoads()
	})

	// Feeds break and bookings run twice while a zone is cut off. A side that gets
	// a packet of a flow from before the cut takes it for new and places it again.
	It("leaves flows from before the cut with their upstreams, on both sides and after it", func() {
		const flows = 60
		held := make(map[uint16]string)
		for flow := uint16(4000); flow < 4000+flows; flow++ {
			held[flow] = c.exchange(c.nodes[int(flow)%9], request1(flow, codes.GET))[0]
		}
		c.cut()
		for flow, u := range held {
			r := request1(flow, codes.POST)
			for i, n := range c.nodes {
				r.id, r.token = uint16(10+i), byte(10+i)
				got := c.exchange(n, r)
				if slices.Contains(c.side(c.zoneOf(u)), n) {
					Expect(got).To(Equal([]string{u}), "on the side of its upstream")
				} else {
					Expect(got).To(BeEmpty(), "on the other side")
				}
			}
		}
		c.heal()
		for flow, u := range held {
			r := request1(flow, codes.POST)
			r.id, r.token = 99, 99
			Expect(c.exchange(c.nodes[int(flow)%9], r)).To(Equal([]string{u}))
		}
	})

	It("places a new flow whose home it has at once, at an upstream it reaches", func() {
		placed := 0
		for flow := uint16(5000); flow < 5060; flow++ {
			r := request1(flow, codes.POST)
			home := c.homeOf(r)
			c.cut()
			if home.member.Zone == "a" {
				placed++
				u := c.exchange(c.side("a")[0], r)
				Expect(u).To(HaveLen(1))
				Expect(c.zoneOf(u[0])).To(BeEquivalentTo("a"))
			}
			c.heal()
		}
		Expect(placed).To(BeNumerically(">", 10))
	})

	// A booking runs on both sides of a cut. A caller that reaches both repeats
	// it, and each side places the new flow for itself.
	It("doesn't run a new flow's POST whose home is beyond the cut, however often it comes", func() {
		for flow := uint16(5000); flow < 5060; flow++ {
			r := request1(flow, codes.POST)
			if c.homeOf(r).member.Zone == "a" {
				continue
			}
			c.cut()
			for range 5 {
				Expect(c.call(c.side("a")[1], r)).To(BeEmpty())
			}
			Expect(c.callerGot).NotTo(BeEmpty(), "the third copy is told that the outcome is unknown")
			Expect(c.callerGot[0].Code).To(Equal(codes.GatewayTimeout))
			r.id, r.token = 2, 2
			Expect(c.call(c.side("a")[1], r)).To(BeEmpty(), "nor another POST of the flow")
			c.callerGot = nil
			c.heal()
		}
	})

	It("serves a new flow whose home is beyond the cut after two repetitions, if it is idempotent", func() {
		served := 0
		for flow := uint16(5000); flow < 5060; flow++ {
			r := request1(flow, codes.GET)
			if c.homeOf(r).member.Zone == "a" {
				continue
			}
			c.cut()
			Expect(c.call(c.side("a")[0], r)).To(BeEmpty())
			c.now = c.now.Add(500 * time.Millisecond)
			Expect(c.call(c.side("a")[1], r)).To(BeEmpty())
			u := c.exchange(c.side("a")[2], r)
			Expect(u).To(HaveLen(1))
			Expect(c.zoneOf(u[0])).To(BeEquivalentTo("a"))
			served++
			c.heal()
			r.id, r.token = 2, 2
			Expect(c.exchange(c.other(), r)).To(Equal(u), "it stays there after the cut")
		}
		Expect(served).To(BeNumerically(">", 10))
	})

	// A booking runs on both sides of a cut. One side proposed an upstream for a
	// new flow that may be the other side's, and a copy of that proposal, found
	// later, was taken for a record without doubt.
	It("doesn't forget the doubt of a proposal when only a copy of it is found", func() {
		found := 0
		for flow := uint16(5000); flow < 5060; flow++ {
			r := request1(flow, codes.POST)
			if c.homeOf(r).member.Zone != "a" {
				continue
			}
			c.cut()
			home := c.sideHome(r)
			for _, n := range c.side("b") {
				if n != home {
					c.leaveCopy(n, r, "orders-1")
				}
			}
			c.answer(home, "orders-1", r)
			Expect(c.holders(r)).NotTo(BeEmpty(), "the answer brings the copy back")
			Expect(c.call(home, r)).To(BeEmpty(), "flow %d", flow)
			found++
			c.heal()
		}
		Expect(found).To(BeNumerically(">", 10))
	})
})

// sideHome returns the node that decides for a flow on the side without zone a.
func (c *cluster) sideHome(r request) *node {
	k := keyOf(r.flow)
	return c.nodeAt(c.side("b")[0].engine.View().Owner(k.Hash()).Data.Addr())
}

// leaveCopy gives a node the copy of a proposal that was made in doubt.
func (c *cluster) leaveCopy(n *node, r request, upstream string) {
	k := keyOf(r.flow)
	n.engine.Flows.Update(&k, k.Hash(), func(rec *caller.Record, _ bool) bool {
		*rec = caller.Record{
			Upstream: bundle.UpstreamIDOf("orders", upstream), State: caller.StateTentative,
			Flags: caller.RecordBackup | caller.RecordUnsure, Other: 1, Placed: uint32(c.now.Unix()),
		}
		return true
	})
}
