// Package flows holds stand-ins for the two ends of flows that carry a cookie, and
// for the routers between them and the balancers. What they count is the proof of
// what the balancers promise; the balancers have no part in it.
package flows

import (
	"net/netip"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Segment is what one end of a flow sends to the other.
type Segment struct {
	From, To netip.AddrPort
	Flags    cookie.Flags
	Seq, Ack uint32
	Copy     uint32
	Cookie   cookie.Cookie
	Data     []byte
}

// Codec is how segments stand on the wire.
type Codec interface {
	Encode(s *Segment) []byte
	Decode(b []byte) (*Segment, error)
	// DecodeAtUpstream reads what a balancer forwards, with the intended upstream.
	DecodeAtUpstream(b []byte) (bundle.UpstreamID, *Segment, error)
}

// Times of the two ends.
const (
	repeatAfterMs = 200
	maxRepeats    = 8
	giveUpOpenMs  = 1400
	secondCopyMs  = 600
	maxDatagram   = 2048
)

// RequestID names a request.
type RequestID uint64
