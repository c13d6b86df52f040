package caller

import (
	"net/netip"

	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/request/ip"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// handleQuery handles a packet at a member that was asked for the flow's record.
func (e *Engine) handleQuery(w *packetWork) Cause {
	hop := &w.p.Header.Hop
	r, found := e.Flows.Get(&w.key, w.hash)
	switch {
	case found && r.State == StateCommitted && !e.predatesPause(&r) && !hop.Has(geneve.FlagUncertain):
		return e.deliverByRecord(w, &r)
	case found && r.State == StateCommitted:
		noteFound(hop, &r)
	case found && r.State == StateTentative && hop.Has(geneve.FlagPlace) && hop.Found == 0 && !w.answer:
		preferEarlierProposal(hop, &r)
	case found && r.isProposalCopy() && hop.Found == 0:
		// The flow's first packet went past here; nobody may know more beyond a cut.
		noteFound(hop, &r)
		hop.PlacedAt = 0
	}
	if hop.Has(geneve.FlagPlace) && hop.Found == 0 && hop.NumReplicas > 0 && !w.answer &&
		w.view.IsReplica(w.hash, peer.ID(hop.Owner)) {
		e.storeProposal(w)
	}
	return e.queryNext(w)
}

// preferEarlierProposal puts an earlier proposal in the place of the one that the packet brings.
// Two homes under two views may propose at once, and the packets of an earlier
// try may have reached an upstream: all must come to the same one.
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

// isProposalCopy reports whether this is a proposal that its home left here on its way.
func (r *Record) isProposalCopy() bool {
	return r.State == StateTentative && r.Upstream != 0 && r.ReplicaTag != 0 && r.Flags&RecordBackup != 0
}

// storeProposal keeps a proposal of another member. Those who keep their zone's
// copies do so, so that the zone knows the flow if it is cut off.
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
			// The placer keeps its zone's copy too, which lasts longer than its choice.
			r.ReplicaTag = owner.Tag()
			if hop.Has(geneve.FlagUncertain) {
				r.Flags |= RecordUncertain
			}
		}
		return true
	})
}

// isPlacerChoice reports whether this is what a placer remembers of its choice.
func (r *Record) isPlacerChoice() bool {
	return r.State == StateTentative && r.Flags&RecordBackup != 0 && r.ReplicaTag == 0
}

// noteFound notes a holder's record in the hop if it is the newest so far. While
// holders may have died, or this one was paused, the first record that is found
// may be one from before the flow was placed again, so all are asked. It still
// counts if nobody has a newer one: all holders may have been paused together.
func noteFound(hop *geneve.Hop, r *Record) {
	if hop.Found != 0 && r.PlacedAt <= hop.PlacedAt {
		return
	}
	hop.Found, hop.PlacedAt = r.Upstream, r.PlacedAt
	hop.Flags &^= geneve.FlagFoundUncertain
	if r.Flags&RecordUncertain != 0 {
		hop.Flags |= geneve.FlagFoundUncertain
	}
}

// queryNext sends the packet to the next member on its list that is still
// there, or decides itself if none is.
func (e *Engine) queryNext(w *packetWork) Cause {
	if e.sendToNextReplica(w) {
		return CauseNone
	}
	return e.decideAfterQuery(w)
}

// sendToNextReplica sends the packet to the next member on its list, if any is there.
func (e *Engine) sendToNextReplica(w *packetWork) bool {
	hop := &w.p.Header.Hop
	for {
		id, ok := hop.NextReplica()
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

// deliverByRecord delivers a packet by a record that was found and tells the home.
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

// decideAfterQuery decides when all who may hold a record have been asked.
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
	rec, fresh := e.commit(w, hop.Upstream, hop.Has(geneve.FlagUncertain))
	if !fresh || hop.Has(geneve.FlagUncertain) || hop.Has(geneve.FlagOverridden) {
		// Else the home takes the first answer for a confirmation; but there may be
		// none, and then the packet comes here again.
		e.sendToOwner(w, &rec)
	}
	if hop.Has(geneve.FlagUncertain) && w.mustNotRunTwice() {
		return e.replyUnknown(w)
	}
	return e.deliver(w, rec.Upstream)
}

// adoptFromAnswer makes a lost record again from an answer: the upstream that sends it
// must have the flow. If nothing can have been lost, the upstream never had it,
// and this is an answer to an earlier holder of the five-tuple.
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

// commit records that the flow is at the upstream id, as the hop says, unless a
// newer record stands here already. It returns the record that holds. unsure
// says that an earlier record may have been lost. Whether it was made now is
// returned too.
func (e *Engine) commit(w *packetWork, id bundle.UpstreamID, unsure bool) (rec Record, fresh bool) {
	hop := &w.p.Header.Hop
	owner := w.view.Member(peer.ID(hop.Owner))
	e.Flows.Update(&w.key, w.hash, func(r *Record, found bool) bool {
		e.markValid(r)
		if !found || r.State != StateCommitted || hop.PlacedAt > r.PlacedAt {
			e.replace(r, remoteRecord{upstream: id, placed: hop.PlacedAt, unsure: unsure}, w.seconds)
			fresh = true
			if peer.ID(hop.Owner) != e.self {
				r.Flags |= RecordBackup
			}
			if owner != nil && owner.ID != e.self && hop.Found == 0 && !hop.Has(geneve.FlagOverridden) {
				// The home has proposed this upstream and notes that it did. If it has
				// proposed another, it is told in each sweep until it confirms.
				r.ReplicaTag = owner.Tag()
				r.Flags |= RecordUnconfirmed
			}
		}
		r.LastSeen = w.seconds
		rec = *r
		return true
	})
	return rec, fresh
}

// sendToOwner lets the home know which upstream holds the flow.
func (e *Engine) sendToOwner(w *packetWork, r *Record) {
	owner := peer.ID(w.p.Header.Hop.Owner)
	if owner == e.self {
		return
	}
	if m := w.view.Member(owner); m != nil {
		e.sendRecord(w, m.Data, r, geneve.FlagConfirm)
	}
}

// sendRecord sends a record without the packet's payload.
func (e *Engine) sendRecord(w *packetWork, to netip.AddrPort, r *Record, flags geneve.Flags) {
	h := w.headerWithoutHop()
	h.Control = true
	h.Hop = replicateHop(e.self, r, flags)
	if w.answer {
		h.Hop.Flags |= geneve.FlagAnswer
	}
	w.send(to, h, ip.Headers(w.p.Inner))
}

// replicateHop tells a record in the name of a holder.
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
