package caller

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/request/coap"
	"github.com/fescueshed/fescueshed/internal/request/ip"
)

// refusal is why a daemon refuses a request, with when the caller may return.
type refusal struct {
	after, spread time.Duration
}

// Callers are told different times, so that they don't all return together.
var (
	refusalBusy       = refusal{after: time.Second, spread: 2 * time.Second}
	refusalNoUpstream = refusal{after: 5 * time.Second, spread: 5 * time.Second}
)

// refuse answers a call that was not passed on and says when to come back.
func (e *Engine) refuse(w *packetWork, why refusal) Cause {
	if w.p.IP.Protocol == ip.ProtocolTCP {
		e.reset(w)
		return CauseRefused
	}
	if !w.p.CoAP.IsRequest() {
		return CauseNoUpstream
	}
	after := why.after + rand.N(why.spread)
	b, err := coap.Refusal(&w.p.CoAP, after, messageID())
	if err != nil {
		return CauseMalformedCoAP
	}
	e.reply(w, b)
	return CauseRefused
}

// replyUnknown answers a call that may have run with an replyUnknown outcome.
func (e *Engine) replyUnknown(w *packetWork) Cause {
	b, err := coap.Unknown(&w.p.CoAP, messageID())
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
