package caller

import (
	"net/netip"

	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/request/ip"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// holder handles a packet at a member that was asked for the flow's record.
func (e *Engine) holder(w *packetWork) Cause {
	hop := &w.p.Header.Hop
	r, found := e.Flows.Get(&w.key, w.hash)
	switch {
	case found && r.State == StateFirm && !e.fenced(&r) && !hop.Has(geneve.FlagUnsure):
		return e.known(w, &r)
	case found && r.State == StateFirm:
		offer(hop, &r)
	case found && r.State == StateTentative && hop.Has(geneve.FlagPlace) && hop.Found == 0 && !w.answer:
		yield(hop, &r)
	case found && r.isCopy() && hop.Found == 0:
		// The flow's first packet went past here; nobody may know more beyond a cut.
		offer(hop, &r)
		hop.Placed = 0
	}
	if hop.Has(geneve.FlagPlace) && hop.Found == 0 && hop.NumReplicas > 0 && !w.answer &&
		w.view.IsReplica(w.hash, peer.ID(hop.Owner)) {
		e.copyProposal(w)
	}
	return e.passToHolder(w)
}

// yield puts an earlier proposal in the place of the one that the packet brings.
// Two homes under two views may propose at once, and the packets of an earlier
// try may have reached an upstream: all must come to the same one.
func yield(hop *geneve.Hop, r *Record) {
	if r.Upstream == 0 || r.Upstream == hop.Upstream || r.Placed > hop.Placed {
		return
	}
	if r.Placed == hop.Placed && r.Upstream > hop.Upstream {
		return
	}
	hop.Flags |= geneve.FlagOverruled
	hop.Upstream, hop.Placed = r.Upstream, r.Placed
}

// isCopy reports whether this is a proposal that its home left here on its way.
func (r *Record) isCopy() bool {
	return r.State == StateTentative && r.Upstream != 0 && r.Other != 0 && r.Flags&RecordBackup != 0
}

// copyProposal keeps a proposal of another member. Those who keep their zone's
// copies do so, so that the zone knows the flow if it is cut off.
func (e *Engine) copyProposal(w *packetWork) {
	hop := &w.p.Header.Hop
	home := w.view.Member(peer.ID(hop.Owner))
	if home == nil {
		return
	}
	e.Flows.Update(&w.key, w.hash, func(r *Record, found bool) bool {
		if !found || r.State == StateHeld {
			*r = Record{
				Upstream: hop.Upstream, State: StateTentative, Placed: hop.Placed,
				Seen: w.seconds, Flags: RecordBackup, Other: home.Tag(),
			}
			if hop.Has(geneve.FlagUnsure) {
				r.Flags |= RecordUnsure
			}
			e.holds(r)
		}
		if r.isChoice() && r.Upstream == hop.Upstream {
			// The placer keeps its zone's copy too, which lasts longer than its choice.
			r.Other = home.Tag()
			if hop.Has(geneve.FlagUnsure) {
				r.Flags |= RecordUnsure
			}
		}
		return true
	})
}

// isChoice reports whether this is what a placer remembers of its choice.
func (r *Record) isChoice() bool {
	return r.State == StateTentative && r.Flags&RecordBackup != 0 && r.Other == 0
}

// offer notes a holder's record in the hop if it is the newest so far. While
// holders may have died, or this one was paused, the first record that is found
// may be one from before the flow was placed again, so all are asked. It still
// counts if nobody has a newer one: all holders may have been paused together.
func offer(hop *geneve.Hop, r *Record) {
	if hop.Found != 0 && r.Placed <= hop.Placed {
		return
	}
	hop.Found, hop.Placed = r.Upstream, r.Placed
	hop.Flags &^= geneve.FlagFoundUnsure
	if r.Flags&RecordUnsure != 0 {
		hop.Flags |= geneve.FlagFoundUnsure
	}
}

// passToHolder sends the packet to the next member on its list that is still
// there, or decides itself if none is.
func (e *Engine) passToHolder(w *packetWork) Cause {
	if e.passOn(w) {
		return CauseNone
	}
	return e.allAsked(w)
}

// passOn sends the packet to the next member on its list, if any is there.
func (e *Engine) passOn(w *packetWork) bool {
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

// known delivers a packet by a record that was found and tells the home.
func (e *Engine) known(w *packetWork, r *Record) Cause {
	e.tellHome(w, r)
	if w.answer && r.Upstream != w.p.Header.Hop.Upstream {
		return CauseWrongUpstream
	}
	if !w.answer && w.mayHaveRun() && w.mayRunElsewhere(r) {
		return e.unknown(w)
	}
	return e.deliver(w, r.Upstream)
}

// allAsked decides when all who may hold a record have been asked.
func (e *Engine) allAsked(w *packetWork) Cause {
	hop := &w.p.Header.Hop
	if hop.Found != 0 {
		rec, _ := e.keep(w, hop.Found, hop.Has(geneve.FlagFoundUnsure))
		return e.known(w, &rec)
	}
	if !hop.Has(geneve.FlagPlace) {
		if w.p.IP.Protocol == ip.ProtocolTCP && !w.answer && !w.opensTCP() {
			return e.reset(w)
		}
		return CauseNoFlow
	}
	if w.answer {
		return e.adopt(w)
	}
	rec, fresh := e.keep(w, hop.Upstream, hop.Has(geneve.FlagUnsure))
	if !fresh || hop.Has(geneve.FlagUnsure) || hop.Has(geneve.FlagOverruled) {
		// Else the home takes the first answer for a confirmation; but there may be
		// none, and then the packet comes here again.
		e.tellHome(w, &rec)
	}
	if hop.Has(geneve.FlagUnsure) && w.mayHaveRun() {
		return e.unknown(w)
	}
	return e.deliver(w, rec.Upstream)
}

// adopt makes a lost record again from an answer: the upstream that sends it
// must have the flow. If nothing can have been lost, the upstream never had it,
// and this is an answer to an earlier holder of the five-tuple.
func (e *Engine) adopt(w *packetWork) Cause {
	hop := &w.p.Header.Hop
	if !hop.Has(geneve.FlagUnsure) {
		return CauseNoFlow
	}
	rec, _ := e.keep(w, hop.Upstream, false)
	if rec.Upstream == hop.Upstream {
		e.Counters.Adopted.Add(1)
	}
	return e.known(w, &rec)
}

// keep records that the flow is at the upstream id, as the hop says, unless a
// newer record stands here already. It returns the record that holds. unsure
// says that an earlier record may have been lost. Whether it was made now is
// returned too.
func (e *Engine) keep(w *packetWork, id bundle.UpstreamID, unsure bool) (rec Record, fresh bool) {
	hop := &w.p.Header.Hop
	home := w.view.Member(peer.ID(hop.Owner))
	e.Flows.Update(&w.key, w.hash, func(r *Record, found bool) bool {
		e.holds(r)
		if !found || r.State != StateFirm || hop.Placed > r.Placed {
			e.replace(r, told{upstream: id, placed: hop.Placed, unsure: unsure}, w.seconds)
			fresh = true
			if peer.ID(hop.Owner) != e.self {
				r.Flags |= RecordBackup
			}
			if home != nil && home.ID != e.self && hop.Found == 0 && !hop.Has(geneve.FlagOverruled) {
				// The home has proposed this upstream and notes that it did. If it has
				// proposed another, it is told in each sweep until it confirms.
				r.Other = home.Tag()
				r.Flags |= RecordUnconfirmed
			}
		}
		r.Seen = w.seconds
		rec = *r
		return true
	})
	return rec, fresh
}

// tellHome lets the home know which upstream holds the flow.
func (e *Engine) tellHome(w *packetWork, r *Record) {
	home := peer.ID(w.p.Header.Hop.Owner)
	if home == e.self {
		return
	}
	if m := w.view.Member(home); m != nil {
		e.tell(w, m.Data, r, geneve.FlagConfirm)
	}
}

// tell sends a record without the packet's payload.
func (e *Engine) tell(w *packetWork, to netip.AddrPort, r *Record, flags geneve.Flags) {
	h := w.plain()
	h.Control = true
	h.Hop = learnHop(e.self, r, flags)
	if w.answer {
		h.Hop.Flags |= geneve.FlagAnswer
	}
	w.send(to, h, ip.Headers(w.p.Inner))
}

// learnHop tells a record in the name of a holder.
func learnHop(self peer.ID, r *Record, flags geneve.Flags) geneve.Hop {
	if r.Flags&RecordRetried != 0 {
		flags |= geneve.FlagRetried
	}
	if r.Flags&RecordUnsure != 0 {
		flags |= geneve.FlagUnsure
	}
	return geneve.Hop{
		Kind: geneve.KindLearn, Flags: flags, Upstream: r.Upstream, Placed: r.Placed, Owner: uint64(self),
	}
}
