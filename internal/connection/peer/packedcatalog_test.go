package peer_test

import (
	"fmt"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

func manyRegistrations(n int) []registry.Registration {
	out := make([]registry.Registration, 0, n)
	for i := range n {
		out = append(out, registry.Registration{
			ID: bundle.UpstreamID(0xdef0000 + 7919*i), Service: "feed", Zone: bundle.Zone(fmt.Sprintf("zone-%d", i%5)), Slots: 2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8080),
			Created: objects.Position(i + 1), Revision: objects.Position(i + 1),
		})
	}
	return out
}

// Guards against megabytes of the sender's memory for each host that restarts: a list of 10,000
// upstreams was copied and encoded for each of fifty at the same time.
func TestListIsPackedOnceForAllThatRequestIt(t *testing.T) {
	g := NewWithT(t)
	var l peer.ListPacker
	list, asOf, lists := manyRegistrations(10_000), objects.Position(10_000), 0
	read := func() ([]registry.Registration, objects.Position, uint64) {
		lists++
		return list, asOf, 7
	}
	for range 50 {
		packed, at, digest, err := l.Pack(asOf, 7, read)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(at).To(Equal(asOf))
		g.Expect(digest).To(BeEquivalentTo(7))
		p := peer.PackedCatalog{Catalog: peer.Catalog{HasRegistrations: true}, Registrations: packed}
		if lists > 1 {
			t.Fatal("packed again")
		}
		got, err := p.Unpack()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.Registrations).To(HaveLen(len(list)))
	}
	_, _, _, err := l.Pack(asOf-5, 3, read)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(lists).To(Equal(1), "a later list serves as well")
	_, _, _, err = l.Pack(asOf, 8, read)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(lists).To(Equal(2), "another list at the same position")
	_, _, _, err = l.Pack(asOf+1, 7, read)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(lists).To(Equal(3), "a later position")
}

func TestPackedCatalogWithInvalidRegistrationIsRefused(t *testing.T) {
	g := NewWithT(t)
	packed, err := peer.Pack([]registry.Registration{{}})
	g.Expect(err).NotTo(HaveOccurred())
	p := peer.PackedCatalog{Catalog: peer.Catalog{HasRegistrations: true}, Registrations: packed}
	_, err = p.Unpack()
	g.Expect(err).To(MatchError(registry.ErrRegistration))
}
