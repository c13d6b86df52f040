package peer

import (
	"slices"
	"time"
)

// gossipUpdate is an update that is still to be sent in as many messages as copies says.
type gossipUpdate struct {
	Member
	copies int
}

// apply processes a claim about a member, made by the member itself or by another one.
func (m *Membership) apply(u Member, now time.Time) {
	if u.ID == m.self.ID {
		m.refute(u)
		return
	}
	r := m.peers[u.ID]
	if r == nil {
		if u.State == StateDead || u.State == StateLeft {
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
	m.enqueueGossip(u)
	m.epoch++
	if ownersMove {
		m.markChanged(now)
	}
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
}

// withdrawLost removes a member from the lost ones that was only unreachable.
func (m *Membership) withdrawLost(u Member) {
	m.lost = slices.DeleteFunc(m.lost, func(l lostMember) bool { return l.ID == u.ID && l.Boot == u.Boot })
}

// enqueueGossip queues an update for the next messages. It replaces older updates about the same
// member.
func (m *Membership) enqueueGossip(u Member) {
	m.gossip = slices.DeleteFunc(m.gossip, func(r gossipUpdate) bool { return r.ID == u.ID })
	m.gossip = append([]gossipUpdate{{Member: u, copies: m.cfg.GossipCopies}}, m.gossip...)
}

// takeGossip returns at most n updates to send and counts them as sent once more.
func (m *Membership) takeGossip(n int) []Member {
	var out []Member
	for i := range m.gossip {
		if len(out) == n {
			break
		}
		out = append(out, m.gossip[i].Member)
		m.gossip[i].copies--
	}
	m.gossip = slices.DeleteFunc(m.gossip, func(r gossipUpdate) bool { return r.copies <= 0 })
	return out
}
