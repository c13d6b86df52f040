package peer

import (
	"net/netip"
	"slices"

	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// FlowHash is the hash of a flow's key by which members are ranked. All
// daemons compute the same.
type FlowHash uint64

// score ranks a member for a flow (rendezvous hashing): the highest comes first.
func score(h FlowHash, id ID) uint64 {
	return mix(uint64(h) ^ uint64(id))
}

// View is what one daemon knows of the members at one moment. It doesn't change
// once made and is safe for concurrent use.
type View struct {
	Self ID
	// Members are alive, suspected or leaving, the daemon itself among them.
	Members []Member
	// Lost are members that went without handing over, for as long as a caller
	// may still repeat a request that one of them had let through.
	Lost []Member
	// Recent is set for some time after a change: records may not be where the
	// ranking puts them, so those who may hold one are asked.
	Recent bool
	// CutZones are those whose known members are all out of reach.
	CutZones []bundle.Zone
	zones    []bundle.Zone
	byID     map[ID]*Member
	byAddr   map[netip.Addr]*Member
}

// NewView makes the view of the daemon self.
func NewView(self ID, members, lost []Member, recent bool) *View {
	v := &View{
		Self:    self,
		Members: members,
		Lost:    lost,
		Recent:  recent,
		byID:    make(map[ID]*Member, len(members)),
		byAddr:  make(map[netip.Addr]*Member, len(members)),
	}
	for i := range members {
		m := &members[i]
		v.byID[m.ID] = m
		v.byAddr[m.Data.Addr()] = m
		v.addZone(m.Zone)
	}
	return v
}

func (v *View) addZone(z bundle.Zone) {
	if !slices.Contains(v.zones, z) {
		v.zones = append(v.zones, z)
	}
}

// Reaches reports whether the upstreams of a zone can be reached, as far as its
// members tell.
func (v *View) Reaches(z bundle.Zone) bool {
	return !slices.Contains(v.CutZones, z)
}

// Member returns the member with an identifier, or nil.
func (v *View) Member(id ID) *Member { return v.byID[id] }

// MemberAt returns the member that sends Geneve packets from a, or nil.
func (v *View) MemberAt(a netip.Addr) *Member { return v.byAddr[a] }

// Home returns the member that decides for a flow: the first in rank of those
// who stay. If all are leaving, the first of these.
func (v *View) Home(h FlowHash) *Member {
	if m := v.first(h, "", 0, false); m != nil {
		return m
	}
	return v.first(h, "", 0, true)
}

// Backup returns the member that keeps the second record of a flow whose
// upstream is in zone z: the first in rank there besides the home, or anywhere
// if that zone has no other member. It is nil if there is no other member.
func (v *View) Backup(h FlowHash, z bundle.Zone, home ID) *Member {
	if m := v.first(h, z, home, false); m != nil {
		return m
	}
	return v.first(h, "", home, false)
}

// first returns the first in rank of a zone (of all zones if z is empty) that
// isn't the member not.
func (v *View) first(h FlowHash, z bundle.Zone, not ID, leaving bool) *Member {
	var best *Member
	var bestScore uint64
	for i := range v.Members {
		m := &v.Members[i]
		if m.ID == not || (z != "" && m.Zone != z) || (m.State == StateLeaving && !leaving) {
			continue
		}
		if s := score(h, m.ID); best == nil || s > bestScore {
			best, bestScore = m, s
		}
	}
	return best
}

// AddNext lists in hop the next in rank after this daemon. It is asked even if
// nothing has changed here: it is home in the view of a member that wrongly
// takes this daemon for dead, and may have placed the flow already.
func (v *View) AddNext(h FlowHash, hop *geneve.Hop) {
	v.addHolder(hop, v.first(h, "", v.Self, false))
}

// AddHolders lists in hop the members that may hold a record of the flow, this
// daemon left out: who would be home if leaving members and this daemon
// weren't passed over, then the same for the backup of each zone.
func (v *View) AddHolders(h FlowHash, hop *geneve.Hop) {
	v.addHolder(hop, v.first(h, "", v.Self, true))
	v.addHolder(hop, v.first(h, "", v.Self, false))
	for _, z := range v.zones {
		v.addHolder(hop, v.first(h, z, v.Self, true))
		v.addHolder(hop, v.first(h, z, v.Self, false))
	}
}

func (v *View) addHolder(hop *geneve.Hop, m *Member) {
	if m != nil {
		hop.AddHolder(uint64(m.ID))
	}
}

// MayBeLost reports whether the home of a flow and a backup of it can both have
// gone without handing over, so that "nobody knows" doesn't mean "new".
func (v *View) MayBeLost(h FlowHash) bool {
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
// or nil. A restarted host doesn't come before its lost predecessor.
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
	if m := v.first(h, z, not, true); m != nil && score(h, m.ID) > bestScore {
		return nil
	}
	return best
}
