package peer

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"

	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// FlowHash is the hash of a flow's key by which members are ranked. All
// daemons compute the same.
type FlowHash uint64

// score ranks a member for a flow (rendezvous hashing): the highest comes first.
func score(h FlowHash, id ID) uint64 {
	return Mix(uint64(h) ^ uint64(id))
}

// View is what one daemon knows of the members at one moment. It doesn't change
// once made and is safe for concurrent use.
type View struct {
	Self ID
	// Members are alive, suspected or leaving, the daemon itself among them.
	Members []Member
	Changes
	zones []bundle.Zone
	// stay holds the places in Members of those that don't leave, and scores what
	// their identifiers add to a flow's hash; Home reads them for each packet.
	stay   []int32
	scores []uint64
	byID   map[ID]*Member
	byAddr map[netip.Addr]*Member
	// zone is made when it is first asked for, see readers.
	zoneOnce sync.Once
	zone     []*Member
}

// Changes is what happened to the members lately.
type Changes struct {
	// RecentlyChanged is set for some time after any change.
	RecentlyChanged bool
	// RepeatsPossible is set for as long after a change as a caller may repeat a message
	// that went through another home before it.
	RepeatsPossible bool
	// Lost are members that went without handing over.
	Lost []Member
	// RecentlyJoined are members that joined or restarted lately: records that the ranking
	// gives them may still be with the next one.
	RecentlyJoined []ID
	// UnreachableZones are those whose known members are all out of reach.
	UnreachableZones []bundle.Zone
	// UnreachableMembers are the members of those zones. They may live and decide.
	UnreachableMembers []Member
}

// NewView makes the view of the daemon self.
func NewView(self ID, members []Member, c Changes) *View {
	v := &View{
		Self:    self,
		Members: members,
		Changes: c,
		byID:    make(map[ID]*Member, len(members)),
		byAddr:  make(map[netip.Addr]*Member, len(members)),
	}
	for i := range members {
		m := &members[i]
		v.byID[m.ID] = m
		v.byAddr[m.Data.Addr()] = m
		v.addZone(m.Zone)
		if m.State != StateLeaving {
			v.stay = append(v.stay, int32(i))
			v.scores = append(v.scores, uint64(m.ID))
		}
	}
	return v
}

func (v *View) addZone(z bundle.Zone) {
	if !slices.Contains(v.zones, z) {
		v.zones = append(v.zones, z)
	}
}

// CanReach reports whether the upstreams of a zone can be reached, as far as its
// members tell.
func (v *View) CanReach(z bundle.Zone) bool {
	return !slices.Contains(v.UnreachableZones, z)
}

// Member returns the member with an identifier, or nil.
func (v *View) Member(id ID) *Member { return v.byID[id] }

// MemberAt returns the member that sends Geneve packets from a, or nil.
func (v *View) MemberAt(a netip.Addr) *Member { return v.byAddr[a] }

// Owner returns the member that decides for a flow: the first in rank of those
// who stay. If all are leaving, the first of these.
func (v *View) Owner(h FlowHash) *Member {
	if len(v.scores) == 0 {
		return v.first(h, filter{leaving: true})
	}
	best, bestScore := 0, uint64(0)
	for i, id := range v.scores {
		if s := score(h, ID(id)); s > bestScore {
			best, bestScore = i, s
		}
	}
	return &v.Members[v.stay[best]]
}

// Backup returns the member that keeps the second record of a flow whose
// upstream is in zone z: the first in rank there besides the home, or anywhere
// if that zone has no other member. It is nil if there is no other member.
func (v *View) Backup(h FlowHash, z bundle.Zone, home ID) *Member {
	if m := v.first(h, filter{zone: z, not: home}); m != nil {
		return m
	}
	return v.first(h, filter{not: home})
}

// placerSalt keeps the placer of a service apart from the homes of its flows.
const placerSalt = 0x706c616365

// Placer returns the member that chooses the upstreams for the new flows of a
// service, so that one place knows all of them.
func (v *View) Placer(s bundle.VNI) *Member {
	return v.Owner(FlowHash(Mix(uint64(s) ^ placerSalt)))
}

// Replica returns the member of zone z that keeps a copy of a flow's record, so
// that the zone knows the flow when it is cut off: the first in rank there
// besides the home. In the upstream's zone that is the backup. It is nil if the
// zone has no other member.
func (v *View) Replica(h FlowHash, z bundle.Zone, home ID) *Member {
	return v.first(h, filter{zone: z, not: home})
}

// IsWatcher reports whether this daemon is among the first n of its zone, who
// watch the platform for all.
func (v *View) IsWatcher(n int) bool {
	self := v.byID[v.Self]
	if self == nil {
		return true
	}
	before := 0
	for i := range v.Members {
		m := &v.Members[i]
		if m.Zone == self.Zone && m.ID < v.Self && m.State == StateAlive {
			before++
		}
	}
	return before < n
}

// IsReplica reports whether this daemon keeps its zone's copy of a flow's record.
func (v *View) IsReplica(h FlowHash, home ID) bool {
	self := v.byID[v.Self]
	if self == nil {
		return true
	}
	m := v.Replica(h, self.Zone, home)
	return m != nil && m.ID == v.Self
}

