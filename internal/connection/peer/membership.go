package peer

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Config holds the times of a Membership. A zero field takes its default.
type Config struct {
	// ProbePeriod is the time between two probes that a daemon sends.
	ProbePeriod time.Duration
	// ProbeTimeout is how long it waits for an acknowledgement before it asks
	// others to probe, and again before it suspects.
	ProbeTimeout time.Duration
	// SuspectTimeout is how long a suspected member may refute before it is dead.
	SuspectTimeout time.Duration
	// Helpers is how many others are asked to probe a member that didn't answer.
	Helpers int
	// LostWindow is how long a member that died is remembered as a possible
	// holder of requests that a caller may repeat.
	LostWindow time.Duration
	// RecentWindow is how long after a change records are looked for at all who
	// may hold them.
	RecentWindow time.Duration
	// GossipCopies is how often each update is passed on.
	GossipCopies int
	// Updates is how many updates one message carries, MaxUpdates at most. In quiet
	// times there are none to carry, so more of them cost only while members come
	// and go.
	Updates int
}

// The defaults: a dead member is found in under two seconds at nine members.
const (
	DefaultProbePeriod    = 250 * time.Millisecond
	DefaultProbeTimeout   = 100 * time.Millisecond
	DefaultSuspectTimeout = 800 * time.Millisecond
	DefaultHelpers        = 2
	DefaultLostWindow     = 50 * time.Second
	DefaultRecentWindow   = 10 * time.Minute
	DefaultGossipCopies   = 6
	// DefaultUpdates leaves room for the counts of flows in the same datagram.
	DefaultUpdates = 4
	// deadProbes is how many probe periods lie between two probes of a member
	// that is out of reach, by which a healed network is noticed.
	deadProbes = 8
	// forgetAfter is when a member out of reach is no longer probed.
	forgetAfter = 24 * time.Hour
)

