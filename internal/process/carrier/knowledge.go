package carrier

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/evacuation"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// kind is a kind of the store's objects that flows are placed by.
type kind uint8

const (
	kindBundles kind = iota
	kindUpstreams
	kindEvacuations
	numKinds
)

var kindNames = [numKinds]string{"Bundles", "Registrations", "Evacuations"}

// String names the kind, for logs.
func (k kind) String() string { return kindNames[k] }

// storeState is what this daemon knows of the store's content, and as of when: from its own calls or
// from other daemons. It isn't safe for concurrent use; Carrier.mu guards it.
type storeState struct {
	// history holds the bundle in force and what led to it, bundleAsOf is the position up to which
	// the store is known to have no newer one.
	history    bundle.History
	bundleAsOf objects.Position
	catalog    *registry.Catalog
	evacuated  evacuation.InForce
	// epoch is the latest epoch of the store that was heard of, epochSince since when it is known.
	epoch      objects.Epoch
	epochSince time.Time
	// needsWholeBundle and needsWholeList are set if what another daemon told didn't lead to its
	// bundle or to its list.
	needsWholeBundle, needsWholeList bool
	// confirmed is as of when each kind is known, zero if it isn't.
	confirmed [numKinds]time.Time
	// failing is when a call of the store failed last, zero if one was answered since. answered is
	// when one was answered last.
	failing, answered time.Time
}

// observeEpoch notes the epoch that an answer or a message tells, and reports whether the store was restored since
// something was known of it.
func (k *storeState) observeEpoch(e objects.Epoch, now time.Time) bool {
	if e <= k.epoch {
		return false
	}
	k.epoch = e
	for of := range numKinds {
		if k.position(of) != 0 {
			k.epochSince = now
			return true
		}
	}
	return false
}

// position returns the position as of which a kind is known.
func (k *storeState) position(of kind) objects.Position {
	switch of {
	case kindBundles:
		return k.bundleAsOf
	case kindEvacuations:
		return k.evacuated.Stored.AsOf
	}
	return k.catalog.AsOf
}

// confirm notes that a kind was known as a whole at a time.
func (k *storeState) confirm(of kind, at time.Time) {
	if at.After(k.confirmed[of]) {
		k.confirmed[of] = at
	}
}

// confirmedAll returns as of when all kinds are known, zero if one isn't.
func (k *storeState) confirmedAll() time.Time {
	oldest := k.confirmed[0]
	for _, at := range k.confirmed {
		if at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}
