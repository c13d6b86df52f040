package caller

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/request/ip"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// handleAsOwner handles a packet at the daemon that decides for its flow.
func (e *Engine) handleAsOwner(w *packetWork) Cause {
	if w.answer {
		return e.handleAnswer(w)
	}
	return e.handleCall(w)
}

// handleCall handles a call at the daemon that decides for its flow, and makes the flow's
// record if there is none.
func (e *Engine) handleCall(w *packetWork) Cause {
	var rec Record
	e.Flows.Update(&w.key, w.hash, func(r *Record, found bool) bool {
		if !found || r.State == StateDeferred || r.State == StateEnded && w.opensTCP() {
			if !e.newRecord(w, r) {
				return false
			}
		}
		if r.State == StateTentative && r.Upstream == 0 && w.seconds > r.ReplicatedAt {
			e.chooseLocally(w, r)
		}
		e.touch(w, r)
		rec = *r
		return true
	})
	switch {
	case rec.State == 0:
		return e.handleNoRecord(w)
	case rec.State == StateDeferred:
		return e.query(w, &Record{})
	case rec.State == StateTentative && rec.Upstream == 0:
		return e.requestPlacement(w, &rec)
	}
	return e.forwardCall(w, &rec)
}

// forwardCall forwards a call of a flow whose upstream is known or proposed, if the
// request may pass.
func (e *Engine) forwardCall(w *packetWork, rec *Record) Cause {
	if cause := e.admit(w, rec); cause != CauseNone {
		return cause
	}
	if rec.State == StateTentative || e.predatesPause(rec) {
		return e.query(w, rec)
	}
	return e.forwardCommitted(w, rec)
}

// forwardCommitted sends a packet of a committed flow to its destination. If it is time
// to renew the replicas of the record, the packet passes through the members that keep
// them.
func (e *Engine) forwardCommitted(w *packetWork, rec *Record) Cause {
	if w.mustRenew(rec) {
		return e.refresh(w, rec)
	}
	e.replicateToBackup(w, rec)
	return e.deliver(w, rec.Upstream)
}

// handleNoRecord handles a call for which no record could be made: either no upstream
// can take a flow, or the packet is from the middle of a TCP flow that other members
// may know.
func (e *Engine) handleNoRecord(w *packetWork) Cause {
	if w.p.IP.Protocol == ip.ProtocolTCP && !w.opensTCP() {
		return e.query(w, &Record{})
	}
	return e.refuse(w, refusalNoUpstream)
}

// newRecord proposes an upstream for a flow without a record. If another member is the
// placer of the service, the record has no upstream yet. newRecord returns false if no
// record was made. No packet is sent to the upstream before a backup has the record
// too, unless there is no other member.
func (e *Engine) newRecord(w *packetWork, r *Record) bool {
	if w.p.IP.Protocol == ip.ProtocolTCP && !w.opensTCP() {
		return false
	}
	ownerUnreachable := w.view.OwnerMayBeUnreachable(w.hash)
	if ownerUnreachable && deferPlacement(w, r) {
		return true
	}
	var id bundle.UpstreamID
	if p := w.view.Placer(w.service.VNI); p == nil || p.ID == e.self {
		u := e.chooseUpstream(w, 0)
		if u == nil {
			return false
		}
		id = u.ID
		e.Loads.Placed(id, w.now.Add(recentPlacementPeriod))
	}
	e.uncount(r)
	*r = Record{Upstream: id, State: StateTentative, PlacedAt: unixSeconds(w.now), ReplicatedAt: w.seconds, Flags: RecordLocal}
	e.markValid(r)
	if ownerUnreachable || w.view.RecordMayBeLost(w.hash) {
		r.Flags = RecordUncertain
	}
	e.Counters.Placed.Add(1)
	return true
}

// chooseLocally chooses an upstream at the owner itself if the placer didn't reply to
// an earlier copy of the packet: the placer may be dead, or take this daemon for dead.
func (e *Engine) chooseLocally(w *packetWork, r *Record) {
	if u := e.chooseUpstream(w, 0); u != nil {
		r.Upstream = u.ID
		e.Loads.Placed(u.ID, w.now.Add(recentPlacementPeriod))
	}
}

// recentPlacementPeriod is how long the placer counts a new flow itself. After that
// time the flow's owner has reported it.
const recentPlacementPeriod = 8 * time.Second

// copiesBeforePlacement is how often the same message of a flow must arrive before one
// side of a network partition places a flow whose owner is on the other side. A caller
// that reaches both sides most likely gets its answer from the other side before; a
// caller that reaches only this side is served after two retransmissions.
const copiesBeforePlacement = 3

// deferPlacement counts the copies of a message in the record of a deferred flow. It
// returns false if enough of them have arrived.
func deferPlacement(w *packetWork, r *Record) bool {
	id := w.p.IP.Seq
	if w.p.IP.Protocol == ip.ProtocolUDP {
		id = uint32(w.p.CoAP.MessageID)
	}
	if r.State != StateDeferred || r.ReplicaTag != id {
		*r = Record{State: StateDeferred, ReplicaTag: id}
	}
	r.ReplicatedAt++
	return r.ReplicatedAt < copiesBeforePlacement
}

