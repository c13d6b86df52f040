package peer_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
)

// zoneViews returns the views of all members of zone a, in reader order. Each view also contains a
// member of another zone.
func zoneViews(n int) []*peer.View {
	members := make([]peer.Member, 0, n+1)
	members = append(members, peer.Member{ID: peer.IDOf("elsewhere"), Name: "elsewhere", Zone: "b", Size: 800})
	for i := range n {
		name := fmt.Sprintf("host-%d", i)
		members = append(members, peer.Member{ID: peer.IDOf(name), Name: name, Zone: "a", Size: uint32(1000 + i)})
	}
	views := make([]*peer.View, 0, n)
	for i := n; i > 0; i-- {
		views = append(views, peer.NewView(members[i].ID, members, peer.Changes{}))
	}
	return views
}

// disseminate passes an advertisement from one member to the others, each forwarding it once. It
// returns who received it, how many hops that took and the most datagrams that one member sent.
func disseminate(views []*peer.View, origin int, dead map[peer.ID]bool) (received map[peer.ID]bool, hops, most int) {
	byID := make(map[peer.ID]*peer.View)
	for _, v := range views {
		byID[v.Self] = v
	}
	received = map[peer.ID]bool{views[origin].Self: true}
	for wave := []*peer.View{views[origin]}; len(wave) > 0; hops++ {
		var next []*peer.View
		for _, v := range wave {
			to := v.Recipients(hops == 0)
			most = max(most, len(to))
			for _, m := range to {
				if !received[m.ID] && !dead[m.ID] {
					received[m.ID] = true
					next = append(next, byID[m.ID])
				}
			}
		}
		wave = next
	}
	return received, hops - 1, most
}

var _ = Describe("An advertisement of a zone's reader", func() {
	sizes := []int{1, 2, 9, 32, 33, 34, 41, 100, 101, 573, 1600}

	It("reaches every member from any origin, in few hops, with few datagrams from each", func() {
		for _, n := range sizes {
			views := zoneViews(n)
			for _, origin := range []int{0, n / 2, n - 1} {
				received, hops, most := disseminate(views, origin, nil)
				Expect(received).To(HaveLen(n), "%d members, from %d", n, origin)
				Expect(hops).To(BeNumerically("<=", 5), "%d members, from %d", n, origin)
				Expect(most).To(BeNumerically("<=", 31), "%d members, from %d", n, origin)
			}
		}
	})

	// A member that forwards advertisements freezes. With a single tree all members below it would
	// receive nothing, and after two seconds up to 72 hosts would read the store at the same time.
	It("reaches all others while any one member is frozen", func() {
		for _, n := range []int{33, 41, 100} {
			views := zoneViews(n)
			for i := 1; i < n; i++ {
				received, _, _ := disseminate(views, 0, map[peer.ID]bool{views[i].Self: true})
				Expect(received).To(HaveLen(n-1), "%d members, %d is frozen", n, i)
			}
		}
	})

	It("isn't forwarded by its receivers in a small zone, nor sent to the sender itself", func() {
		for _, n := range sizes {
			for _, v := range zoneViews(n) {
				for _, origin := range []bool{false, true} {
					to := v.Recipients(origin)
					Expect(slices.ContainsFunc(to, func(m *peer.Member) bool { return m.ID == v.Self || m.Zone != "a" })).To(BeFalse())
					if n <= 32 && !origin {
						Expect(to).To(BeEmpty())
					}
				}
			}
		}
	})
})

var _ = Describe("Reports", func() {
	It("go up to the zone's reader without a circle, with few to each member", func() {
		for _, n := range []int{1, 2, 32, 33, 100, 1600} {
			views := zoneViews(n)
			Expect(views[0].Parent()).To(BeNil())
			place := make(map[peer.ID]int)
			children := make(map[peer.ID]int)
			for i, v := range views {
				place[v.Self] = i
			}
			for i, v := range views[1:] {
				Expect(place[v.Parent().ID]).To(BeNumerically("<=", i))
				children[v.Parent().ID]++
			}
			for _, c := range children {
				Expect(c).To(BeNumerically("<=", 31))
				if n > 32 {
					Expect(c).To(BeNumerically("<=", 8))
				}
			}
		}
	})
})
