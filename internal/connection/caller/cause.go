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
	// CauseUnknownSender: the sender is neither a fabric address nor an upstream.
	CauseUnknownSender
	CauseBadTag
	CauseNoBundle
	CauseWrongService
	CauseNoFlow
	CauseWrongUpstream
	// CauseTokenNotOpen: no request with the token of the CoAP answer waits for it.
	CauseTokenNotOpen
	// CauseUpstreamRemoved: the upstream of the flow's record isn't in the bundle.
	CauseUpstreamRemoved
	CauseNoUpstream
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
