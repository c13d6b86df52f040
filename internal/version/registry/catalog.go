package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// Catalog holds all registrations that this daemon has received, as of one position of the store. It
// has no clock of its own: callers pass the time. It isn't safe for concurrent use.
type Catalog struct {
	// AsOf is the position up to which the catalog contains every change.
	AsOf    objects.Position
	entries map[bundle.UpstreamID]Registration
	// digest is the sum of the digests of all entries, see Digest. ready is the number of entries
	// that are usable and don't drain.
	digest uint64
	ready  int
	// retained holds entries that the store has removed but that stay in use for a while.
	retained map[bundle.UpstreamID]retainedEntry
	// log holds the latest changes, for members that lack only a few.
	log []logEntry
	// logged is the number of changes that were ever logged.
	logged ChangeNumber
	// logStart is the position after which the log is complete; changes up to it may be missing.
	logStart objects.Position
	// changed holds the upstreams that were added, changed or removed since the last TakeChanges.
	changed map[bundle.UpstreamID]struct{}
	// replaced holds the first entry of each upstream that was replaced by one of another service since then.
	replaced map[bundle.UpstreamID]Registration
	// overridden holds entries of a store that was restored from a snapshot and that are older than
	// what was already known of their upstream. The newer registration stays in use, in entries, until
	// heldUntil or until the store reports another change of the upstream.
	overridden map[bundle.UpstreamID]Registration
	heldUntil  time.Time
	// restoring is set while the list of a restored store is applied: entries that the list lacks
	// are retained, since their upstreams may still run.
	restoring bool
	// suspectUntil is the time up to which the removal of an entry may be a failure of the store
	// rather than the end of the upstream.
	suspectUntil time.Time
}

// retainedEntry is an entry that the store has removed and that stays in use until a time.
type retainedEntry struct {
	Registration
	until time.Time
}

// logEntry is a change that was applied at a time, from a list or from changes as of a position.
type logEntry struct {
	at     time.Time
	asOf   objects.Position
	change Change
}

const (
	// removalGrace is how long after the store's recovery a removed entry stays in use. Upstreams
	// need up to about two seconds to register again; the rest is the time of one watch.
	removalGrace = 2500 * time.Millisecond
	// massRemovalShare is the share (0 to 1) of the ready entries from which on a simultaneous removal
	// is suspect. The loss of one zone of three, which is a tolerated failure, stays below it.
	massRemovalShare = 0.5
	// massRemovalMin is the number of simultaneously removed entries below which none is suspect.
	massRemovalMin = 3
	// maxLogEntries is the largest number of changes in the log; a member that is further behind is sent
	// the whole list. The log holds some seconds of a rolling replacement of thousands of upstreams.
	maxLogEntries = 2048
)

// NewCatalog returns a catalog without entries.
func NewCatalog() *Catalog {
	return &Catalog{
		entries:    make(map[bundle.UpstreamID]Registration),
		retained:   make(map[bundle.UpstreamID]retainedEntry),
		changed:    make(map[bundle.UpstreamID]struct{}),
		replaced:   make(map[bundle.UpstreamID]Registration),
		overridden: make(map[bundle.UpstreamID]Registration),
	}
}

// StoreRecovered notes that the store answers again after calls that failed. Upstreams couldn't renew
// their entries meanwhile, so the store may have dropped entries of live upstreams. Removals are
// therefore suspect for removalGrace: otherwise each such upstream would lose its flows.
func (c *Catalog) StoreRecovered(now time.Time) {
	c.SuspectRemovalsFor(removalGrace, now)
}

// SuspectRemovalsFor makes entries that are removed within the duration d, removalGrace at most, stay in
// use until it ends. A daemon that receives the list from another daemon takes over that daemon's
// remaining suspicion in this way. A later end that is already set stays.
func (c *Catalog) SuspectRemovalsFor(d time.Duration, now time.Time) {
	if until := now.Add(min(d, removalGrace)); until.After(c.suspectUntil) {
		c.suspectUntil = until
	}
}

// RemovalSuspicionLeft returns for how much longer removed entries are kept in use, zero if they aren't.
func (c *Catalog) RemovalSuspicionLeft(now time.Time) time.Duration {
	return max(0, c.suspectUntil.Sub(now))
}

