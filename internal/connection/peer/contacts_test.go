package peer_test

import (
	"fmt"
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

var _ = Describe("Contacts", func() {
	view := func(first, n int) *peer.View {
		var members []peer.Member
		for i := first; i < first+n; i++ {
			name := fmt.Sprintf("host-%d", i)
			members = append(members, peer.Member{
				ID: peer.IDOf(name), Name: name, Zone: []bundle.Zone{"a", "b", "c"}[i%3], Size: 100,
				Control: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 6082),
			})
		}
		return peer.NewView(members[0].ID, members, peer.Changes{})
	}

	It("name some of each zone and needn't be replaced while one of each is there", func() {
		v := view(0, 30)
		c := v.Contacts(&peer.Contacts{})
		Expect(c.Members).To(HaveLen(9))
		Expect(c.Check()).To(Succeed())
		Expect(v.ContactsOutdated(&c)).To(BeFalse())
		Expect(v.ContactsOutdated(&peer.Contacts{})).To(BeTrue())
		Expect(view(100, 30).ContactsOutdated(&c)).To(BeTrue(), "all hosts were replaced")
	})

	// A zone that is cut off from the others still reaches the store and replaces the
	// contacts by its own members. After the cut, a host whose seeds are gone finds that
	// zone only.
	It("keep those that are out of reach", func() {
		all := view(0, 9)
		c := all.Contacts(&peer.Contacts{})
		rest := all.Members[0]
		alone := peer.NewView(rest.ID, []peer.Member{rest}, peer.Changes{})
		Expect(alone.Contacts(&c).Members).To(HaveLen(9))
	})

	// The contacts were written while only small hosts were known. After a loss of all power
	// small hosts ask them, which start as late as they do, and wait for nothing.
	It("are replaced until a zone's largest host is among them", func() {
		v := view(0, 9)
		c := v.Contacts(&peer.Contacts{})
		members := append([]peer.Member(nil), v.Members...)
		members = append(members, peer.Member{
			ID: peer.IDOf("large"), Name: "large", Zone: "a", Size: 800,
			Control: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, 1}), 6082),
		})
		grown := peer.NewView(members[0].ID, members, peer.Changes{})
		Expect(grown.ContactsOutdated(&c)).To(BeTrue())
		next := grown.Contacts(&c)
		Expect(grown.ContactsOutdated(&next)).To(BeFalse())
		Expect(next.LargerInZone("a", 100)).To(Equal([]netip.AddrPort{netip.MustParseAddrPort("10.0.1.1:6082")}))
		Expect(next.LargerInZone("b", 100)).To(BeEmpty())
	})

	It("stay within their bound, the newest first", func() {
		c := peer.Contacts{}
		for i := range 30 {
			c = view(7*i, 9).Contacts(&c)
			Expect(c.Check()).To(Succeed())
			Expect(view(7*i, 9).ContactsOutdated(&c)).To(BeFalse())
		}
		Expect(c.Members).To(HaveLen(peer.MaxContacts))
	})

	It("are refused if one can't be reached", func() {
		c := peer.Contacts{Members: []peer.Contact{{Name: "host"}}}
		Expect(c.Check()).To(MatchError(peer.ErrContacts))
	})
})
