package peer

import (
	"net/netip"
	"slices"
	"time"
)

// probe is the probe in progress. There is at most one.
type probe struct {
	// target is the member that is probed, zero if no probe is in progress.
	target ID
	seq    uint32
	sentAt time.Time
	// indirect is set once helpers were requested to probe the target too.
	indirect bool
}

// delegatedProbe is a probe made on behalf of another member.
type delegatedProbe struct {
	// to is the control address of the member that requested it, seq the number in its request.
	to     netip.AddrPort
	seq    uint32
	sentAt time.Time
}

// continueProbe handles the timeouts of the probe in progress. After the first timeout it requests
// probes by helpers and repeats its own, after the second one it suspects the member.
func (m *Membership) continueProbe(now time.Time) []Envelope {
	if m.probe.target == 0 || now.Sub(m.probe.sentAt) < m.cfg.ProbeTimeout {
		return nil
	}
	r := m.peers[m.probe.target]
	if r == nil || !r.present() {
		m.probe = probe{}
		return nil
	}
	if !m.probe.indirect {
		m.probe.indirect = true
		m.probe.sentAt = now
		return m.requestIndirectProbes(r)
	}
	m.probe = probe{}
	r.silentSince = now
	if r.State != StateAlive && r.State != StateLeaving {
		m.expireAt(now)
		return nil
	}
	suspect := r.Member
	suspect.State = StateSuspect
	m.apply(suspect, now)
	// The suspicion is the newest update, so the member itself is the first to receive it: it need
	// not wait for the gossip of others to refute it.
	return []Envelope{m.ping(r.Control)}
}

func (m *Membership) requestIndirectProbes(target *peerState) []Envelope {
	var out []Envelope
	ids := slices.Clone(m.sortedIDs)
	m.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		r := m.peers[id]
		if len(out) == m.cfg.Helpers {
			break
		}
		if id == target.ID || r.State != StateAlive {
			continue
		}
		e := m.envelope(r.Control, KindPingRequest, m.probe.seq)
		e.Message.Target = target.Control
		out = append(out, e)
	}
	// The direct probe is repeated as well, because the loss of one datagram is not a failure.
	e := m.envelope(target.Control, KindPing, m.probe.seq)
	e.NewPort = true
	return append(out, e)
}

// startProbe pings the next member. All present members form a ring in the order of their
// identifiers. In each period every member probes the one at the same distance along the ring, so
// each member is probed once per period. If members chose their targets at random, a dead member
// would occasionally be probed by nobody for a second.
func (m *Membership) startProbe(now time.Time) []Envelope {
	ring := []ID{m.self.ID}
	for _, id := range m.sortedIDs {
		if m.peers[id].present() {
			ring = append(ring, id)
		}
	}
	if len(ring) == 1 {
		return nil
	}
	slices.Sort(ring)
	round := uint64(now.UnixNano()) / uint64(m.cfg.ProbePeriod)
	distance := 1 + round%uint64(len(ring)-1)
	position := uint64(slices.Index(ring, m.self.ID))
	target := ring[(position+distance)%uint64(len(ring))]
	e := m.ping(m.peers[target].Control)
	m.probe = probe{target: target, seq: e.Message.Seq, sentAt: now}
	return []Envelope{e}
}

// probeDead pings one member that is unreachable, so that both sides of a network partition detect
// each other after it heals, without the platform.
func (m *Membership) probeDead() []Envelope {
	var dead []ID
	for _, id := range m.sortedIDs {
		if m.peers[id].State == StateDead {
			dead = append(dead, id)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	return []Envelope{m.ping(m.peers[dead[m.rng.IntN(len(dead))]].Control)}
}

func (m *Membership) handleAck(msg *Message) []Envelope {
	if msg.Seq == m.probe.seq {
		m.probe = probe{}
	}
	r, ok := m.delegatedProbes[msg.Seq]
	if !ok {
		return nil
	}
	delete(m.delegatedProbes, msg.Seq)
	e := m.envelope(r.to, KindAck, r.seq)
	e.Message.Target = msg.From.Control
	e.Message.Updates = append([]Member{msg.From}, e.Message.Updates[:min(len(e.Message.Updates), m.cfg.Updates-1)]...)
	return []Envelope{e}
}

func (m *Membership) ping(to netip.AddrPort) Envelope {
	m.seq++
	return m.envelope(to, KindPing, m.seq)
}
