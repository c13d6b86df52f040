package caller

// Cause says why a packet was dropped or answered by the daemon itself.
type Cause uint8

// The causes. CauseNone is that of a packet that was passed on.
const (
	CauseNone Cause = iota
	CauseMalformedGeneve
	CauseMalformedIP
	CauseMalformedCoAP
	CauseUnknownSender
	CauseBadTag
	CauseNoBundle
	CauseWrongService
	CauseNoFlow
	CauseWrongUpstream
	CauseTokenNotOpen
	CauseUpstreamRemoved
	CauseNoUpstream
	CauseTooManyHops
	CauseRefused
	CauseOutcomeUnknown
	CauseSuperseded
	CauseUnreachable
	causeEnd
)

// NumCauses is how many causes there are.
const NumCauses = int(causeEnd)

var causeNames = [NumCauses]string{
	"None", "MalformedGeneve", "MalformedIP", "MalformedCoAP", "Stranger", "BadTag",
	"NoBundle", "WrongService", "NoFlow", "WrongUpstream", "TokenNotOpen", "UpstreamGone",
	"NoUpstream", "TooManyHops", "Refused", "Unknown", "Superseded", "Unreachable",
}

// String names the cause as metrics do.
func (c Cause) String() string {
	return causeNames[c]
}
