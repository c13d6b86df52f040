package evacuation

import (
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// InForce are the zones that get no new flow: those that the store names, and those that it lacks since it came
// back from a copy, for objects.RestoreGrace at most. The zero value is none. It isn't safe for concurrent use.
type InForce struct {
	// Stored are the store's.
	Stored Zones
	// held are those that the copy lacks, with the time until which they stay.
	held map[bundle.Zone]time.Time
}

// Take takes in the store's zones unless they are of an earlier position. It reports whether they were taken.
func (f *InForce) Take(z Zones, now time.Time) bool {
	if !z.Supersedes(&f.Stored) {
		return false
	}
	before := f.Zones()
	if f.Stored.AsOf != 0 && z.AsOf.Era() != f.Stored.AsOf.Era() {
		f.held = make(map[bundle.Zone]time.Time)
		for _, zone := range before {
			f.held[zone] = now.Add(objects.RestoreGrace)
		}
	}
	f.Stored = z
	for _, zone := range z.List {
		delete(f.held, zone)
	}
	return true
}

// Expire lets those go whose time is over. It reports whether there were any.
func (f *InForce) Expire(now time.Time) bool {
	gone := false
	for zone, until := range f.held {
		if !now.Before(until) {
			delete(f.held, zone)
			gone = true
		}
	}
	return gone
}

// Zones returns all zones in force, in order.
func (f *InForce) Zones() []bundle.Zone {
	out := slices.Clone(f.Stored.List)
	for zone := range f.held {
		out = append(out, zone)
	}
	slices.Sort(out)
	return out
}
