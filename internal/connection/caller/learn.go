package caller

import (
	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// learn takes in a record that another member told, and tells back what holds
// here if it was asked to. Datagrams get lost: a record counts as told only once
// its receiver has said so.
func (e *Engine) learn(w *packetWork) Cause {
	hop := &w.p.Header.Hop
	sender := w.view.Member(peer.ID(hop.Owner))
	var mine Record
	e.Flows.Update(&w.key, w.hash, func(r *Record, found bool) bool {
		if !found || r.State != StateFirm || supersedes(hop, r) {
			e.replace(r, toldBy(hop), w.seconds)
			if hop.Has(geneve.FlagBackup) {
				r.Flags |= RecordBackup
			}
		}
		if r.Upstream != hop.Upstream {
			e.Counters.Conflicts.Add(1)
		} else {
			e.agree(r, hop, sender, w.seconds)
		}
		mine = *r
		return true
	})
	e.Counters.Learned.Add(1)
	if hop.Has(geneve.FlagConfirm) && sender != nil {
		e.tell(w, sender.Data, &mine, (hop.Flags^geneve.FlagBackup)&geneve.FlagBackup)
	}
	return CauseNone
}

// agree notes that the sender holds the same record.
func (e *Engine) agree(r *Record, hop *geneve.Hop, sender *peer.Member, now Seconds) {
	e.holds(r)
	if sender != nil {
		r.Other = sender.Tag()
		r.Told = now
		r.Flags &^= RecordUnconfirmed
	}
	if !hop.Has(geneve.FlagBackup) {
		return
	}
	// Either the home renews the record of a flow that goes on, or it has
	// confirmed that it is home.
	r.Seen = now
	if hop.Has(geneve.FlagConfirm) {
		return
	}
	e.uncount(r)
	r.Flags |= RecordBackup
	r.Flags &^= RecordLocal
}

// supersedes reports whether a told record holds against one that is here: it is
// of a later placing, or of the second placing of a TCP flow.
func supersedes(hop *geneve.Hop, r *Record) bool {
	if hop.Upstream == r.Upstream {
		return false
	}
	retried := hop.Has(geneve.FlagRetried) && r.Flags&RecordRetried == 0
	return hop.Placed > r.Placed || hop.Placed == r.Placed && retried
}

// told is a record as another member knows it.
type told struct {
	upstream bundle.UpstreamID
	placed   uint32
	unsure   bool
	retried  bool
}

func toldBy(hop *geneve.Hop) told {
	return told{
		upstream: hop.Upstream,
		placed:   hop.Placed,
		unsure:   hop.Has(geneve.FlagUnsure),
		retried:  hop.Has(geneve.FlagRetried),
	}
}

// replace makes r the firm record that was told.
func (e *Engine) replace(r *Record, t told, now Seconds) {
	counted := r.Flags&RecordCounted != 0
	e.uncount(r)
	var flags RecordFlags
	if t.placed == r.Placed && r.State != StateEnded {
		// The placing that was proposed here. Of an earlier one there may be requests
		// that this daemon doesn't know.
		flags = r.Flags & (RecordLocal | RecordForwarded | RecordAnswered | RecordFinCaller | RecordFinUpstream)
	}
	if t.retried {
		flags |= RecordRetried
	}
	if t.unsure {
		flags |= RecordUnsure
	}
	*r = Record{Upstream: t.upstream, State: StateFirm, Seen: now, Placed: t.placed, Flags: flags}
	e.holds(r)
	if counted {
		e.count(r)
	}
}
