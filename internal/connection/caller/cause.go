package caller

// Cause is the reason why a packet was dropped or answered by the daemon itself.
type Cause uint8

// The causes. Their names as metric labels are in causeNames.
const (
	// CauseNone: the packet was passed on.
	CauseNone Cause = iota
	CauseMalformedGeneve
	CauseMalformedIP
	CauseMalformedCoAP
	// CauseUnknownSender: the sender is neither a fabric address nor an upstream, or no
	// fabric address is set to which the packet could be sent.
	CauseUnknownSender
	// CauseBadTag: the authentication tag of a packet with a hop doesn't match.
	CauseBadTag
	CauseNoBundle
	// CauseWrongService: the bundle has no service with the packet's VNI, or the
	// service's addresses, protocol or upstreams don't match the packet.
	CauseWrongService
	// CauseNoFlow: no usable record of the flow was found, and none could be made from the
	// packet.
	CauseNoFlow
	// CauseWrongUpstream: an answer isn't from the upstream that holds the flow.
	CauseWrongUpstream
	// CauseTokenNotOpen: no request with the token of the CoAP answer waits for it.
	CauseTokenNotOpen
	// CauseUpstreamRemoved: the upstream of the flow's record isn't in the bundle.
	CauseUpstreamRemoved
	// CauseNoUpstream: no upstream can take the flow, and the packet is no CoAP request
	// or TCP segment that could be answered.
	CauseNoUpstream
	// CauseTooManyHops: daemons have forwarded the packet to each other maxHops times.
	CauseTooManyHops
	// CauseRefused: the daemon refused the call, which did not run.
	CauseRefused
	// CauseOutcomeUnknown: the daemon answered the call with an unknown outcome.
	CauseOutcomeUnknown
	// CauseSuperseded: the upstream's RST wasn't forwarded, since the flow was placed again.
	CauseSuperseded
	// CauseUnreachable: the upstream is in a zone that is cut off.
	CauseUnreachable
	causeEnd
)

// NumCauses is the number of causes.
const NumCauses = int(causeEnd)

var causeNames = [NumCauses]string{
	"None", "MalformedGeneve", "MalformedIP", "MalformedCoAP", "Stranger", "BadTag",
	"NoBundle", "WrongService", "NoFlow", "WrongUpstream", "TokenNotOpen", "UpstreamGone",
	"NoUpstream", "TooManyHops", "Refused", "Unknown", "Superseded", "Unreachable",
}

// String returns the name of the cause as metrics use it.
func (c Cause) String() string {
	return causeNames[c]
}
