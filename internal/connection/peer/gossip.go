package peer

import (
	"slices"
	"time"
)

type rumor struct {
	Member
	copies int
}

// apply takes in what was said of a member, by itself or by another.
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
		m.spread(u)
		m.touch(now)
		return
	}
	if u.Boot != r.Boot && u.Incarnation > r.Incarnation && r.present() {
		// The host restarted before its death was noticed: what it held is lost.
		m.noteLost(r.Member, now)
	}
	if !overrules(&u, &r.Member) {
		return
	}
	if u.State == StateDead && r.present() {
		m.noteLost(r.Member, now)
	}
	if u.State == StateAlive && r.State == StateDead && u.Boot == r.Boot {
		m.noteFound(u)
	}
	moves := holds(u.State) != holds(r.State) || u.Boot != r.Boot
	if u.Boot != r.Boot || !r.present() {
		r.fresh, r.joined = true, now
	}
	r.Member = u
	r.since = now
	m.spread(u)
	m.epoch++
	if moves {
		m.touch(now)
	}
}

// holds groups the states between which the homes of flows move: a suspicion
// that is refuted moves none.
func holds(s State) State {
	if s == StateSuspect {
		return StateAlive
	}
	return s
}

// overrules reports whether u says more than what is known: a higher
// incarnation, or a later state at the same one.
func overrules(u, known *Member) bool {
	if u.Incarnation != known.Incarnation {
		return u.Incarnation > known.Incarnation
	}
	return u.State > known.State
}

// refute answers a claim about this daemon that isn't true. A claim from an
// earlier run of it, or of its death, is overruled by a higher incarnation.
func (m *Membership) refute(u Member) {
	if u.Incarnation < m.self.Incarnation || u.Boot == m.self.Boot && u.State == m.self.State {
		return
	}
	if u.State <= m.self.State && u.Incarnation == m.self.Incarnation && u.Boot == m.self.Boot {
		return
	}
	m.self.Incarnation = u.Incarnation + 1
	m.spread(m.self)
	m.epoch++
}

func (m *Membership) noteLost(l Member, now time.Time) {
	m.lost = append(m.lost, lostMember{Member: l, at: now})
	m.epoch++
}

// noteFound takes back the loss of a member that was only out of reach.
func (m *Membership) noteFound(u Member) {
	m.lost = slices.DeleteFunc(m.lost, func(l lostMember) bool { return l.ID == u.ID && l.Boot == u.Boot })
}

// spread passes an update on with the next messages, in place of older ones of
// the same member.
func (m *Membership) spread(u Member) {
	m.gossip = slices.DeleteFunc(m.gossip, func(r rumor) bool { return r.ID == u.ID })
	m.gossip = append([]rumor{{Member: u, copies: m.cfg.GossipCopies}}, m.gossip...)
}

// takeGossip returns at most n updates to pass on.
func (m *Membership) takeGossip(n int) []Member {
	var out []Member
	for i := range m.gossip {
		if len(out) == n {
			break
		}
		out = append(out, m.gossip[i].Member)
		m.gossip[i].copies--
	}
	m.gossip = slices.DeleteFunc(m.gossip, func(r rumor) bool { return r.copies <= 0 })
	return out
}
