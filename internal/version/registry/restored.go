package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// restore applies the list of a store that was restored from a snapshot. If something later is known of an
// upstream than the snapshot says, that stays in use until the upstream writes again, for objects.RestoreGrace
// at most. An upstream that the snapshot lacks is retained, like one whose entry expired while the store was
// unavailable. It reports whether anything changed.
func (c *Catalog) restore(list []Registration, asOf objects.Position, now time.Time) bool {
	c.heldUntil = now.Add(objects.RestoreGrace)
	c.StoreRecovered(now)
	list, older := c.overrideOlder(list)
	c.restoring = true
	changed := c.advance(c.diffTo(list), asOf, now)
	c.restoring = false
	c.overridden = older
	// A member whose changes are of an earlier epoch needs the whole list.
	c.log, c.logStart = nil, asOf
	return changed
}

// overrideOlder returns the store's list with each entry replaced by what is known of its upstream, if that is
// newer. The entries that were replaced are returned in older.
func (c *Catalog) overrideOlder(list []Registration) (out []Registration, older map[bundle.UpstreamID]Registration) {
	departed := c.departed()
	older = make(map[bundle.UpstreamID]Registration)
	out = make([]Registration, 0, len(list))
	for _, r := range list {
		later, ok := c.newerThan(&r, departed)
		if ok {
			older[r.ID] = r
			later.Created, later.Revision = r.Created, r.Revision
			r = later
		}
		out = append(out, r)
	}
	return out, older
}

// newerThan returns what is known of an upstream, and whether that is newer than its entry r from a snapshot. An
// upstream that had deregistered is in the list again because of the snapshot. It counts as draining as before and
// still gets no new flow.
func (c *Catalog) newerThan(r *Registration, departed map[bundle.UpstreamID]Registration) (Registration, bool) {
	if old, ok := departed[r.ID]; ok {
		return old, r.Restarted(&old) != RestartCertain && r.Sequence <= old.Sequence
	}
	old, ok := c.entries[r.ID]
	if !ok {
		old = c.retained[r.ID].Registration
	}
	return old, r.precedes(&old)
}

// departed returns the upstreams that drained and then deregistered, as far as the log has them, with their last
// registration.
func (c *Catalog) departed() map[bundle.UpstreamID]Registration {
	out := make(map[bundle.UpstreamID]Registration)
	for i := range c.log {
		switch ch := &c.log[i].change; {
		case ch.Removed && ch.Draining:
			out[ch.ID] = ch.Registration
		case !ch.Removed:
			delete(out, ch.ID)
		}
	}
	return out
}

// releaseOverridden puts the store's overridden entries in use once heldUntil has passed. It reports whether there were
// any.
func (c *Catalog) releaseOverridden(now time.Time) bool {
	if len(c.overridden) == 0 || now.Before(c.heldUntil) {
		return false
	}
	for id, r := range c.overridden {
		old := c.entries[id]
		c.updateTotals(&old, -1)
		c.updateTotals(&r, 1)
		c.entries[id] = r
		c.changed[id] = struct{}{}
	}
	clear(c.overridden)
	return true
}

// HeldEntries returns the registrations that are used in place of an older entry of the restored store, and for how
// much longer. A daemon that started after the restore can only learn them from another daemon.
func (c *Catalog) HeldEntries(now time.Time) ([]Registration, time.Duration) {
	left := c.heldUntil.Sub(now)
	if left <= 0 {
		return nil, 0
	}
	var out []Registration
	for _, id := range slices.Sorted(maps.Keys(c.overridden)) {
		out = append(out, c.entries[id])
	}
	return out, left
}

// HoldEntries takes over the registrations that another daemon uses in place of older entries of the same list, for the
// duration left, objects.RestoreGrace at most. It reports whether anything changed.
func (c *Catalog) HoldEntries(list []Registration, left time.Duration, now time.Time) bool {
	changed := false
	for _, later := range list {
		changed = c.holdEntry(later) || changed
	}
	if until := now.Add(min(left, objects.RestoreGrace)); changed && until.After(c.heldUntil) {
		c.heldUntil = until
	}
	return changed
}

// holdEntry puts a later registration in place of the entry of its upstream, unless that entry has changed since or is
// already overridden. It reports whether it did.
func (c *Catalog) holdEntry(later Registration) bool {
	r, registered := c.entries[later.ID]
	if _, held := c.overridden[later.ID]; held || !registered || later.Revision != r.Revision {
		return false
	}
	c.overridden[later.ID] = r
	c.updateTotals(&r, -1)
	c.updateTotals(&later, 1)
	c.entries[later.ID] = later
	c.changed[later.ID] = struct{}{}
	return true
}
