package carrier

import (
	"sync/atomic"

	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// storeHistory counts what this daemon's own calls show of the store's history. It is safe for
// concurrent use.
type storeHistory struct {
	// era is that of the last answer.
	era atomic.Uint32
	// outdated counts, by kind, answers as of an earlier revision than was known.
	outdated [numKinds]atomic.Uint64
}

// noteAnswer notes as of when the store has answered, before the answer is taken in.
func (c *Carrier) noteAnswer(k kind, era objects.Era, asOf objects.Revision) {
	if before := c.history.era.Swap(uint32(era)); before != uint32(era) {
		klog.InfoS("Store era changed", "Kind", k, "Era", era, "Before", before, "AsOf", asOf)
	}
	c.mu.Lock()
	known := c.known.asOf(k)
	c.mu.Unlock()
	if asOf < known {
		c.history.outdated[k].Add(1)
		klog.InfoS("Store answer is older than known", "Kind", k, "Era", era, "AsOf", asOf, "Known", known)
	}
}
