package peer

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Config holds the times and bounds of a Membership. A zero field takes its default.
type Config struct {
	// ProbePeriod is the time between two probes that a daemon sends.
	ProbePeriod time.Duration
	// ProbeTimeout is how long a daemon waits for an acknowledgement before it requests probes by
	// helpers, and again before it suspects the member.
	ProbeTimeout time.Duration
	// SuspectTimeout is how long a suspected member may refute the suspicion before it is declared
	// dead, if there are few members. See Membership.suspectTimeout.
	SuspectTimeout time.Duration
	// Helpers is how many other members are asked to probe a member that didn't acknowledge.
	Helpers int
	// LostWindow is how long a member that died is remembered as one that may have held records of
	// requests that a caller may repeat.
	LostWindow time.Duration
	// RecentWindow is how long after a change records are looked up at all members that may hold
	// them.
	RecentWindow time.Duration
	// GossipCopies is how many times each update is sent, at least.
	GossipCopies int
	// GossipPeriod is the time between two messages that carry nothing but updates, while there are
	// any. If it is zero, updates travel with probes only, which is too slow for hundreds of members.
	GossipPeriod time.Duration
	// TrackedPerOtherZone is how many members of each other zone the daemon tracks: the first in
	// reader order. The cost of the membership then grows with the daemon's own zone only. If it is
	// zero, the daemon tracks all.
	TrackedPerOtherZone int
	// Updates is how many updates one message carries, at most MaxUpdates. While no member joins or
	// leaves there are no updates to carry, so a larger value costs bytes only during changes.
	Updates int
}

// The defaults. With them a dead member is detected in less than two seconds among nine members.
const (
	DefaultProbePeriod    = 250 * time.Millisecond
	DefaultProbeTimeout   = 100 * time.Millisecond
	DefaultSuspectTimeout = 800 * time.Millisecond
	DefaultHelpers        = 2
	DefaultLostWindow     = 50 * time.Second
	DefaultRecentWindow   = 10 * time.Minute
	DefaultGossipCopies   = 6
	// DefaultUpdates leaves space for the counts of flows in the same datagram.
	DefaultUpdates = 4
	// deadProbePeriods is the number of probe periods between two probes of unreachable members, by
	// which the end of a network partition is detected.
	deadProbePeriods = 8
	// forgetDeadAfter is how long an unreachable member is probed before it is removed.
	forgetDeadAfter = 24 * time.Hour
)

func (c Config) withDefaults() Config {
	setIfZero(&c.ProbePeriod, DefaultProbePeriod)
	setIfZero(&c.ProbeTimeout, DefaultProbeTimeout)
	setIfZero(&c.SuspectTimeout, DefaultSuspectTimeout)
	setIfZero(&c.Helpers, DefaultHelpers)
	setIfZero(&c.LostWindow, DefaultLostWindow)
	setIfZero(&c.RecentWindow, DefaultRecentWindow)
	setIfZero(&c.GossipCopies, DefaultGossipCopies)
	setIfZero(&c.Updates, DefaultUpdates)
	return c
}