func (c Config) withDefaults() Config {
	setDefault(&c.ProbePeriod, DefaultProbePeriod)
	setDefault(&c.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&c.SuspectTimeout, DefaultSuspectTimeout)
	setDefault(&c.Helpers, DefaultHelpers)
	setDefault(&c.LostWindow, DefaultLostWindow)
	setDefault(&c.RecentWindow, DefaultRecentWindow)
	setDefault(&c.GossipCopies, DefaultGossipCopies)
	setDefault(&c.Updates, DefaultUpdates)
	return c
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Envelope is a message and where to send it.
type Envelope struct {
	To      netip.AddrPort
	Message Message
	// FreshPort asks for a source port that wasn't used before: something between
	// the two ends may have lost track of the ports used until now, and drops
	// what they exchange, while a new pair works.
	FreshPort bool
}

// Membership finds out by direct probes who is there, in the shape of SWIM
// (Das, Gupta, Motivala 2002): each daemon probes one other in turn, so the cost
// per daemon doesn't grow with their number. It has no socket and no clock and
// isn't safe for concurrent use.
type Membership struct {
	cfg    Config
	rng    *rand.Rand
	self   Member
	bundle bundle.Version
	flows  []uint32
	peers  map[ID]*record
	// order holds the keys of peers, sorted, so that the same events and the same
	// seed give the same messages. It is replaced, never changed in place.
	order  []ID
	lost   []lostMember
	gossip []rumor
	probe  probe
	relays map[uint32]relay
	seq    uint32
	ticks  uint64
	// changed is when the set of members last changed; zero if never.
	changed time.Time
	// unsettled is set for the lost window after such a change.
	unsettled bool
	nextProbe time.Time
	epoch     uint64
	// serving is set once a member has told that it has a bundle in force.
	serving bool
}

type record struct {
	Member
	since time.Time
	// fresh is set for the recent window after the member joined or restarted.
	fresh  bool
	joined time.Time
}

type lostMember struct {
	Member
	at time.Time
}

// NewMembership returns a membership of which self is the only member.
func NewMembership(cfg Config, self Member, rng *rand.Rand) *Membership {
	self.State = StateAlive
	return &Membership{
		cfg:    cfg.withDefaults(),
		rng:    rng,
		self:   self,
		peers:  make(map[ID]*record),
		relays: make(map[uint32]relay),
		seq:    rng.Uint32(),
		epoch:  1,
	}
}

// Epoch grows with each change that View shows.
func (m *Membership) Epoch() uint64 { return m.epoch }

// Self returns the daemon's own entry.
func (m *Membership) Self() Member { return m.self }

// SetBundle tells others which version this daemon has in force.
func (m *Membership) SetBundle(v bundle.Version) { m.bundle = v }

// SetFlows tells others how many flows this daemon is home of at each upstream.
func (m *Membership) SetFlows(flows []uint32) { m.flows = flows }

// Seed pings hosts of the platform's list that aren't members. The list lags,
// so a host on it counts only once it has answered.
func (m *Membership) Seed(hosts []netip.AddrPort) []Envelope {
	known := make(map[netip.AddrPort]bool, len(m.peers))
	for _, r := range m.peers {
		known[r.Control] = r.State != StateDead && r.State != StateLeft
	}
	var out []Envelope
	for _, h := range hosts {
		if h != m.self.Control && !known[h] {
			out = append(out, m.ping(h))
		}
	}
	return out
}

// AnnounceLeaving marks the daemon as leaving and tells everyone at once.
func (m *Membership) AnnounceLeaving(now time.Time) []Envelope {
	m.self.State = StateLeaving
	m.self.Incarnation++
	return m.announce(now)
}

// AnnounceLeft tells everyone that the daemon has handed over all it had.
func (m *Membership) AnnounceLeft(now time.Time) []Envelope {
	m.self.State = StateLeft
	m.self.Incarnation++
	return m.announce(now)
}

func (m *Membership) announce(now time.Time) []Envelope {
	m.touch(now)
	out := make([]Envelope, 0, len(m.peers))
	for _, id := range m.order {
		if r := m.peers[id]; r.present() {
			out = append(out, m.ping(r.Control))
		}
	}
	return out
}

// Tick lets time pass and returns what is to be sent.
func (m *Membership) Tick(now time.Time) []Envelope {
	out := m.follow(now)
	m.expire(now)
	if now.Before(m.nextProbe) {
		return out
	}
	m.nextProbe = now.Add(m.cfg.ProbePeriod)
	m.ticks++
	if m.probe.target == 0 {
		out = append(out, m.startProbe(now)...)
	}
	if m.ticks%deadProbes == 0 {
		out = append(out, m.probeDead()...)
	}
	return out
}

// expire turns suspicion into death and forgets what is long past.
func (m *Membership) expire(now time.Time) {
	for _, id := range m.order {
		r := m.peers[id]
		age := now.Sub(r.since)
		switch {
		case r.State == StateSuspect && age >= m.cfg.SuspectTimeout:
			dead := r.Member
			dead.State = StateDead
			m.apply(dead, now)
		case r.State == StateLeft && age >= m.cfg.LostWindow, r.State == StateDead && age >= forgetAfter:
			m.forget(id)
		}
	}
	for seq, r := range m.relays {
		if now.Sub(r.at) > 2*m.cfg.ProbeTimeout {
			delete(m.relays, seq)
		}
	}
	for _, r := range m.peers {
		if r.fresh && now.Sub(r.joined) >= m.cfg.RecentWindow {
			r.fresh = false
			m.epoch++
		}
	}
	n := len(m.lost)
	m.lost = slices.DeleteFunc(m.lost, func(l lostMember) bool { return now.Sub(l.at) >= m.cfg.LostWindow })
	if len(m.lost) != n {
		m.epoch++
	}
	if m.unsettled && now.Sub(m.changed) >= m.cfg.LostWindow {
		m.unsettled = false
		m.epoch++
	}
	if !m.changed.IsZero() && now.Sub(m.changed) >= m.cfg.RecentWindow {
		m.changed = time.Time{}
		m.epoch++
	}
}

// Receive handles a message that was sent from the control address from.
func (m *Membership) Receive(now time.Time, from netip.AddrPort, msg *Message) []Envelope {
	if msg.From.ID == m.self.ID {
		return nil
	}
	m.serving = m.serving || msg.Bundle != 0
	m.apply(msg.From, now)
	for i := range msg.Updates {
		m.apply(msg.Updates[i], now)
	}
	var out []Envelope
	if old := m.peers[msg.From.ID]; old != nil && outdated(old, &msg.From) {
		// The sender doesn't know what it is taken for: tell it, so that it can refute
		// with a higher incarnation.
		m.spread(old.Member)
	}
	switch msg.Kind {
	case KindPing:
		out = append(out, m.answer(from, msg, now))
	case KindPingRequest:
		e := m.ping(msg.Target)
		m.relays[e.Message.Seq] = relay{to: from, seq: msg.Seq, at: now}
		out = append(out, e)
	case KindAck:
		out = append(out, m.acknowledged(msg)...)
	}
	return out
}

// outdated reports whether what is known of a member is wrong though its incarnation
// is not lower than the one that the member gives itself: it is taken for dead, or for
// an earlier run of its process. The latter comes of a time of day that jumped back
// before the restart; a leaving member that was killed would be leaving for good.
func outdated(known *record, says *Member) bool {
	if known.Incarnation < says.Incarnation {
		return false
	}
	return !known.present() || known.Boot != says.Boot
}

// Merge takes in members that another daemon knows. Those that are new here aren't passed on:
// who told them has done so, and a daemon that joins a fleet of 195 would else repeat all of
// them to each of its first hundred partners.
func (m *Membership) Merge(now time.Time, members []Member) {
	added := false
	for i := range members {
		u := &members[i]
		switch {
		case u.ID == m.self.ID:
		case m.peers[u.ID] != nil:
			m.apply(*u, now)
		case u.present():
			m.peers[u.ID] = newRecord(*u, now)
			added = true
		}
	}
	if added {
		m.reorder()
		m.touch(now)
	}
}

// ServingMemberSeen reports whether a member that has a bundle in force was heard.
func (m *Membership) ServingMemberSeen() bool { return m.serving }

// PingAddress pings a daemon that may not be a member yet, so that it knows of this one.
func (m *Membership) PingAddress(at netip.AddrPort) []Envelope { return []Envelope{m.ping(at)} }

// BootstrapMembers returns the members that a newcomer of a zone is told of first: those who read
// the store before others in its zone, and the first of the whole system. By them it finds who
// can tell it the rest.
func (m *Membership) BootstrapMembers(zone bundle.Zone, newcomer ID) []Member {
	var own []*Member
	var first *Member
	for _, o := range m.present() {
		switch {
		case o.ID == newcomer:
		case o.Zone == zone:
			own = append(own, o)
		case first == nil || compareReaders(o, first) < 0:
			first = o
		}
	}
	slices.SortFunc(own, compareReaders)
	var out []Member
	for _, o := range own[:min(len(own), maxIntroduced)] {
		out = append(out, *o)
	}
	if first != nil {
		out = append(out, *first)
	}
	return out
}

// present returns the members that are there, this daemon first.
func (m *Membership) present() []*Member {
	out := []*Member{&m.self}
	for _, id := range m.order {
		if r := m.peers[id]; r.present() {
			out = append(out, &r.Member)
		}
	}
	return out
}

const (
	// maxIntroduced is how many members of a newcomer's zone it is told of: two may be starting
	// or gone.
	maxIntroduced = 3
	// introduceFor is how long after a member joined it is told of these with each answer. While
	// a whole system starts, the largest may come after the first answers.
	introduceFor = 3 * time.Second
)

// Members returns all members that are there, this daemon first.
func (m *Membership) Members() []Member {
	list := m.present()
	out := make([]Member, 0, len(list))
	for _, o := range list {
		out = append(out, *o)
	}
	return out
}

// Digest is a sum over the members that are there, with their runs and states. Two
// daemons with one digest know the same members.
func (m *Membership) Digest() uint64 {
	sum := m.self.digest()
	for _, r := range m.peers {
		if r.present() {
			sum += r.digest()
		}
	}
	return sum
}

func (m *Membership) touch(now time.Time) {
	m.changed = now
	m.unsettled = true
	m.epoch++
}

// answer acknowledges a ping. One that joined lately is told who can tell it more.
func (m *Membership) answer(to netip.AddrPort, ping *Message, now time.Time) Envelope {
	var known []Member
	if r := m.peers[ping.From.ID]; r != nil && now.Sub(r.joined) < introduceFor {
		known = m.BootstrapMembers(r.Zone, r.ID)
		known = known[:min(len(known), m.cfg.Updates)]
	}
	return m.envelopeWith(to, KindAck, ping.Seq, known)
}

func (m *Membership) envelope(to netip.AddrPort, k Kind, seq uint32) Envelope {
	return m.envelopeWith(to, k, seq, nil)
}

// envelopeWith makes a message whose updates begin with given ones.
func (m *Membership) envelopeWith(to netip.AddrPort, k Kind, seq uint32, first []Member) Envelope {
	msg := Message{
		Kind:    k,
		Seq:     seq,
		From:    m.self,
		Bundle:  m.bundle,
		Updates: append(first, m.takeGossip(m.cfg.Updates-len(first))...),
	}
	if k == KindPing {
		msg.Flows = m.flows
	}
	return Envelope{To: to, Message: msg}
}

func newRecord(u Member, now time.Time) *record {
	return &record{Member: u, since: now, fresh: true, joined: now}
}

func (m *Membership) add(u Member, now time.Time) {
	m.peers[u.ID] = newRecord(u, now)
	m.reorder()
}

func (m *Membership) forget(id ID) {
	delete(m.peers, id)
	m.reorder()
}

func (m *Membership) reorder() {
	m.order = slices.Sorted(maps.Keys(m.peers))
}

// present reports whether the member is there, as far as is known.
func (m *Member) present() bool {
	return m.State != StateDead && m.State != StateLeft
}
