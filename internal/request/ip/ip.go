// Package ip decodes the headers of the packets that callers and upstreams exchange,
// and builds the few packets that a daemon sends itself.
package ip

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/rotisserie/eris"
)

// Protocol is a transport protocol number as assigned by IANA.
type Protocol uint8

// The transport protocols of flows.
const (
	ProtocolTCP Protocol = 6
	ProtocolUDP Protocol = 17
)

// TCPFlags are the control bits of a TCP segment (RFC 9293, section 3.1).
type TCPFlags uint8

// The control bits of TCP that matter for opening and ending flows.
const (
	TCPFin TCPFlags = 1 << iota
	TCPSyn
	TCPRst
	_
	TCPAck
)

// The errors of Decode and DecodeHeaders.
var (
	ErrHeader    = eris.New("ip: malformed header")
	ErrTruncated = eris.New("ip: packet is shorter than its header says")
	ErrFragment  = eris.New("ip: packet is a fragment, whose ports can't be read")
	ErrProtocol  = eris.New("ip: protocol is neither TCP nor UDP")
)

// Packet holds what is needed to decide about a packet. Payload aliases the decoded
// bytes.
type Packet struct {
	Src, Dst netip.AddrPort
	Protocol Protocol
	TCPFlags TCPFlags
	// Seq and Ack are the sequence and acknowledgement numbers of a TCP segment.
	Seq, Ack uint32
	Payload  []byte
}

// Decoder decodes packets without allocating. It isn't safe for concurrent use: each
// worker has its own. The zero value is ready for use.
type Decoder struct {
	ip4       layers.IPv4
	ip6       layers.IPv6
	udp       layers.UDP
	tcp       layers.TCP
	truncated bool
}

// SetTruncated implements gopacket.DecodeFeedback.
func (d *Decoder) SetTruncated() { d.truncated = true }

// Decode decodes an IPv4 or IPv6 packet into p. It returns ErrTruncated if the packet is
// shorter than its headers say.
func (d *Decoder) Decode(b []byte, p *Packet) error {
	return d.decode(b, p, false)
}

// DecodeHeaders decodes a packet whose payload may be cut off, as TruncateToHeaders
// returns it.
func (d *Decoder) DecodeHeaders(b []byte, p *Packet) error {
	return d.decode(b, p, true)
}

func (d *Decoder) decode(b []byte, p *Packet, headersOnly bool) error {
	*p = Packet{}
	d.truncated = false
	if len(b) == 0 {
		return ErrTruncated
	}
	var src, dst netip.Addr
	var payload []byte
	var err error
	switch b[0] >> 4 {
	case 4:
		src, dst, payload, err = d.decodeIPv4(b, p)
	case 6:
		src, dst, payload, err = d.decodeIPv6(b, p)
	default:
		return ErrHeader
	}
	if err != nil {
		return err
	}
	srcPort, dstPort, err := d.decodeTransport(payload, p)
	if err != nil {
		return err
	}
	if d.truncated && !headersOnly {
		return ErrTruncated
	}
	p.Src = netip.AddrPortFrom(src, srcPort)
	p.Dst = netip.AddrPortFrom(dst, dstPort)
	return nil
}

func (d *Decoder) decodeIPv4(b []byte, p *Packet) (src, dst netip.Addr, payload []byte, err error) {
	if err := d.ip4.DecodeFromBytes(b, d); err != nil {
		return src, dst, nil, ErrHeader
	}
	if d.ip4.Flags&layers.IPv4MoreFragments != 0 || d.ip4.FragOffset != 0 {
		return src, dst, nil, ErrFragment
	}
	p.Protocol = Protocol(d.ip4.Protocol)
	src = netip.AddrFrom4([4]byte(d.ip4.SrcIP))
	dst = netip.AddrFrom4([4]byte(d.ip4.DstIP))
	return src, dst, d.ip4.Payload, nil
}

func (d *Decoder) decodeIPv6(b []byte, p *Packet) (src, dst netip.Addr, payload []byte, err error) {
	if err := d.ip6.DecodeFromBytes(b, d); err != nil {
		return src, dst, nil, ErrHeader
	}
	p.Protocol = Protocol(d.ip6.NextHeader)
	src = netip.AddrFrom16([16]byte(d.ip6.SrcIP))
	dst = netip.AddrFrom16([16]byte(d.ip6.DstIP))
	return src, dst, d.ip6.Payload, nil
}

