package peer_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

var _ = Describe("Advertisement", func() {
	// While many upstreams are replaced, each advertisement carries as many changes as it may. If
	// it exceeded the size of a datagram, no member would receive any.
	It("fits into a datagram with as many changes as it may carry", func() {
		n := &peer.Advertisement{From: 1 << 60, Age: time.Second, AsOf: 1 << 40, Digest: 1 << 60, Bundle: 1 << 30}
		for i := range peer.MaxRepeatedChanges {
			n.Changes = append(n.Changes, registry.Change{Registration: registry.Registration{
				ID: bundle.UpstreamID(1<<40 + i), Service: "newsletter-edit", Zone: "regensburg",
				Address: netip.MustParseAddrPort("10.128.100.100:50000"), Slots: 2, Warmup: 4 * time.Second,
				Created: objects.Position(1<<20 + i), Revision: objects.Position(1<<20 + i), StartTime: 1_764_720_000_000, Sequence: 70_000,
			}})
		}
		c, err := peer.NewCodec[peer.Advertisement]([]byte("secret"), peer.DomainAdvertisement)
		Expect(err).NotTo(HaveOccurred())
		b, err := c.Encode(n)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(b)).To(BeNumerically("<=", peer.MaxMessageBytes))
		back, err := c.Decode(b)
		Expect(err).NotTo(HaveOccurred())
		Expect(back).To(Equal(n))
	})
})
