package cookiedaemon

import (
	"sync"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// relayedSequences records the sequence numbers of relayed reports, so that a report that arrives
// by both trees, or circulates while members' views differ, is relayed once. It is safe for
// concurrent use.
type relayedSequences struct {
	mu   sync.Mutex
	last map[peer.ID]seenSequence
}

// seenSequence is the last sequence number of a daemon's reports that counted as new, and when it was
// received.
type seenSequence struct {
	sequence uint64
	at       time.Time
}

// sequenceTTL is how long a sequence number counts. A daemon that restarts with a clock that jumped
// back begins with lower numbers; its reports are relayed again after this time.
const sequenceTTL = 2 * time.Second

func newRelayedSequences() *relayedSequences {
	return &relayedSequences{last: make(map[peer.ID]seenSequence)}
}

// isNew reports whether a report wasn't seen before, and records its sequence number.
func (s *relayedSequences) isNew(from peer.ID, sequence uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.last[from]; ok && sequence <= old.sequence && now.Sub(old.at) < sequenceTTL {
		return false
	}
	s.last[from] = seenSequence{sequence: sequence, at: now}
	return true
}

// expire deletes sequence numbers that no longer count.
func (s *relayedSequences) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.last {
		if now.Sub(l.at) >= sequenceTTL {
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
func (s advertisementSummary) newer(than advertisementSummary) bool {
	if s.bundle != than.bundle || s.asOf != than.asOf || s.digest != than.digest || s.evacuated != than.evacuated {
		return true
	}
	return s.confirmed.Sub(than.confirmed) > ageTolerance
}