// Replace replaces all entries by a complete list as of a position. A list as of an earlier position is
// ignored; one of another epoch comes from a store that was restored from a snapshot. It reports whether
// anything changed.
func (c *Catalog) Replace(list []Registration, asOf objects.Position, now time.Time) bool {
	if asOf < c.AsOf {
		return false
	}
	if c.AsOf != 0 && asOf.Epoch() != c.AsOf.Epoch() {
		return c.restore(list, asOf, now)
	}
	return c.advance(c.diffTo(list), asOf, now)
}

// diffTo returns the changes that lead from the present entries to a list.
func (c *Catalog) diffTo(list []Registration) []Change {
	var changes []Change
	inList := make(map[bundle.UpstreamID]bool, len(list))
	for _, r := range list {
		inList[r.ID] = true
		changes = append(changes, Change{Registration: r})
	}
	for _, id := range slices.Sorted(maps.Keys(c.entries)) {
		if !inList[id] {
			changes = append(changes, Change{Registration: c.entries[id], Removed: true})
		}
	}
	return changes
}

// Apply applies changes that lead from the present position to asOf. It reports whether anything
// changed. It ignores changes as of an earlier position, and those of another epoch, since they were
// made to other entries than the present ones.
func (c *Catalog) Apply(changes []Change, asOf objects.Position, now time.Time) bool {
	if asOf < c.AsOf || c.AsOf != 0 && asOf.Epoch() != c.AsOf.Epoch() {
		return false
	}
	return c.advance(changes, asOf, now)
}

// advance applies changes that lead to asOf and sets AsOf. It reports whether anything changed.
func (c *Catalog) advance(changes []Change, asOf objects.Position, now time.Time) bool {
	first := c.AsOf == 0
	changed := c.applyAll(changes, asOf, now)
	c.AsOf = asOf
	if first {
		// The entries of the first list are no changes: no member lacks only a few of them.
		c.log, c.logStart = nil, asOf
	}
	return changed
}

// ApplyIfComplete applies the latest of the changes that lead to asOf if the resulting list has the
// given digest. Otherwise some earlier changes are missing, it applies none, and the caller has to
// request all changes since the catalog's position. It reports whether anything changed.
//
// Applying a part of them would leave a list that no other daemon has. While hundreds of upstreams are
// replaced, each answer to a request for the changes after revision 100, say, would then lead to
// another digest than its sender's, and the member would request the whole list: 300 hosts with 3,000
// upstreams would send 300 KB/s each.
func (c *Catalog) ApplyIfComplete(changes []Change, asOf objects.Position, digest uint64, now time.Time) bool {
	if asOf < c.AsOf || c.AsOf == 0 || asOf.Epoch() != c.AsOf.Epoch() {
		return false
	}
	changes = c.withoutStaleRemovals(changes)
	if c.digestWith(changes) != digest {
		return false
	}
	changed := c.applyAll(changes, asOf, now)
	c.AsOf = asOf
	return changed
}

// digestWith returns the digest that the list would have with the given changes.
func (c *Catalog) digestWith(changes []Change) uint64 {
	sum := c.digest
	latest := make(map[bundle.UpstreamID]*Change, len(changes))
	for i := range changes {
		ch := &changes[i]
		if l := latest[ch.ID]; l == nil || ch.Removed || l.Removed || ch.supersedes(&l.Registration) {
			latest[ch.ID] = ch
		}
	}
	for id, ch := range latest {
		old, known := c.entries[id]
		if known && (ch.Removed || ch.supersedes(&old)) {
			sum -= old.digest()
		} else if known {
			continue
		}
		if !ch.Removed {
			sum += ch.digest()
		}
	}
	return sum
}

// withoutStaleRemovals leaves out removals of entries of which a later revision is known.
// Advertisements repeat changes: an upstream that has restarted would otherwise be dropped because of
// the removal of its former incarnation, until an advertisement of the new one arrives.
func (c *Catalog) withoutStaleRemovals(changes []Change) []Change {
	out := make([]Change, 0, len(changes))
	for i := range changes {
		if ch := &changes[i]; !ch.Removed || ch.Revision >= c.entries[ch.ID].Revision {
			out = append(out, *ch)
		}
	}
	return out
}

// applyAll applies changes as of a position, without setting AsOf. It reports whether anything changed.
func (c *Catalog) applyAll(changes []Change, asOf objects.Position, now time.Time) bool {
	c.suspectMassRemoval(changes, now)
	changed := false
	for i := range changes {
		changed = c.apply(changes[i], asOf, now) || changed
	}
	return changed
}

