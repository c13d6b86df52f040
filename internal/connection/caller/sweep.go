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

// Sweep works through one shard: it ends idle flows and expired requests, and
// tells records to the members that should have them now. At most budget
// records are told; whether all were is returned too.
func (e *Engine) Sweep(now time.Time, shard, budget int, out []Output) ([]Output, bool) {
	t := e.routing.Load()
	if t == nil {
		return out, true
	}
	s := sweep{e: e, view: e.view.Load(), routing: t, now: e.seconds(now), budget: budget, out: out}
	e.Flows.Visit(shard, s.visit)
	return e.expire(now, shard, s.out), !s.short
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
	if r.State == StateFirm {
		s.place(k, r)
	}
	return true
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

// place tells the record to its home, if that is another member now, and to
// its backup, if that hasn't got it.
func (s *sweep) place(k *Key, r *Record) {
	u := s.routing.Upstream(r.Upstream)
	if u == nil {
		return
	}
	h := k.Hash()
	home := s.view.Home(h)
	if home == nil {
		return
	}
	if r.Flags&RecordBackup == 0 && home.ID != s.view.Self {
		s.rehome(k, r, home)
		return
	}
	backup := s.view.Backup(h, u.Zone, home.ID)
	if backup == nil {
		return
	}
	switch {
	case home.ID == s.view.Self && (backup.Tag() != r.Backup || s.mustRenew(k, r)):
		if s.tell(k, r, backup.Data, geneve.FlagBackup) {
			r.Backup = backup.Tag()
			r.Told = s.now
		}
	case home.ID != s.view.Self && s.leaving() && backup.ID != s.view.Self:
		s.tell(k, r, backup.Data, geneve.FlagBackup)
	}
}

// mustRenew reports whether the flow went on for half of its idle time since
// the backup last heard of it.
func (s *sweep) mustRenew(k *Key, r *Record) bool {
	limit := Seconds(s.routing.Service(k.VNI()).IdleTimeout / time.Second)
	return r.Seen > r.Told+limit/renewDivisor
}

// rehome gives a record to the member that is home now.
func (s *sweep) rehome(k *Key, r *Record, home *peer.Member) {
	if !s.tell(k, r, home.Data, 0) {
		return
	}
	s.e.uncount(r)
	r.Flags |= RecordBackup
	r.Flags &^= RecordLocal
}

func (s *sweep) leaving() bool {
	m := s.view.Member(s.view.Self)
	return m != nil && m.State == peer.StateLeaving
}

func (s *sweep) tell(k *Key, r *Record, to netip.AddrPort, flags geneve.Flags) bool {
	if s.budget <= 0 {
		s.short = true
		return false
	}
	inner, err := ip.BuildHeaders(k.CallerAddr(), k.ServiceAddr(), k.Protocol())
	if err != nil {
		return false
	}
	if r.Flags&RecordRetried != 0 {
		flags |= geneve.FlagRetried
	}
	s.budget--
	s.out = append(s.out, Output{
		To: to,
		Header: geneve.Header{
			VNI:       k.VNI(),
			EtherType: etherTypeOf(k.CallerAddr().Addr()),
			Control:   true,
			Hop: geneve.Hop{
				Kind:     geneve.KindLearn,
				Flags:    flags,
				Upstream: r.Upstream,
				Home:     uint64(s.view.Self),
			},
		},
		Inner: inner,
	})
	return true
}
