package caller

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/request/ip"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// home handles a packet at the daemon that decides for its flow.
func (e *Engine) home(w *packetWork) Cause {
	if w.answer {
		return e.homeAnswer(w)
	}
	return e.homeCall(w)
}

func (e *Engine) homeCall(w *packetWork) Cause {
	var rec Record
	e.Flows.Update(&w.key, w.hash, func(r *Record, found bool) bool {
		if !found || r.State == StateHeld || r.State == StateEnded && w.opensTCP() {
			if !e.newRecord(w, r) {
				return false
			}
		}
		if r.State == StateTentative && r.Upstream == 0 && w.seconds > r.Told {
			e.chooseAlone(w, r)
		}
		e.touch(w, r)
		rec = *r
		return true
	})
	switch {
	case rec.State == 0:
		return e.noRecord(w)
	case rec.State == StateHeld:
		return e.ask(w, &Record{})
	case rec.State == StateTentative && rec.Upstream == 0:
		return e.askPlacer(w, &rec)
	}
	return e.decided(w, &rec)
}

// decided lets a call of a flow whose upstream is known or proposed through.
func (e *Engine) decided(w *packetWork, rec *Record) Cause {
	if cause := e.admit(w, rec); cause != CauseNone {
		return cause
	}
	if rec.State == StateTentative || e.fenced(rec) {
		return e.ask(w, rec)
	}
	return e.forth(w, rec)
}

// forth sends a packet of a firm flow to its end, past those who keep the record
// if it is time to renew that.
func (e *Engine) forth(w *packetWork, rec *Record) Cause {
	if w.mustRenew(rec) {
		return e.refresh(w, rec)
	}
	e.refill(w, rec)
	return e.deliver(w, rec.Upstream)
}

// noRecord handles a call for which no record could be made: either no upstream
// may take a flow, or it is the middle of a TCP flow that others may know.
func (e *Engine) noRecord(w *packetWork) Cause {
	if w.p.IP.Protocol == ip.ProtocolTCP && !w.opensTCP() {
		return e.ask(w, &Record{})
	}
	return e.refuse(w, refusalNoUpstream)
}

// newRecord proposes an upstream for a flow without a record. Nothing is sent
// there before a backup has the record too, unless there is no other member.
func (e *Engine) newRecord(w *packetWork, r *Record) bool {
	if w.p.IP.Protocol == ip.ProtocolTCP && !w.opensTCP() {
		return false
	}
	beyond := w.view.OwnerMayBeUnreachable(w.hash)
	if beyond && hold(w, r) {
		return true
	}
	var id bundle.UpstreamID
	if p := w.view.Placer(w.service.VNI); p == nil || p.ID == e.self {
		u := e.choose(w, 0)
		if u == nil {
			return false
		}
		id = u.ID
		e.Loads.Placed(id, w.now.Add(recentFlows))
	}
	e.uncount(r)
	*r = Record{Upstream: id, State: StateTentative, Placed: unixSeconds(w.now), Told: w.seconds, Flags: RecordLocal}
	e.holds(r)
	if beyond || w.view.RecordMayBeLost(w.hash) {
		r.Flags = RecordUnsure
	}
	e.Counters.Placed.Add(1)
	return true
}

// chooseAlone chooses at the home itself for a flow whose placer gave no answer
// to an earlier copy of its packet: the placer may be dead, or take this daemon
// for dead.
func (e *Engine) chooseAlone(w *packetWork, r *Record) {
	if u := e.choose(w, 0); u != nil {
		r.Upstream = u.ID
		e.Loads.Placed(u.ID, w.now.Add(recentFlows))
	}
}

// recentFlows is how long a new flow counts at its placer by itself; after that
// its home has told of it.
const recentFlows = 8 * time.Second

// heldSightings is how often the same message of a flow must come before a side
// of a cut places it whose home is on the other side. A caller that reaches both
// sides gets its answer from there before, most likely; one that reaches only
// this side is served after two retransmissions.
const heldSightings = 3

// hold counts the copies of a message. It returns false when there were enough.
func hold(w *packetWork, r *Record) bool {
	id := w.p.IP.Seq
	if w.p.IP.Protocol == ip.ProtocolUDP {
		id = uint32(w.p.CoAP.MessageID)
	}
	if r.State != StateHeld || r.Other != id {
		*r = Record{State: StateHeld, Other: id}
	}
	r.Told++
	return r.Told < heldSightings
}

// choose returns an upstream for the flow other than not, or nil. Zones in which
// no member is reachable are left out: their upstreams can't be reached either.
func (e *Engine) choose(w *packetWork, not bundle.UpstreamID) *bundle.UpstreamRoute {
	candidates := make([]upstream.Candidate, 0, len(w.service.Upstreams))
	for _, u := range w.service.Upstreams {
		if u.ID == not || !w.view.CanReach(u.Zone) {
			continue
		}
		candidates = append(candidates, upstream.Candidate{Route: u, Load: e.Loads.Load(u.ID)})
	}
	return e.policy.Choose(candidates, uint64(w.hash))
}