// Zones returns the zones of the members, in a fixed order for this view.
func (v *View) Zones() []bundle.Zone { return v.zones }

// OwnerMayBeUnreachable reports whether the flow's home would be in a zone that is cut off:
// new flows that this side doesn't know may have been placed on that side.
func (v *View) OwnerMayBeUnreachable(h FlowHash) bool {
	if len(v.UnreachableMembers) == 0 {
		return false
	}
	home := v.Owner(h)
	if home == nil {
		return true
	}
	best := score(h, home.ID)
	for i := range v.UnreachableMembers {
		if score(h, v.UnreachableMembers[i].ID) > best {
			return true
		}
	}
	return false
}

// filter says which members are ranked. The zero value takes all that stay.
type filter struct {
	// zone leaves only its members if it isn't empty.
	zone bundle.Zone
	not  ID
	// leaving takes those that leave too.
	leaving bool
	// settled leaves out fresh members.
	settled bool
	// below leaves those whose score is less, if it isn't zero.
	below uint64
}

func (v *View) passes(f *filter, m *Member) bool {
	switch {
	case m.ID == f.not || f.zone != "" && m.Zone != f.zone:
		return false
	case m.State == StateLeaving && !f.leaving:
		return false
	}
	return !f.settled || !slices.Contains(v.RecentlyJoined, m.ID)
}

// first returns the first in rank of the members that pass, or nil.
func (v *View) first(h FlowHash, f filter) *Member {
	var best *Member
	var bestScore uint64
	for i := range v.Members {
		m := &v.Members[i]
		if !v.passes(&f, m) {
			continue
		}
		s := score(h, m.ID)
		if f.below != 0 && s >= f.below {
			continue
		}
		if best == nil || s > bestScore {
			best, bestScore = m, s
		}
	}
	return best
}

// AddReplicas lists in hop the members that keep the flow's record beside its
// home: the first in rank of each zone. The next in rank of all is among them,
// which is home in the view of a member that wrongly takes this one for dead.
func (v *View) AddReplicas(h FlowHash, hop *geneve.Hop) {
	for _, z := range v.zones {
		v.addHolder(hop, v.Replica(h, z, v.Self))
	}
}

// AddPossibleReplicas lists in hop the members that may hold a record of the flow, this
// daemon left out: who is home or backup of any zone now, and who was before
// members came or began to leave.
func (v *View) AddPossibleReplicas(h FlowHash, hop *geneve.Hop) {
	v.addRanked(h, "", hop)
	for _, z := range v.zones {
		v.addRanked(h, z, hop)
	}
}

// addRanked lists the members of a zone by rank, down to the first that stays
// and has been there for long: a record was given to it or to one before it.
func (v *View) addRanked(h FlowHash, z bundle.Zone, hop *geneve.Hop) {
	f := filter{zone: z, not: v.Self, leaving: true}
	for range geneve.MaxReplicas {
		m := v.first(h, f)
		if m == nil {
			return
		}
		v.addHolder(hop, m)
		if m.State != StateLeaving && !slices.Contains(v.RecentlyJoined, m.ID) {
			return
		}
		f.below = score(h, m.ID)
	}
}

// AddAllMembers lists in hop all other members by rank, as far as there is room. They
// are asked if the holders by the ranking may be dead: a former holder may
// still have the record.
func (v *View) AddAllMembers(h FlowHash, hop *geneve.Hop) {
	ranked := make([]*Member, 0, len(v.Members))
	for i := range v.Members {
		if m := &v.Members[i]; m.ID != v.Self {
			ranked = append(ranked, m)
		}
	}
	slices.SortFunc(ranked, func(a, b *Member) int { return cmp.Compare(score(h, b.ID), score(h, a.ID)) })
	for _, m := range ranked {
		v.addHolder(hop, m)
	}
}

func (v *View) addHolder(hop *geneve.Hop, m *Member) {
	if m != nil {
		hop.AddReplica(uint64(m.ID))
	}
}

// RecordMayBeLost reports whether the home of a flow and a backup of it can both have
// gone without handing over, so that "nobody knows" doesn't mean "new".
func (v *View) RecordMayBeLost(h FlowHash) bool {
	if len(v.Lost) == 0 {
		return false
	}
	home := v.firstLost(h, "", 0)
	if home == nil {
		return false
	}
	for _, z := range v.zones {
		if v.firstLost(h, z, home.ID) != nil {
			return true
		}
	}
	for i := range v.Lost {
		if z := v.Lost[i].Zone; v.firstLost(h, z, home.ID) != nil {
			return true
		}
	}
	return false
}

// firstLost returns the lost member that came before all present ones in rank,
// or nil. Fresh members don't count: they weren't there when it was lost.
func (v *View) firstLost(h FlowHash, z bundle.Zone, not ID) *Member {
	var best *Member
	var bestScore uint64
	for i := range v.Lost {
		m := &v.Lost[i]
		if m.ID == not || (z != "" && m.Zone != z) {
			continue
		}
		if s := score(h, m.ID); best == nil || s > bestScore {
			best, bestScore = m, s
		}
	}
	if best == nil {
		return nil
	}
	f := filter{zone: z, not: not, leaving: true, settled: true}
	if m := v.first(h, f); m != nil && score(h, m.ID) > bestScore {
		return nil
	}
	return best
}
