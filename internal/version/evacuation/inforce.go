package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// InForce are the zones that get no new flow: those that the store names, and those that it lacks since it was
// restored from a snapshot, for objects.RestoreGrace at most. The zero value is none. It isn't safe for concurrent use.
type InForce struct {
	// Stored are the store's.
	Stored Zones
	// held are those that the snapshot lacks, with the time until which they stay.
	held map[bundle.Zone]time.Time
}

// Update takes in the store's zones unless they are of an earlier position. It reports whether they were taken.
func (f *InForce) Update(z Zones, now time.Time) bool {
	if !z.Supersedes(&f.Stored) {
		return false
	}
	before := f.Zones()
	if f.Stored.AsOf != 0 && z.AsOf.Epoch() != f.Stored.AsOf.Epoch() {
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

// HeldZones returns the zones that the snapshot lacks, in order, and for how long they stay, for a daemon that started since
// and can't know it.
func (f *InForce) HeldZones(now time.Time) ([]bundle.Zone, time.Duration) {
	var left time.Duration
	zones := slices.Sorted(maps.Keys(f.held))
	for _, until := range f.held {
		left = max(left, until.Sub(now))
	}
	return zones, left
}

// HoldZones takes over zones that another daemon holds back, for a time. It reports whether it knew one of them not.
func (f *InForce) HoldZones(zones []bundle.Zone, left time.Duration, now time.Time) bool {
	changed := false
	for _, zone := range zones {
		if _, held := f.held[zone]; held || f.Stored.Has(zone) {
			continue
		}
		if f.held == nil {
			f.held = make(map[bundle.Zone]time.Time)
		}
		f.held[zone] = now.Add(min(left, objects.RestoreGrace))
		changed = true
	}
	return changed
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
