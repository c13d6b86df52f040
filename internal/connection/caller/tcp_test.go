package caller_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/request/ip"
)

var _ = Describe("A TCP flow", func() {
	var c *cluster
	syn := ip.Packet{Src: callerAt(4001), Dst: streamAt, Protocol: ip.ProtocolTCP, TCPFlags: ip.TCPSyn}

	BeforeEach(func() { c = newCluster(3) })

	It("is placed by its SYN and ended by two FINs", func() {
		first := c.segment(c.nodes[0], syn, "")
		Expect(first).To(HaveLen(1))
		data := syn
		data.TCPFlags = ip.TCPAck
		Expect(c.segment(c.nodes[1], data, "payload")).To(Equal(first))
		Expect(c.flowsAt("stream")).To(BeEquivalentTo(1))
		fin := syn
		fin.TCPFlags = ip.TCPFin | ip.TCPAck
		c.segment(c.nodes[2], fin, "")
		c.segmentFromUpstream(c.nodes[0], first[0], fin)
		Expect(c.flowsAt("stream")).To(BeZero())
		Expect(c.segment(c.nodes[1], data, "")).To(Equal(first), "the last ACK")
	})

	It("is reset in mid-stream if no member has its record", func() {
		data := syn
		data.TCPFlags = ip.TCPAck
		Expect(c.segment(c.nodes[0], data, "payload")).To(BeEmpty())
		Expect(c.resets).To(Equal(1))
	})

	It("is placed a second time if its upstream refuses the SYN", func() {
		first := c.segment(c.nodes[0], syn, "")
		rst := syn
		rst.TCPFlags = ip.TCPRst | ip.TCPAck
		c.segmentFromUpstream(c.nodes[1], first[0], rst)
		Expect(c.resets).To(BeZero(), "the caller doesn't see the first refusal")
		second := c.segment(c.nodes[2], syn, "")
		Expect(second).NotTo(Equal(first))
		c.segmentFromUpstream(c.nodes[1], second[0], rst)
		Expect(c.resets).To(Equal(1), "the second refusal is final")
	})

	// Guards against splitting a byte stream. The upstream resets after it was sent
	// payload; if the flow were placed again, the rest would be sent to another
	// upstream.
	It("isn't placed again once a payload byte was forwarded", func() {
		first := c.segment(c.nodes[0], syn, "")
		data := syn
		data.TCPFlags = ip.TCPAck
		c.segment(c.nodes[0], data, "payload")
		rst := syn
		rst.TCPFlags = ip.TCPRst
		c.segmentFromUpstream(c.nodes[1], first[0], rst)
		Expect(c.resets).To(Equal(1))
	})
})
