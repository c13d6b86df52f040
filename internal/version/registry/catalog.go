package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// Catalog holds all registrations known, as of one position of the store. It has no clock and
// isn't safe for concurrent use.
type Catalog struct {
	// AsOf is the position up to which every change is known.
	AsOf    objects.Position
	entries map[bundle.UpstreamID]Registration
	// digest is the sum over entries, see Digest, ready how many don't drain.
	digest uint64
	ready  int
	// vanished are upstreams that the store no longer has but that are still used,
	// with the time until which they are.
	vanished map[bundle.UpstreamID]kept
	// log holds the latest changes, for members that are a little behind.
	log []logged
	// forgotten is the position up to which the log no longer has all changes.
	forgotten objects.Position
	// changed are the upstreams that came, changed or went since TakeChanges.
	changed map[bundle.UpstreamID]struct{}
	// older holds what the store, which was restored from a snapshot, says of upstreams of which something later is
	// known. That stays in force until restoredUntil, or until the store says something else.
	older         map[bundle.UpstreamID]Registration
	restoredUntil time.Time
	// restoring is set while the list of a restored store is taken in: what it lacks has not gone.
	restoring bool
	// doubtUntil is the time up to which a vanished entry may be a lapse of the
	// store and not of the upstream.
	doubtUntil time.Time
}

type kept struct {
	Registration
	until time.Time
}

type logged struct {
	at     time.Time
	asOf   objects.Position
	change Change
}

const (
	// lapseGrace is how long after the store's return a vanished entry is kept. The
	// users' letter gives about two seconds for entries to come back; the rest is
	// the time of one watch.
	lapseGrace = 2500 * time.Millisecond
	// massShare is the share of the ready entries that vanish at once from which on
	// the list is doubted. Losses within the users' tolerance, one zone of three,
	// stay below it.
	massShare = 0.5
	// massLeast is the number of vanished entries below which none is doubted.
	massLeast = 3
	// maxLog bounds the log; a member that is further behind is sent everything. It
	// holds some seconds of a rolling replacement of thousands of upstreams.
	maxLog = 2048
)

// NewCatalog returns a catalog without entries.
func NewCatalog() *Catalog {
	return &Catalog{
		entries:  make(map[bundle.UpstreamID]Registration),
		vanished: make(map[bundle.UpstreamID]kept),
		changed:  make(map[bundle.UpstreamID]struct{}),
		older:    make(map[bundle.UpstreamID]Registration),
	}
}

// StoreRecovered tells that the store answers again after calls that failed.
// Upstreams couldn't renew their entries meanwhile, so the store may have dropped
// entries of live ones: without a doubt every such upstream would lose its flows.
func (c *Catalog) StoreRecovered(now time.Time) {
	c.SuspectRemovalsFor(lapseGrace, now)
}

// SuspectRemovalsFor keeps entries that vanish within a time for the rest of it. A daemon
// that hears the list from another takes over that one's doubt.
func (c *Catalog) SuspectRemovalsFor(d time.Duration, now time.Time) {
	if until := now.Add(min(d, lapseGrace)); until.After(c.doubtUntil) {
		c.doubtUntil = until
	}
}

// RemovalSuspicion returns for how long entries that vanish are still kept.
func (c *Catalog) RemovalSuspicion(now time.Time) time.Duration {
	return max(0, c.doubtUntil.Sub(now))
}

// Replace takes in a whole list. It reports whether anything changed.
func (c *Catalog) Replace(list []Registration, asOf objects.Position, now time.Time) bool {
	if asOf < c.AsOf {
		return false
	}
	if c.AsOf != 0 && asOf.Epoch() != c.AsOf.Epoch() {
		return c.restore(list, asOf, now)
	}
	return c.advance(c.leadingTo(list), asOf, now)
}

// leadingTo returns the changes that lead to a list from the present one.
func (c *Catalog) leadingTo(list []Registration) []Change {
	var changes []Change
	listed := make(map[bundle.UpstreamID]bool, len(list))
	for _, r := range list {
		listed[r.ID] = true
		changes = append(changes, Change{Registration: r})
	}
	for _, id := range slices.Sorted(maps.Keys(c.entries)) {
		if !listed[id] {
			changes = append(changes, Change{Registration: c.entries[id], Removed: true})
		}
	}
	return changes
}

// Apply takes in changes that lead from the present position to asOf. It reports
// whether anything changed. Those of another epoch lead from a list that isn't the present one.
func (c *Catalog) Apply(changes []Change, asOf objects.Position, now time.Time) bool {
	if asOf < c.AsOf || c.AsOf != 0 && asOf.Epoch() != c.AsOf.Epoch() {
		return false
	}
	return c.advance(changes, asOf, now)
}

