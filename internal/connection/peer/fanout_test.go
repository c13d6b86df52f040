package peer_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
)

// zoneOf returns the views of all members of a zone, in the order of readers, beside a
// member of another zone.
func zoneOf(n int) []*peer.View {
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

// spread lets the word go from one member to the others, each passing it on once, and
// returns who heard it, how many steps that took and the most that one member sent.
func spread(views []*peer.View, origin int, dead map[peer.ID]bool) (heard map[peer.ID]bool, steps, most int) {
	byID := make(map[peer.ID]*peer.View)
	for _, v := range views {
		byID[v.Self] = v
	}
	heard = map[peer.ID]bool{views[origin].Self: true}
	for wave := []*peer.View{views[origin]}; len(wave) > 0; steps++ {
		var next []*peer.View
		for _, v := range wave {
			to := v.Recipients(steps == 0)
			most = max(most, len(to))
			for _, m := range to {
				if !heard[m.ID] && !dead[m.ID] {
					heard[m.ID] = true
					next = append(next, byID[m.ID])
				}
			}
		}
		wave = next
	}
	return heard, steps - 1, most
}

var _ = Describe("The word of a zone's reader", func() {
	sizes := []int{1, 2, 9, 32, 33, 34, 41, 100, 101, 573, 1600}

	It("reaches every member from any origin, in few steps, with few datagrams of each", func() {
		for _, n := range sizes {
			views := zoneOf(n)
			for _, origin := range []int{0, n / 2, n - 1} {
				heard, steps, most := spread(views, origin, nil)
				Expect(heard).To(HaveLen(n), "%d members, from %d", n, origin)
				Expect(steps).To(BeNumerically("<=", 5), "%d members, from %d", n, origin)
				Expect(most).To(BeNumerically("<=", 31), "%d members, from %d", n, origin)
			}
		}
	})

	// A member that passes the word on freezes. With one tree its children and theirs
	// hear nothing, and after two seconds up to 72 hosts read the store at once.
	It("reaches all others though any one member stands still", func() {
		for _, n := range []int{33, 41, 100} {
			views := zoneOf(n)
			for i := 1; i < n; i++ {
				heard, _, _ := spread(views, 0, map[peer.ID]bool{views[i].Self: true})
				Expect(heard).To(HaveLen(n-1), "%d members, %d stands still", n, i)
			}
		}
	})

	It("isn't told by those who only heard it in a small zone, nor to themselves", func() {
		for _, n := range sizes {
			for _, v := range zoneOf(n) {
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
	It("go up to the zone's reader without a circle, few to each member", func() {
		for _, n := range []int{1, 2, 32, 33, 100, 1600} {
			views := zoneOf(n)
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
