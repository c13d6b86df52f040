package cookiedaemon

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
)

// placements shares with other daemons at which upstreams ambiguous flows opened (see cookie.Placement), and holds the
// packets of flows about which other daemons are asked. It is safe for concurrent use.
type placements struct {
	members *members
	// found counts the inquiries that another daemon answered with an upstream.
	found atomic.Uint64

	// mu guards the fields below. It is a leaf: no other lock is taken while it is held.
	mu   sync.Mutex
	held map[cookie.Key][]heldPacket
	// packets is the number of packets in held.
	packets int

	// repeated and view are used by the timer's goroutine only: the placements that are announced once more, since
	// datagrams may be lost, and the view whose keepers know all placements.
	repeated []peer.FlowPlacement
	view     *peer.View
}

// heldPacket is a packet with its headroom.
type heldPacket struct {
	bytes  []byte
	packet cookie.Packet
}

const (
	// placementKeepers is how many members keep each placement besides the daemon through which the flow opened. One of
	// them may fail together with that daemon.
	placementKeepers = 3
	// maxHeldPackets bounds the held packets. A packet beyond it is lost, and its sender transmits it again.
	maxHeldPackets = 512
)

func newPlacements(m *members) *placements {
	return &placements{members: m, held: make(map[cookie.Key][]heldPacket)}
}

// hold keeps a copy of a packet until release. Daemon.mu must be held, so that the release of the flow's packets, which
// follows a change of the engine, can't come before.
func (s *placements) hold(b []byte, p *cookie.Packet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.packets < maxHeldPackets {
		s.packets++
		s.held[p.Key] = append(s.held[p.Key], heldPacket{bytes: slices.Clone(b), packet: *p})
	}
}

// release decides on the held packets of a flow again.
func (s *placements) release(k cookie.Key, now time.Time) {
	s.mu.Lock()
	list := s.held[k]
	delete(s.held, k)
	s.packets -= len(list)
	s.mu.Unlock()
	var buf []byte
	for i := range list {
		buf = s.members.daemon.data.decide(list[i].bytes, &list[i].packet, buf, now)
	}
}

// inquire asks the keepers of a packet's flow at which upstream the flow opened.
func (s *placements) inquire(p *cookie.Packet) {
	v := s.members.view.Load()
	flow := p.Key.Bytes()
	keepers := v.Keepers(flow.Hash(), placementKeepers)
	d := s.members.daemon
	d.mu.Lock()
	d.engine.InquiryBegun(p.Key, len(keepers))
	d.mu.Unlock()
	if len(keepers) == 0 {
		s.release(p.Key, time.Now())
		return
	}
	s.send(v, peer.PlacementQuery, []peer.FlowPlacement{{Flow: flow, Ack: p.Ack}}, keepers)
}

// receive handles a message of another daemon.
func (s *placements) receive(p *peer.Placements, now time.Time) {
	d := s.members.daemon
	var answers []peer.FlowPlacement
	var done []cookie.Key
	d.mu.Lock()
	for i := range p.List {
		f := cookie.Placement{Key: cookie.KeyOf(p.List[i].Flow), Cookie: cookie.Cookie(p.List[i].Cookie), Ack: p.List[i].Ack}
		switch p.Kind {
		case peer.PlacementAnnounce:
			d.engine.LearnPlacement(f, now)
		case peer.PlacementQuery:
			f.Cookie = d.engine.PlacementOf(f.Key, f.Ack)
			answers = append(answers, flowPlacement(&f))
		case peer.PlacementAnswer:
			if d.engine.InquiryAnswered(f, now) {
				done = append(done, f.Key)
			}
			if f.Cookie != 0 {
				s.found.Add(1)
			}
		}
	}
	d.mu.Unlock()
	for _, k := range done {
		s.release(k, now)
	}
	v := s.members.view.Load()
	if to := v.Member(p.From); to != nil && len(answers) > 0 {
		s.send(v, peer.PlacementAnswer, answers, []*peer.Member{to})
	}
}

// tick announces the placements of flows that opened lately, and releases the packets that have waited too long.
func (s *placements) tick(now time.Time) {
	d := s.members.daemon
	d.mu.Lock()
	opened, expired := d.engine.TakePlacements(), d.engine.ExpiredInquiries(now)
	d.mu.Unlock()
	for _, k := range expired {
		s.release(k, now)
	}
	list := s.repeated
	s.repeated = nil
	for i := range opened {
		s.repeated = append(s.repeated, flowPlacement(&opened[i]))
	}
	v := s.members.view.Load()
	s.announce(v, append(list, s.repeated...), func(*peer.FlowPlacement, *peer.Member) bool { return true })
}

// followView announces the known placements to the members that became their keepers: members that joined or restarted,
// and those that rank next after a member that departed.
func (s *placements) followView() {
	v, old := s.members.view.Load(), s.view
	s.view = v
	if v == old || old == nil {
		return
	}
	d := s.members.daemon
	d.mu.Lock()
	known := d.engine.Placements()
	d.mu.Unlock()
	list := make([]peer.FlowPlacement, len(known))
	for i := range known {
		list[i] = flowPlacement(&known[i])
	}
	s.announce(v, list, func(p *peer.FlowPlacement, m *peer.Member) bool {
		former := old.Keepers(p.Flow.Hash(), placementKeepers)
		return !slices.ContainsFunc(former, func(f *peer.Member) bool { return f.ID == m.ID && f.Boot == m.Boot })
	})
}

// announce sends placements to those of their keepers that a function selects.
func (s *placements) announce(v *peer.View, list []peer.FlowPlacement, selected func(*peer.FlowPlacement, *peer.Member) bool) {
	byKeeper := make(map[*peer.Member][]peer.FlowPlacement)
	for i := range list {
		for _, m := range v.Keepers(list[i].Flow.Hash(), placementKeepers) {
			if selected(&list[i], m) {
				byKeeper[m] = append(byKeeper[m], list[i])
			}
		}
	}
	for m, l := range byKeeper {
		s.send(v, peer.PlacementAnnounce, l, []*peer.Member{m})
	}
}

func (s *placements) send(v *peer.View, k peer.PlacementKind, list []peer.FlowPlacement, to []*peer.Member) {
	for part := range slices.Chunk(list, peer.MaxPlacements) {
		send(s.members, protocolPlacements, s.members.placementCodec, &peer.Placements{From: v.Self, Kind: k, List: part}, to)
	}
}

func flowPlacement(p *cookie.Placement) peer.FlowPlacement {
	return peer.FlowPlacement{Flow: p.Key.Bytes(), Cookie: uint32(p.Cookie), Ack: p.Ack}
}
