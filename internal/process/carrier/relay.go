package carrier

import (
	"sync"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// relayedStamps tells reports that were passed on already from new ones, so that a report that
// comes by both trees, or goes round while daemons differ in who is there, is passed on
// once. It is safe for concurrent use.
type relayedStamps struct {
	mu   sync.Mutex
	last map[peer.ID]stamped
}

type stamped struct {
	stamp uint64
	at    time.Time
}

// stampTTL is how long a stamp counts. A daemon that starts again with a clock that
// jumped back begins with lower stamps; its reports are passed on again after this.
const stampTTL = 2 * time.Second

func newRelayedStamps() *relayedStamps { return &relayedStamps{last: make(map[peer.ID]stamped)} }

// isNew reports whether a report wasn't seen before, and notes it.
func (s *relayedStamps) isNew(from peer.ID, stamp uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.last[from]; ok && stamp <= old.stamp && now.Sub(old.at) < stampTTL {
		return false
	}
	s.last[from] = stamped{stamp: stamp, at: now}
	return true
}

// expire drops what no longer counts.
func (s *relayedStamps) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.last {
		if now.Sub(l.at) >= stampTTL {
			delete(s.last, id)
		}
	}
}

// advertisementSummary is what news say, to tell new ones from those that came by the other tree.
type advertisementSummary struct {
	bundle bundle.Version
	asOf   objects.Position
	digest uint64
	// evacuated is the digest of the evacuated zones.
	evacuated uint64
	// confirmed is when the store last confirmed it.
	confirmed time.Time
}

// ageTolerance is by how much the age of one word differs by the ways that it took.
const ageTolerance = 100 * time.Millisecond

// newer reports whether w says more than what was passed on before.
func (w advertisementSummary) newer(than advertisementSummary) bool {
	if w.bundle != than.bundle || w.asOf != than.asOf || w.digest != than.digest || w.evacuated != than.evacuated {
		return true
	}
	return w.confirmed.Sub(than.confirmed) > ageTolerance
}
