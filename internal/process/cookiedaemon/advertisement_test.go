package cookiedaemon

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// registerMany registers n upstreams from an identifier on, as of one position each.
func registerMany(c *registry.Catalog, first bundle.UpstreamID, n int, now time.Time) {
	for i := range n {
		at := c.AsOf + 1
		r := registry.Registration{
			ID: first + bundle.UpstreamID(i), Service: "feed", Zone: "a", Slots: 2, Created: at, Revision: at,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8080),
		}
		c.Apply([]registry.Change{{Registration: r}}, at, now)
	}
}

func advertisingDaemon(now time.Time) *Daemon {
	d := &Daemon{state: storeState{catalog: registry.NewCatalog()}}
	d.state.catalog.Replace(nil, objects.Position(1), now)
	return d
}

// Guards against members that each fetch what an advertisement doesn't hold while hundreds of
// upstreams register: each level of the tree received them a fetch later, until a thousand hosts
// took the reader for lost.
func TestManyChangesAreAdvertisedOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	sender, member := advertisingDaemon(now), advertisingDaemon(now)
	for round := range 5 {
		now = now.Add(sweepPeriod)
		registerMany(sender.state.catalog, bundle.UpstreamID(1000*(round+1)), 225, now)
		changes := sender.advertisedChanges(now)
		g.Expect(changes).To(HaveLen(225), "round %d", round)
		c := sender.state.catalog
		g.Expect(member.state.catalog.ApplyIfComplete(changes, c.AsOf, c.Digest(), now)).To(BeTrue(), "round %d", round)
	}
	g.Expect(sender.advertisedChanges(now)).To(BeEmpty(), "nothing is new")
}

// Guards against a change that a member misses because one datagram is lost.
func TestFewChangesAreAdvertisedAgain(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	d := advertisingDaemon(now)
	registerMany(d.state.catalog, 7, peer.MaxRepeatedChanges, now)
	for range 3 {
		g.Expect(d.advertisedChanges(now)).To(HaveLen(peer.MaxRepeatedChanges))
		now = now.Add(sweepPeriod - time.Millisecond)
	}
	g.Expect(d.advertisedChanges(now.Add(sweepPeriod))).To(BeEmpty())
}
