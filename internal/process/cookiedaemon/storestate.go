package cookiedaemon

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/evacuation"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// kind is a kind of the store's objects that placement depends on.
type kind uint8

const (
	kindBundles kind = iota
	kindUpstreams
	kindEvacuations
	numKinds
)

var kindNames = [numKinds]string{"Bundles", "Registrations", "Evacuations"}

// String returns the name of the kind for logs and metrics.
func (k kind) String() string { return kindNames[k] }

// storeState is what this daemon holds of the store's content, and as of when, from its own calls
// or from other daemons. It isn't safe for concurrent use; Daemon.mu guards it.
type storeState struct {
	// history holds the bundle in force and the updates that led to it. bundleAsOf is the position
	// up to which the store is known to have no newer bundle.
	history    bundle.History
	bundleAsOf objects.Position
	catalog    *registry.Catalog
	evacuated  evacuation.InForce
	// epoch is the latest known epoch of the store, epochSince the time since which it is known.
	epoch      objects.Epoch
	epochSince time.Time
	// needsWholeBundle and needsWholeList are set if updates from another daemon didn't lead to its
	// bundle or its list.
	needsWholeBundle, needsWholeList bool
	// unusableBundle is set while a bundle that can't be used may be newer than the one in force.
	unusableBundle bool
	// confirmed is the time as of which each kind is known, or zero if it isn't known.
	confirmed [numKinds]time.Time
	// failedAt is when a call of the store last failed, or zero if one was answered since.
	// answeredAt is when one was last answered.
	failedAt, answeredAt time.Time
}

// observeEpoch records the epoch given by an answer or a message. It reports whether the epoch
// shows that the store was restored since something was known of its content.
func (s *storeState) observeEpoch(e objects.Epoch, now time.Time) bool {
	if e <= s.epoch {
		return false
	}
	s.epoch = e
	for of := range numKinds {
		if s.position(of) != 0 {
			s.epochSince = now
			return true
		}
	}
	return false
}

// position returns the position as of which a kind is known.
func (s *storeState) position(of kind) objects.Position {
	switch of {
	case kindBundles:
		return s.bundleAsOf
	case kindEvacuations:
		return s.evacuated.Stored.AsOf
	}
	return s.catalog.AsOf
}

// confirm records that a kind was known as a whole at a given time.
func (s *storeState) confirm(of kind, at time.Time) {
	if at.After(s.confirmed[of]) {
		s.confirmed[of] = at
	}
}

// confirmedAll returns the time as of which all kinds are known, or zero if one isn't known.
func (s *storeState) confirmedAll() time.Time {
	oldest := s.confirmed[0]
	for _, at := range s.confirmed {
		if at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}
