package cookie

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// An upstream has two cookies. First packets carry its tentative one, and so does the upstream's answer to them. All
// later packets to the upstream carry the confirmed one. A caller that repeats a confirmed cookie has therefore
// received a packet of the upstream at which its flow opened. A tentative one may be that of another upstream: one
// that also received a copy of the first packet, and whose answer arrived late.

// tentativeBit is the bit in which the two cookies of an upstream differ.
const tentativeBit Cookie = 1 << 31

// Tentative returns the tentative cookie of the upstream whose confirmed one is c.
func (c Cookie) Tentative() Cookie { return c ^ tentativeBit }

// base returns what both cookies of an upstream have in common.
func (c Cookie) base() Cookie { return c &^ tentativeBit }

// IsOf reports whether c is one of the two cookies of an upstream.
func (c Cookie) IsOf(id bundle.UpstreamID) bool { return c.base() == Of(id).base() }

// find returns the upstream that a cookie names, or nil, and whether it is its tentative cookie.
func (x *index) find(c Cookie) (u *Upstream, tentative bool) {
	u = x.byCookie[c.base()]
	return u, u != nil && c != u.Cookie
}

// Placement says at which upstream an ambiguous flow opened: one of whose first packet more than one upstream may have
// received a copy.
type Placement struct {
	Key Key
	// Cookie is the confirmed cookie of the upstream.
	Cookie Cookie
	// Ack is the caller's acknowledgement number when the flow opened.
	Ack uint32
}

// maxFlowBytes bounds what an upstream sends on a flow while its placement is kept. A packet whose acknowledgement
// number is further away belongs to another flow between the same addresses.
const maxFlowBytes = 1 << 26

// covers reports whether a packet with an acknowledgement number can be of the flow.
func (p *Placement) covers(ack uint32) bool { return ack-p.Ack < maxFlowBytes }

// maxPlacements bounds the remembered placements. If there are more, the oldest ones are forgotten, and their flows
// follow the cookie again.
const maxPlacements = 4096

// placements holds the placements of ambiguous flows, for a limited time.
type placements struct {
	byKey map[Key]Placement
	// oldest holds the keys in the order in which they expire. An entry that was replaced has a later one.
	oldest []placedKey
	// opened are those of flows that opened through this balancer since the last TakePlacements.
	opened []Placement
}

type placedKey struct {
	key     Key
	ack     uint32
	addedAt time.Time
}

func newPlacements() *placements { return &placements{byKey: make(map[Key]Placement)} }

// add adds a placement. It reports whether it wasn't known.
func (s *placements) add(p Placement, now time.Time) bool {
	if s.byKey[p.Key] == p {
		return false
	}
	for len(s.oldest) >= maxPlacements {
		s.removeOldest()
	}
	s.byKey[p.Key] = p
	s.oldest = append(s.oldest, placedKey{key: p.Key, ack: p.Ack, addedAt: now})
	return true
}

func (s *placements) removeOldest() {
	first := s.oldest[0]
	s.oldest = s.oldest[1:]
	if p, ok := s.byKey[first.key]; ok && p.Ack == first.ack {
		delete(s.byKey, first.key)
	}
}

// expire forgets the placements that are older than a lifetime.
func (s *placements) expire(lifetime time.Duration, now time.Time) {
	for len(s.oldest) > 0 && now.Sub(s.oldest[0].addedAt) > lifetime {
		s.removeOldest()
	}
}

// notePlacement remembers at which upstream an ambiguous flow opened, so that it can be announced.
func (e *Engine) notePlacement(k Key, u *Upstream, ack uint32, now time.Time) {
	p := Placement{Key: k, Cookie: u.Cookie, Ack: ack}
	if e.opts.Inquire && e.placements.add(p, now) && len(e.placements.opened) < maxPlacements {
		e.Counters.Ambiguous++
		e.placements.opened = append(e.placements.opened, p)
	}
}

