package cookie

import "github.com/fescueshed/fescueshed/internal/connection/admission"

// Action is what a balancer does with a packet.
type Action uint8

// The actions.
const (
	ActionDrop Action = iota
	ActionForward
	ActionReset
	// ActionHold keeps the packet until the inquiry about its flow ends.
	ActionHold
)

// Cause says why a packet was forwarded or dropped, or why a flow was reset. Counters and log lines
// use its name.
type Cause uint8

// The causes.
const (
	// CauseNone: the packet belongs to an established flow and is forwarded.
	CauseNone Cause = iota
	// CauseMalformed: the bytes aren't a valid packet.
	CauseMalformed
	// CauseNoRoute: no route has the destination address.
	CauseNoRoute
	// CauseNoUpstream: no upstream of the service can take the flow.
	CauseNoUpstream
	// CauseGone: the flow's upstream is deregistered and was found dead, or its cookie has named no
	// known upstream for at least unknownGrace.
	CauseGone
	// CauseDead: the flow's upstream refuses connections or doesn't answer.
	CauseDead
	// CauseRestarted: the flow's upstream has restarted and doesn't hold the flow.
	CauseRestarted
	// CauseUnknownCookie: the cookie may be that of an upstream whose registration hasn't been
	// received yet, or whose registration can't be read.
	CauseUnknownCookie
	// CauseNoCookie: the packet isn't the first of its flow and has no cookie, and this balancer
	// has no record of the flow.
	CauseNoCookie
	// CauseStaleOpen: a first packet that waited while the process was paused.
	CauseStaleOpen
	// CausePlaced: a new flow was placed at the upstream that the policy chose in the own zone.
	CausePlaced
	// CauseRepeated: a retransmitted first packet was sent to the same upstream as the first.
	CauseRepeated
	// CauseSilent: a retransmitted first packet was sent to another upstream, since the first one
	// was silent or its zone was evacuated.
	CauseSilent
	// CauseSpilled: a new flow was placed in another zone, which had more free capacity, or since no
	// upstream of the own zone could take it.
	CauseSpilled
	// CauseEvacuated: a first packet arrived again after the zone of its flow's upstream was
	// evacuated. It was dropped if the flow was open, and refused if no other zone could take the
	// flow.
	CauseEvacuated
	// CauseOverload: the flow's service has too little capacity for all callers, and the flow was
	// refused by its priority.
	CauseOverload
	// CauseAmbiguous: more than one upstream may have received a copy of the flow's first packet, and other
	// balancers are asked at which one it opened.
	CauseAmbiguous
	// CauseRouteUnknown: no route has the destination address, but another balancer may have received one. The packet
	// of an open flow is forwarded by its cookie, one that requests a flow is dropped while a newer routing table is
	// known to exist.
	CauseRouteUnknown

	// NumCauses is the number of causes.
	NumCauses
)

var causeNames = [NumCauses]string{
	"None", "Malformed", "NoRoute", "NoUpstream", "Gone", "Dead", "Restarted", "UnknownCookie", "NoCookie", "StaleOpen",
	"Placed", "Repeated", "Silent", "Spilled", "Evacuated", "Overload",
	"Ambiguous", "RouteUnknown",
}

// String returns the name of the cause.
func (c Cause) String() string {
	if c >= NumCauses {
		return "Unknown"
	}
	return causeNames[c]
}

// Verdict is the decision of the engine on one packet. Its zero value drops the packet.
type Verdict struct {
	Action Action
	Cause  Cause
	// Upstream is where the packet is sent, if it is forwarded.
	Upstream *Upstream
	// Cookie is written into the packet if it is forwarded.
	Cookie Cookie
	// Inquire is set if other balancers are to be asked about the packet's flow.
	Inquire bool
	// Reset is the reset to send, if the flow is reset.
	Reset Reset
	// Admission holds the inputs of the decision if the cause is CauseOverload.
	Admission admission.Decision
}
