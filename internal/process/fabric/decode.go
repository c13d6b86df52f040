package fabric

import (
	"net/netip"

	"github.com/fescueshed/fescueshed/internal/connection/caller"
	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/request/coap"
	"github.com/fescueshed/fescueshed/internal/request/ip"
)

// decoder turns received bytes into the packet that the engine decides on. It
// keeps its buffers, so each worker has its own.
type decoder struct {
	ip   ip.Decoder
	coap coap.Decoder
	p    caller.Packet
}

// decode returns a packet that holds until the next call and aliases b.
func (d *decoder) decode(e *caller.Engine, k *geneve.Key, from netip.Addr, b []byte) (*caller.Packet, caller.Cause) {
	p := &d.p
	inner, err := geneve.Decode(b, &p.Header)
	if err != nil {
		return nil, caller.CauseMalformedGeneve
	}
	p.From, p.Inner = from, inner
	hop := p.Header.Hop.Kind
	if hop != geneve.KindNone && !k.Verify(&p.Header, inner) {
		return nil, caller.CauseBadTag
	}
	p.CoAP = coap.Message{}
	if hop == geneve.KindLearn {
		if d.ip.DecodeHeaders(inner, &p.IP) != nil {
			return nil, caller.CauseMalformedIP
		}
		return p, caller.CauseNone
	}
	if d.ip.Decode(inner, &p.IP) != nil {
		return nil, caller.CauseMalformedIP
	}
	if p.IP.Protocol == ip.ProtocolUDP && e.IsCoAP(p.Header.VNI) && d.coap.Decode(p.IP.Payload, &p.CoAP) != nil {
		return nil, caller.CauseMalformedCoAP
	}
	return p, caller.CauseNone
}
