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

// partition separates zone a from the others: packets between them are lost, and each
// side takes the other for dead.
func (c *cluster) partition() {
	c.partitioned = func(a, b bundle.Zone) bool { return (a == "a") != (b == "a") }
	for _, n := range c.nodes {
		var members, unreachable []peer.Member
		for _, o := range c.nodes {
			if (o.member.Zone == "a") == (n.member.Zone == "a") {
				members = append(members, o.member)
			} else {
				unreachable = append(unreachable, o.member)
			}
		}
		cutZones := []bundle.Zone{"a"}
		if n.member.Zone == "a" {
			cutZones = []bundle.Zone{"b", "c"}
		}
		n.engine.SetView(peer.NewView(n.member.ID, members, peer.Changes{
			RecentlyChanged: true, RepeatsPossible: true, Lost: unreachable, UnreachableZones: cutZones, UnreachableMembers: unreachable,
		}))
	}
}

func (c *cluster) heal() {
	c.partitioned = nil
	c.syncViews(true)
}

// side returns the nodes on the same side of the network partition as a zone.
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
		c.skewLoads()
	})

	// Guards against breaking flows and running requests twice during a network
	// partition. A side that gets a packet of an earlier flow could take it for new and
	// place it again.
	It("keeps earlier flows at their upstreams, on both sides and after the partition", func() {
		const flows = 60
		upstreams := make(map[uint16]string)
		for flow := uint16(4000); flow < 4000+flows; flow++ {
			upstreams[flow] = c.exchange(c.nodes[int(flow)%9], request1(flow, codes.GET))[0]
		}
		c.partition()
		for flow, u := range upstreams {
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
		for flow, u := range upstreams {
			r := request1(flow, codes.POST)
			r.id, r.token = 99, 99
			Expect(c.exchange(c.nodes[int(flow)%9], r)).To(Equal([]string{u}))
		}
	})

	It("immediately places a new flow whose owner is in it, at an upstream that it reaches", func() {
		placed := 0
		for flow := uint16(5000); flow < 5060; flow++ {
			r := request1(flow, codes.POST)
			owner := c.ownerOf(r)
			c.partition()
			if owner.member.Zone == "a" {
				placed++
				u := c.exchange(c.side("a")[0], r)
				Expect(u).To(HaveLen(1))
				Expect(c.zoneOf(u[0])).To(BeEquivalentTo("a"))
			}
			c.heal()
		}
		Expect(placed).To(BeNumerically(">", 10))
	})

	// Guards against running a request on both sides of a network partition. A caller
	// that reaches both sides repeats it, and each side would place the new flow for
	// itself.
	It("doesn't run a POST of a new flow whose owner is on the other side, however often it is repeated", func() {
		for flow := uint16(5000); flow < 5060; flow++ {
			r := request1(flow, codes.POST)
			if c.ownerOf(r).member.Zone == "a" {
				continue
			}
			c.partition()
			for range 5 {
				Expect(c.call(c.side("a")[1], r)).To(BeEmpty())
			}
			Expect(c.callerGot).NotTo(BeEmpty(), "the third copy is answered that the outcome is unknown")
			Expect(c.callerGot[0].Code).To(Equal(codes.GatewayTimeout))
			r.id, r.token = 2, 2
			Expect(c.call(c.side("a")[1], r)).To(BeEmpty(), "another POST of the flow doesn't run either")
			c.callerGot = nil
			c.heal()
		}
	})

	It("serves an idempotent request of a new flow whose owner is on the other side after two repetitions", func() {
		served := 0
		for flow := uint16(5000); flow < 5060; flow++ {
			r := request1(flow, codes.GET)
			if c.ownerOf(r).member.Zone == "a" {
				continue
			}
			c.partition()
			Expect(c.call(c.side("a")[0], r)).To(BeEmpty())
			c.now = c.now.Add(500 * time.Millisecond)
			Expect(c.call(c.side("a")[1], r)).To(BeEmpty())
			u := c.exchange(c.side("a")[2], r)
			Expect(u).To(HaveLen(1))
			Expect(c.zoneOf(u[0])).To(BeEquivalentTo("a"))
			served++
			c.heal()
			r.id, r.token = 2, 2
			Expect(c.exchange(c.other(), r)).To(Equal(u), "the flow stays there after the partition")
		}
		Expect(served).To(BeNumerically(">", 10))
	})

	// Guards against running a request on both sides of a network partition. One side
	// proposed an upstream for a new flow that may be the other side's, and a copy of
	// that proposal, found later, was taken for a record without RecordUncertain.
	It("keeps a proposal uncertain when only a copy of it is found", func() {
		found := 0
		for flow := uint16(5000); flow < 5060; flow++ {
			r := request1(flow, codes.POST)
			if c.ownerOf(r).member.Zone != "a" {
				continue
			}
			c.partition()
			owner := c.sideOwner(r)
			for _, n := range c.side("b") {
				if n != owner {
					c.storeProposalCopy(n, r, "orders-1")
				}
			}
			c.answer(owner, "orders-1", r)
			Expect(c.replicas(r)).NotTo(BeEmpty(), "the answer makes the copy a committed record")
			Expect(c.call(owner, r)).To(BeEmpty(), "flow %d", flow)
			found++
			c.heal()
		}
		Expect(found).To(BeNumerically(">", 10))
	})
})

// sideOwner returns the owner of a flow on the side without zone a.
func (c *cluster) sideOwner(r request) *node {
	k := keyOf(r.flow)
	return c.nodeAt(c.side("b")[0].engine.View().Owner(k.Hash()).Data.Addr())
}

// storeProposalCopy stores a copy of a proposal with RecordUncertain at a node.
func (c *cluster) storeProposalCopy(n *node, r request, upstream string) {
	k := keyOf(r.flow)
	n.engine.Flows.Update(&k, k.Hash(), func(rec *caller.Record, _ bool) bool {
		*rec = caller.Record{
			Upstream: bundle.UpstreamIDOf("orders", upstream), State: caller.StateTentative,
			Flags: caller.RecordBackup | caller.RecordUncertain, ReplicaTag: 1, PlacedAt: uint32(c.now.Unix()),
		}
		return true
	})
}
