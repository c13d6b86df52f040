package objects

import (
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Epoch counts how often the store was restored from a snapshot. A restore loses the writes that were acknowledged
// after the snapshot was taken, and the store then assigns their revisions again. Zero means that the store was
// never restored, or doesn't report it.
type Epoch uint32

// Position is a place in the store's history: an epoch, and a revision within it, which grows with each change
// of any object. Positions compare as uint64 values, by epoch first: whatever a store says after a restore
// supersedes what it said before. Zero is before the first change.
type Position uint64

const (
	// revisionBits allows a store about a trillion changes per epoch.
	revisionBits = 40
	maxRevision  = 1<<revisionBits - 1
	maxEpoch     = 1<<(64-revisionBits) - 1
)

// RestoreGrace is for how long after a restore from a snapshot a drain or an evacuation that the store lacks counts as
// lost, rather than ended: operators and upstreams write theirs again within it.
const RestoreGrace = 5 * time.Second

// ErrPosition is returned for an epoch or a revision that is too large.
var ErrPosition = eris.New("objects: position out of range")

// NewPosition returns the position of a revision in an epoch. It returns ErrPosition if either is too large.
func NewPosition(e Epoch, revision uint64) (Position, error) {
	if e > maxEpoch || revision > maxRevision {
		return 0, eris.Wrapf(ErrPosition, "revision %d of epoch %d", revision, e)
	}
	return Position(uint64(e)<<revisionBits | revision), nil
}

// Epoch returns the epoch.
func (p Position) Epoch() Epoch { return Epoch(p >> revisionBits) }

// Revision returns the revision as counted by the store.
func (p Position) Revision() uint64 { return uint64(p & maxRevision) }

// String returns epoch and revision for logs, as in "2/17".
func (p Position) String() string {
	return strconv.FormatUint(uint64(p.Epoch()), 10) + "/" + strconv.FormatUint(p.Revision(), 10)
}
