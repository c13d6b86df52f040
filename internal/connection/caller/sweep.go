package caller

import (
	"net/netip"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/request/ip"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// endedFor keeps a closed TCP flow for its last segments: twice the maximum
// segment lifetime (RFC 9293, section 3.4.1) shortened as common systems do.
const endedFor = 60

// proposedFor keeps a proposal for as long as a caller repeats its first message
// (RFC 7252, MAX_TRANSMIT_SPAN).
const proposedFor = 60

// SweepResult says how far a sweep of a shard got.
type SweepResult struct {
	// AwaitingConfirmation counts the records that others were told and must confirm.
	AwaitingConfirmation int
	// Sent counts all that was told.
	Sent int
	// Complete is set if the budget sufficed for all of them.
	Complete bool
}

// Sweep works through one shard: it ends idle flows and expired requests, and
// tells records to the members that should have them now, at most budget of
// them. It goes on telling a record in each sweep until the receiver confirms.
func (e *Engine) Sweep(now time.Time, shard, budget int, out []Output) ([]Output, SweepResult) {
	t := e.routing.Load()
	if t == nil {
		return out, SweepResult{Complete: true}
	}
	s := sweep{e: e, view: e.view.Load(), routing: t, now: e.seconds(now), budget: budget, out: out}
	e.Flows.Visit(shard, s.visit)
	result := SweepResult{AwaitingConfirmation: s.told, Sent: budget - s.budget, Complete: !s.short}
	return e.expire(now, shard, s.out), result
}

// sweep is the state of one pass through a shard.
type sweep struct {
	e       *Engine
	view    *numberedView
	routing *bundle.Routing
	now     Seconds
	budget  int
	told    int
	short   bool
	out     []Output
}

func (s *sweep) visit(k *Key, r *Record) bool {
	svc := s.routing.Service(k.VNI())
	if svc == nil || s.idle(svc, r) {
		if r.Flags&RecordCounted != 0 {
			s.e.uncount(r)
			s.e.Counters.Ended.Add(1)
		}
		return false
	}
	switch {
	case r.State == StateFirm:
		return s.place(k, r)
	case r.State == StateTentative && r.Upstream != 0 && r.Other != 0 && s.leaving():
		s.propose(k, r)
	}
	return true
}

// idle reports whether a record can go. A copy sees few of the flow's packets, so
// it is kept until its home has stopped renewing it.
func (s *sweep) idle(svc *bundle.ServiceRoute, r *Record) bool {
	limit := Seconds(svc.IdleTimeout / time.Second)
	if r.State == StateEnded {
		limit = endedFor
	}
	if r.Flags&RecordBackup != 0 {
		limit *= backupIdleFactor
	}
	if r.State == StateHeld || r.State == StateTentative && r.Other == 0 {
		limit = proposedFor
	}
	return s.now > r.Seen+limit
}

// place sees to it that home and backup both have the record. It returns false
// for a record that has become no concern of this daemon.
func (s *sweep) place(k *Key, r *Record) bool {
	u := s.routing.Upstream(r.Upstream)
	h := k.Hash()
	home := s.view.Owner(h)
	if u == nil || home == nil {
		return true
	}
	if home.ID == s.view.Self {
		s.atHome(k, r, u, h)
		return true
	}
	keeps := s.view.IsReplica(h, home.ID)
	unconfirmed := r.Flags&RecordUnconfirmed != 0 && (s.leaving() || !keeps)
	if home.Tag() != r.Other || unconfirmed {
		s.tell(k, r, home.Data, geneve.FlagConfirm)
		return true
	}
	// A former holder's record isn't renewed. Kept, it could one day speak for a
	// flow that was placed again meanwhile.
	return s.view.RecentlyChanged || keeps
}

// atHome tells the backup and the other zones what they lack since members
// changed.
func (s *sweep) atHome(k *Key, r *Record, u *bundle.UpstreamRoute, h peer.FlowHash) {
	if backup := s.view.Backup(h, u.Zone, s.view.Self); backup != nil && backup.Tag() != r.Other {
		s.tell(k, r, backup.Data, geneve.FlagBackup|geneve.FlagConfirm)
	}
	if r.Replicated == s.view.number {
		return
	}
	next := s.view.previous != nil && r.Replicated == max(1, s.view.number-1)
	for _, z := range s.view.Zones() {
		m := s.view.Replica(h, z, s.view.Self)
		if m == nil || z == u.Zone || next && s.hadReplica(h, z, m) {
			continue
		}
		s.tell(k, r, m.Data, geneve.FlagBackup)
	}
	if !s.short {
		r.Replicated = s.view.number
	}
}

// leaving reports whether this daemon hands its records over. The home of a
// record that is unconfirmed may have another proposal, or none that holds.
func (s *sweep) leaving() bool {
	m := s.view.Member(s.view.Self)
	return m != nil && m.State == peer.StateLeaving
}

// propose passes a proposal on that only this daemon may still know: a firm
// record of the flow can have died with its backup.
func (s *sweep) propose(k *Key, r *Record) {
	h := k.Hash()
	self := s.view.Member(s.view.Self)
	home := s.view.Owner(h)
	for _, m := range []*peer.Member{home, s.view.Replica(h, self.Zone, home.ID)} {
		if m == nil || m.ID == s.view.Self || s.budget <= 0 {
			continue
		}
		s.tell(k, r, m.Data, 0)
		s.out[len(s.out)-1].Header.Hop.Kind = geneve.KindPropose
	}
}

// hadReplica reports whether m kept the zone's copy under the view before, so
// that one change of a member doesn't have all flows told again.
func (s *sweep) hadReplica(h peer.FlowHash, z bundle.Zone, m *peer.Member) bool {
	old := s.view.previous.Replica(h, z, s.view.Self)
	return old != nil && old.Tag() == m.Tag()
}

func (s *sweep) tell(k *Key, r *Record, to netip.AddrPort, flags geneve.Flags) {
	if s.budget <= 0 {
		s.short = true
		return
	}
	inner, err := ip.BuildHeaders(k.CallerAddr(), k.ServiceAddr(), k.Protocol())
	if err != nil {
		return
	}
	s.budget--
	if flags&geneve.FlagConfirm != 0 {
		s.told++
	}
	s.out = append(s.out, Output{
		To: to,
		Header: geneve.Header{
			VNI:       k.VNI(),
			EtherType: etherTypeOf(k.CallerAddr().Addr()),
			Control:   true,
			Hop:       learnHop(s.view.Self, r, flags),
		},
		Inner: inner,
	})
}
