// Package flows contains stand-ins for the callers and upstreams of flows that carry a cookie,
// and for the routers between callers and balancers. Their counts verify what the balancers
// guarantee, independently of the balancers' own code.
package flows

import (
	"net/netip"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Segment is a message from one end of a flow to the other.
type Segment struct {
	From, To netip.AddrPort
	Flags    cookie.Flags
	Seq, Ack uint32
	// Copy is the number of retransmissions of a first packet so far.
	Copy   uint32
	Cookie cookie.Cookie
	Data   []byte
}

// Codec encodes and decodes segments.
type Codec interface {
	Encode(s *Segment) []byte
	Decode(b []byte) (*Segment, error)
	// DecodeAtUpstream decodes a datagram that a balancer forwarded. It also returns the upstream
	// for which it is meant.
	DecodeAtUpstream(b []byte) (bundle.UpstreamID, *Segment, error)
}

// Retransmission of the two ends, and the largest datagram in bytes.
const (
	retransmitMs       = 200
	maxRetransmits     = 8
	openTimeoutMs      = 1400
	secondRetransmitMs = 600
	maxDatagram        = 2048
)

// RequestID identifies a request.
type RequestID uint64
