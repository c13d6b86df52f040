package peer

import (
	"slices"
	"time"
)

// gossipUpdate is an update that is still to be sent in as many messages as copies says.
type gossipUpdate struct {
	Member
	copies int
	// number identifies the update in its queue.
	number uint64
}

// apply processes a claim about a member, made by the member itself or by another one.
func (m *Membership) apply(u Member, now time.Time) {
	if u.ID == m.self.ID {
		m.refute(u)
		return
	}
	r := m.peers[u.ID]
	if r == nil {
		if u.State == StateDead || u.State == StateLeft || !m.tracks(&u) {
			return
		}
		m.add(u, now)
		m.enqueueGossip(u)
		m.markChanged(now)
		return
	}
	if u.Boot != r.Boot && u.Incarnation > r.Incarnation && r.present() {
		// The host restarted before its death was detected. The records that it held are lost.
		m.recordLost(r.Member, now)
	}
	if !supersedes(&u, &r.Member) {
		return
	}
	if m.doubtsDeath(&u, r) {
		if r.doubtedIncarnation != u.Incarnation {
			// The member refutes the claim once it has received it.
			r.doubtedIncarnation = u.Incarnation
			m.enqueueGossip(u)
		}
		return
	}
	if u.State == StateDead && r.present() {
		m.recordLost(r.Member, now)
	}
	if u.State == StateAlive && r.State == StateDead && u.Boot == r.Boot {
		m.withdrawLost(u)
	}
	ownersMove := ownershipState(u.State) != ownershipState(r.State) || u.Boot != r.Boot
	if u.Boot != r.Boot || !r.present() {
		r.recentlyJoined, r.joinedAt = true, now
	}
	r.Member = u
	r.stateSince = now
	if u.State == StateSuspect {
		m.expireAt(now.Add(m.suspectTimeout()))
	}
	m.enqueueGossip(u)
	m.epoch++
	if ownersMove {
		m.markChanged(now)
	}
}

// doubtsDeath reports whether a claim that a member is dead isn't believed because nobody on this side has suspected the
// member. Where a member really died, its suspicion comes first. When a partition ends, each side claims that the members
// of the other side are dead; if such a claim were believed until its refutation arrives, a daemon would take members of
// its own side for dead and place their flows again. If the member is dead, this daemon finds that with its own probes. In
// a large fleet that would take too long, so there the claim is believed.
func (m *Membership) doubtsDeath(u *Member, r *peerState) bool {
	return m.cfg.GossipPeriod == 0 && u.State == StateDead && r.State == StateAlive &&
		u.Boot == r.Boot && u.Incarnation == r.Incarnation
}

// ownershipState maps states between which the owners of flows don't change to the same value: a
// suspicion that is refuted changes no owner.
func ownershipState(s State) State {
	if s == StateSuspect {
		return StateAlive
	}
	return s
}

// supersedes reports whether u is newer than the known state: it has a higher incarnation, or a
// later state at the same incarnation.
func supersedes(u, known *Member) bool {
	if u.Incarnation != known.Incarnation {
		return u.Incarnation > known.Incarnation
	}
	return u.State > known.State
}

// refute answers a false claim about this daemon, such as one about an earlier run of it or one that
// it is suspected or dead. The daemon takes a higher incarnation, which supersedes the claim.
func (m *Membership) refute(u Member) {
	if u.Incarnation < m.self.Incarnation || u.Boot == m.self.Boot && u.State == m.self.State {
		return
	}
	if u.State <= m.self.State && u.Incarnation == m.self.Incarnation && u.Boot == m.self.Boot {
		return
	}
	m.self.Incarnation = u.Incarnation + 1
	m.enqueueGossip(m.self)
	m.epoch++
}

// recordLost remembers a member that died, for Config.LostWindow.
func (m *Membership) recordLost(l Member, now time.Time) {
	m.lost = append(m.lost, lostMember{Member: l, lostAt: now})
	m.epoch++
	m.expireAt(now.Add(m.cfg.LostWindow))
}

