package objects

import (
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Era counts how often the store came back from a copy of itself. What it acknowledged after the copy was
// made is gone, and revisions are given out again. Zero is a store that never did, or doesn't tell.
type Era uint32

// Position is a place in the store's history: an era, and a revision within it, which grows with each change
// of any object. Positions are ordered by their era first, as uint64 are: whatever a store says after it came
// back supersedes what it said before. Zero is before the first change.
type Position uint64

const (
	// revisionBits leaves a store a trillion changes in an era.
	revisionBits = 40
	maxRevision  = 1<<revisionBits - 1
	maxEra       = 1<<(64-revisionBits) - 1
)

// RestoreGrace is for how long after the store came back from a copy what it lacks counts as lost with the copy,
// and not as taken back: operators and upstreams write theirs again within it. Then the store is believed.
const RestoreGrace = 5 * time.Second

// ErrPosition is returned for an era or a revision that is too large.
var ErrPosition = eris.New("objects: position out of range")

// NewPosition returns the position of a revision in an era.
func NewPosition(e Era, revision uint64) (Position, error) {
	if e > maxEra || revision > maxRevision {
		return 0, eris.Wrapf(ErrPosition, "revision %d of era %d", revision, e)
	}
	return Position(uint64(e)<<revisionBits | revision), nil
}

// Era returns the era.
func (p Position) Era() Era { return Era(p >> revisionBits) }

// Revision returns the revision as the store counts it.
func (p Position) Revision() uint64 { return uint64(p & maxRevision) }

// String returns both for logs, as in "2/17".
func (p Position) String() string {
	return strconv.FormatUint(uint64(p.Era()), 10) + "/" + strconv.FormatUint(p.Revision(), 10)
}
