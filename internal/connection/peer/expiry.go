package peer

import (
	"math/bits"
	"slices"
	"time"
)

// expire declares suspected members dead after suspectTimeout and removes entries whose window has
// passed. It looks at the members only when the first of these times has come.
func (m *Membership) expire(now time.Time) {
	for seq, r := range m.delegatedProbes {
		if now.Sub(r.sentAt) > 2*m.cfg.ProbeTimeout {
			delete(m.delegatedProbes, seq)
		}
	}
	if m.nextExpiry.IsZero() || now.Before(m.nextExpiry) {
		return
	}
	m.nextExpiry = time.Time{}
	for _, id := range m.sortedIDs {
		m.expirePeer(m.peers[id], now)
	}
	n := len(m.lost)
	m.lost = slices.DeleteFunc(m.lost, func(l lostMember) bool { return !m.expiresLater(l.lostAt, m.cfg.LostWindow, now) })
	if len(m.lost) != n {
		m.epoch++
	}
	if m.repeatsPossible && !m.expiresLater(m.changedAt, m.cfg.LostWindow, now) {
		m.repeatsPossible = false
		m.epoch++
	}
	if !m.changedAt.IsZero() && !m.expiresLater(m.changedAt, m.cfg.RecentWindow, now) {
		m.changedAt = time.Time{}
		m.epoch++
	}
}

// expirePeer does what expire does for one member.
func (m *Membership) expirePeer(r *peerState, now time.Time) {
	switch {
	case r.State == StateSuspect && !m.expiresLater(r.stateSince, m.suspectTimeout(), now) && m.mayDeclareDead(r):
		dead := r.Member
		dead.State = StateDead
		m.apply(dead, now)
	case r.State == StateLeft && !m.expiresLater(r.stateSince, m.cfg.LostWindow, now),
		r.State == StateDead && !m.expiresLater(r.stateSince, forgetDeadAfter, now):
		m.forget(r.ID)
	}
	if r.recentlyJoined && !m.expiresLater(r.joinedAt, m.cfg.RecentWindow, now) {
		r.recentlyJoined = false
		m.epoch++
	}
}

// mayDeclareDead reports whether this daemon declares a member dead that was suspected for long
// enough. In a large fleet only a daemon does so that has itself found the member silent: while many
// members change at the same time, a refutation may reach some daemons later than the suspicion.
func (m *Membership) mayDeclareDead(r *peerState) bool {
	return m.cfg.GossipPeriod == 0 || !r.silentSince.Before(r.stateSince)
}

// expiresLater reports whether the window that began at a time ends after now. If so, expire looks
// again when it has ended.
func (m *Membership) expiresLater(began time.Time, window time.Duration, now time.Time) bool {
	ends := began.Add(window)
	if !ends.After(now) {
		return false
	}
	m.expireAt(ends)
	return true
}

// expireAt makes expire look at the members at a time.
func (m *Membership) expireAt(t time.Time) {
	if m.nextExpiry.IsZero() || t.Before(m.nextExpiry) {
		m.nextExpiry = t
	}
}

// suspectTimeout returns how long a suspected member may refute the suspicion. An update reaches all
// members after a number of gossip periods that grows with the logarithm of their number, and so
// does the refutation. After a constant time, live members of a large fleet would be declared dead.
func (m *Membership) suspectTimeout() time.Duration {
	return max(m.cfg.SuspectTimeout, time.Duration(suspectRounds*m.rounds())*m.cfg.GossipPeriod)
}

// suspectRounds is how many times the number of gossip periods in which an update reaches all
// members must pass.
const suspectRounds = 2

// rounds returns the logarithm to base 2 of the number of members, rounded up.
func (m *Membership) rounds() int { return bits.Len(uint(len(m.peers))) }
