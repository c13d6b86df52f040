package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// restore takes in the list of a store that was restored from a snapshot. What is later known of an upstream than the
// snapshot says stays in force until the upstream writes again, for objects.RestoreGrace at most. An upstream that
// the snapshot lacks is kept as one whose entry lapsed while the store was away. It reports whether anything changed.
func (c *Catalog) restore(list []Registration, asOf objects.Position, now time.Time) bool {
	c.restoredUntil = now.Add(objects.RestoreGrace)
	c.StoreRecovered(now)
	list, older := c.withLater(list)
	c.restoring = true
	changed := c.advance(c.leadingTo(list), asOf, now)
	c.restoring = false
	c.older = older
	// Whoever is behind by changes of an earlier epoch needs the whole list.
	c.log, c.forgotten = nil, asOf
	return changed
}

// withLater returns a list of the store with what is later known of its upstreams, and what the store says of these.
func (c *Catalog) withLater(list []Registration) (out []Registration, older map[bundle.UpstreamID]Registration) {
	departed := c.departed()
	older = make(map[bundle.UpstreamID]Registration)
	out = make([]Registration, 0, len(list))
	for _, r := range list {
		later, ok := c.laterThan(&r, departed)
		if ok {
			older[r.ID] = r
			later.Created, later.Revision = r.Created, r.Revision
			r = later
		}
		out = append(out, r)
	}
	return out, older
}

// laterThan returns what is known of an upstream if that is later than an entry of a snapshot. An upstream that had left
// is back with the snapshot, and still takes no new flow.
func (c *Catalog) laterThan(r *Registration, departed map[bundle.UpstreamID]Registration) (Registration, bool) {
	if old, ok := departed[r.ID]; ok {
		return old, r.Restarted(&old) != RestartCertain && r.Sequence <= old.Sequence
	}
	old, ok := c.entries[r.ID]
	if !ok {
		old = c.vanished[r.ID].Registration
	}
	return old, r.precedes(&old)
}

// departed returns the upstreams that drained and left lately, as they were last.
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

// release puts what the store says in force once the time is over for which something later was.
func (c *Catalog) release(now time.Time) bool {
	if len(c.older) == 0 || now.Before(c.restoredUntil) {
		return false
	}
	for id, r := range c.older {
		old := c.entries[id]
		c.count(&old, -1)
		c.count(&r, 1)
		c.entries[id] = r
		c.changed[id] = struct{}{}
	}
	clear(c.older)
	return true
}

// HeldEntries returns the upstreams that are used by what was known of them in place of an older entry of the restored
// store, and for how long, for a daemon that started since and can't know it.
func (c *Catalog) HeldEntries(now time.Time) ([]Registration, time.Duration) {
	left := c.restoredUntil.Sub(now)
	if left <= 0 {
		return nil, 0
	}
	var out []Registration
	for _, id := range slices.Sorted(maps.Keys(c.older)) {
		out = append(out, c.entries[id])
	}
	return out, left
}

// HoldEntries takes over what another daemon holds back of the same list, for a time. It reports whether anything changed.
func (c *Catalog) HoldEntries(list []Registration, left time.Duration, now time.Time) bool {
	changed := false
	for _, later := range list {
		changed = c.holdBack(later) || changed
	}
	if until := now.Add(min(left, objects.RestoreGrace)); changed && until.After(c.restoredUntil) {
		c.restoredUntil = until
	}
	return changed
}

// holdBack puts what is later known of an upstream in place of its entry, if that has not changed since. It reports
// whether it did.
func (c *Catalog) holdBack(later Registration) bool {
	r, listed := c.entries[later.ID]
	if _, held := c.older[later.ID]; held || !listed || later.Revision != r.Revision {
		return false
	}
	c.older[later.ID] = r
	c.count(&r, -1)
	c.count(&later, 1)
	c.entries[later.ID] = later
	c.changed[later.ID] = struct{}{}
	return true
}
