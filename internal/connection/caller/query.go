package caller

import (
	"net/netip"

	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/request/ip"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// handleQuery handles a packet at a member that may hold a replica of the flow's
// record.
func (e *Engine) handleQuery(w *packetWork) Cause {
	hop := &w.p.Header.Hop
	r, found := e.Flows.Get(&w.key, w.hash)
	switch {
	case found && r.State == StateCommitted && !e.predatesPause(&r) && !hop.Has(geneve.FlagUncertain):
		return e.deliverByRecord(w, &r)
	case found && r.State == StateCommitted:
		keepNewestRecord(hop, &r)
	case found && r.State == StateTentative && hop.Has(geneve.FlagPlace) && hop.Found == 0 && !w.answer:
		preferEarlierProposal(hop, &r)
	case found && r.isProposalCopy() && hop.Found == 0:
		// The flow's first packet passed through this member. During a network
		// partition no other reachable member may know more.
		keepNewestRecord(hop, &r)
		hop.PlacedAt = 0
	}
	if hop.Has(geneve.FlagPlace) && hop.Found == 0 && hop.NumToVisit > 0 && !w.answer &&
		w.view.IsReplica(w.hash, peer.ID(hop.Owner)) {
		e.storeProposal(w)
	}
	return e.queryNext(w)
}

// preferEarlierProposal replaces the proposal in the packet by an earlier one that is
// stored here. Of two proposals of the same second, it keeps the one with the lower
// upstream identifier. Two owners under two views may propose upstreams at the same
// time, and the packets of an earlier attempt may have reached an upstream: all packets
// must reach the same one.
func preferEarlierProposal(hop *geneve.Hop, r *Record) {
	if r.Upstream == 0 || r.Upstream == hop.Upstream || r.PlacedAt > hop.PlacedAt {
		return
	}
	if r.PlacedAt == hop.PlacedAt && r.Upstream > hop.Upstream {
		return
	}
	hop.Flags |= geneve.FlagOverridden
	hop.Upstream, hop.PlacedAt = r.Upstream, r.PlacedAt
}

// isProposalCopy reports whether the record is a proposal that the flow's owner stored
// here while its packet passed through.
func (r *Record) isProposalCopy() bool {
	return r.State == StateTentative && r.Upstream != 0 && r.ReplicaTag != 0 && r.Flags&RecordBackup != 0
}

// storeProposal stores a proposal of another member. The members that keep the replicas
// for their zone do so, so that the zone has the record if it is cut off.
func (e *Engine) storeProposal(w *packetWork) {
	hop := &w.p.Header.Hop
	owner := w.view.Member(peer.ID(hop.Owner))
	if owner == nil {
		return
	}
	e.Flows.Update(&w.key, w.hash, func(r *Record, found bool) bool {
		if !found || r.State == StateDeferred {
			*r = Record{
				Upstream: hop.Upstream, State: StateTentative, PlacedAt: hop.PlacedAt,
				LastSeen: w.seconds, Flags: RecordBackup, ReplicaTag: owner.Tag(),
			}
			if hop.Has(geneve.FlagUncertain) {
				r.Flags |= RecordUncertain
			}
			e.markValid(r)
		}
		if r.isPlacerChoice() && r.Upstream == hop.Upstream {
			// The placer may be its zone's replica too. The replica is kept longer than
			// the placer's choice.
			r.ReplicaTag = owner.Tag()
			if hop.Has(geneve.FlagUncertain) {
				r.Flags |= RecordUncertain
			}
		}
		return true
	})
}

// isPlacerChoice reports whether the record is the placer's own copy of its choice.
func (r *Record) isPlacerChoice() bool {
	return r.State == StateTentative && r.Flags&RecordBackup != 0 && r.ReplicaTag == 0
}

// keepNewestRecord puts the record into the hop if it is the newest found so far. While
// members that hold replicas may have died, or this one was paused, the first record
// found may be older than another placement of the flow, so all members are queried.
// The record is still valid if no member has a newer one: all of them may have been
// paused at the same time.
func keepNewestRecord(hop *geneve.Hop, r *Record) {
	if hop.Found != 0 && r.PlacedAt <= hop.PlacedAt {
		return
	}
	hop.Found, hop.PlacedAt = r.Upstream, r.PlacedAt
	hop.Flags &^= geneve.FlagFoundUncertain
	if r.Flags&RecordUncertain != 0 {
		hop.Flags |= geneve.FlagFoundUncertain
	}
}

// queryNext sends the packet to the next listed member that is in the view, or decides
// here if there is none.
func (e *Engine) queryNext(w *packetWork) Cause {
	if e.sendToNextMember(w) {
		return CauseNone
	}
	return e.decideAfterQuery(w)
}

// sendToNextMember sends the packet to the next listed member that is in the view. It
// returns false if there is none.
func (e *Engine) sendToNextMember(w *packetWork) bool {
	hop := &w.p.Header.Hop
	for {
		id, ok := hop.NextToVisit()
		if !ok {
			return false
		}
		m := w.view.Member(peer.ID(id))
		if m == nil || m.ID == e.self {
			continue
		}
		h := w.p.Header
		h.Hop.Count++
		w.send(m.Data, h, w.p.Inner)
		return true
	}
}

// deliverByRecord delivers a packet according to a record that was found, and sends the
// record to the owner.
func (e *Engine) deliverByRecord(w *packetWork, r *Record) Cause {
	e.sendToOwner(w, r)
	if w.answer && r.Upstream != w.p.Header.Hop.Upstream {
		return CauseWrongUpstream
	}
	if !w.answer && w.mustNotRunTwice() && w.mayHaveRunElsewhere(r) {
		return e.replyUnknown(w)
	}
	return e.deliver(w, r.Upstream)
}

// decideAfterQuery decides on a packet after all members that may hold a record have
// been queried.
func (e *Engine) decideAfterQuery(w *packetWork) Cause {
	hop := &w.p.Header.Hop
	if hop.Found != 0 {
		rec, _ := e.commit(w, hop.Found, hop.Has(geneve.FlagFoundUncertain))
		return e.deliverByRecord(w, &rec)
	}
	if !hop.Has(geneve.FlagPlace) {
		if w.p.IP.Protocol == ip.ProtocolTCP && !w.answer && !w.opensTCP() {
			return e.reset(w)
		}
		return CauseNoFlow
	}
	if w.answer {
		return e.adoptFromAnswer(w)
	}
	rec, created := e.commit(w, hop.Upstream, hop.Has(geneve.FlagUncertain))
	if !created || hop.Has(geneve.FlagUncertain) || hop.Has(geneve.FlagOverridden) {
		// Otherwise the owner takes the first answer as the confirmation. If there is
		// no answer, the caller's repeated packet reaches this member again.
		e.sendToOwner(w, &rec)
	}
	if hop.Has(geneve.FlagUncertain) && w.mustNotRunTwice() {
		return e.replyUnknown(w)
	}
	return e.deliver(w, rec.Upstream)
}

// adoptFromAnswer rebuilds a lost record from an answer: the upstream that sends it
// must have the flow. If no record can have been lost, the upstream never had the flow,
// and this is an answer to an earlier user of the same five-tuple.
func (e *Engine) adoptFromAnswer(w *packetWork) Cause {
	hop := &w.p.Header.Hop
	if !hop.Has(geneve.FlagUncertain) {
		return CauseNoFlow
	}
	rec, _ := e.commit(w, hop.Upstream, false)
	if rec.Upstream == hop.Upstream {
		e.Counters.Adopted.Add(1)
	}
	return e.deliverByRecord(w, &rec)
}

// commit records that the flow is at the upstream id, placed at the time in the hop,
// unless a newer record is held here already. It returns the valid record and whether
// it was made by this call. uncertain says that an earlier record may have been lost.
func (e *Engine) commit(w *packetWork, id bundle.UpstreamID, uncertain bool) (rec Record, created bool) {
	hop := &w.p.Header.Hop
	owner := w.view.Member(peer.ID(hop.Owner))
	e.Flows.Update(&w.key, w.hash, func(r *Record, found bool) bool {
		e.markValid(r)
		if !found || r.State != StateCommitted || hop.PlacedAt > r.PlacedAt {
			e.replace(r, remoteRecord{upstream: id, placedAt: hop.PlacedAt, uncertain: uncertain}, w.seconds)
			created = true
			if peer.ID(hop.Owner) != e.self {
				r.Flags |= RecordBackup
			}
			if owner != nil && owner.ID != e.self && hop.Found == 0 && !hop.Has(geneve.FlagOverridden) {
				// The owner proposed this upstream and has recorded whom it queried. If
				// it proposed another upstream, this record is sent to it in each sweep
				// until it confirms.
				r.ReplicaTag = owner.Tag()
				r.Flags |= RecordUnconfirmed
			}
		}
		r.LastSeen = w.seconds
		rec = *r
		return true
	})
	return rec, created
}

// sendToOwner sends the record to the flow's owner, which must confirm it.
func (e *Engine) sendToOwner(w *packetWork, r *Record) {
	owner := peer.ID(w.p.Header.Hop.Owner)
	if owner == e.self {
		return
	}
	if m := w.view.Member(owner); m != nil {
		e.sendRecord(w, m.Data, r, geneve.FlagConfirm)
	}
}

// sendRecord sends a record with the headers of the packet, without its payload.
func (e *Engine) sendRecord(w *packetWork, to netip.AddrPort, r *Record, flags geneve.Flags) {
	h := w.headerWithoutHop()
	h.Control = true
	h.Hop = replicateHop(e.self, r, flags)
	if w.answer {
		h.Hop.Flags |= geneve.FlagAnswer
	}
	w.send(to, h, ip.TruncateToHeaders(w.p.Inner))
}

// replicateHop returns the hop by which the member self sends a record.
func replicateHop(self peer.ID, r *Record, flags geneve.Flags) geneve.Hop {
	if r.Flags&RecordRetried != 0 {
		flags |= geneve.FlagRetried
	}
	if r.Flags&RecordUncertain != 0 {
		flags |= geneve.FlagUncertain
	}
	return geneve.Hop{
		Kind: geneve.KindReplicate, Flags: flags, Upstream: r.Upstream, PlacedAt: r.PlacedAt, Owner: uint64(self),
	}
}