func (c *Catalog) advance(changes []Change, asOf objects.Position, now time.Time) bool {
	first := c.AsOf == 0
	changed := c.take(changes, asOf, now)
	c.AsOf = asOf
	if first {
		// What was listed at first isn't news, and nobody is behind it by a few changes.
		c.log, c.forgotten = nil, asOf
	}
	return changed
}

// ApplyIfComplete takes in the latest of the changes that lead to asOf, if with them the list is the one
// whose digest is given. Otherwise some of the earlier changes are missing, and all are to be
// asked for from where the catalog is. It reports whether anything changed.
//
// Taking a part of them would be of no use: the list would then be one that nobody has. While
// hundreds of upstreams are replaced, each answer to «what came after revision 100» would lead to
// another digest than its sender's, and the whole list be asked for: 300 hosts with 3,000
// upstreams sent 300 KB/s each.
func (c *Catalog) ApplyIfComplete(changes []Change, asOf objects.Position, digest uint64, now time.Time) bool {
	if asOf < c.AsOf || c.AsOf == 0 || asOf.Epoch() != c.AsOf.Epoch() {
		return false
	}
	changes = c.withoutFormer(changes)
	if c.digestWith(changes) != digest {
		return false
	}
	changed := c.take(changes, asOf, now)
	c.AsOf = asOf
	return changed
}

// digestWith returns the digest that the list would have with some changes.
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

// withoutFormer leaves out that an entry went if a later one of the same upstream is known.
// News repeat changes: an upstream that started again would else be dropped for the end of
// its former incarnation, for as long as the news of its new one are lost.
func (c *Catalog) withoutFormer(changes []Change) []Change {
	out := make([]Change, 0, len(changes))
	for i := range changes {
		if ch := &changes[i]; !ch.Removed || ch.Revision >= c.entries[ch.ID].Revision {
			out = append(out, *ch)
		}
	}
	return out
}

func (c *Catalog) take(changes []Change, asOf objects.Position, now time.Time) bool {
	c.doubtMass(changes, now)
	changed := false
	for i := range changes {
		changed = c.apply(changes[i], asOf, now) || changed
	}
	return changed
}

// doubtMass starts a doubt if a large share of the entries vanishes at once: a
// store that lost its leases looks like this, and believing it would end every
// flow of the zone.
func (c *Catalog) doubtMass(changes []Change, now time.Time) {
	gone := 0
	for i := range changes {
		if e, ok := c.entries[changes[i].ID]; ok && changes[i].Removed && !e.Draining && !e.Unusable {
			gone++
		}
	}
	if gone >= massLeast && float64(gone) >= massShare*float64(c.ready) {
		c.StoreRecovered(now)
	}
}

func (c *Catalog) apply(ch Change, asOf objects.Position, now time.Time) bool {
	if !ch.Removed {
		return c.put(ch.Registration, asOf, now)
	}
	old, known := c.entries[ch.ID]
	if !known {
		return false
	}
	c.count(&old, -1)
	delete(c.entries, ch.ID)
	delete(c.older, ch.ID)
	c.changed[ch.ID] = struct{}{}
	c.note(Change{Registration: old, Removed: true}, asOf, now)
	if !old.Draining && !old.Unusable && now.Before(c.doubtUntil) || c.restoring {
		c.vanished[ch.ID] = kept{Registration: old, until: c.doubtUntil}
	}
	return true
}

// put takes in an entry that came or changed.
func (c *Catalog) put(r Registration, asOf objects.Position, now time.Time) bool {
	old, known := c.entries[r.ID]
	if !known {
		// What vanished is still the last that was known of it.
		old = c.vanished[r.ID].Registration
	}
	if r.Unusable && !r.HasContent() {
		r = unusable(r, old)
	}
	if _, kept := c.vanished[r.ID]; kept {
		delete(c.vanished, r.ID)
		c.changed[r.ID] = struct{}{}
	}
	if known && !r.supersedes(&old) {
		return false
	}
	if known {
		c.count(&old, -1)
	}
	c.count(&r, 1)
	c.entries[r.ID] = r
	delete(c.older, r.ID)
	c.changed[r.ID] = struct{}{}
	c.note(Change{Registration: r}, asOf, now)
	return true
}

// unusable returns an entry that can't be used, with what was known of the upstream
// before. If the entry doesn't tell its revision, it counts as of the one before.
func unusable(r, old Registration) Registration {
	revision := max(r.Revision, old.Revision)
	if old.HasContent() {
		r = old
	}
	r.Revision, r.Unusable = revision, true
	return r
}