// ask sends a packet through the members that may hold its flow's record. The
// last of them is the backup of the proposed upstream, which records it if
// nobody had one.
func (e *Engine) ask(w *packetWork, r *Record) Cause {
	h := w.p.Header
	h.Hop = geneve.Hop{Kind: geneve.KindAsk, Upstream: r.Upstream, Placed: r.Placed, Owner: uint64(e.self)}
	if w.answer {
		h.Hop.Flags |= geneve.FlagAnswer
	}
	if r.Upstream != 0 {
		h.Hop.Flags |= geneve.FlagPlace
	}
	if r.Flags&RecordUnsure != 0 || w.view.RecordMayBeLost(w.hash) || w.view.OwnerMayBeUnreachable(w.hash) {
		h.Hop.Flags |= geneve.FlagUnsure
	}
	if e.fenced(r) && r.State == StateFirm {
		h.Hop.Found = r.Upstream
	}
	if w.view.RecentlyChanged || !h.Hop.Has(geneve.FlagPlace) || e.fenced(r) {
		w.view.AddPossibleReplicas(w.hash, &h.Hop)
	} else {
		w.view.AddReplicas(w.hash, &h.Hop)
	}
	if h.Hop.Has(geneve.FlagUnsure) {
		w.view.AddAllMembers(w.hash, &h.Hop)
	}
	w.p.Header.Hop = h.Hop
	e.Counters.Queried.Add(1)
	e.backupLast(w, r)
	return e.passToHolder(w)
}

// backupLast puts the backup of the proposed upstream at the end of those who
// are asked: it records the flow if nobody had it. The record here notes whom
// the packet passes; the flow's first answer proves that it did.
func (e *Engine) backupLast(w *packetWork, rec *Record) {
	hop := &w.p.Header.Hop
	u := w.routing.Upstream(hop.Upstream)
	if u == nil {
		return
	}
	b := w.view.Backup(w.hash, u.Zone, e.self)
	if b == nil {
		return
	}
	hop.MoveLast(uint64(b.ID))
	if rec.State != StateTentative || w.answer {
		return
	}
	e.Flows.Update(&w.key, w.hash, func(r *Record, found bool) bool {
		if found && r.State == StateTentative {
			r.Other, r.Told, r.Replicated = b.Tag(), w.seconds, w.view.number
		}
		return found
	})
}

// homeAnswer lets an answer through to the caller only from the upstream that
// holds the flow.
func (e *Engine) homeAnswer(w *packetWork) Cause {
	from := w.p.Header.Hop.Upstream
	var rec Record
	var retried bool
	e.Flows.Update(&w.key, w.hash, func(r *Record, found bool) bool {
		if !found {
			return false
		}
		if r.State == StateHeld {
			return true
		}
		if r.Upstream == from && r.State == StateTentative && r.Flags&(RecordUnsure|RecordBackup) == 0 && !e.fenced(r) {
			// The upstream has seen the call, so that had passed the backup.
			r.State = StateFirm
		}
		if r.Upstream == from && r.State != StateTentative {
			if retried = e.retryTCP(w, r); retried {
				rec = *r
				return true
			}
			r.Flags |= RecordAnswered
			e.touch(w, r)
		}
		rec = *r
		return true
	})
	switch {
	case retried:
		return CauseSuperseded
	case rec.State == 0 || rec.State == StateTentative || e.fenced(&rec):
		// A lost record may be made again from the answer itself.
		rec.Upstream = from
		return e.ask(w, &rec)
	case rec.Upstream != from:
		return CauseWrongUpstream
	}
	if cause := e.answered(w, &rec); cause != CauseNone {
		return cause
	}
	return e.forth(w, &rec)
}

// refill tells the flow's present backup its record if that was told to another
// member, or to an earlier run of this one. Without it, a second death would
// lose the flow though it came long after the first.
func (e *Engine) refill(w *packetWork, r *Record) {
	if r.Checked == w.view.number {
		return
	}
	u := w.routing.Upstream(r.Upstream)
	if u == nil {
		return
	}
	b := w.view.Backup(w.hash, u.Zone, e.self)
	if b == nil || b.Tag() == r.Other {
		e.Flows.Update(&w.key, w.hash, func(r *Record, found bool) bool {
			r.Checked = w.view.number
			return found
		})
		return
	}
	e.tell(w, b.Data, r, geneve.FlagBackup|geneve.FlagConfirm)
}

func unixSeconds(t time.Time) uint32 {
	return uint32(t.Unix())
}

// touch notes at the home that a packet passed.
func (e *Engine) touch(w *packetWork, r *Record) {
	r.Seen = w.seconds
	if r.State == StateHeld {
		return
	}
	r.Flags &^= RecordBackup
	e.count(r)
	if e.followTCP(w, r) {
		e.uncount(r)
		e.Counters.Ended.Add(1)
	}
}

// count adds a record to its upstream's load, once.
func (e *Engine) count(r *Record) {
	if r.Flags&RecordCounted != 0 || r.State == StateEnded || r.Upstream == 0 {
		return
	}
	r.Flags |= RecordCounted
	e.Loads.Load(r.Upstream).Flows.Add(1)
}

// uncount takes a record out of its upstream's load.
func (e *Engine) uncount(r *Record) {
	if r.Flags&RecordCounted == 0 {
		return
	}
	r.Flags &^= RecordCounted
	e.Loads.Load(r.Upstream).Flows.Add(-1)
}
