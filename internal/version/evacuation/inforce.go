package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// InForce holds the zones that get no new flow: those that the store has, and those that it lacks since it was
// restored from a snapshot, for objects.RestoreGrace at most. The zero value has none. It isn't safe for concurrent use.
type InForce struct {
	// Stored are the zones that the store has.
	Stored Zones
	// held are the zones that the snapshot lacks, each with the time until which it stays in force.
	held map[bundle.Zone]time.Time
}

// Update replaces the store's zones if z is of a later position. It reports whether it did. If the epoch changes, the
// zones that were in force and that z lacks are held for objects.RestoreGrace.
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

// HeldZones returns the zones that the snapshot lacks, sorted and MaxZones at most, and for how much longer they stay in
// force. A daemon that started after the restore can only learn them from another daemon.
func (f *InForce) HeldZones(now time.Time) ([]bundle.Zone, time.Duration) {
	var left time.Duration
	zones := slices.Sorted(maps.Keys(f.held))
	zones = zones[:min(len(zones), MaxZones)]
	for _, until := range f.held {
		left = max(left, until.Sub(now))
	}
	return zones, left
}

// HoldZones takes over zones that another daemon holds, for the duration left, objects.RestoreGrace at most. It reports
// whether one of them wasn't in force yet.
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

// Expire removes held zones whose time is over. It reports whether there were any.
func (f *InForce) Expire(now time.Time) bool {
	expired := false
	for zone, until := range f.held {
		if !now.Before(until) {
			delete(f.held, zone)
			expired = true
		}
	}
	return expired
}

// Zones returns all zones in force, sorted.
func (f *InForce) Zones() []bundle.Zone {
	out := slices.Clone(f.Stored.List)
	for zone := range f.held {
		out = append(out, zone)
	}
	slices.Sort(out)
	return out
}
