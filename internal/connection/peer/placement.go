package peer

import "github.com/cespare/xxhash/v2"

// PlacementKind is the type of a Placements message.
type PlacementKind uint8

// The kinds of a Placements message.
const (
	// PlacementAnnounce says at which upstreams flows opened.
	PlacementAnnounce PlacementKind = iota + 1
	// PlacementQuery asks at which upstreams flows opened. It is answered by PlacementAnswer.
	PlacementQuery
	PlacementAnswer
	placementKindEnd
)

// MaxPlacements bounds Placements.List, so that the message fits into one datagram.
const MaxPlacements = 40

// FlowKey holds the addresses and ports of a flow, as package cookie encodes them.
type FlowKey [12]byte

// Hash returns the hash by which members are ranked for the flow.
func (k FlowKey) Hash() FlowHash { return FlowHash(xxhash.Sum64(k[:])) }

// FlowPlacement says at which upstream a flow opened of whose first packet more than one upstream may have
// received a copy.
type FlowPlacement struct {
	_    struct{} `cbor:",toarray"`
	Flow FlowKey
	// Cookie names the upstream. It is zero in a query, and in an answer if the upstream isn't known.
	Cookie uint32
	// Ack is an acknowledgement number of the caller on the flow. A later flow between the same addresses has
	// others.
	Ack uint32
}

// Placements is the message by which daemons of a zone share at which upstreams such flows opened.
type Placements struct {
	_    struct{} `cbor:",toarray"`
	From ID
	Kind PlacementKind
	List []FlowPlacement
}

// Check returns ErrMessage if the message is invalid or exceeds a bound.
func (p *Placements) Check() error {
	if p.From == 0 || p.Kind == 0 || p.Kind >= placementKindEnd || len(p.List) > MaxPlacements {
		return ErrMessage
	}
	return nil
}

// Keepers returns the first n members by rank, besides this daemon, of its own zone, or of all zones if its own has
// no other member. They keep what must outlive the daemon that decided on a flow.
func (v *View) Keepers(h FlowHash, n int) []*Member {
	self := v.Member(v.Self)
	if self == nil {
		return nil
	}
	out := v.highestRankedN(h, n, filter{zone: self.Zone, exclude: v.Self})
	if len(out) == 0 {
		out = v.highestRankedN(h, n, filter{exclude: v.Self})
	}
	return out
}

// highestRankedN returns the n highest ranked of the members that match the filter.
func (v *View) highestRankedN(h FlowHash, n int, f filter) []*Member {
	var out []*Member
	for range n {
		m := v.highestRanked(h, f)
		if m == nil {
			break
		}
		out = append(out, m)
		f.belowScore = score(h, m.ID)
	}
	return out
}
