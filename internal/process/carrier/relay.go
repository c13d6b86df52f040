package carrier

import (
	"sync"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// relayedStamps records the stamps of relayed reports, so that a report that arrives by both trees,
// or circulates while members' views differ, is relayed once. It is safe for concurrent use.
type relayedStamps struct {
	mu   sync.Mutex
	last map[peer.ID]stamped
}

type stamped struct {
	stamp uint64
	at    time.Time
}

// stampTTL is how long a stamp counts. A daemon that restarts with a clock that jumped back begins
// with lower stamps; its reports are relayed again after this time.
const stampTTL = 2 * time.Second

func newRelayedStamps() *relayedStamps { return &relayedStamps{last: make(map[peer.ID]stamped)} }

// isNew reports whether a report wasn't seen before, and records its stamp.
func (s *relayedStamps) isNew(from peer.ID, stamp uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.last[from]; ok && stamp <= old.stamp && now.Sub(old.at) < stampTTL {
		return false
	}
	s.last[from] = stamped{stamp: stamp, at: now}
	return true
}

// expire deletes stamps that no longer count.
func (s *relayedStamps) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.last {
		if now.Sub(l.at) >= stampTTL {
			delete(s.last, id)
		}
	}
}

// advertisementSummary identifies the content of an advertisement, to tell new ones from copies
// that arrived by the other tree.
type advertisementSummary struct {
	bundle bundle.Version
	asOf   objects.Position
	digest uint64
	// evacuated is the digest of the evacuated zones.
	evacuated uint64
	// confirmed is when the store last confirmed the content.
	confirmed time.Time
}

// ageTolerance is by how much the time of confirmation of one advertisement may differ between the
// paths that it took.
const ageTolerance = 100 * time.Millisecond

// newer reports whether w covers more than what was relayed before.
func (w advertisementSummary) newer(than advertisementSummary) bool {
	if w.bundle != than.bundle || w.asOf != than.asOf || w.digest != than.digest || w.evacuated != than.evacuated {
		return true
	}
	return w.confirmed.Sub(than.confirmed) > ageTolerance
}
