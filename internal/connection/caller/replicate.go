package caller

import (
	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// handleReplicate stores a record that another member sent and, if asked to, sends back
// the record that is valid here. Datagrams get lost, so the sender takes a record as
// delivered only when the receiver has confirmed it.
func (e *Engine) handleReplicate(w *packetWork) Cause {
	hop := &w.p.Header.Hop
	sender := w.view.Member(peer.ID(hop.Owner))
	var stored Record
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
		stored = *r
		return true
	})
	e.Counters.Learned.Add(1)
	if hop.Has(geneve.FlagConfirm) && sender != nil {
		e.sendRecord(w, sender.Data, &stored, (hop.Flags^geneve.FlagBackup)&geneve.FlagBackup)
	}
	return CauseNone
}

// noteConfirmation notes that the sender holds the same record.
func (e *Engine) noteConfirmation(r *Record, hop *geneve.Hop, sender *peer.Member, now Seconds) {
	e.markValid(r)
	if sender != nil {
		r.ReplicaTag = sender.Tag()
		r.ReplicatedAt = now
		r.Flags &^= RecordUnconfirmed
	}
	if !hop.Has(geneve.FlagBackup) {
		return
	}
	// Either the owner renews the record of a flow that continues, or it confirms that
	// it is the owner.
	r.LastSeen = now
	if hop.Has(geneve.FlagConfirm) {
		return
	}
	e.uncount(r)
	r.Flags |= RecordBackup
	r.Flags &^= RecordLocal
}

// supersedes reports whether a received record replaces the one that is held here: it
// is from a later placement, or from the second placement of a TCP flow.
func supersedes(hop *geneve.Hop, r *Record) bool {
	if hop.Upstream == r.Upstream {
		return false
	}
	retried := hop.Has(geneve.FlagRetried) && r.Flags&RecordRetried == 0
	return hop.PlacedAt > r.PlacedAt || hop.PlacedAt == r.PlacedAt && retried
}

// remoteRecord is a record as another member holds it.
type remoteRecord struct {
	upstream  bundle.UpstreamID
	placedAt  uint32
	uncertain bool
	retried   bool
}

func remoteRecordOf(hop *geneve.Hop) remoteRecord {
	return remoteRecord{
		upstream:  hop.Upstream,
		placedAt:  hop.PlacedAt,
		uncertain: hop.Has(geneve.FlagUncertain),
		retried:   hop.Has(geneve.FlagRetried),
	}
}

// replace overwrites r with a committed record that another member sent.
func (e *Engine) replace(r *Record, remote remoteRecord, now Seconds) {
	counted := r.Flags&RecordCounted != 0
	e.uncount(r)
	var flags RecordFlags
	if remote.placedAt == r.PlacedAt && r.State != StateEnded {
		// This is the placement that was proposed here. For an earlier placement there may
		// be requests that this daemon doesn't know.
		flags = r.Flags & (RecordLocal | RecordForwarded | RecordAnswered | RecordFinCaller | RecordFinUpstream)
	}
	if remote.retried {
		flags |= RecordRetried
	}
	if remote.uncertain {
		flags |= RecordUncertain
	}
	*r = Record{Upstream: remote.upstream, State: StateCommitted, LastSeen: now, PlacedAt: remote.placedAt, Flags: flags}
	e.markValid(r)
	if counted {
		e.count(r)
	}
}