// TakePlacements returns the placements of ambiguous flows that opened through this balancer since the last call.
func (e *Engine) TakePlacements() []Placement {
	out := e.placements.opened
	e.placements.opened = nil
	return out
}

// Placements returns all remembered placements.
func (e *Engine) Placements() []Placement {
	out := make([]Placement, 0, len(e.placements.byKey))
	for _, p := range e.placements.byKey {
		out = append(out, p)
	}
	return out
}

// LearnPlacement remembers a placement that another balancer announced.
func (e *Engine) LearnPlacement(p Placement, now time.Time) { e.placements.add(p, now) }

// PlacementOf returns the cookie of the upstream at which a flow opened, zero if this balancer doesn't know. ack is an
// acknowledgement number of the caller.
func (e *Engine) PlacementOf(k Key, ack uint32) Cookie {
	if p, ok := e.placements.byKey[k]; ok && p.covers(ack) {
		return p.Cookie
	}
	if f := e.flows[k]; f != nil && f.opened && f.ack-ack+maxFlowBytes < 2*maxFlowBytes {
		return f.upstream.Cookie
	}
	return 0
}

const (
	// inquiryTimeout is how long a balancer waits for others to tell at which upstream a flow opened. Callers
	// retransmit after 200 ms.
	inquiryTimeout = 100 * time.Millisecond
	// MaxInquiries bounds the inquiries in progress. Beyond it, flows follow the cookie.
	MaxInquiries = 256
)

// inquiry is the state of an inquiry to other balancers about a flow.
type inquiry struct {
	begun time.Time
	// awaited is the number of balancers that haven't answered.
	awaited int
}

// inquire decides which upstream a packet with the tentative cookie of u belongs to. It returns nil while other
// balancers are to be asked; begins is set if they weren't asked yet.
func (e *Engine) inquire(p *Packet, u *Upstream, now time.Time) (to *Upstream, begins bool) {
	if known, ok := e.placements.byKey[p.Key]; ok && known.covers(p.Ack) {
		delete(e.inquiries, p.Key)
		if at, _ := e.index.find(known.Cookie); at != nil {
			return at, false
		}
		return u, false
	}
	if !e.opts.Inquire || p.Flags.Has(FlagRST) {
		return u, false
	}
	q := e.inquiries[p.Key]
	switch {
	case q == nil && len(e.inquiries) >= MaxInquiries:
		return u, false
	case q == nil:
		e.inquiries[p.Key] = &inquiry{begun: now}
		return nil, true
	case q.awaited < 0 || now.Sub(q.begun) >= inquiryTimeout:
		delete(e.inquiries, p.Key)
		return u, false
	}
	return nil, false
}

// InquiryBegun notes how many other balancers were asked about a flow. If it is zero, the next packet of the flow
// follows its cookie.
func (e *Engine) InquiryBegun(k Key, asked int) {
	if q := e.inquiries[k]; q != nil {
		q.awaited = asked
		if asked == 0 {
			q.awaited = -1
		}
	}
}

// InquiryAnswered notes another balancer's answer to an inquiry; its cookie is zero if that one doesn't know the flow.
// It reports whether the packets of the flow can be decided on now.
func (e *Engine) InquiryAnswered(p Placement, now time.Time) bool {
	q := e.inquiries[p.Key]
	switch {
	case q == nil:
		return false
	case p.Cookie != 0:
		e.placements.add(p, now)
		return true
	}
	if q.awaited--; q.awaited <= 0 {
		q.awaited = -1
	}
	return q.awaited < 0
}

// ExpiredInquiries returns the flows whose inquiries weren't answered in time, so that their packets can be decided on.
// It forgets inquiries whose packets never came back.
func (e *Engine) ExpiredInquiries(now time.Time) []Key {
	var out []Key
	for k, q := range e.inquiries {
		switch waited := now.Sub(q.begun); {
		case waited >= 2*inquiryTimeout:
			delete(e.inquiries, k)
		case waited >= inquiryTimeout:
			out = append(out, k)
		}
	}
	return out
}
