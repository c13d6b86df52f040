package caller

import (
	"net/netip"

	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/request/coap"
	"github.com/fescueshed/fescueshed/internal/request/ip"
)

// Decoder decodes received bytes into the packet that the engine handles. It reuses its
// buffers and isn't safe for concurrent use, so each worker has its own.
type Decoder struct {
	ip   ip.Decoder
	coap coap.Decoder
	p    Packet
}

// Decode decodes b, which was received from the address from. It verifies the tag of a
// packet with a hop option against k. The packet is valid until the next call and
// aliases b. It is nil if the cause isn't CauseNone.
func (d *Decoder) Decode(e *Engine, k *geneve.Key, from netip.Addr, b []byte) (*Packet, Cause) {
	p := &d.p
	inner, err := geneve.Decode(b, &p.Header)
	if err != nil {
		return nil, CauseMalformedGeneve
	}
	p.From, p.Inner = from, inner
	hop := p.Header.Hop.Kind
	if hop != geneve.KindNone && !k.Verify(&p.Header, inner) {
		return nil, CauseBadTag
	}
	p.CoAP = coap.Message{}
	if hop == geneve.KindReplicate || hop == geneve.KindPropose {
		if d.ip.DecodeHeaders(inner, &p.IP) != nil {
			return nil, CauseMalformedIP
		}
		return p, CauseNone
	}
	if d.ip.Decode(inner, &p.IP) != nil {
		return nil, CauseMalformedIP
	}
	if p.IP.Protocol == ip.ProtocolUDP && e.IsCoAP(p.Header.VNI) && d.coap.Decode(p.IP.Payload, &p.CoAP) != nil {
		return nil, CauseMalformedCoAP
	}
	return p, CauseNone
}
