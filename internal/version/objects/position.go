package objects

import (
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Epoch counts how often the store was restored from a snapshot. What it acknowledged after the snapshot was
// taken is gone, and revisions are given out again. Zero is a store that never was, or doesn't tell.
type Epoch uint32

// Position is a place in the store's history: an epoch, and a revision within it, which grows with each change
// of any object. Positions are ordered by their epoch first, as uint64 are: whatever a store says after it was
// restored supersedes what it said before. Zero is before the first change.
type Position uint64

const (
	// revisionBits leaves a store a trillion changes in an epoch.
	revisionBits = 40
	maxRevision  = 1<<revisionBits - 1
	maxEpoch     = 1<<(64-revisionBits) - 1
)

// RestoreGrace is for how long after the store was restored from a snapshot a drain or an evacuation that it lacks counts
// as lost, and not as taken back: operators and upstreams write theirs again within it.
const RestoreGrace = 5 * time.Second

// ErrPosition is returned for an epoch or a revision that is too large.
var ErrPosition = eris.New("objects: position out of range")

// NewPosition returns the position of a revision in an epoch.
func NewPosition(e Epoch, revision uint64) (Position, error) {
	if e > maxEpoch || revision > maxRevision {
		return 0, eris.Wrapf(ErrPosition, "revision %d of epoch %d", revision, e)
	}
	return Position(uint64(e)<<revisionBits | revision), nil
}

// Epoch returns the epoch.
func (p Position) Epoch() Epoch { return Epoch(p >> revisionBits) }

// Revision returns the revision as the store counts it.
func (p Position) Revision() uint64 { return uint64(p & maxRevision) }

// String returns both for logs, as in "2/17".
func (p Position) String() string {
	return strconv.FormatUint(uint64(p.Epoch()), 10) + "/" + strconv.FormatUint(p.Revision(), 10)
}
