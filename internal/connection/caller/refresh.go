package caller

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
)

// The owner renews the replicas of a flow's record once in half of the idle time, if
// the flow has packets. A member that keeps a replica and receives no renewal for twice
// the idle time takes the owner or the flow for lost.
const (
	renewDivisor     = 2
	backupIdleFactor = 2
)

// mustRenew reports whether half of the flow's idle time has passed since the record was
// last sent to its replicas or confirmed by one of them.
func (w *packetWork) mustRenew(r *Record) bool {
	limit := Seconds(w.service.IdleTimeout / time.Second)
	return w.seconds > r.ReplicatedAt+limit/renewDivisor
}

// refresh sends a packet through all members that keep a replica of the flow's record.
// This costs a few hops for this one packet, but no control traffic.
func (e *Engine) refresh(w *packetWork, r *Record) Cause {
	h := w.p.Header
	h.Hop = replicateHop(e.self, r, 0)
	h.Hop.Kind = geneve.KindRefresh
	if w.answer {
		h.Hop.Flags |= geneve.FlagAnswer
	}
	w.view.AddReplicas(w.hash, &h.Hop)
	e.Flows.Update(&w.key, w.hash, func(r *Record, found bool) bool {
		r.ReplicatedAt = w.seconds
		return found
	})
	w.p.Header.Hop = h.Hop
	return e.forwardRefresh(w)
}

// handleRefresh stores the owner's record from a packet that passes through this
// member, and sends the packet on.
func (e *Engine) handleRefresh(w *packetWork) Cause {
	hop := &w.p.Header.Hop
	owner := w.view.Member(peer.ID(hop.Owner))
	var stored Record
	e.Flows.Update(&w.key, w.hash, func(r *Record, found bool) bool {
		if !found || r.State != StateCommitted || supersedes(hop, r) {
			e.replace(r, remoteRecordOf(hop), w.seconds)
		}
		if r.Upstream == hop.Upstream {
			r.Flags |= RecordBackup
			r.Flags &^= RecordUnconfirmed
			r.LastSeen = w.seconds
			e.markValid(r)
			if owner != nil {
				r.ReplicaTag = owner.Tag()
			}
		}
		stored = *r
		return true
	})
	if stored.Upstream != hop.Upstream {
		e.Counters.Conflicts.Add(1)
		e.sendToOwner(w, &stored)
	}
	return e.forwardRefresh(w)
}

// forwardRefresh sends a packet to the next member that keeps a replica, or delivers it if
// there is none.
func (e *Engine) forwardRefresh(w *packetWork) Cause {
	if e.sendToNextMember(w) {
		return CauseNone
	}
	return e.deliver(w, w.p.Header.Hop.Upstream)
}
