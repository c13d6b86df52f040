package cookie

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Cookie identifies an upstream in the packets of a flow. Zero identifies none.
type Cookie uint32

// Of returns the cookie of an upstream. All balancers compute the same cookie.
func Of(id bundle.UpstreamID) Cookie {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(id))
	c := Cookie(xxhash.Sum64(b[:]))
	if c.base() == 0 {
		return 1
	}
	return c
}

// Flags are the control flags of a packet, as in TCP.
type Flags uint8

// The flags of a packet.
const (
	FlagSYN Flags = 1 << iota
	FlagACK
	FlagFIN
	FlagRST
)

// Has reports whether any of the given flags is set.
func (f Flags) Has(g Flags) bool { return f&g != 0 }

// Key identifies a flow. It is small and comparable, since it is looked up for each packet.
type Key struct {
	CallerIP    [4]byte
	ServiceIP   [4]byte
	CallerPort  uint16
	ServicePort uint16
}

// Caller returns the caller's address.
func (k Key) Caller() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.CallerIP), k.CallerPort)
}

// Service returns the address to which the caller sends.
func (k Key) Service() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.ServiceIP), k.ServicePort)
}

// hash distributes new flows. All balancers compute the same hash.
func (k Key) hash() uint64 {
	b := k.Bytes()
	return xxhash.Sum64(b[:])
}

// Bytes encodes the key.
func (k Key) Bytes() (b peer.FlowKey) {
	copy(b[0:], k.CallerIP[:])
	copy(b[4:], k.ServiceIP[:])
	binary.BigEndian.PutUint16(b[8:], k.CallerPort)
	binary.BigEndian.PutUint16(b[10:], k.ServicePort)
	return b
}

// KeyOf decodes a key that Bytes encoded.
func KeyOf(b peer.FlowKey) Key {
	return Key{
		CallerIP: [4]byte(b[0:]), ServiceIP: [4]byte(b[4:]),
		CallerPort: binary.BigEndian.Uint16(b[8:]), ServicePort: binary.BigEndian.Uint16(b[10:]),
	}
}

// Packet holds the fields of a caller's packet that balancers read.
type Packet struct {
	Key   Key
	Flags Flags
	// Seq is the sequence number of the packet's first byte of data, Ack that of the next byte that
	// the caller expects. Both wrap around.
	Seq, Ack uint32
	// Copy is the number of retransmissions before this first packet; 0 is the first transmission.
	Copy uint32
	// Cookie is the last cookie that the caller received on this flow.
	Cookie Cookie
	// Length is the number of bytes of data.
	Length int
}

// opensFlow reports whether the packet requests a new flow.
func (p *Packet) opensFlow() bool { return p.Flags.Has(FlagSYN) && !p.Flags.Has(FlagACK|FlagRST) }

// isRetransmitted reports whether the packet is a retransmission of a first packet. A balancer that has
// no record of its flow must not refuse it: the balancer that received the packet before has accepted it,
// or the caller wouldn't send it again, and the flow may be opening at this moment.
func (p *Packet) isRetransmitted() bool { return p.opensFlow() && p.Copy > 0 }

// seqSpan returns how many sequence numbers the packet takes up, for its data and a FIN.
func (p *Packet) seqSpan() uint32 {
	n := uint32(p.Length)
	if p.Flags.Has(FlagFIN) {
		n++
	}
	return n
}

// seqAfter reports whether a comes after b among sequence numbers that wrap around.
func seqAfter(a, b uint32) bool { return int32(a-b) > 0 }

// ErrMalformed is returned for bytes that aren't a valid packet.
var ErrMalformed = eris.New("cookie: malformed packet")

// Codec reads and writes packets in their wire format. Implementations are safe for concurrent use
// and don't allocate.
type Codec interface {
	// Headroom returns how many bytes Forward needs before a packet.
	Headroom() int
	// Decode reads a packet. It returns ErrMalformed if b isn't a valid one.
	Decode(b []byte, p *Packet) error
	// Forward prepares a received packet for an upstream: b holds the headroom and the packet. Only
	// the cookie in the packet changes.
	Forward(b []byte, to bundle.UpstreamID, c Cookie)
	// Reset appends a packet to b that ends a flow towards its caller, and returns the extended
	// buffer.
	Reset(b []byte, r *Reset) []byte
}

// Reset describes the packet that ends a flow towards its caller.
type Reset struct {
	Key Key
	// Seq is the sequence number that the caller expects next, so that it accepts the reset as one
	// of its flow.
	Seq   uint32
	Cause Cause
	// Upstream is the flow's upstream, if it is known. It isn't sent.
	Upstream *bundle.UpstreamRoute
}
