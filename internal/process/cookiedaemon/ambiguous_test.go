package cookiedaemon_test

import (
	"encoding/binary"
	"net"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/process/settings"
	"github.com/fescueshed/fescueshed/internal/standin/flows"
	"github.com/fescueshed/fescueshed/internal/standin/metadata"
	"github.com/fescueshed/fescueshed/internal/standin/world"
)

// handCaller is a caller whose segments a test sends one by one, through balancers of its choice.
type handCaller struct {
	w    *world.World
	conn *net.UDPConn
	flow flows.Segment
	// ack is what the caller has received of the flow.
	ack uint32
}

func newHandCaller(w *world.World, n *node, ip string) *handCaller {
	GinkgoHelper()
	at := netip.AddrPortFrom(netip.MustParseAddr(ip), w.DataAddress(n.host).Port())
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return &handCaller{w: w, conn: conn}
}

// newFlow begins a flow from another port.
func (c *handCaller) newFlow(port int) {
	local := c.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	c.ack = 0
	c.flow = flows.Segment{
		From: netip.AddrPortFrom(local.Addr(), uint16(port)), To: netip.MustParseAddrPort("198.18.0.1:443"), Seq: uint32(port) << 16,
	}
}

// send sends a segment through a balancer.
func (c *handCaller) send(through *node, s flows.Segment) {
	GinkgoHelper()
	s.From, s.To = c.flow.From, c.flow.To
	_, err := c.conn.WriteToUDPAddrPort(metadata.SegmentCodec{}.Encode(&s), c.w.DataAddress(through.host))
	Expect(err).NotTo(HaveOccurred())
}

// receive returns the next segment of the flow that isn't a repeated answer to its first packet, unless repeated is set.
func (c *handCaller) receive(repeated bool) *flows.Segment {
	GinkgoHelper()
	Expect(c.conn.SetReadDeadline(time.Now().Add(maxWait))).To(Succeed())
	b := make([]byte, 2048)
	for {
		n, err := c.conn.Read(b)
		Expect(err).NotTo(HaveOccurred())
		s, err := metadata.SegmentCodec{}.Decode(b[:n])
		Expect(err).NotTo(HaveOccurred())
		if s.To == c.flow.From && (repeated || !s.Flags.Has(cookie.FlagSYN)) {
			return s
		}
	}
}

// offer sends a copy of the first packet through a balancer and returns the upstream's answer.
func (c *handCaller) offer(through *node, n uint32) *flows.Segment {
	GinkgoHelper()
	c.send(through, flows.Segment{Flags: cookie.FlagSYN, Seq: c.flow.Seq, Copy: n})
	return c.receive(true)
}

// request sends a request and returns the segment that answers it.
func (c *handCaller) request(through *node, opened *flows.Segment, carried cookie.Cookie) *flows.Segment {
	GinkgoHelper()
	if c.ack == 0 {
		c.ack = opened.Seq + 1
	}
	data := binary.BigEndian.AppendUint64(nil, uint64(c.flow.Seq))
	c.send(through, flows.Segment{Flags: cookie.FlagACK, Seq: c.flow.Seq + 1, Ack: c.ack, Cookie: carried, Data: data})
	c.flow.Seq += uint32(len(data))
	s := c.receive(false)
	c.ack, c.flow.Cookie = s.Seq+uint32(len(s.Data)), s.Cookie
	return s
}

// acknowledge acknowledges what the caller has received.
func (c *handCaller) acknowledge(through *node) {
	GinkgoHelper()
	c.send(through, flows.Segment{Flags: cookie.FlagACK, Seq: c.flow.Seq + 1, Ack: c.ack, Cookie: c.flow.Cookie})
}

// copyInterval is how long after a first packet its caller sends a copy.
const copyInterval = 200 * time.Millisecond

var _ = Describe("A flow whose first packet reached two upstreams", func() {
	// Guards against a reset of an open flow: the answer of the first upstream is lost, the flow opens at a second one, the
	// first one answers again, and the caller carries its cookie to a balancer that didn't see the flow open.
	DescribeTable("stays at the one at which it opened, whichever answer its caller got last",
		func(next int) {
			w := newWorld(2)
			nodes := make([]*node, 0, len(w.Hosts))
			for _, h := range w.Hosts {
				nodes = append(nodes, openNode(GinkgoT(), w, h, func(cfg *settings.Cookie) { cfg.Zone = "zone-1" }))
			}
			for _, n := range nodes {
				Eventually(n.Ready, maxWait).Should(BeTrue())
				Eventually(n.Members, maxWait).Should(Equal(len(nodes)))
			}
			// A live upstream, known to the first balancer by another flow, makes it try a second upstream for the copy.
			other := newHandCaller(w, nodes[0], "127.1.201.2")
			other.newFlow(3000)
			live := other.offer(nodes[0], 0)
			c := newHandCaller(w, nodes[0], "127.1.201.1")
			c.newFlow(3000)
			lost := c.offer(nodes[0], 0)
			for port := 3001; lost.Cookie == live.Cookie; port++ {
				c.newFlow(port)
				lost = c.offer(nodes[0], 0)
			}
			time.Sleep(copyInterval)
			Expect(other.request(nodes[0], live, live.Cookie).Flags.Has(cookie.FlagRST)).To(BeFalse())
			other.acknowledge(nodes[0])
			opened := c.offer(nodes[0], 1)
			for opened.Seq == lost.Seq {
				opened = c.receive(true)
			}
			Expect(c.request(nodes[0], opened, opened.Cookie).Flags.Has(cookie.FlagRST)).To(BeFalse())
			Expect(c.request(nodes[next], opened, lost.Cookie).Flags.Has(cookie.FlagRST)).To(BeFalse())
		},
		Entry("at the balancer through which it opened", 0),
		Entry("at another balancer", 1),
	)
})
