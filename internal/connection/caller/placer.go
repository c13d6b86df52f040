package caller

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// askPlacer sends a call of a new flow to the member that chooses for its
// service. One place that knows of all new flows spreads them best.
func (e *Engine) askPlacer(w *packetWork, r *Record) Cause {
	hop := &w.p.Header.Hop
	*hop = geneve.Hop{Kind: geneve.KindChoose, Placed: r.Placed, Owner: uint64(e.self), Count: hop.Count + 1}
	p := w.view.Placer(w.service.VNI)
	if p == nil || p.ID == e.self {
		return e.placer(w)
	}
	w.send(p.Data, w.p.Header, w.p.Inner)
	return CauseNone
}

// placer chooses the upstream of a new flow and sends the packet back to its
// home. It remembers the choice for some time: a caller's repetition must not be
// placed elsewhere while the first copy is under way.
func (e *Engine) placer(w *packetWork) Cause {
	hop := &w.p.Header.Hop
	home := w.view.Member(peer.ID(hop.Owner))
	if home == nil {
		return CauseNoFlow
	}
	var rec Record
	e.Flows.Update(&w.key, w.hash, func(r *Record, found bool) bool {
		if found && r.Upstream != 0 && r.State != StateEnded {
			rec = *r
			return true
		}
		u := e.choose(w, 0)
		if u == nil {
			return found
		}
		*r = Record{Upstream: u.ID, State: StateTentative, Placed: hop.Placed, Seen: w.seconds}
		if home.ID != e.self {
			r.Flags = RecordBackup
		}
		e.holds(r)
		rec = *r
		e.Loads.Placed(u.ID, w.now.Add(recentFlows))
		return true
	})
	if rec.Upstream == 0 {
		return e.refuse(w, refusalNoUpstream)
	}
	hop.Kind = geneve.KindChosen
	hop.Upstream, hop.Placed = rec.Upstream, rec.Placed
	if home.ID == e.self {
		return e.chosen(w)
	}
	w.send(home.Data, w.p.Header, w.p.Inner)
	return CauseNone
}

// chosen goes on with a call at its home once the placer has chosen.
func (e *Engine) chosen(w *packetWork) Cause {
	hop := &w.p.Header.Hop
	var rec Record
	e.Flows.Update(&w.key, w.hash, func(r *Record, found bool) bool {
		switch {
		case !found || r.State == StateEnded:
			*r = Record{Upstream: hop.Upstream, State: StateTentative, Placed: hop.Placed, Flags: RecordLocal}
			e.holds(r)
		case r.State == StateTentative && r.Upstream == 0:
			r.Upstream, r.Placed = hop.Upstream, hop.Placed
		}
		e.touch(w, r)
		rec = *r
		return true
	})
	if rec.State == StateHeld {
		return CauseNoFlow
	}
	return e.decided(w, &rec)
}

// FlowCounts returns how many flows this daemon is home of at each upstream of
// the bundle, in the order that all daemons share, and the bundle's version.
func (e *Engine) FlowCounts() (bundle.Version, []uint32) {
	t := e.routing.Load()
	if t == nil {
		return 0, nil
	}
	ids := t.UpstreamIDs()
	counts := make([]uint32, len(ids))
	for i, id := range ids {
		counts[i] = uint32(max(0, e.Loads.Load(id).Flows.Load()))
	}
	return t.Version, counts
}

// ReceiveFlowCounts takes in what another member told of its flows under a version.
func (e *Engine) ReceiveFlowCounts(from upstream.MemberID, v bundle.Version, counts []uint32) {
	if t := e.routing.Load(); t != nil && t.Version == v {
		e.Loads.UpdateReported(from, t.UpstreamIDs(), counts)
	}
}

// ExpireRecentPlacements forgets flows that count by themselves no longer.
func (e *Engine) ExpireRecentPlacements(now time.Time) {
	e.Loads.Expire(now)
}
