package cookiedaemon

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// Guards against a daemon that reports a restore of the store when it first sees the store's epoch.
func TestFirstEpochIsNotARestore(t *testing.T) {
	g := NewWithT(t)
	k := storeState{catalog: registry.NewCatalog()}
	now := time.Unix(0, 0)
	g.Expect(k.observeEpoch(3, now)).To(BeFalse())
	g.Expect(k.epoch).To(BeEquivalentTo(3))
	g.Expect(k.epochSince.IsZero()).To(BeTrue())
	k.catalog.Replace(nil, 1<<41, now)
	g.Expect(k.observeEpoch(3, now)).To(BeFalse())
	g.Expect(k.observeEpoch(4, now)).To(BeTrue())
	g.Expect(k.epochSince).To(Equal(now))
}
