package peer_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/evacuation"
)

// evacuatedZones returns so many zones, as of one revision.
func evacuatedZones(n int) evacuation.Zones {
	list := make([]bundle.Zone, 0, n)
	for i := range n {
		list = append(list, bundle.Zone(fmt.Sprintf("zone-%02d", i)))
	}
	return evacuation.NewZones(list, 3)
}

var _ = Describe("Evacuated zones in news", func() {
	It("are told whole if they are few, and by their digest if they aren't", func() {
		few := evacuatedZones(peer.MaxAdvertisedZones)
		n := peer.NewAdvertisedZones(&few)
		Expect(n.Complete()).To(BeTrue())
		many := evacuatedZones(peer.MaxAdvertisedZones + 1)
		n = peer.NewAdvertisedZones(&many)
		Expect(n.Complete()).To(BeFalse())
		Expect(n.MissingFrom(&few)).To(BeTrue())
		Expect(n.MissingFrom(&many)).To(BeFalse())
	})

	It("are refused where they can't be used", func() {
		n := peer.Advertisement{From: 1, Evacuated: peer.AdvertisedZones{Zones: evacuation.Zones{List: []bundle.Zone{"b", "a"}}}}
		Expect(n.Check()).To(MatchError(evacuation.ErrZones))
		c := peer.Catalog{Evacuated: evacuation.Zones{List: []bundle.Zone{""}}}
		Expect(c.Check()).To(MatchError(evacuation.ErrZones))
	})
})