func (d *Decoder) decodeTransport(b []byte, p *Packet) (srcPort, dstPort uint16, err error) {
	switch p.Protocol {
	case ProtocolUDP:
		if err := d.udp.DecodeFromBytes(b, d); err != nil {
			return 0, 0, ErrHeader
		}
		p.Payload = d.udp.Payload
		return uint16(d.udp.SrcPort), uint16(d.udp.DstPort), nil
	case ProtocolTCP:
		if err := d.tcp.DecodeFromBytes(b, d); err != nil {
			return 0, 0, ErrHeader
		}
		p.TCPFlags = TCPFlags(b[tcpFlagsOffset])
		p.Seq, p.Ack = d.tcp.Seq, d.tcp.Ack
		p.Payload = d.tcp.Payload
		return uint16(d.tcp.SrcPort), uint16(d.tcp.DstPort), nil
	default:
		return 0, 0, ErrProtocol
	}
}

const (
	tcpFlagsOffset = 13
	// MaxHeaderBytes is the size of an IPv6 header and a TCP header without options.
	MaxHeaderBytes = 60
	hopLimit       = 64
)

// TruncateToHeaders returns the first bytes of the packet b, at most MaxHeaderBytes. They
// contain the headers that identify the packet's flow.
func TruncateToHeaders(b []byte) []byte {
	return b[:min(len(b), MaxHeaderBytes)]
}

// BuildUDP returns a UDP packet from src to dst.
func BuildUDP(src, dst netip.AddrPort, payload []byte) ([]byte, error) {
	udp := &layers.UDP{SrcPort: layers.UDPPort(src.Port()), DstPort: layers.UDPPort(dst.Port())}
	return build(src, dst, ProtocolUDP, udp, payload)
}

// BuildHeaders returns a packet without payload that identifies the flow from src to dst.
// A TCP segment has the ACK bit set.
func BuildHeaders(src, dst netip.AddrPort, proto Protocol) ([]byte, error) {
	if proto == ProtocolUDP {
		return BuildUDP(src, dst, nil)
	}
	tcp := &layers.TCP{SrcPort: layers.TCPPort(src.Port()), DstPort: layers.TCPPort(dst.Port()), ACK: true}
	return build(src, dst, ProtocolTCP, tcp, nil)
}

// BuildReset returns the TCP segment that resets the flow of the segment p. It is sent
// from the destination of p to its source (RFC 9293, section 3.10.7.1).
func BuildReset(p *Packet) ([]byte, error) {
	n := uint32(len(p.Payload))
	if p.TCPFlags&TCPSyn != 0 {
		n++
	}
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(p.Dst.Port()),
		DstPort: layers.TCPPort(p.Src.Port()),
		RST:     true,
		ACK:     true,
		Ack:     p.Seq + n,
	}
	if p.TCPFlags&TCPAck != 0 {
		tcp.ACK, tcp.Ack, tcp.Seq = false, 0, p.Ack
	}
	return build(p.Dst, p.Src, ProtocolTCP, tcp, nil)
}

type transport interface {
	gopacket.SerializableLayer
	SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
}

func build(src, dst netip.AddrPort, proto Protocol, t transport, payload []byte) ([]byte, error) {
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	network := networkLayer(src.Addr(), dst.Addr(), proto)
	if err := t.SetNetworkLayerForChecksum(network); err != nil {
		return nil, eris.Wrap(err, "ip: prepare checksum")
	}
	err := gopacket.SerializeLayers(buf, opts, network.(gopacket.SerializableLayer), t, gopacket.Payload(payload))
	return buf.Bytes(), eris.Wrap(err, "ip: build packet")
}

func networkLayer(src, dst netip.Addr, proto Protocol) gopacket.NetworkLayer {
	if src.Is4() {
		return &layers.IPv4{
			Version:  4,
			TTL:      hopLimit,
			Protocol: layers.IPProtocol(proto),
			SrcIP:    src.AsSlice(),
			DstIP:    dst.AsSlice(),
		}
	}
	return &layers.IPv6{
		Version:    6,
		HopLimit:   hopLimit,
		NextHeader: layers.IPProtocol(proto),
		SrcIP:      src.AsSlice(),
		DstIP:      dst.AsSlice(),
	}
}
