package peer

import "slices"

// Tree is one of the two trees along which the members of a large zone relay what its zone
// reader advertises. A member that has children in one tree has none in the other. If any one
// member dies or freezes, all others still receive the advertisement, because its children receive
// it through the other tree. With a single tree, all members below it would read the store
// themselves until its failure was detected.
type Tree uint8

// The trees.
const (
	TreeForward Tree = iota
	TreeBackward
)

const (
	// maxStarMembers is the size of the largest zone whose reader sends to each member itself, so
	// that an advertisement takes one hop: 31 datagrams of 1 KB twice a second are 62 KB/s, which
	// the largest host of the users' zones can send.
	maxStarMembers = 32
	// fanOut is the largest number of children of a member of a larger zone, in each tree. An
	// advertisement then takes three hops in a zone of 100 members, five in one of 1,600, and no
	// member sends more than 16 datagrams for it.
	fanOut = 8
)

// Recipients returns the members to which this daemon sends an advertisement, in both trees. origin
// says that it read the store itself or received the content from another zone. Otherwise it
// relays what a member of its own zone sent.
func (v *View) Recipients(origin bool) []*Member {
	out := v.Children(TreeForward, origin)
	for _, m := range v.Children(TreeBackward, origin) {
		if !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// Children returns the members to which this daemon sends in a tree. In a zone of up to
// maxStarMembers these are all other members for the origin, and none for the others.
func (v *View) Children(t Tree, origin bool) []*Member {
	zone := v.zoneInReaderOrder()
	position := slices.IndexFunc(zone, func(m *Member) bool { return m.ID == v.Self })
	if position < 0 {
		return nil
	}
	if len(zone) <= maxStarMembers {
		if !origin {
			return nil
		}
		return without(zone, position)
	}
	out := children(zone, t, treePosition(t, position, len(zone)))
	if origin && position > 0 {
		// The origin acts in place of the first member, and sends to it as well.
		out = append(out, zone[0])
		for _, m := range children(zone, t, 0) {
			if m.ID != v.Self && !slices.Contains(out, m) {
				out = append(out, m)
			}
		}
	}
	return out
}

// Parent returns the member that receives this daemon's report, nil for the zone reader.
// All daemons agree on the reader order, and a parent comes before its children in it, so
// reports never go round in a circle.
func (v *View) Parent() *Member {
	zone := v.zoneInReaderOrder()
	position := slices.IndexFunc(zone, func(m *Member) bool { return m.ID == v.Self })
	switch {
	case position <= 0:
		return nil
	case len(zone) <= maxStarMembers:
		return zone[0]
	}
	return zone[(position-1)/fanOut]
}

// Reporters returns the members whose reports this daemon aggregates: those of which it is the
// parent.
func (v *View) Reporters() []*Member { return v.Children(TreeForward, v.IsZoneReader()) }

// treePosition converts a position in reader order into one in a tree, or back. The first
// member is the root of both trees.
func treePosition(t Tree, position, n int) int {
	if t == TreeForward || position == 0 {
		return position
	}
	return n - position
}

// children returns the members directly below a position in a tree.
func children(zone []*Member, t Tree, position int) []*Member {
	var out []*Member
	for i := fanOut*position + 1; i <= fanOut*position+fanOut && i < len(zone); i++ {
		out = append(out, zone[treePosition(t, i, len(zone))])
	}
	return out
}

func without(zone []*Member, position int) []*Member {
	out := slices.Clone(zone[:position])
	return append(out, zone[position+1:]...)
}
