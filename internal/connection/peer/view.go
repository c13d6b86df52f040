package peer

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"

	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// FlowHash is the hash of a flow's key by which members are ranked. All daemons compute the same
// hash.
type FlowHash uint64

// score ranks a member for a flow by rendezvous hashing. The member with the highest score ranks
// first.
func score(h FlowHash, id ID) uint64 {
	return Mix(uint64(h) ^ uint64(id))
}

// View is a snapshot of the members as one daemon knows them. It is immutable and safe for
// concurrent use.
type View struct {
	Self ID
	// Members are the members that are alive, suspected or leaving, including the daemon itself.
	Members []Member
	Changes
	zones []bundle.Zone
	// staying holds the indexes in Members of the members that aren't leaving, and stayingIDs their
	// identifiers in the same order. Owner reads both for each packet.
	staying    []int32
	stayingIDs []uint64
	// The fields below are computed on first use: a view of a thousand members is replaced several
	// times a second while they start. See lookup, zoneInReaderOrder, OtherZoneReaders, ReaderRank.
	lookupOnce       sync.Once
	byID             map[ID]*Member
	byAddr           map[netip.Addr]*Member
	ownZoneOnce      sync.Once
	ownZone          []*Member
	otherReadersOnce sync.Once
	otherReaders     []*Member
	rankOnce         sync.Once
	rank             int
}

// Changes describes the recent changes of the membership.
type Changes struct {
	// RecentlyChanged is true for Config.RecentWindow after any change.
	RecentlyChanged bool
	// RepeatsPossible is true after a change for as long as a caller may repeat a message whose
	// first copy went through the flow's previous owner.
	RepeatsPossible bool
	// Lost are members that died within Config.LostWindow without handing over their records.
	Lost []Member
	// RecentlyJoined are members that joined or restarted recently. Records that the ranking
	// assigns to them may still be at the member that ranks next.
	RecentlyJoined []ID
	// UnreachableZones are the zones of which no known member can be reached.
	UnreachableZones []bundle.Zone
	// UnreachableMembers are the members of those zones. They may be alive and still decide on
	// flows.
	UnreachableMembers []Member
}

// NewView returns the view of the daemon self. It keeps members without a copy.
func NewView(self ID, members []Member, c Changes) *View {
	v := &View{
		Self:    self,
		Members: members,
		Changes: c,
	}
	for i := range members {
		m := &members[i]
		v.addZone(m.Zone)
		if m.State != StateLeaving {
			v.staying = append(v.staying, int32(i))
			v.stayingIDs = append(v.stayingIDs, uint64(m.ID))
		}
	}
	return v
}

// lookup fills the maps of members.
func (v *View) lookup() {
	v.lookupOnce.Do(func() {
		v.byID = make(map[ID]*Member, len(v.Members))
		v.byAddr = make(map[netip.Addr]*Member, len(v.Members))
		for i := range v.Members {
			m := &v.Members[i]
			v.byID[m.ID] = m
			v.byAddr[m.Data.Addr()] = m
		}
	})
}

func (v *View) addZone(z bundle.Zone) {
	if !slices.Contains(v.zones, z) {
		v.zones = append(v.zones, z)
	}
}

// CanReach reports whether the upstreams of a zone can be reached. It infers this from whether any
// member of the zone can be reached.
func (v *View) CanReach(z bundle.Zone) bool {
	return !slices.Contains(v.UnreachableZones, z)
}

// Member returns the member with the identifier, or nil.
func (v *View) Member(id ID) *Member {
	v.lookup()
	return v.byID[id]
}

// MemberAt returns the member that sends Geneve packets from a, or nil.
func (v *View) MemberAt(a netip.Addr) *Member {
	v.lookup()
	return v.byAddr[a]
}