// suspectMassRemoval makes removals suspect if a large share of the ready entries is removed at the same
// time. A store that lost its leases looks like this, and trusting it would end every flow of the zone.
func (c *Catalog) suspectMassRemoval(changes []Change, now time.Time) {
	removed := 0
	for i := range changes {
		if e, ok := c.entries[changes[i].ID]; ok && changes[i].Removed && !e.Draining && !e.Unusable {
			removed++
		}
	}
	if removed >= massRemovalMin && float64(removed) >= massRemovalShare*float64(c.ready) {
		c.StoreRecovered(now)
	}
}

// apply applies one change. It retains an entry that is removed while removals are suspect or the list
// of a restored store is applied. It reports whether anything changed.
func (c *Catalog) apply(ch Change, asOf objects.Position, now time.Time) bool {
	if !ch.Removed {
		return c.put(ch.Registration, asOf, now)
	}
	old, known := c.entries[ch.ID]
	if !known {
		return false
	}
	c.updateTotals(&old, -1)
	delete(c.entries, ch.ID)
	delete(c.overridden, ch.ID)
	c.changed[ch.ID] = struct{}{}
	c.logChange(Change{Registration: old, Removed: true}, asOf, now)
	if !old.Draining && !old.Unusable && now.Before(c.suspectUntil) || c.restoring {
		c.retained[ch.ID] = retainedEntry{Registration: old, until: c.suspectUntil}
	}
	return true
}

// put adds an entry, or replaces the one of the same upstream if it supersedes that. It reports whether it
// did.
func (c *Catalog) put(r Registration, asOf objects.Position, now time.Time) bool {
	old, known := c.entries[r.ID]
	if !known {
		// A retained entry is the last known content of the upstream.
		old = c.retained[r.ID].Registration
	}
	if r.Unusable && !r.HasContent() {
		r = markUnusable(r, old)
	}
	if _, kept := c.retained[r.ID]; kept {
		delete(c.retained, r.ID)
		c.changed[r.ID] = struct{}{}
	}
	if known && !r.supersedes(&old) {
		return false
	}
	if known {
		c.updateTotals(&old, -1)
	}
	if _, earlier := c.replaced[r.ID]; known && !earlier && !old.Unusable && old.Service != r.Service {
		c.replaced[r.ID] = old
	}
	c.updateTotals(&r, 1)
	c.entries[r.ID] = r
	delete(c.overridden, r.ID)
	c.changed[r.ID] = struct{}{}
	c.logChange(Change{Registration: r}, asOf, now)
	return true
}

// markUnusable returns an unusable entry with the content that was known of the upstream before, if
// any. If the entry doesn't contain its revision, it gets that of the entry before.
func markUnusable(r, old Registration) Registration {
	revision := max(r.Revision, old.Revision)
	if old.HasContent() {
		r = old
	}
	r.Revision, r.Unusable = revision, true
	return r
}

// updateTotals updates the digest and the number of ready entries: r is added if n is 1, and removed if
// n is -1.
func (c *Catalog) updateTotals(r *Registration, n int) {
	c.digest += uint64(n) * r.digest()
	if !r.Draining && !r.Unusable {
		c.ready += n
	}
}

// logChange appends a change to the log. If the log is full, it drops the older half.
func (c *Catalog) logChange(ch Change, asOf objects.Position, now time.Time) {
	if len(c.log) == maxLogEntries {
		half := maxLogEntries / 2
		c.logStart = c.log[half-1].asOf
		c.log = slices.Delete(c.log, 0, half)
	}
	c.log = append(c.log, logEntry{at: now, asOf: asOf, change: ch})
	c.logged++
}

// HeldCounts returns how many upstreams are used differently from what the store says: older counts
// those used by what was known before the store was restored from a snapshot in place of the store's
// older entry, missing those used though the store has no entry of them.
func (c *Catalog) HeldCounts() (older, missing int) { return len(c.overridden), len(c.retained) }

// Expire removes retained entries whose time is over, and puts the store's entries in use again for
// upstreams whose older entry was overridden, once heldUntil has passed. It reports whether anything changed.
func (c *Catalog) Expire(now time.Time) bool {
	changed := c.releaseOverridden(now)
	for id, e := range c.retained {
		if now.After(e.until) {
			delete(c.retained, id)
			c.changed[id] = struct{}{}
			changed = true
		}
	}
	return changed
}

// ChangeNumber counts the changes that a catalog has logged.
type ChangeNumber uint64

// Logged returns the number of the latest change.
func (c *Catalog) Logged() ChangeNumber { return c.logged }

