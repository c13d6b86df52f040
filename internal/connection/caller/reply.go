package caller

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/request/coap"
	"github.com/fescueshed/fescueshed/internal/request/ip"
)

// refusal says after what time a refused caller may try again: after, plus a random
// time up to spread.
type refusal struct {
	after, spread time.Duration
}

// The spread gives callers different times, so that they don't all try again together.
var (
	refusalBusy       = refusal{after: time.Second, spread: 2 * time.Second}
	refusalNoUpstream = refusal{after: 5 * time.Second, spread: 5 * time.Second}
)

// refuse answers a call that was not forwarded: a TCP segment with a reset, a CoAP
// request with the time after which the caller may try again.
func (e *Engine) refuse(w *packetWork, why refusal) Cause {
	if w.p.IP.Protocol == ip.ProtocolTCP {
		e.reset(w)
		return CauseRefused
	}
	if !w.p.CoAP.IsRequest() {
		return CauseNoUpstream
	}
	after := why.after + rand.N(why.spread)
	b, err := coap.BuildServiceUnavailable(&w.p.CoAP, after, messageID())
	if err != nil {
		return CauseMalformedCoAP
	}
	e.reply(w, b)
	return CauseRefused
}

// replyUnknown answers a request that may have run with the message that its outcome is
// unknown.
func (e *Engine) replyUnknown(w *packetWork) Cause {
	b, err := coap.BuildGatewayTimeout(&w.p.CoAP, messageID())
	if err != nil {
		return CauseMalformedCoAP
	}
	e.reply(w, b)
	return CauseOutcomeUnknown
}

// reply sends a CoAP answer from the service to the caller of w's packet.
func (e *Engine) reply(w *packetWork, payload []byte) {
	inner, err := ip.BuildUDP(w.p.IP.Dst, w.p.IP.Src, payload)
	if err == nil {
		e.sendToCaller(w, inner)
	}
}

func messageID() uint16 {
	return uint16(rand.Uint32())
}

func etherTypeOf(a netip.Addr) geneve.EtherType {
	if a.Is4() {
		return geneve.EtherTypeIPv4
	}
	return geneve.EtherTypeIPv6
}