// Owner returns the member that decides for a flow: the highest ranked of the members that aren't
// leaving. If all are leaving, it is the highest ranked of these.
func (v *View) Owner(h FlowHash) *Member {
	if len(v.stayingIDs) == 0 {
		return v.highestRanked(h, filter{includeLeaving: true})
	}
	best, bestScore := 0, uint64(0)
	for i, id := range v.stayingIDs {
		if s := score(h, ID(id)); s > bestScore {
			best, bestScore = i, s
		}
	}
	return &v.Members[v.staying[best]]
}

// Backup returns the member that holds the second record of a flow whose upstream is in zone z: the
// highest ranked member of that zone besides the owner, or of all zones if that zone has no other
// member. It is nil if there is no other member at all.
func (v *View) Backup(h FlowHash, z bundle.Zone, owner ID) *Member {
	if m := v.highestRanked(h, filter{zone: z, exclude: owner}); m != nil {
		return m
	}
	return v.highestRanked(h, filter{exclude: owner})
}

// placerSalt makes the choice of a service's placer independent of the owners of its flows.
const placerSalt = 0x706c616365

// Placer returns the member that chooses the upstreams for the new flows of a service, so that one
// daemon knows all placements of the service.
func (v *View) Placer(s bundle.VNI) *Member {
	return v.Owner(FlowHash(Mix(uint64(s) ^ placerSalt)))
}

// Replica returns the member of zone z that holds a copy of a flow's record, so that the zone still
// has the record when it is partitioned from the others: the highest ranked member there besides
// the owner. In the upstream's zone this is the backup. It is nil if the zone has no other member.
func (v *View) Replica(h FlowHash, z bundle.Zone, owner ID) *Member {
	return v.highestRanked(h, filter{zone: z, exclude: owner})
}