// Recent returns the changes that were applied after a time, oldest first, at most the latest n.
func (c *Catalog) Recent(after time.Time, n int) []Change {
	first := len(c.log)
	for first > 0 && len(c.log)-first < n && c.log[first-1].at.After(after) {
		first--
	}
	return c.changesFrom(first)
}

// LoggedAfter returns the changes after the one with a number, oldest first, at most the latest n.
func (c *Catalog) LoggedAfter(number ChangeNumber, n int) []Change {
	return c.changesFrom(len(c.log) - min(int(c.logged-number), n, len(c.log)))
}

// changesFrom returns the changes in the log from an index on.
func (c *Catalog) changesFrom(first int) []Change {
	var out []Change
	for i := first; i < len(c.log); i++ {
		out = append(out, c.log[i].change)
	}
	return out
}

// Since returns the changes after a position, oldest first, and whether the log has all of them. A
// member that lacks a few changes is sent these instead of the whole list, which at 3000 upstreams would
// be 150 KB for each member and each change that it missed.
func (c *Catalog) Since(asOf objects.Position) ([]Change, bool) {
	if asOf < c.logStart || asOf == 0 {
		return nil, false
	}
	var out []Change
	for i := range c.log {
		if c.log[i].asOf > asOf {
			out = append(out, c.log[i].change)
		}
	}
	return out, true
}

// LastKnown returns the unusable entries whose former content is known. A daemon that started later
// only reads in the store that they are unusable. It needs the content to forward the open flows of
// their upstreams.
func (c *Catalog) LastKnown() []Change {
	var out []Change
	for _, id := range slices.Sorted(maps.Keys(c.entries)) {
		if r := c.entries[id]; r.Unusable && r.HasContent() {
			out = append(out, Change{Registration: r})
		}
	}
	return out
}

// Digest returns a sum over the store's entries, their revisions and whether they are usable. Two
// catalogs with the same digest hold the same entries of the same incarnations, so a member detects
// without the list whether it lacks something. Retained entries don't count, since daemons may suspect
// removals for different times. The former content of an unusable entry doesn't count either, since a
// daemon that started later can't know it.
func (c *Catalog) Digest() uint64 { return c.digest }

// List returns the store's registrations, sorted by identifier. For an upstream that is used by a newer
// registration than the restored store has, it returns the store's.
func (c *Catalog) List() []Registration {
	out := make([]Registration, 0, len(c.entries))
	for _, id := range slices.Sorted(maps.Keys(c.entries)) {
		r := c.entries[id]
		if older, ok := c.overridden[id]; ok {
			r = older
		}
		out = append(out, r)
	}
	return out
}

// TakeChanges returns the upstreams that were added, changed or removed since its last call: those in use
// with their present registration, the others as removed. A catalog has thousands of entries and
// changes several times a second while upstreams are replaced, so its users must not iterate over all
// entries for each change.
//
// If the present registration replaced one of another service in between, that one precedes it. Only one of
// the two may be the upstream's own, and a daemon that started since may know neither.
func (c *Catalog) TakeChanges() []Change {
	out := make([]Change, 0, len(c.changed)+len(c.replaced))
	for _, id := range slices.Sorted(maps.Keys(c.changed)) {
		if r, ok := c.replaced[id]; ok && r.Service != c.entries[id].Service {
			out = append(out, Change{Registration: r})
		}
		if r, ok := c.entries[id]; ok {
			out = append(out, Change{Registration: r})
		} else if e, ok := c.retained[id]; ok {
			out = append(out, Change{Registration: e.Registration})
		} else {
			out = append(out, Change{Registration: Registration{ID: id}, Removed: true})
		}
	}
	// A new map is made because the old one may be as large as the whole list, and clearing it would
	// take time in proportion to its size.
	c.changed = make(map[bundle.UpstreamID]struct{})
	c.replaced = make(map[bundle.UpstreamID]Registration)
	return out
}

// InUse returns the registrations to route by, in no particular order: the store's entries, or the newer
// ones that override them, and the retained ones.
func (c *Catalog) InUse() []Registration {
	out := make([]Registration, 0, len(c.entries)+len(c.retained))
	for _, r := range c.entries {
		out = append(out, r)
	}
	for _, e := range c.retained {
		out = append(out, e.Registration)
	}
	return out
}

// Len returns the number of registrations that the store has as of AsOf.
func (c *Catalog) Len() int { return len(c.entries) }
