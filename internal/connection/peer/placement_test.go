package peer_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Guards against an ambiguous flow that follows a late answer's cookie, since routers moved it to another zone while its own had
// no host in rotation: none of the members that are asked there was told at which upstream it opened.
func TestPlacementIsKeptForEachZone(t *testing.T) {
	g := NewWithT(t)
	const keepers = 3
	var all []peer.Member
	for zone, n := range map[bundle.Zone]int{"a": 3, "b": 2, "c": 2} {
		for i := range n {
			all = append(all, peer.Member{ID: peer.IDOf(fmt.Sprint(zone, i)), Zone: zone})
		}
	}
	known := func(at peer.ID, f peer.FlowKey) []peer.ID {
		out := append(make([]peer.ID, 0, 1+keepers), at)
		for _, m := range peer.NewView(at, all, peer.Changes{}).Keepers(f.Hash(), keepers) {
			out = append(out, m.ID)
		}
		return out
	}
	for port := range byte(20) {
		flow := peer.FlowKey{11: port}
		for i := range all {
			told := known(all[i].ID, flow)
			for j := range all {
				asked := known(all[j].ID, flow)
				g.Expect(slices.ContainsFunc(asked, func(id peer.ID) bool { return slices.Contains(told, id) })).
					To(BeTrue(), "opened in zone %s, moved to zone %s", all[i].Zone, all[j].Zone)
			}
		}
	}
}