// withdrawLost removes a member from the lost ones that was only unreachable.
func (m *Membership) withdrawLost(u Member) {
	m.lost = slices.DeleteFunc(m.lost, func(l lostMember) bool { return l.ID == u.ID && l.Boot == u.Boot })
}

// gossipQueue holds the updates that are still to be sent, the newest last. Its operations take no
// longer if more updates wait. The zero value is an empty queue.
type gossipQueue struct {
	list []gossipUpdate
	// latest holds the number of the valid update about each member; older ones in list are skipped.
	latest map[ID]uint64
	number uint64
}

// add queues an update. It replaces an older update about the same member.
func (q *gossipQueue) add(u Member, copies int) {
	if q.latest == nil {
		q.latest = make(map[ID]uint64)
	}
	q.number++
	q.latest[u.ID] = q.number
	q.list = append(q.list, gossipUpdate{Member: u, copies: copies, number: q.number})
	if len(q.list) > 2*maxWaitingUpdates {
		q.dropOldest()
	}
}

// maxWaitingUpdates bounds the updates that wait. When more members change at the same time, the
// lists that daemons exchange inform them sooner than gossip.
const maxWaitingUpdates = 256

// dropOldest drops the older half of the updates.
func (q *gossipQueue) dropOldest() {
	dropped := len(q.list) - maxWaitingUpdates
	for _, g := range q.list[:dropped] {
		if q.latest[g.ID] == g.number {
			delete(q.latest, g.ID)
		}
	}
	q.list = slices.Delete(q.list, 0, dropped)
}

// take returns at most n updates to send, the newest first, and counts them as sent once more.
func (q *gossipQueue) take(n int) []Member {
	var out []Member
	first := len(q.list)
	for first > 0 && len(out) < n {
		first--
		if g := &q.list[first]; q.latest[g.ID] == g.number {
			out = append(out, g.Member)
			g.copies--
		}
	}
	kept := q.list[:first]
	for _, g := range q.list[first:] {
		switch {
		case q.latest[g.ID] != g.number:
		case g.copies > 0:
			kept = append(kept, g)
		default:
			delete(q.latest, g.ID)
		}
	}
	clear(q.list[len(kept):])
	q.list = kept
	return out
}

// waiting returns the number of updates that are still to be sent.
func (q *gossipQueue) waiting() int { return len(q.latest) }

// enqueueGossip queues an update for the next messages. It is sent more often in a larger fleet, so
// that no member is likely to miss it.
func (m *Membership) enqueueGossip(u Member) {
	copies := m.cfg.GossipCopies
	if m.cfg.GossipPeriod > 0 {
		copies = max(copies, m.rounds()+extraCopies)
	}
	m.gossip.add(u, copies)
}

const (
	// extraCopies is by how many copies of an update the logarithm of the number of members is
	// exceeded: the share of members that all copies miss is e to the power of minus the copies.
	extraCopies = 2
	// gossipFanout is the number of members to which updates are sent in each gossip period.
	gossipFanout = 2
)

// sendGossip returns messages with updates to random members, if any wait and it is time.
func (m *Membership) sendGossip(now time.Time) []Envelope {
	if m.cfg.GossipPeriod == 0 || m.gossip.waiting() == 0 || now.Before(m.nextGossip) || len(m.sortedIDs) == 0 {
		return nil
	}
	m.nextGossip = now.Add(m.cfg.GossipPeriod)
	var out []Envelope
	for range gossipFanout {
		if r := m.peers[m.sortedIDs[m.rng.IntN(len(m.sortedIDs))]]; r.present() {
			out = append(out, m.envelope(r.Control, KindGossip, 0))
		}
	}
	return out
}

// UpdatesWaiting returns the number of updates about members that this daemon has still to send.
func (m *Membership) UpdatesWaiting() int { return m.gossip.waiting() }

// takeGossip returns at most n updates to send and counts them as sent once more.
func (m *Membership) takeGossip(n int) []Member { return m.gossip.take(n) }
