package caller

import (
	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// handleReplicate takes in a record that another member told, and tells back what holds
// here if it was asked to. Datagrams get lost: a record counts as told only once
// its receiver has said so.
func (e *Engine) handleReplicate(w *packetWork) Cause {
	hop := &w.p.Header.Hop
	sender := w.view.Member(peer.ID(hop.Owner))
	var mine Record
	e.Flows.Update(&w.key, w.hash, func(r *Record, found bool) bool {
		if !found || r.State != StateCommitted || supersedes(hop, r) {
			e.replace(r, remoteRecordOf(hop), w.seconds)
			if hop.Has(geneve.FlagBackup) {
				r.Flags |= RecordBackup
			}
		}
		if r.Upstream != hop.Upstream {
			e.Counters.Conflicts.Add(1)
		} else {
			e.noteConfirmation(r, hop, sender, w.seconds)
		}
		mine = *r
		return true
	})
	e.Counters.Learned.Add(1)
	if hop.Has(geneve.FlagConfirm) && sender != nil {
		e.sendRecord(w, sender.Data, &mine, (hop.Flags^geneve.FlagBackup)&geneve.FlagBackup)
	}
	return CauseNone
}

// noteConfirmation notes that the sender holds the same record.
func (e *Engine) noteConfirmation(r *Record, hop *geneve.Hop, sender *peer.Member, now Seconds) {
	e.markValid(r)
	if sender != nil {
		r.ReplicaTag = sender.Tag()
		r.ConfirmedAt = now
		r.Flags &^= RecordUnconfirmed
	}
	if !hop.Has(geneve.FlagBackup) {
		return
	}
	// Either the home renews the record of a flow that goes on, or it has
	// confirmed that it is home.
	r.LastSeen = now
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
	return hop.PlacedAt > r.PlacedAt || hop.PlacedAt == r.PlacedAt && retried
}

// remoteRecord is a record as another member knows it.
type remoteRecord struct {
	upstream bundle.UpstreamID
	placed   uint32
	unsure   bool
	retried  bool
}

func remoteRecordOf(hop *geneve.Hop) remoteRecord {
	return remoteRecord{
		upstream: hop.Upstream,
		placed:   hop.PlacedAt,
		unsure:   hop.Has(geneve.FlagUncertain),
		retried:  hop.Has(geneve.FlagRetried),
	}
}

// replace makes r the firm record that was told.
func (e *Engine) replace(r *Record, t remoteRecord, now Seconds) {
	counted := r.Flags&RecordCounted != 0
	e.uncount(r)
	var flags RecordFlags
	if t.placed == r.PlacedAt && r.State != StateEnded {
		// The placing that was proposed here. Of an earlier one there may be requests
		// that this daemon doesn't know.
		flags = r.Flags & (RecordLocal | RecordForwarded | RecordAnswered | RecordFinCaller | RecordFinUpstream)
	}
	if t.retried {
		flags |= RecordRetried
	}
	if t.unsure {
		flags |= RecordUncertain
	}
	*r = Record{Upstream: t.upstream, State: StateCommitted, LastSeen: now, PlacedAt: t.placed, Flags: flags}
	e.markValid(r)
	if counted {
		e.count(r)
	}
}
