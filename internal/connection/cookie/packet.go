package cookie

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Cookie names an upstream in the packets of a flow. Zero names none.
type Cookie uint32

// Of returns the cookie of an upstream. All balancers compute the same.
func Of(id bundle.UpstreamID) Cookie {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(id))
	c := Cookie(xxhash.Sum64(b[:]))
	if c == 0 {
		return 1
	}
	return c
}

// Flags are what a packet says of the state of its flow, as in TCP.
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

// Key identifies a flow. It is small and comparable, since it is looked up for
// each packet.
type Key struct {
	CallerIP    [4]byte
	ServiceIP   [4]byte
	CallerPort  uint16
	ServicePort uint16
}

// Caller returns the caller's end.
func (k Key) Caller() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.CallerIP), k.CallerPort)
}

// Service returns the address that the caller sends to.
func (k Key) Service() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.ServiceIP), k.ServicePort)
}

// hash spreads new flows. All balancers compute the same.
func (k Key) hash() uint64 {
	var b [12]byte
	copy(b[0:], k.CallerIP[:])
	copy(b[4:], k.ServiceIP[:])
	binary.BigEndian.PutUint16(b[8:], k.CallerPort)
	binary.BigEndian.PutUint16(b[10:], k.ServicePort)
	return xxhash.Sum64(b[:])
}

// Packet is a caller's packet as far as balancers look into it.
type Packet struct {
	Key   Key
	Flags Flags
	// Seq is the number of the packet's first byte of data, Ack the number of the
	// next byte that the caller expects. They wrap.
	Seq, Ack uint32
	// Copy tells which transmission of a first packet this is; 0 is the first.
	Copy uint32
	// Cookie is the last one that the caller received on this flow.
	Cookie Cookie
	// Length is the number of bytes of data.
	Length int
}

// opensFlow reports whether the packet asks for a new flow.
func (p *Packet) opensFlow() bool { return p.Flags.Has(FlagSYN) && !p.Flags.Has(FlagACK|FlagRST) }

// seqSpan is how many numbers the packet takes up: its data and a FIN.
func (p *Packet) seqSpan() uint32 {
	n := uint32(p.Length)
	if p.Flags.Has(FlagFIN) {
		n++
	}
	return n
}

// seqAfter reports whether a comes seqAfter b among numbers that wrap.
func seqAfter(a, b uint32) bool { return int32(a-b) > 0 }

// ErrMalformed is returned for bytes that are no packet.
var ErrMalformed = eris.New("cookie: malformed packet")

// Codec is how packets stand on the wire. Implementations are safe for
// concurrent use and don't allocate.
type Codec interface {
	// Headroom is how many bytes Forward needs before a packet.
	Headroom() int
	// Decode reads a packet. It returns ErrMalformed if b is none.
	Decode(b []byte, p *Packet) error
	// Forward makes a received packet ready for an upstream: b holds the headroom
	// and the packet. Only the cookie in it changes.
	Forward(b []byte, to bundle.UpstreamID, c Cookie)
	// Reset appends a packet that ends a flow towards its caller.
	Reset(b []byte, r *Reset) []byte
}

// Reset ends a flow towards its caller.
type Reset struct {
	Key Key
	// Seq is what the caller expects next, so that it knows the reset for its own.
	Seq   uint32
	Cause Cause
	// Upstream is where the flow was, if that is known. It isn't sent.
	Upstream *bundle.UpstreamRoute
}
