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
	s := sweep{e: e, view: e.View(), routing: t, now: e.seconds(now), budget: budget, out: out}
	e.Flows.Visit(shard, s.visit)
	result := SweepResult{Told: budget - s.budget, Whole: !s.short}
	return e.expire(now, shard, s.out), result
}

// sweep is the state of one pass through a shard.
type sweep struct {
	e       *Engine
	view    *peer.View
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
	backup := s.view.Backup(h, u.Zone, home.ID)
	if home.ID == s.view.Self {
		if backup != nil && (backup.Tag() != r.Other || s.mustRenew(k, r)) {
			s.tell(k, r, backup.Data, geneve.FlagBackup|geneve.FlagConfirm)
		}
		return true
	}
	if home.Tag() != r.Other {
		s.tell(k, r, home.Data, geneve.FlagConfirm)
		return true
	}
	// A former holder's record isn't renewed. Kept, it could one day speak for a
	// flow that was placed again meanwhile.
	former := backup == nil || backup.ID != s.view.Self
	return !former || s.view.Recent
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