// chooseUpstream returns an upstream for the flow other than exclude, or nil. It skips
// zones in which no member is reachable, because their upstreams can't be reached
// either.
func (e *Engine) chooseUpstream(w *packetWork, exclude bundle.UpstreamID) *bundle.UpstreamRoute {
	candidates := make([]upstream.Candidate, 0, len(w.service.Upstreams))
	for _, u := range w.service.Upstreams {
		if u.ID == exclude || !w.view.CanReach(u.Zone) {
			continue
		}
		candidates = append(candidates, upstream.Candidate{Route: u, Load: e.Loads.Load(u.ID)})
	}
	return e.policy.Choose(candidates, uint64(w.hash))
}

// query sends a packet through the members that may hold a replica of its flow's
// record. The last of them is the backup for the proposed upstream, which commits the
// proposal if no member had a record.
func (e *Engine) query(w *packetWork, r *Record) Cause {
	h := w.p.Header
	h.Hop = geneve.Hop{Kind: geneve.KindQuery, Upstream: r.Upstream, PlacedAt: r.PlacedAt, Owner: uint64(e.self)}
	if w.answer {
		h.Hop.Flags |= geneve.FlagAnswer
	}
	if r.Upstream != 0 {
		h.Hop.Flags |= geneve.FlagPlace
	}
	if r.Flags&RecordUncertain != 0 || w.view.RecordMayBeLost(w.hash) || w.view.OwnerMayBeUnreachable(w.hash) {
		h.Hop.Flags |= geneve.FlagUncertain
	}
	if e.predatesPause(r) && r.State == StateCommitted {
		h.Hop.Found = r.Upstream
	}
	if w.view.RecentlyChanged || !h.Hop.Has(geneve.FlagPlace) || e.predatesPause(r) {
		w.view.AddPossibleReplicas(w.hash, &h.Hop)
	} else {
		w.view.AddReplicas(w.hash, &h.Hop)
	}
	if h.Hop.Has(geneve.FlagUncertain) {
		w.view.AddAllMembers(w.hash, &h.Hop)
	}
	w.p.Header.Hop = h.Hop
	e.Counters.Queried.Add(1)
	e.queryBackupLast(w, r)
	return e.queryNext(w)
}

// queryBackupLast moves the backup for the proposed upstream to the end of the members
// to query, where it commits the proposal if no member had a record. The record here
// notes through which backup the packet passes; the flow's first answer proves that the
// packet did pass.
func (e *Engine) queryBackupLast(w *packetWork, rec *Record) {
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
			r.ReplicaTag, r.ReplicatedAt, r.ReplicatedView = b.Tag(), w.seconds, w.view.number
		}
		return found
	})
}

// handleAnswer forwards an answer to the caller only if it is from the upstream that
// holds the flow.
func (e *Engine) handleAnswer(w *packetWork) Cause {
	from := w.p.Header.Hop.Upstream
	var rec Record
	var retried bool
	e.Flows.Update(&w.key, w.hash, func(r *Record, found bool) bool {
		if !found {
			return false
		}
		if r.State == StateDeferred {
			return true
		}
		if r.Upstream == from && r.State == StateTentative && r.Flags&(RecordUncertain|RecordBackup) == 0 && !e.predatesPause(r) {
			// The upstream has received the call, so the call had passed through the
			// backup.
			r.State = StateCommitted
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
	case rec.State == 0 || rec.State == StateTentative || e.predatesPause(&rec):
		// A lost record may be rebuilt from the answer itself.
		rec.Upstream = from
		return e.query(w, &rec)
	case rec.Upstream != from:
		return CauseWrongUpstream
	}
	if cause := e.admitAnswer(w, &rec); cause != CauseNone {
		return cause
	}
	return e.forwardCommitted(w, &rec)
}

// replicateToBackup sends the record to the flow's present backup if the confirmed
// replica is at another member, or at an earlier process of the backup. Without it, a
// second failure would lose the flow even long after the first.
func (e *Engine) replicateToBackup(w *packetWork, r *Record) {
	if r.CheckedView == w.view.number {
		return
	}
	u := w.routing.Upstream(r.Upstream)
	if u == nil {
		return
	}
	b := w.view.Backup(w.hash, u.Zone, e.self)
	if b == nil || b.Tag() == r.ReplicaTag {
		e.Flows.Update(&w.key, w.hash, func(r *Record, found bool) bool {
			r.CheckedView = w.view.number
			return found
		})
		return
	}
	e.sendRecord(w, b.Data, r, geneve.FlagBackup|geneve.FlagConfirm)
}

func unixSeconds(t time.Time) uint32 {
	return uint32(t.Unix())
}

// touch updates the record at the owner after a packet of the flow.
func (e *Engine) touch(w *packetWork, r *Record) {
	r.LastSeen = w.seconds
	if r.State == StateDeferred {
		return
	}
	r.Flags &^= RecordBackup
	e.count(r)
	if e.trackTCP(w, r) {
		e.uncount(r)
		e.Counters.Ended.Add(1)
	}
}

// count adds the flow to its upstream's load, unless it is counted already.
func (e *Engine) count(r *Record) {
	if r.Flags&RecordCounted != 0 || r.State == StateEnded || r.Upstream == 0 {
		return
	}
	r.Flags |= RecordCounted
	e.Loads.Load(r.Upstream).Flows.Add(1)
}

// uncount removes the flow from its upstream's load if it is counted there.
func (e *Engine) uncount(r *Record) {
	if r.Flags&RecordCounted == 0 {
		return
	}
	r.Flags &^= RecordCounted
	e.Loads.Load(r.Upstream).Flows.Add(-1)
}