// IsWatcher reports whether this daemon is among the first n members of its zone, by identifier.
// These watch the platform on behalf of all.
func (v *View) IsWatcher(n int) bool {
	self := v.Member(v.Self)
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

// IsReplica reports whether this daemon holds its zone's copy of a flow's record.
func (v *View) IsReplica(h FlowHash, owner ID) bool {
	self := v.Member(v.Self)
	if self == nil {
		return true
	}
	m := v.Replica(h, self.Zone, owner)
	return m != nil && m.ID == v.Self
}

// Zones returns the zones of the members, in an order that is fixed for this view.
func (v *View) Zones() []bundle.Zone { return v.zones }

// OwnerMayBeUnreachable reports whether an unreachable member ranks above the flow's owner in this
// view. If so, the other side of the partition may have placed flows that this side has no record
// of.
func (v *View) OwnerMayBeUnreachable(h FlowHash) bool {
	if len(v.UnreachableMembers) == 0 {
		return false
	}
	owner := v.Owner(h)
	if owner == nil {
		return true
	}
	best := score(h, owner.ID)
	for i := range v.UnreachableMembers {
		if score(h, v.UnreachableMembers[i].ID) > best {
			return true
		}
	}
	return false
}

// filter selects the members to rank. The zero value selects all members that aren't leaving.
type filter struct {
	// zone selects only the members of this zone, if it isn't empty.
	zone bundle.Zone
	// exclude is a member that isn't selected, if it isn't zero.
	exclude ID
	// includeLeaving selects leaving members too.
	includeLeaving bool
	// excludeRecent excludes members that joined or restarted recently.
	excludeRecent bool
	// belowScore selects only members with a lower score, if it isn't zero.
	belowScore uint64
}

func (v *View) matches(f *filter, m *Member) bool {
	switch {
	case m.ID == f.exclude || f.zone != "" && m.Zone != f.zone:
		return false
	case m.State == StateLeaving && !f.includeLeaving:
		return false
	}
	return !f.excludeRecent || !slices.Contains(v.RecentlyJoined, m.ID)
}

// highestRanked returns the highest ranked of the members that match the filter, or nil.
func (v *View) highestRanked(h FlowHash, f filter) *Member {
	var best *Member
	var bestScore uint64
	for i := range v.Members {
		m := &v.Members[i]
		if !v.matches(&f, m) {
			continue
		}
		s := score(h, m.ID)
		if f.belowScore != 0 && s >= f.belowScore {
			continue
		}
		if best == nil || s > bestScore {
			best, bestScore = m, s
		}
	}
	return best
}

// AddReplicas adds to hop the members that hold the flow's record besides its owner, which is this
// daemon: the highest ranked member of each zone. Among them is the member that ranks next overall.
// A member that wrongly believes this daemon dead takes that one for the owner.
func (v *View) AddReplicas(h FlowHash, hop *geneve.Hop) {
	for _, z := range v.zones {
		v.addToVisit(hop, v.Replica(h, z, v.Self))
	}
}

// AddPossibleReplicas adds to hop the members, other than this daemon, that may hold a record of
// the flow: the present owner and the backups of all zones, and those from before members joined or
// began to leave.
func (v *View) AddPossibleReplicas(h FlowHash, hop *geneve.Hop) {
	v.addRanked(h, "", hop)
	for _, z := range v.zones {
		v.addRanked(h, z, hop)
	}
}

// addRanked adds the members of a zone to hop in order of rank, up to and including the first that
// isn't leaving and didn't join recently. A record was given to that member or to one that ranks
// above it.
func (v *View) addRanked(h FlowHash, z bundle.Zone, hop *geneve.Hop) {
	f := filter{zone: z, exclude: v.Self, includeLeaving: true}
	for range geneve.MaxToVisit {
		m := v.highestRanked(h, f)
		if m == nil {
			return
		}
		v.addToVisit(hop, m)
		if m.State != StateLeaving && !slices.Contains(v.RecentlyJoined, m.ID) {
			return
		}
		f.belowScore = score(h, m.ID)
	}
}

// AddAllMembers adds to hop all other members in order of rank, as many as fit into it.
// They are queried if the replicas according to the ranking may be dead, because a former replica
// may still hold the record.
func (v *View) AddAllMembers(h FlowHash, hop *geneve.Hop) {
	ranked := make([]*Member, 0, len(v.Members))
	for i := range v.Members {
		if m := &v.Members[i]; m.ID != v.Self {
			ranked = append(ranked, m)
		}
	}
	slices.SortFunc(ranked, func(a, b *Member) int { return cmp.Compare(score(h, b.ID), score(h, a.ID)) })
	for _, m := range ranked {
		v.addToVisit(hop, m)
	}
}

func (v *View) addToVisit(hop *geneve.Hop, m *Member) {
	if m != nil {
		hop.AddToVisit(uint64(m.ID))
	}
}

// RecordMayBeLost reports whether the owner of a flow and a backup of it may both have died without
// handing over their records. If so, a flow of which no member has a record isn't necessarily new.
func (v *View) RecordMayBeLost(h FlowHash) bool {
	if len(v.Lost) == 0 {
		return false
	}
	owner := v.highestRankedLost(h, "", 0)
	if owner == nil {
		return false
	}
	for _, z := range v.zones {
		if v.highestRankedLost(h, z, owner.ID) != nil {
			return true
		}
	}
	for i := range v.Lost {
		if z := v.Lost[i].Zone; v.highestRankedLost(h, z, owner.ID) != nil {
			return true
		}
	}
	return false
}

// highestRankedLost returns the highest ranked of the lost members if it ranks above all present
// ones, or nil. Members that joined recently don't count as present, because they weren't there
// when that member was lost.
func (v *View) highestRankedLost(h FlowHash, z bundle.Zone, exclude ID) *Member {
	var best *Member
	var bestScore uint64
	for i := range v.Lost {
		m := &v.Lost[i]
		if m.ID == exclude || (z != "" && m.Zone != z) {
			continue
		}
		if s := score(h, m.ID); best == nil || s > bestScore {
			best, bestScore = m, s
		}
	}
	if best == nil {
		return nil
	}
	f := filter{zone: z, exclude: exclude, includeLeaving: true, excludeRecent: true}
	if m := v.highestRanked(h, f); m != nil && score(h, m.ID) > bestScore {
		return nil
	}
	return best
}
