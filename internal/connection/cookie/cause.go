package cookie

// Action is what is done with a packet.
type Action uint8

// The actions.
const (
	ActionDrop Action = iota
	ActionForward
	ActionReset
)

// Cause says why a packet was placed, reset or dropped. It goes into counters
// and log lines.
type Cause uint8

// The causes.
const (
	CauseNone Cause = iota
	// CauseMalformed: the bytes are no packet.
	CauseMalformed
	// CauseNoRoute: no route has the address.
	CauseNoRoute
	// CauseNoUpstream: no upstream of the service can take the flow.
	CauseNoUpstream
	// CauseGone: the flow's upstream has left or crashed, as the list says.
	CauseGone
	// CauseDead: the flow's upstream refuses connections or doesn't answer.
	CauseDead
	// CauseRestarted: the flow's upstream started again and knows nothing of it.
	CauseRestarted
	// CauseUnknownCookie: the cookie may be that of an upstream not heard of yet, or its
	// entry can't be read.
	CauseUnknownCookie
	// CauseNoCookie: not a first packet, and no balancer has seen the flow.
	CauseNoCookie
	// CauseStaleOpen: a first packet that waited while the process stood still.
	CauseStaleOpen
	// CausePlaced: a new flow went to the upstream with the most room.
	CausePlaced
	// CauseRepeated: a copy of a first packet went where the first one did.
	CauseRepeated
	// CauseSilent: a copy went to another upstream, since the first was silent.
	CauseSilent
	// CauseSpilled: a new flow went to another zone, which had more room.
	CauseSpilled
	// CauseEvacuated: a first packet came again after the zone of its upstream was evacuated.
	CauseEvacuated

	// NumCauses is the number of causes.
	NumCauses
)

var causeNames = [NumCauses]string{
	"None", "Malformed", "NoRoute", "NoUpstream", "Gone", "Dead", "Restarted", "UnknownCookie", "NoCookie", "StaleOpen",
	"Placed", "Repeated", "Silent", "Spilled", "Evacuated",
}

// String names the cause.
func (c Cause) String() string {
	if c >= NumCauses {
		return "Unknown"
	}
	return causeNames[c]
}

// Verdict is what the engine decides of one packet.
type Verdict struct {
	Action Action
	Cause  Cause
	// Upstream is where the packet goes, if it is forwarded.
	Upstream *Upstream
	// Reset is set if the flow is reset.
	Reset Reset
}
