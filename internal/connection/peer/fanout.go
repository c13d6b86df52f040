package peer

import "slices"

// Tree is one of the two trees along which a large zone passes on what its reader
// tells. A member that has children in one has none in the other, so any one member
// that dies or stands still hides the word from nobody else: its children hear by the
// other tree. With a single tree they would all read the store themselves until the
// membership has noticed.
type Tree uint8

// The trees.
const (
	TreeForward Tree = iota
	TreeBackward
)

const (
	// starMembers is the largest zone whose reader tells each member itself: 31
	// datagrams of a kilobyte twice a second are 62 KB/s, which the largest host of the
	// users' zones carries, and the word takes one step.
	starMembers = 32
	// fanOut is how many members each one tells in a larger zone, in each tree. A zone
	// of 100 then takes three steps, one of 1,600 five, and no member sends more than
	// sixteen datagrams for one.
	fanOut = 8
)

// Recipients returns whom this daemon tells news, in either tree. origin says that it
// read them itself or has them from another zone; otherwise it passes on what a member
// of its zone told.
func (v *View) Recipients(origin bool) []*Member {
	out := v.Children(TreeForward, origin)
	for _, m := range v.Children(TreeBackward, origin) {
		if !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// Children returns the members that this daemon tells in a tree. In a zone of up to
// starMembers that is everyone for the origin and nobody for the others.
func (v *View) Children(t Tree, origin bool) []*Member {
	zone := v.readers()
	place := slices.IndexFunc(zone, func(m *Member) bool { return m.ID == v.Self })
	if place < 0 {
		return nil
	}
	if len(zone) <= starMembers {
		if !origin {
			return nil
		}
		return without(zone, place)
	}
	out := children(zone, t, placeIn(t, place, len(zone)))
	if origin && place > 0 {
		// It stands in for the first, and tells it too.
		out = append(out, zone[0])
		for _, m := range children(zone, t, 0) {
			if m.ID != v.Self && !slices.Contains(out, m) {
				out = append(out, m)
			}
		}
	}
	return out
}

// Parent returns the member that takes this daemon's report, nil for the zone's
// reader. Parents come before their children in the order of readers, on which all
// daemons agree, so reports never go round in a circle.
func (v *View) Parent() *Member {
	zone := v.readers()
	place := slices.IndexFunc(zone, func(m *Member) bool { return m.ID == v.Self })
	switch {
	case place <= 0:
		return nil
	case len(zone) <= starMembers:
		return zone[0]
	}
	return zone[(place-1)/fanOut]
}

// Reporters returns the members whose reports this daemon takes up: those of which it is
// the parent.
func (v *View) Reporters() []*Member { return v.Children(TreeForward, v.IsZoneReader()) }

// placeIn turns a place in the order of readers into one in a tree, or back. The first
// is the root of both.
func placeIn(t Tree, place, n int) int {
	if t == TreeForward || place == 0 {
		return place
	}
	return n - place
}

// children returns the members below a place in a tree.
func children(zone []*Member, t Tree, place int) []*Member {
	var out []*Member
	for i := fanOut*place + 1; i <= fanOut*place+fanOut && i < len(zone); i++ {
		out = append(out, zone[placeIn(t, i, len(zone))])
	}
	return out
}

func without(zone []*Member, place int) []*Member {
	out := slices.Clone(zone[:place])
	return append(out, zone[place+1:]...)
}
