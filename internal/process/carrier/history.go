package carrier

import (
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/process/logs"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// outdated counts, by kind, answers of the store as of an earlier position than was known when it was asked.
// It is safe for concurrent use.
type outdated [numKinds]atomic.Uint64

// outdatedLines is how many lines a second tell of such answers of one kind.
const outdatedLines = 2

// seeEpoch notes the epoch of an answer of the store or of a message, and logs a later one than was known. c.mu is held.
func (c *Carrier) seeEpoch(asOf objects.Position, source string, now time.Time) {
	before := c.known.epoch
	if c.known.seeEpoch(asOf.Epoch(), now) {
		klog.InfoS("Store restored", "Epoch", asOf.Epoch(), "Before", before, "AsOf", asOf, "Source", source)
	}
}

// changeList changes the catalog by a function, which reports whether it did, and logs what is held if that brings the
// list of a store that was restored from a snapshot. c.mu is held.
func (c *Carrier) changeList(change func() bool) bool {
	before := c.known.catalog.AsOf
	changed := change()
	if now := c.known.catalog.AsOf; before != 0 && now.Epoch() != before.Epoch() {
		older, missing := c.known.catalog.HeldCounts()
		klog.InfoS("Upstreams of a restored store", "AsOf", now, "Before", before,
			"HeldOverOlderEntry", older, "HeldThoughMissing", missing)
	}
	return changed
}

// expireList lets upstreams go that the store doesn't have any more, or has with an older content, once they were held
// for long enough. c.mu is held.
func (c *Carrier) expireList(now time.Time) {
	older, missing := c.known.catalog.HeldCounts()
	if !c.known.catalog.Expire(now) {
		return
	}
	if o, m := c.known.catalog.HeldCounts(); o < older {
		klog.InfoS("Held upstreams released", "Upstreams", older-o, "MissingGone", missing-m)
	}
	// Entries that are gone now end no flow by themselves: they are looked at first.
	_ = c.follow(now)
}

// storeEpoch returns the latest epoch of the store that was heard of.
func (c *Carrier) storeEpoch() objects.Epoch {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known.epoch
}

// knownAsOf returns the position as of which a kind is known.
func (c *Carrier) knownAsOf(k kind) objects.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known.asOf(k)
}

// checkAnswer returns ErrOutdated if the store answered as of an earlier position than was known when it was asked.
// Taken in, such an answer would confirm that nothing else has changed.
func (f *follower[T]) checkAnswer(asOf, before objects.Position, now time.Time) error {
	f.c.mu.Lock()
	f.c.seeEpoch(asOf, "Store", now)
	f.c.mu.Unlock()
	if asOf >= before {
		return nil
	}
	f.c.outdated[f.kind].Add(1)
	if left, ok := f.outdated.Allow(now); ok {
		klog.InfoS("Store's answer is outdated", "Kind", f.kind, "AsOf", asOf, "Known", before, "LeftOut", left)
	}
	return eris.Wrapf(objects.ErrOutdated, "%v as of %v, known as of %v", f.kind, asOf, before)
}

func newOutdatedLimiter() *logs.Limiter { return logs.NewLimiter(outdatedLines) }