// count keeps up what is known of all entries: one comes, or goes if n is -1.
func (c *Catalog) count(r *Registration, n int) {
	c.digest += uint64(n) * r.digest()
	if !r.Draining && !r.Unusable {
		c.ready += n
	}
}

func (c *Catalog) note(ch Change, asOf objects.Position, now time.Time) {
	if len(c.log) == maxLog {
		half := maxLog / 2
		c.forgotten = c.log[half-1].asOf
		c.log = slices.Delete(c.log, 0, half)
	}
	c.log = append(c.log, logged{at: now, asOf: asOf, change: ch})
}

// HeldCounts returns how many upstreams are used otherwise than the store says: by what was known before it was restored from a
// snapshot, in place of an older entry, or though it lacks them.
func (c *Catalog) HeldCounts() (older, missing int) { return len(c.older), len(c.vanished) }

// Expire removes vanished entries whose time is over, and goes by the store again for those that it had an older
// entry of. It reports whether there were any.
func (c *Catalog) Expire(now time.Time) bool {
	changed := c.release(now)
	for id, k := range c.vanished {
		if now.After(k.until) {
			delete(c.vanished, id)
			c.changed[id] = struct{}{}
			changed = true
		}
	}
	return changed
}

// Recent returns the changes that were taken in after a time, oldest first, at
// most the latest n.
func (c *Catalog) Recent(after time.Time, n int) []Change {
	var out []Change
	for i := range c.log {
		if c.log[i].at.After(after) {
			out = append(out, c.log[i].change)
		}
	}
	return out[max(0, len(out)-n):]
}

// Since returns the changes after a position, oldest first, and whether the log has
// all of them. A member that lacks a few is sent these instead of the whole list: at
// 3000 upstreams that is 150 KB for each member and each change that it missed.
func (c *Catalog) Since(asOf objects.Position) ([]Change, bool) {
	if asOf < c.forgotten || asOf == 0 {
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

// LastKnown returns the entries that can't be used, with what was known of them before. A
// daemon that started since reads in the store that they can't be used, and can't know where
// the open flows of their upstreams go.
func (c *Catalog) LastKnown() []Change {
	var out []Change
	for _, id := range slices.Sorted(maps.Keys(c.entries)) {
		if r := c.entries[id]; r.Unusable && r.HasContent() {
			out = append(out, Change{Registration: r})
		}
	}
	return out
}

// Digest is a sum over the store's entries, their revisions and whether they can be used.
// Two catalogs with one digest hold the same entries of the same incarnations, so a member
// sees without the list whether it lacks something. Vanished entries don't count: daemons
// may doubt for different times. Nor does what was known of an unusable entry before: a
// daemon that started later can't know it.
func (c *Catalog) Digest() uint64 { return c.digest }

// List returns the store's registrations in the order of their identifiers.
func (c *Catalog) List() []Registration {
	out := make([]Registration, 0, len(c.entries))
	for _, id := range slices.Sorted(maps.Keys(c.entries)) {
		r := c.entries[id]
		if older, ok := c.older[id]; ok {
			r = older
		}
		out = append(out, r)
	}
	return out
}

// TakeChanges returns the upstreams that came, changed or went since it was last called:
// those to route by as they are now, the others as gone. Lists have thousands of entries
// and change several times a second while upstreams are replaced, so whoever follows a
// catalog mustn't go through all of them each time.
func (c *Catalog) TakeChanges() []Change {
	out := make([]Change, 0, len(c.changed))
	for _, id := range slices.Sorted(maps.Keys(c.changed)) {
		if r, ok := c.entries[id]; ok {
			out = append(out, Change{Registration: r})
		} else if k, ok := c.vanished[id]; ok {
			out = append(out, Change{Registration: k.Registration})
		} else {
			out = append(out, Change{Registration: Registration{ID: id}, Removed: true})
		}
	}
	// A new map: the old one may have room for the whole list, and clearing goes through it.
	c.changed = make(map[bundle.UpstreamID]struct{})
	return out
}

// InUse returns the registrations to route by, in no particular order: the store's
// and those that vanished from it but are still kept.
func (c *Catalog) InUse() []Registration {
	out := make([]Registration, 0, len(c.entries)+len(c.vanished))
	for _, r := range c.entries {
		out = append(out, r)
	}
	for _, k := range c.vanished {
		out = append(out, k.Registration)
	}
	return out
}

// Len returns how many registrations the store has.
func (c *Catalog) Len() int { return len(c.entries) }
