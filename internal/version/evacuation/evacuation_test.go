package evacuation_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/evacuation"
)

var _ = Describe("Evacuated zones", func() {
	// An operator empties a zone. A word of the time before arrives late, by a slow member, and
	// new flows enter the zone again.
	It("aren't replaced by those of an earlier revision", func() {
		now := evacuation.NewZones([]bundle.Zone{"a"}, 9)
		late := evacuation.NewZones(nil, 8)
		Expect(late.Supersedes(&now)).To(BeFalse())
		taken := evacuation.NewZones(nil, 10)
		Expect(taken.Supersedes(&now)).To(BeTrue())
	})

	It("follow changes in their order: one is taken back while another begins", func() {
		z := evacuation.NewZones([]bundle.Zone{"b"}, 3)
		z = z.WithChanges([]evacuation.Change{
			{Zone: "a"}, {Zone: "b", Lifted: true}, {Zone: "c"}, {Zone: "c", Lifted: true}, {Zone: "c"},
		}, 7)
		Expect(z.List).To(Equal([]bundle.Zone{"a", "c"}))
		Expect(z.AsOf).To(BeEquivalentTo(7))
		Expect(z.Has("a")).To(BeTrue())
		Expect(z.Has("b")).To(BeFalse())
	})

	It("are told apart by their names alone", func() {
		z, later := evacuation.NewZones([]bundle.Zone{"b", "a", "b"}, 3), evacuation.NewZones([]bundle.Zone{"a", "b"}, 8)
		joined := evacuation.NewZones([]bundle.Zone{"ab"}, 3)
		Expect(z.Digest()).To(Equal(later.Digest()))
		Expect(z.SameZones(&later)).To(BeTrue())
		Expect(z.Digest()).NotTo(Equal(joined.Digest()))
	})

	for name, tc := range map[string]struct {
		list  []bundle.Zone
		cause string
	}{
		"a zone without a name": {[]bundle.Zone{"", "a"}, "no name"},
		"a zone twice":          {[]bundle.Zone{"a", "a"}, "order"},
		"zones out of order":    {[]bundle.Zone{"b", "a"}, "order"},
		"far too many zones":    {make([]bundle.Zone, evacuation.MaxZones+1), "at most"},
	} {
		It("are refused from a message with "+name, func() {
			z := evacuation.Zones{List: tc.list}
			Expect(z.Check()).To(MatchError(ContainSubstring(tc.cause)))
		})
	}
})
