package evacuation_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/evacuation"
)

var _ = Describe("Evacuated zones", func() {
	// An operator evacuates a zone. An earlier message arrives late through a slow member. If it were applied,
	// new flows would enter the zone again.
	It("aren't replaced by those of an earlier position", func() {
		now := evacuation.NewZones([]bundle.Zone{"a"}, 9)
		late := evacuation.NewZones(nil, 8)
		Expect(late.Supersedes(&now)).To(BeFalse())
		lifted := evacuation.NewZones(nil, 10)
		Expect(lifted.Supersedes(&now)).To(BeTrue())
	})

	It("follow changes in order: one evacuation ends while another begins", func() {
		z := evacuation.NewZones([]bundle.Zone{"b"}, 3)
		z = z.WithChanges([]evacuation.Change{
			{Zone: "a"}, {Zone: "b", Lifted: true}, {Zone: "c"}, {Zone: "c", Lifted: true}, {Zone: "c"},
		}, 7)
		Expect(z.List).To(Equal([]bundle.Zone{"a", "c"}))
		Expect(z.AsOf).To(BeEquivalentTo(7))
		Expect(z.Has("a")).To(BeTrue())
		Expect(z.Has("b")).To(BeFalse())
	})

	It("have a digest of their names alone", func() {
		z, later := evacuation.NewZones([]bundle.Zone{"b", "a", "b"}, 3), evacuation.NewZones([]bundle.Zone{"a", "b"}, 8)
		joined := evacuation.NewZones([]bundle.Zone{"ab"}, 3)
		Expect(z.Digest()).To(Equal(later.Digest()))
		Expect(z.SameZones(&later)).To(BeTrue())
		Expect(z.Digest()).NotTo(Equal(joined.Digest()))
	})

	// Guards against zones that no other daemon accepts since another writer has left too many entries, and against one
	// of them that takes the place of a zone that exists.
	It("are limited to what other daemons accept, the known ones first", func() {
		const excess = 11
		list := make([]bundle.Zone, evacuation.MaxZones+excess)
		for i := range list {
			list[i] = bundle.Zone(fmt.Sprintf("report-%d", i))
		}
		list[7], list[250] = "zone-a", "zone-b"
		z := evacuation.NewZones(list, 7)
		known := func(zone bundle.Zone) bool { return strings.HasPrefix(string(zone), "zone-") }
		Expect(z.Limit(known)).To(Equal(excess))
		Expect(z.Check()).To(Succeed())
		Expect(z.AsOf).To(BeEquivalentTo(7))
		Expect(z.Has("zone-a")).To(BeTrue())
		Expect(z.Has("zone-b")).To(BeTrue())
		Expect(z.Limit(known)).To(BeZero())
	})

	for name, tc := range map[string]struct {
		list  []bundle.Zone
		cause string
	}{
		"a zone without a name": {[]bundle.Zone{"", "a"}, "no name"},
		"a duplicate zone":      {[]bundle.Zone{"a", "a"}, "order"},
		"zones out of order":    {[]bundle.Zone{"b", "a"}, "order"},
		"too many zones":        {make([]bundle.Zone, evacuation.MaxZones+1), "at most"},
	} {
		It("are refused if they are decoded with "+name, func() {
			z := evacuation.Zones{List: tc.list}
			Expect(z.Check()).To(MatchError(ContainSubstring(tc.cause)))
		})
	}
})
