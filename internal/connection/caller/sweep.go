package caller

import (
	"net/netip"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/request/ip"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// endedRetentionSeconds is how long the record of a closed TCP flow is kept for its
// last segments: twice the maximum segment lifetime (RFC 9293, section 3.4.1),
// shortened as common systems do.
const endedRetentionSeconds = 60

// proposalRetentionSeconds is how long a proposal is kept: at least as long as a caller
// retransmits its first message (RFC 7252, MAX_TRANSMIT_SPAN).
const proposalRetentionSeconds = 60

// SweepResult says how much of a shard a sweep completed.
type SweepResult struct {
	// AwaitingConfirmation is the number of records that were sent to members that must
	// confirm them.
	AwaitingConfirmation int
	// Sent is the number of all records that were sent.
	Sent int
	// Complete is set if the budget was sufficient for all records.
	Complete bool
}

// Sweep processes one shard: it removes idle flows, answers expired requests, and sends
// records to the members that should hold them now, at most budget of them. It sends a
// record again in each sweep until the receiver confirms it.
func (e *Engine) Sweep(now time.Time, shard, budget int, out []Output) ([]Output, SweepResult) {
	t := e.routing.Load()
	if t == nil {
		return out, SweepResult{Complete: true}
	}
	s := sweep{e: e, view: e.view.Load(), routing: t, now: e.seconds(now), budget: budget, out: out}
	e.Flows.Visit(shard, s.handleRecord)
	result := SweepResult{AwaitingConfirmation: s.awaiting, Sent: budget - s.budget, Complete: !s.exhausted}
	return e.expire(now, shard, s.out), result
}

// sweep is the state of one pass through a shard. budget is how many more records it may
// send, awaiting counts the ones sent that must be confirmed, and exhausted is set if the
// budget didn't suffice.
type sweep struct {
	e         *Engine
	view      *numberedView
	routing   *bundle.Routing
	now       Seconds
	budget    int
	awaiting  int
	exhausted bool
	out       []Output
}

func (s *sweep) handleRecord(k *Key, r *Record) bool {
	svc := s.routing.Service(k.VNI())
	if svc == nil || s.isIdle(svc, r) {
		if r.Flags&RecordCounted != 0 {
			s.e.uncount(r)
			s.e.Counters.Ended.Add(1)
		}
		return false
	}
	switch {
	case r.State == StateCommitted:
		return s.replicate(k, r)
	case r.State == StateTentative && r.Upstream != 0 && r.ReplicaTag != 0 && s.leaving():
		s.sendProposal(k, r)
	}
	return true
}

// isIdle reports whether a record can be removed. A replica sees few of the flow's
// packets, so it is kept until its owner has stopped renewing it.
func (s *sweep) isIdle(svc *bundle.ServiceRoute, r *Record) bool {
	limit := Seconds(svc.IdleTimeout / time.Second)
	if r.State == StateEnded {
		limit = endedRetentionSeconds
	}
	if r.Flags&RecordBackup != 0 {
		limit *= backupIdleFactor
	}
	if r.State == StateDeferred || r.State == StateTentative && r.ReplicaTag == 0 {
		limit = proposalRetentionSeconds
	}
	return s.now > r.LastSeen+limit
}

// replicate makes sure that both owner and backup have the record. It returns false if
// this daemon no longer needs the record.
func (s *sweep) replicate(k *Key, r *Record) bool {
	u := s.routing.Upstream(r.Upstream)
	h := k.Hash()
	owner := s.view.Owner(h)
	if u == nil || owner == nil {
		return true
	}
	if owner.ID == s.view.Self {
		s.replicateAsOwner(k, r, u, h)
		return true
	}
	isReplica := s.view.IsReplica(h, owner.ID)
	mustConfirm := r.Flags&RecordUnconfirmed != 0 && (s.leaving() || !isReplica)
	if owner.Tag() != r.ReplicaTag || mustConfirm {
		s.sendRecord(k, r, owner.Data, geneve.FlagConfirm)
		return true
	}
	// The record of a former replica isn't renewed. If it were kept, it could later be
	// used for a flow that was placed again in the meantime.
	return s.view.RecentlyChanged || isReplica
}

// replicateAsOwner sends the record to the backup and to the replicas in the other
// zones that lack it since members changed.
func (s *sweep) replicateAsOwner(k *Key, r *Record, u *bundle.UpstreamRoute, h peer.FlowHash) {
	if backup := s.view.Backup(h, u.Zone, s.view.Self); backup != nil && backup.Tag() != r.ReplicaTag {
		s.sendRecord(k, r, backup.Data, geneve.FlagBackup|geneve.FlagConfirm)
	}
	if r.ReplicatedView == s.view.number {
		return
	}
	previousView := s.view.previous != nil && r.ReplicatedView == max(1, s.view.number-1)
	for _, z := range s.view.Zones() {
		m := s.view.Replica(h, z, s.view.Self)
		if m == nil || z == u.Zone || previousView && s.hadReplica(h, z, m) {
			continue
		}
		s.sendRecord(k, r, m.Data, geneve.FlagBackup)
	}
	if !s.exhausted {
		r.ReplicatedView = s.view.number
	}
}

// leaving reports whether this daemon is leaving and hands its records over. Then it
// also sends unconfirmed records: the owner of such a record may have another proposal,
// or none that is valid.
func (s *sweep) leaving() bool {
	m := s.view.Member(s.view.Self)
	return m != nil && m.State == peer.StateLeaving
}

// sendProposal sends a proposal that perhaps only this daemon still has: a committed
// record of the flow may have been lost with its backup.
func (s *sweep) sendProposal(k *Key, r *Record) {
	h := k.Hash()
	self := s.view.Member(s.view.Self)
	owner := s.view.Owner(h)
	for _, m := range []*peer.Member{owner, s.view.Replica(h, self.Zone, owner.ID)} {
		if m == nil || m.ID == s.view.Self || s.budget <= 0 {
			continue
		}
		s.sendRecord(k, r, m.Data, 0)
		s.out[len(s.out)-1].Header.Hop.Kind = geneve.KindPropose
	}
}

// hadReplica reports whether m kept the zone's replica under the previous view too, so
// that one change of a member doesn't cause the records of all flows to be sent again.
func (s *sweep) hadReplica(h peer.FlowHash, z bundle.Zone, m *peer.Member) bool {
	old := s.view.previous.Replica(h, z, s.view.Self)
	return old != nil && old.Tag() == m.Tag()
}

func (s *sweep) sendRecord(k *Key, r *Record, to netip.AddrPort, flags geneve.Flags) {
	if s.budget <= 0 {
		s.exhausted = true
		return
	}
	inner, err := ip.BuildHeaders(k.CallerAddr(), k.ServiceAddr(), k.Protocol())
	if err != nil {
		return
	}
	s.budget--
	if flags&geneve.FlagConfirm != 0 {
		s.awaiting++
	}
	s.out = append(s.out, Output{
		To: to,
		Header: geneve.Header{
			VNI:       k.VNI(),
			EtherType: etherTypeOf(k.CallerAddr().Addr()),
			Control:   true,
			Hop:       replicateHop(s.view.Self, r, flags),
		},
		Inner: inner,
	})
}