func setIfZero[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Envelope is a message and its destination.
type Envelope struct {
	To      netip.AddrPort
	Message Message
	// NewPort requests a source port that wasn't used before. A middlebox between the two ends
	// may have lost the state of the ports used until now and drop their packets, while a new pair
	// of ports works.
	NewPort bool
}

// Membership detects by direct probes which members are alive, in the manner of SWIM (Das, Gupta,
// Motivala 2002): each daemon probes one other member at a time, so the cost per daemon doesn't
// grow with their number. It has no socket and no clock of its own. It isn't safe for concurrent
// use.
type Membership struct {
	cfg    Config
	rng    *rand.Rand
	self   Member
	bundle bundle.Version
	flows  []uint32
	peers  map[ID]*peerState
	// sortedIDs holds the keys of peers in ascending order, so that the same events and the same
	// seed give the same messages. It is replaced, never changed in place.
	sortedIDs       []ID
	lost            []lostMember
	gossip          gossipQueue
	probe           probe
	delegatedProbes map[uint32]delegatedProbe
	seq             uint32
	ticks           uint64
	// changedAt is when the owners of flows last changed because a member joined, restarted, began
	// to leave, left or died, zero if they didn't within RecentWindow.
	changedAt time.Time
	// repeatsPossible is true for LostWindow after such a change.
	repeatsPossible bool
	nextProbe       time.Time
	nextGossip      time.Time
	// nextExpiry is when expire has to look at the members, zero if nothing expires.
	nextExpiry time.Time
	epoch      uint64
	// servingSeen is set once a message of a member that has a bundle in force was received.
	servingSeen bool
}

// peerState is another member, present or not, with what is known of it here.
type peerState struct {
	Member
	// stateSince is when the entry last changed.
	stateSince time.Time
	// recentlyJoined is true for RecentWindow after the member joined or restarted.
	recentlyJoined bool
	joinedAt       time.Time
	// silentSince is when this daemon last found that the member doesn't answer its probe.
	silentSince time.Time
	// doubtedIncarnation is the incarnation of the last claim of its death that wasn't believed.
	doubtedIncarnation Incarnation
}

// lostMember is a member that died without handing over its records.
type lostMember struct {
	Member
	lostAt time.Time
}

// NewMembership returns a membership whose only member is self. Zero fields of cfg take their
// defaults.
func NewMembership(cfg Config, self Member, rng *rand.Rand) *Membership {
	self.State = StateAlive
	return &Membership{
		cfg:             cfg.withDefaults(),
		rng:             rng,
		self:            self,
		peers:           make(map[ID]*peerState),
		delegatedProbes: make(map[uint32]delegatedProbe),
		seq:             rng.Uint32(),
		epoch:           1,
	}
}

// Epoch returns a number that grows with each change that is visible in View. The epoch of the store
// (objects.Epoch) is something else.
func (m *Membership) Epoch() uint64 { return m.epoch }

// Self returns the daemon's own entry.
func (m *Membership) Self() Member { return m.self }

// SetBundle sets the bundle version that messages to others name as the one in force here.
func (m *Membership) SetBundle(v bundle.Version) { m.bundle = v }

// SetFlows sets the counts of flows owned by this daemon at each upstream, as sent to others.
func (m *Membership) SetFlows(flows []uint32) { m.flows = flows }

// Seed pings those of the platform's hosts that aren't members. The platform's list may be
// outdated, so a host on it becomes a member only once it has acknowledged.
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

// AnnounceLeaving marks the daemon as leaving and returns the messages that announce it to all
// members immediately.
func (m *Membership) AnnounceLeaving(now time.Time) []Envelope {
	m.self.State = StateLeaving
	m.self.Incarnation++
	return m.announce(now)
}

// AnnounceLeft marks the daemon as left after it has handed over all its records, and returns the
// messages that announce it to all members.
func (m *Membership) AnnounceLeft(now time.Time) []Envelope {
	m.self.State = StateLeft
	m.self.Incarnation++
	return m.announce(now)
}

func (m *Membership) announce(now time.Time) []Envelope {
	m.markChanged(now)
	out := make([]Envelope, 0, len(m.peers))
	for _, id := range m.sortedIDs {
		if r := m.peers[id]; r.present() {
			out = append(out, m.ping(r.Control))
		}
	}
	return out
}

// Tick handles the timeouts that are due at now and returns the messages to send.
func (m *Membership) Tick(now time.Time) []Envelope {
	out := m.continueProbe(now)
	m.expire(now)
	out = append(out, m.sendGossip(now)...)
	if now.Before(m.nextProbe) {
		return out
	}
	m.nextProbe = now.Add(m.cfg.ProbePeriod)
	m.ticks++
	if m.probe.target == 0 {
		out = append(out, m.startProbe(now)...)
	}
	if m.ticks%deadProbePeriods == 0 {
		out = append(out, m.probeDead()...)
	}
	return out
}

// Receive handles a message that was sent from the control address from, and returns the messages
// to send.
func (m *Membership) Receive(now time.Time, from netip.AddrPort, msg *Message) []Envelope {
	if msg.From.ID == m.self.ID {
		return nil
	}
	m.servingSeen = m.servingSeen || msg.Bundle != 0
	m.apply(msg.From, now)
	for i := range msg.Updates {
		m.apply(msg.Updates[i], now)
	}
	var out []Envelope
	if old := m.peers[msg.From.ID]; old != nil && needsRefutation(old, &msg.From) {
		// The sender isn't aware of the state in which others hold it. It is sent that state, so
		// that it can refute it with a higher incarnation.
		m.enqueueGossip(old.Member)
	}
	switch msg.Kind {
	case KindPing:
		out = append(out, m.acknowledge(from, msg, now))
	case KindPingRequest:
		e := m.ping(msg.Target)
		m.delegatedProbes[e.Message.Seq] = delegatedProbe{to: from, seq: msg.Seq, sentAt: now}
		out = append(out, e)
	case KindAck:
		out = append(out, m.handleAck(msg)...)
	}
	return out
}

// needsRefutation reports whether the known state of a member is wrong although its incarnation
// isn't lower than the one that the member itself claims: the member is believed dead, or its entry
// is that of an earlier run of its process. The latter happens if the clock was set back before the
// restart. Without a refutation a leaving member that was killed and restarted would stay leaving
// permanently.
func needsRefutation(known *peerState, claimed *Member) bool {
	if known.Incarnation < claimed.Incarnation {
		return false
	}
	return !known.present() || known.Boot != claimed.Boot
}

// Merge adds or updates members that another daemon knows. Those that are new here aren't gossiped:
// the sender has done so already, and a daemon that joins a fleet of 195 would otherwise repeat all
// of them to each of its first hundred partners.
func (m *Membership) Merge(now time.Time, members []Member) {
	added := false
	for i := range members {
		u := &members[i]
		switch {
		case u.ID == m.self.ID:
		case m.peers[u.ID] != nil:
			m.apply(*u, now)
		case u.present() && m.tracks(u):
			m.peers[u.ID] = newPeerState(*u, now)
			added = true
		}
	}
	if added {
		m.sortIDs()
		m.untrackSurplus()
		m.markChanged(now)
	}
}

// ServingMemberSeen reports whether a message of a member that has a bundle in force was received.
func (m *Membership) ServingMemberSeen() bool { return m.servingSeen }

// PingAddress pings a daemon that may not be a member yet, so that it learns of this one.
func (m *Membership) PingAddress(at netip.AddrPort) []Envelope { return []Envelope{m.ping(at)} }

// BootstrapMembers returns the members that a joining member of a zone is sent first: the first
// members of its zone in reader order, and the first one of all other zones. From these it can
// request the rest.
func (m *Membership) BootstrapMembers(zone bundle.Zone, joining ID) []Member {
	var own []*Member
	var first *Member
	for _, o := range m.presentMembers() {
		switch {
		case o.ID == joining:
		case o.Zone == zone:
			own = append(own, o)
		case first == nil || compareReaders(o, first) < 0:
			first = o
		}
	}
	slices.SortFunc(own, compareReaders)
	var out []Member
	for _, o := range own[:min(len(own), maxBootstrapMembers)] {
		out = append(out, *o)
	}
	if first != nil {
		out = append(out, *first)
	}
	return out
}

// presentMembers returns the members that are neither dead nor left, this daemon first. The
// pointers refer to the membership's own entries.
func (m *Membership) presentMembers() []*Member {
	out := []*Member{&m.self}
	for _, id := range m.sortedIDs {
		if r := m.peers[id]; r.present() {
			out = append(out, &r.Member)
		}
	}
	return out
}

const (
	// maxBootstrapMembers is the number of members of its own zone that a joining member is sent:
	// two of them may be starting or may have left.
	maxBootstrapMembers = 3
	// bootstrapWindow is how long after a member joined it is sent these with each acknowledgement.
	// While a whole system starts, the largest hosts may join after the first acknowledgements.
	bootstrapWindow = 3 * time.Second
)

// Members returns all members that are neither dead nor left, this daemon first.
func (m *Membership) Members() []Member {
	list := m.presentMembers()
	out := make([]Member, 0, len(list))
	for _, o := range list {
		out = append(out, *o)
	}
	return out
}

// Digest returns a sum over the present members with their runs and states. Two daemons with the
// same digest know the same members.
func (m *Membership) Digest() uint64 {
	sum := m.self.digest()
	for _, r := range m.peers {
		if r.present() {
			sum += r.digest()
		}
	}
	return sum
}

// markChanged notes a change of members by which the owners of flows change.
func (m *Membership) markChanged(now time.Time) {
	m.changedAt = now
	m.repeatsPossible = true
	m.epoch++
	m.expireAt(now.Add(min(m.cfg.LostWindow, m.cfg.RecentWindow)))
}

// acknowledge returns the acknowledgement of a ping. If the sender joined recently, or isn't tracked
// here, it carries the members from which the sender can request more.
func (m *Membership) acknowledge(to netip.AddrPort, ping *Message, now time.Time) Envelope {
	var known []Member
	if r := m.peers[ping.From.ID]; r == nil || now.Sub(r.joinedAt) < bootstrapWindow {
		known = m.BootstrapMembers(ping.From.Zone, ping.From.ID)
		known = known[:min(len(known), m.cfg.Updates)]
	}
	return m.envelopeWith(to, KindAck, ping.Seq, known)
}

func (m *Membership) envelope(to netip.AddrPort, k Kind, seq uint32) Envelope {
	return m.envelopeWith(to, k, seq, nil)
}

// envelopeWith returns a message whose updates begin with those in first.
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

func newPeerState(u Member, now time.Time) *peerState {
	return &peerState{Member: u, stateSince: now, recentlyJoined: true, joinedAt: now}
}

func (m *Membership) add(u Member, now time.Time) {
	m.peers[u.ID] = newPeerState(u, now)
	i, _ := slices.BinarySearch(m.sortedIDs, u.ID)
	m.sortedIDs = slices.Insert(slices.Clip(m.sortedIDs), i, u.ID)
	if u.Zone != m.self.Zone {
		m.untrackSurplus()
	}
}

func (m *Membership) forget(id ID) {
	delete(m.peers, id)
	if i, found := slices.BinarySearch(m.sortedIDs, id); found {
		m.sortedIDs = slices.Concat(m.sortedIDs[:i], m.sortedIDs[i+1:])
	}
}

func (m *Membership) sortIDs() {
	m.sortedIDs = slices.Sorted(maps.Keys(m.peers))
}

// present reports whether the member is neither dead nor left, as far as is known.
func (m *Member) present() bool {
	return m.State != StateDead && m.State != StateLeft
}
