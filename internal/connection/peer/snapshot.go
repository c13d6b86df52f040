package peer

import (
	"slices"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// View returns the present view.
func (m *Membership) View() *View {
	members := m.Members()
	zones := make(map[bundle.Zone]bool)
	zones[m.self.Zone] = true
	for _, id := range m.order {
		r := m.peers[id]
		zones[r.Zone] = zones[r.Zone] || r.present()
	}
	return NewView(m.self.ID, members, m.changes(zones))
}

func (m *Membership) changes(reached map[bundle.Zone]bool) Changes {
	c := Changes{RecentlyChanged: !m.changed.IsZero(), RepeatsPossible: m.unsettled}
	for _, l := range m.lost {
		c.Lost = append(c.Lost, l.Member)
	}
	for _, id := range m.order {
		if m.peers[id].fresh {
			c.RecentlyJoined = append(c.RecentlyJoined, id)
		}
	}
	for z, ok := range reached {
		if !ok {
			c.UnreachableZones = append(c.UnreachableZones, z)
		}
	}
	slices.Sort(c.UnreachableZones)
	for _, id := range m.order {
		if r := m.peers[id]; r.State == StateDead && !reached[r.Zone] {
			c.UnreachableMembers = append(c.UnreachableMembers, r.Member)
		}
	}
	return c
}
