package caller

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
)

// renewDivisor and backupIdleFactor: a home renews its flow's record once in half
// the idle time, if there are packets; who keeps a copy and hears nothing for
// twice the idle time has lost the home or the flow.
const (
	renewDivisor     = 2
	backupIdleFactor = 2
)

// mustRenew reports whether the flow went on for half of its idle time since
// those who keep copies last heard of it.
func (w *packetWork) mustRenew(r *Record) bool {
	limit := Seconds(w.service.IdleTimeout / time.Second)
	return w.seconds > r.Told+limit/renewDivisor
}

// refresh sends a packet past all who keep the flow's record. It costs this one
// packet a few hops and the control traffic nothing.
func (e *Engine) refresh(w *packetWork, r *Record) Cause {
	h := w.p.Header
	h.Hop = learnHop(e.self, r, 0)
	h.Hop.Kind = geneve.KindRefresh
	if w.answer {
		h.Hop.Flags |= geneve.FlagAnswer
	}
	w.view.AddReplicas(w.hash, &h.Hop)
	e.Flows.Update(&w.key, w.hash, func(r *Record, found bool) bool {
		r.Told = w.seconds
		return found
	})
	w.p.Header.Hop = h.Hop
	return e.passRefresh(w)
}

// refreshed takes in the home's record from a packet on its way and passes it on.
func (e *Engine) refreshed(w *packetWork) Cause {
	hop := &w.p.Header.Hop
	home := w.view.Member(peer.ID(hop.Owner))
	var mine Record
	e.Flows.Update(&w.key, w.hash, func(r *Record, found bool) bool {
		if !found || r.State != StateFirm || supersedes(hop, r) {
			e.replace(r, toldBy(hop), w.seconds)
		}
		if r.Upstream == hop.Upstream {
			r.Flags |= RecordBackup
			r.Flags &^= RecordUnconfirmed
			r.Seen = w.seconds
			e.holds(r)
			if home != nil {
				r.Other = home.Tag()
			}
		}
		mine = *r
		return true
	})
	if mine.Upstream != hop.Upstream {
		e.Counters.Conflicts.Add(1)
		e.tellHome(w, &mine)
	}
	return e.passRefresh(w)
}

func (e *Engine) passRefresh(w *packetWork) Cause {
	if e.passOn(w) {
		return CauseNone
	}
	return e.deliver(w, w.p.Header.Hop.Upstream)
}
