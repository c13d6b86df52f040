package carrier

import (
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/process/logs"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// outdated counts, by kind, answers of the store as of an earlier position than was known when it was asked.
// It is safe for concurrent use.
type outdated [numKinds]atomic.Uint64

// outdatedLines is how many lines a second tell of such answers of one kind.
const outdatedLines = 2

// seeEra notes the era that a word of the store's is of, and logs a later one than was known. c.mu is held.
func (c *Carrier) seeEra(asOf objects.Position, source string, now time.Time) {
	before := c.known.era
	if c.known.seeEra(asOf.Era(), now) {
		klog.InfoS("Store came back from a copy", "Era", asOf.Era(), "Before", before, "AsOf", asOf, "Source", source)
	}
}

// storeEra returns the latest era of the store that was heard of.
func (c *Carrier) storeEra() objects.Era {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known.era
}

// knownAsOf returns the position as of which a kind is known.
func (c *Carrier) knownAsOf(k kind) objects.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known.asOf(k)
}

// checkAnswer notes an answer of the store, and whether it is as of an earlier position than was known when the store
// was asked.
func (f *follower[T]) checkAnswer(asOf, before objects.Position, now time.Time) {
	f.c.mu.Lock()
	f.c.seeEra(asOf, "Store", now)
	f.c.mu.Unlock()
	if asOf >= before {
		return
	}
	f.c.outdated[f.kind].Add(1)
	if left, ok := f.outdated.Allow(now); ok {
		klog.InfoS("Store's answer is outdated", "Kind", f.kind, "AsOf", asOf, "Known", before, "LeftOut", left)
	}
}

func newOutdatedLimiter() *logs.Limiter { return logs.NewLimiter(outdatedLines) }
