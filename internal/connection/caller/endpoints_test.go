package caller_test

import (
	"fmt"
	"net/netip"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"github.com/fescueshed/fescueshed/internal/connection/caller"
	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/request/ip"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// request is a CoAP request of a caller.
type request struct {
	vni   bundle.VNI
	flow  uint16
	code  codes.Code
	id    uint16
	token byte
}

func (r request) payload() []byte {
	m := message.Message{
		Type: message.Confirmable, Code: r.code, MessageID: int32(r.id), Token: []byte{r.token},
		Payload: fmt.Appendf(nil, "flow %d message %d", r.flow, r.id),
	}
	b := make([]byte, 128)
	n, err := coder.DefaultCoder.Encode(m, b)
	if err != nil {
		panic(err)
	}
	return b[:n]
}

func callerAt(flow uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("192.0.2.77"), flow)
}

func serviceAt(v bundle.VNI) netip.AddrPort {
	return map[bundle.VNI]netip.AddrPort{vniOrders: ordersAt, vniArchive: archiveAt, vniStream: streamAt}[v]
}

// call sends a request to node n, runs all that follows from it, and returns the
// upstreams that got the request.
func (c *cluster) call(n *node, r request) []string {
	before := len(c.upstreamGot)
	inner, err := ip.BuildUDP(callerAt(r.flow), serviceAt(r.vni), r.payload())
	if err != nil {
		panic(err)
	}
	c.inject(n, fabricAt.Addr(), r.vni, inner)
	names := make([]string, 0, 1)
	for _, u := range c.upstreamGot[before:] {
		names = append(names, u.upstream)
	}
	return names
}

// answer sends an upstream's answer to node n and reports whether it reached the
// caller.
func (c *cluster) answer(n *node, upstream string, r request) bool {
	before := len(c.callerGot)
	m := message.Message{Type: message.Acknowledgement, Code: codes.Content, MessageID: int32(r.id), Token: []byte{r.token}}
	b := make([]byte, 128)
	size, err := coder.DefaultCoder.Encode(m, b)
	if err != nil {
		panic(err)
	}
	inner, err := ip.BuildUDP(serviceAt(r.vni), callerAt(r.flow), b[:size])
	if err != nil {
		panic(err)
	}
	c.inject(n, c.upstreamAddr(upstream), r.vni, inner)
	return len(c.callerGot) > before
}

// exchange sends a request to node n and the answers of the upstreams that got it. It
// returns these upstreams.
func (c *cluster) exchange(n *node, r request) []string {
	u := c.call(n, r)
	for _, name := range u {
		c.answer(n, name, r)
	}
	return u
}

func (c *cluster) upstreamAddr(name string) netip.Addr {
	for _, u := range c.routing.Upstreams() {
		if u.Name == name {
			return u.Address.Addr()
		}
	}
	panic("no upstream " + name)
}

func (c *cluster) inject(n *node, src netip.Addr, v bundle.VNI, inner []byte) caller.Cause {
	h := geneve.Header{VNI: v, EtherType: geneve.EtherTypeIPv4}
	cause := c.receive(n, src, geneve.Append(nil, &h, nil, inner))
	c.deliver()
	return cause
}

// segment sends a caller's TCP segment to node n and returns the upstreams that got it.
func (c *cluster) segment(n *node, p ip.Packet, payload string) []string {
	before := len(c.upstreamGot)
	c.inject(n, fabricAt.Addr(), vniStream, tcpBytes(p.Src, p.Dst, p.TCPFlags, payload))
	names := make([]string, 0, 1)
	for _, u := range c.upstreamGot[before:] {
		names = append(names, u.upstream)
	}
	return names
}

// segmentFromUpstream sends a segment with the same flags from an upstream to node n.
func (c *cluster) segmentFromUpstream(n *node, upstream string, p ip.Packet) {
	c.inject(n, c.upstreamAddr(upstream), vniStream, tcpBytes(p.Dst, p.Src, p.TCPFlags, ""))
}

func tcpBytes(src, dst netip.AddrPort, flags ip.TCPFlags, payload string) []byte {
	b, err := ip.BuildHeaders(src, dst, ip.ProtocolTCP)
	if err != nil {
		panic(err)
	}
	const ipHeader, flagsOffset = 20, 13
	b[ipHeader+flagsOffset] = byte(flags)
	b = append(b, payload...)
	b[3] = byte(len(b)) // The low byte of the IPv4 total length.
	return b
}
