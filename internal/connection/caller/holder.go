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
	case found && r.State == StateFirm && !e.fenced(&r):
		return e.known(w, &r)
	case found && r.Upstream != 0 && r.State != StateEnded && hop.Has(geneve.FlagPlace) && !w.answer:
		// Another home under another view has proposed this upstream first. Both
		// must come to the same one.
		hop.Upstream = r.Upstream
	}
	if hop.NumHolders > 0 {
		return e.passToHolder(w)
	}
	return e.nobodyKnew(w)
}

// passToHolder sends the packet to the next member on its list that is still
// there, or decides itself if none is.
func (e *Engine) passToHolder(w *packetWork) Cause {
	hop := &w.p.Header.Hop
	for {
		id, ok := hop.NextHolder()
		if !ok {
			return e.nobodyKnew(w)
		}
		m := w.view.Member(peer.ID(id))
		if m == nil || m.ID == e.self {
			continue
		}
		h := w.p.Header
		h.Hop.Count++
		w.send(m.Data, h, w.p.Inner)
		return CauseNone
	}
}

// known delivers a packet by a record that was found and tells the home.
func (e *Engine) known(w *packetWork, r *Record) Cause {
	e.tellHome(w, r.Upstream)
	if w.answer && r.Upstream != w.p.Header.Hop.Upstream {
		return CauseWrongUpstream
	}
	return e.deliver(w, r.Upstream)
}

// nobodyKnew decides when all who may hold a record have been asked in vain.
func (e *Engine) nobodyKnew(w *packetWork) Cause {
	hop := &w.p.Header.Hop
	unsure := hop.Has(geneve.FlagUnsure)
	if !hop.Has(geneve.FlagPlace) {
		if w.p.IP.Protocol == ip.ProtocolTCP && !w.answer {
			return e.reset(w)
		}
		return CauseNoFlow
	}
	if w.answer && !unsure {
		// Nothing was lost, so this upstream never had the flow: an answer to an
		// earlier holder of the five-tuple.
		return CauseNoFlow
	}
	rec := e.recordPlacing(w)
	e.tellHome(w, rec.Upstream)
	if w.answer {
		if rec.Upstream != hop.Upstream {
			return CauseWrongUpstream
		}
		e.Counters.Adopted.Add(1)
		return e.deliver(w, rec.Upstream)
	}
	if unsure && w.mayHaveRun() {
		return e.unknown(w)
	}
	return e.deliver(w, rec.Upstream)
}

// recordPlacing keeps the proposed upstream unless a record stands already, and
// returns the record that holds.
func (e *Engine) recordPlacing(w *packetWork) Record {
	hop := &w.p.Header.Hop
	var rec Record
	e.Flows.Update(&w.key, w.hash, func(r *Record, found bool) bool {
		if !found || r.State == StateEnded {
			e.uncount(r)
			*r = Record{Upstream: hop.Upstream}
			if peer.ID(hop.Home) != e.self {
				r.Flags |= RecordBackup
			}
		}
		if r.State != StateFirm || e.fenced(r) {
			r.State = StateFirm
			r.Made = w.seconds
		}
		r.Seen = w.seconds
		rec = *r
		return true
	})
	return rec
}

// tellHome lets the home know which upstream holds the flow.
func (e *Engine) tellHome(w *packetWork, id bundle.UpstreamID) {
	home := peer.ID(w.p.Header.Hop.Home)
	if home == e.self {
		return
	}
	if m := w.view.Member(home); m != nil {
		e.tell(w, m.Data, id, 0)
	}
}

// tell sends a record without the packet's payload.
func (e *Engine) tell(w *packetWork, to netip.AddrPort, id bundle.UpstreamID, flags geneve.Flags) {
	h := w.plain()
	h.Control = true
	h.Hop = geneve.Hop{Kind: geneve.KindLearn, Flags: flags, Upstream: id, Home: uint64(e.self)}
	if w.answer {
		h.Hop.Flags |= geneve.FlagAnswer
	}
	w.send(to, h, ip.Headers(w.p.Inner))
}

// learn keeps a record that another member told.
func (e *Engine) learn(w *packetWork) Cause {
	hop := &w.p.Header.Hop
	backup := hop.Has(geneve.FlagBackup)
	var tag uint32
	if m := w.view.Member(peer.ID(hop.Home)); m != nil && !backup {
		tag = m.Tag()
	}
	e.Flows.Update(&w.key, w.hash, func(r *Record, found bool) bool {
		if found && r.State == StateFirm && !e.fenced(r) && !e.supersedes(hop, r) {
			e.compare(r, hop, tag, w.seconds)
			return true
		}
		e.replace(r, hop, w.seconds)
		r.Backup = tag
		r.Told = w.seconds
		if backup {
			r.Flags |= RecordBackup
		}
		return true
	})
	e.Counters.Learned.Add(1)
	return CauseNone
}

// compare notes what a told record says of one that is held already. The one
// that is held stays: packets went by it.
func (e *Engine) compare(r *Record, hop *geneve.Hop, tag uint32, now Seconds) {
	if r.Upstream != hop.Upstream {
		e.Counters.Conflicts.Add(1)
		return
	}
	r.Seen = now
	if tag != 0 {
		r.Backup = tag
		r.Told = now
	}
}

// supersedes reports whether a told record comes from the second placing of a
// TCP flow that this daemon knows by the first.
func (e *Engine) supersedes(hop *geneve.Hop, r *Record) bool {
	return hop.Has(geneve.FlagRetried) && r.Flags&RecordRetried == 0
}

// replace makes r the firm record of a flow at the upstream told in hop.
func (e *Engine) replace(r *Record, hop *geneve.Hop, now Seconds) {
	counted := r.Flags&RecordCounted != 0
	e.uncount(r)
	flags := r.Flags &^ RecordBackup
	if hop.Has(geneve.FlagRetried) {
		flags |= RecordRetried
	}
	*r = Record{Upstream: hop.Upstream, State: StateFirm, Seen: now, Made: now, Flags: flags}
	if counted {
		e.count(r)
	}
}
