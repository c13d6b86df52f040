// Package metadata stands in for the platform in tests. It encodes and decodes packets as callers
// and upstreams do, and has a metadata store whose faults a test can switch on and off.
package metadata

import (
	"encoding/binary"
	"net/netip"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/standin/flows"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/platform"
)

// SegmentCodec encodes and decodes the segments that the two ends of a flow, caller and upstream,
// send. It implements flows.Codec.
type SegmentCodec struct{ packets platform.PacketCodec }

// Encode implements flows.Codec.
func (s SegmentCodec) Encode(g *flows.Segment) []byte {
	return s.packets.Encode(&cookie.Packet{
		Key: cookie.Key{
			CallerIP: g.From.Addr().As4(), CallerPort: g.From.Port(),
			ServiceIP: g.To.Addr().As4(), ServicePort: g.To.Port(),
		},
		Flags: g.Flags, Seq: g.Seq, Ack: g.Ack, Copy: g.Copy, Cookie: g.Cookie,
	}, g.Data)
}

// Decode implements flows.Codec.
func (s SegmentCodec) Decode(b []byte) (*flows.Segment, error) {
	var p cookie.Packet
	if err := s.packets.Decode(b, &p); err != nil {
		return nil, err
	}
	return &flows.Segment{
		From:  netip.AddrPortFrom(netip.AddrFrom4(p.Key.CallerIP), p.Key.CallerPort),
		To:    netip.AddrPortFrom(netip.AddrFrom4(p.Key.ServiceIP), p.Key.ServicePort),
		Flags: p.Flags, Seq: p.Seq, Ack: p.Ack, Copy: p.Copy, Cookie: p.Cookie,
		Data: append([]byte(nil), b[len(b)-p.Length:]...),
	}, nil
}

// DecodeAtUpstream implements flows.Codec.
func (s SegmentCodec) DecodeAtUpstream(b []byte) (bundle.UpstreamID, *flows.Segment, error) {
	n := s.packets.Headroom()
	if len(b) < n {
		return 0, nil, cookie.ErrMalformed
	}
	g, err := s.Decode(b[n:])
	return bundle.UpstreamID(binary.BigEndian.Uint64(b)), g, err
}
