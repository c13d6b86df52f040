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

// SweepResult says how far a sweep of a shard got.
type SweepResult struct {
	// Told counts the records that others were told and haven't confirmed.
	Told int
	// Whole is set if the budget sufficed for all of them.
	Whole bool
}

// Sweep works through one shard: it ends idle flows and expired requests, and
// tells records to the members that should have them now, at most budget of
// them. It goes on telling a record in each sweep until the receiver confirms.
func (e *Engine) Sweep(now time.Time, shard, budget int, out []Output) ([]Output, SweepResult) {
	t := e.routing.Load()
	if t == nil {
		return out, SweepResult{Whole: true}
	}
	s := sweep{e: e, view: e.view.Load(), routing: t, now: e.seconds(now), budget: budget, out: out}
	e.Flows.Visit(shard, s.visit)
	result := SweepResult{Told: budget - s.budget, Whole: !s.short}
	return e.expire(now, shard, s.out), result
}

// sweep is the state of one pass through a shard.
type sweep struct {
	e       *Engine
	view    *numberedView
	routing *bundle.Routing
	now     Seconds
	budget  int
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
	if r.State != StateFirm {
		return true
	}
	return s.place(k, r)
}

// idle reports whether a record can go. A backup sees none of the flow's
// packets, so it keeps the record until its home has stopped renewing it.
func (s *sweep) idle(svc *bundle.ServiceRoute, r *Record) bool {
	limit := Seconds(svc.IdleTimeout / time.Second)
	if r.State == StateEnded {
		limit = endedFor
	}
	if r.Flags&RecordBackup != 0 {
		limit *= backupIdleFactor
	}
	return s.now > r.Seen+limit
}

// half the idle time, so a backup that hears nothing for twice that time has
// lost the home or the flow.
const (
	backupIdleFactor = 2
	renewDivisor     = 2
)

// place sees to it that home and backup both have the record. It returns false
// for a record that has become no concern of this daemon.
func (s *sweep) place(k *Key, r *Record) bool {
	u := s.routing.Upstream(r.Upstream)
	h := k.Hash()
	home := s.view.Home(h)
	if u == nil || home == nil {
		return true
	}
	if home.ID == s.view.Self {
		s.atHome(k, r, u, h)
		return true
	}
	if home.Tag() != r.Other {
		s.tell(k, r, home.Data, geneve.FlagConfirm)
		return true
	}
	// A former holder's record isn't renewed. Kept, it could one day speak for a
	// flow that was placed again meanwhile.
	return s.view.Recent || s.keepsFor(h, home.ID)
}

// atHome tells the backup and the other zones what they lack.
func (s *sweep) atHome(k *Key, r *Record, u *bundle.UpstreamRoute, h peer.FlowHash) {
	renew := s.mustRenew(k, r)
	if backup := s.view.Backup(h, u.Zone, s.view.Self); backup != nil && (renew || backup.Tag() != r.Other) {
		s.tell(k, r, backup.Data, geneve.FlagBackup|geneve.FlagConfirm)
	}
	if !renew && r.Replicated == s.view.number {
		return
	}
	next := s.view.previous != nil && r.Replicated == max(1, s.view.number-1)
	for _, z := range s.view.Zones() {
		m := s.view.Replica(h, z, s.view.Self)
		if m == nil || z == u.Zone {
			continue
		}
		if !renew && next && s.hadReplica(h, z, m) {
			continue
		}
		s.tell(k, r, m.Data, geneve.FlagBackup)
	}
	if !s.short {
		r.Replicated = s.view.number
	}
}

// hadReplica reports whether m kept the zone's copy under the view before, so
// that one change of a member doesn't have all flows told again.
func (s *sweep) hadReplica(h peer.FlowHash, z bundle.Zone, m *peer.Member) bool {
	old := s.view.previous.Replica(h, z, s.view.Self)
	return old != nil && old.Tag() == m.Tag()
}

// keepsFor reports whether this daemon keeps its zone's copy.
func (s *sweep) keepsFor(h peer.FlowHash, home peer.ID) bool {
	self := s.view.Member(s.view.Self)
	if self == nil {
		return true
	}
	m := s.view.Replica(h, self.Zone, home)
	return m != nil && m.ID == s.view.Self
}

// mustRenew reports whether the flow went on for half of its idle time since
// the backup last heard of it.
func (s *sweep) mustRenew(k *Key, r *Record) bool {
	limit := Seconds(s.routing.Service(k.VNI()).IdleTimeout / time.Second)
	return r.Seen > r.Told+limit/renewDivisor
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
