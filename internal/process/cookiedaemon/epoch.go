package cookiedaemon

import (
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/process/logs"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// kindCounts counts answers of the store by kind. It is safe for concurrent use.
type kindCounts [numKinds]atomic.Uint64

// outdatedLines is the limit of log lines per second about such answers of one kind.
const outdatedLines = 2

// observeEpoch records the epoch of an answer of the store or of a message, and logs a later one
// than was known. d.mu must be held.
func (d *Daemon) observeEpoch(asOf objects.Position, source string, now time.Time) {
	before := d.state.epoch
	if d.state.observeEpoch(asOf.Epoch(), now) {
		klog.InfoS("Store restored", "Epoch", asOf.Epoch(), "Before", before, "AsOf", asOf, "Source", source)
	}
}

// changeCatalog runs change, which changes the catalog and reports whether it did. If the catalog
// then holds the list of a restored store, changeCatalog logs the held entries. d.mu must be held.
func (d *Daemon) changeCatalog(change func() bool) bool {
	before := d.state.catalog.AsOf
	changed := change()
	if now := d.state.catalog.AsOf; before != 0 && now.Epoch() != before.Epoch() {
		older, missing := d.state.catalog.HeldCounts()
		klog.InfoS("Upstreams of a restored store", "AsOf", now, "Before", before,
			"HeldOverOlderEntry", older, "HeldThoughMissing", missing)
	}
	return changed
}

// expireHeldUpstreams releases upstreams that the store no longer has, or has with an older content,
// once they have been held for long enough. d.mu must be held.
func (d *Daemon) expireHeldUpstreams(now time.Time) {
	older, missing := d.state.catalog.HeldCounts()
	if !d.state.catalog.Expire(now) {
		return
	}
	if o, m := d.state.catalog.HeldCounts(); o < older {
		klog.InfoS("Held upstreams released", "Upstreams", older-o, "MissingGone", missing-m)
	}
	// Entries that are removed now end no flow by themselves: their upstreams are probed first.
	_ = d.updateEngine(now)
}

// storeEpoch returns the latest known epoch of the store.
func (d *Daemon) storeEpoch() objects.Epoch {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.epoch
}

// positionOf returns the position as of which a kind is known.
func (d *Daemon) positionOf(k kind) objects.Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.position(k)
}

// checkAnswer returns ErrOutdated if the store answered as of an earlier position than was known
// when the call began. Applying such an answer would confirm that nothing else has changed.
func (f *follower[T]) checkAnswer(asOf, before objects.Position, now time.Time) error {
	f.daemon.mu.Lock()
	f.daemon.observeEpoch(asOf, "Store", now)
	f.daemon.mu.Unlock()
	if asOf >= before {
		return nil
	}
	f.daemon.outdatedAnswers[f.kind].Add(1)
	if left, ok := f.outdatedLimiter.Allow(now); ok {
		klog.InfoS("Store's answer is outdated", "Kind", f.kind, "AsOf", asOf, "Known", before, "LeftOut", left)
	}
	return eris.Wrapf(objects.ErrOutdated, "%v as of %v, known as of %v", f.kind, asOf, before)
}

func newOutdatedLimiter() *logs.Limiter { return logs.NewLimiter(outdatedLines) }
