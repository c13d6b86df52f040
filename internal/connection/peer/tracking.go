package peer

import (
	"slices"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// tracks reports whether a member that isn't known yet is to be tracked: all of the own zone, and
// the first in reader order of each other one.
func (m *Membership) tracks(u *Member) bool {
	n := m.cfg.TrackedPerOtherZone
	if n == 0 || u.Zone == m.self.Zone {
		return true
	}
	tracked := m.trackedIn(u.Zone)
	return len(tracked) < n || compareReaders(u, tracked[n-1]) < 0
}

// trackedIn returns the present members of a zone that are tracked, in reader order.
func (m *Membership) trackedIn(zone bundle.Zone) []*Member {
	var out []*Member
	for _, id := range m.sortedIDs {
		if r := m.peers[id]; r.Zone == zone && r.present() {
			out = append(out, &r.Member)
		}
	}
	slices.SortFunc(out, compareReaders)
	return out
}

// untrackSurplus forgets members of other zones that are no longer among the first.
func (m *Membership) untrackSurplus() {
	n := m.cfg.TrackedPerOtherZone
	if n == 0 {
		return
	}
	byZone := make(map[bundle.Zone][]*Member)
	for _, id := range m.sortedIDs {
		if r := m.peers[id]; r.Zone != m.self.Zone && r.present() {
			byZone[r.Zone] = append(byZone[r.Zone], &r.Member)
		}
	}
	for _, list := range byZone {
		if len(list) <= n {
			continue
		}
		slices.SortFunc(list, compareReaders)
		for _, surplus := range list[n:] {
			m.forget(surplus.ID)
		}
	}
}

// MembersFor returns the members to send to a daemon of a zone that exchanges its list with this
// one, this daemon first: all that it tracks, or those of its own zone that a daemon of another zone
// tracks.
func (m *Membership) MembersFor(zone bundle.Zone) []Member {
	n := m.cfg.TrackedPerOtherZone
	if n == 0 || zone == m.self.Zone {
		return m.Members()
	}
	list := append(m.trackedIn(m.self.Zone), &m.self)
	slices.SortFunc(list, compareReaders)
	out := []Member{m.self}
	for _, o := range list[:min(n, len(list))] {
		if o.ID != m.self.ID {
			out = append(out, *o)
		}
	}
	return out
}
