package caller

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// requestPlacement sends a call of a new flow to the placer of its service, which
// chooses the upstream. A single member that sees all new flows distributes them best.
func (e *Engine) requestPlacement(w *packetWork, r *Record) Cause {
	hop := &w.p.Header.Hop
	*hop = geneve.Hop{Kind: geneve.KindPlacementRequest, PlacedAt: r.PlacedAt, Owner: uint64(e.self), Count: hop.Count + 1}
	p := w.view.Placer(w.service.VNI)
	if p == nil || p.ID == e.self {
		return e.handlePlacementRequest(w)
	}
	w.send(p.Data, w.p.Header, w.p.Inner)
	return CauseNone
}

// handlePlacementRequest chooses the upstream of a new flow at the placer and sends the
// packet back to the flow's owner. It stores the choice for some time, so that a copy
// of the packet that the caller repeats isn't placed elsewhere while the first copy is
// under way.
func (e *Engine) handlePlacementRequest(w *packetWork) Cause {
	hop := &w.p.Header.Hop
	owner := w.view.Member(peer.ID(hop.Owner))
	if owner == nil {
		return CauseNoFlow
	}
	var rec Record
	e.Flows.Update(&w.key, w.hash, func(r *Record, found bool) bool {
		if found && r.Upstream != 0 && r.State != StateEnded {
			rec = *r
			return true
		}
		u := e.chooseUpstream(w, 0)
		if u == nil {
			return found
		}
		*r = Record{Upstream: u.ID, State: StateTentative, PlacedAt: hop.PlacedAt, LastSeen: w.seconds}
		if owner.ID != e.self {
			r.Flags = RecordBackup
		}
		e.markValid(r)
		rec = *r
		e.Loads.Placed(u.ID, w.now.Add(recentPlacementPeriod))
		return true
	})
	if rec.Upstream == 0 {
		return e.refuse(w, refusalNoUpstream)
	}
	hop.Kind = geneve.KindPlacementReply
	hop.Upstream, hop.PlacedAt = rec.Upstream, rec.PlacedAt
	if owner.ID == e.self {
		return e.handlePlacementReply(w)
	}
	w.send(owner.Data, w.p.Header, w.p.Inner)
	return CauseNone
}

// handlePlacementReply continues with a call at its owner after the placer has chosen
// the upstream.
func (e *Engine) handlePlacementReply(w *packetWork) Cause {
	hop := &w.p.Header.Hop
	var rec Record
	e.Flows.Update(&w.key, w.hash, func(r *Record, found bool) bool {
		switch {
		case !found || r.State == StateEnded:
			*r = Record{Upstream: hop.Upstream, State: StateTentative, PlacedAt: hop.PlacedAt, Flags: RecordLocal}
			e.markValid(r)
		case r.State == StateTentative && r.Upstream == 0:
			r.Upstream, r.PlacedAt = hop.Upstream, hop.PlacedAt
		}
		e.touch(w, r)
		rec = *r
		return true
	})
	if rec.State == StateDeferred {
		return CauseNoFlow
	}
	return e.forwardCall(w, &rec)
}

// FlowCounts returns how many flows this daemon owns at each upstream of the bundle, in
// the order that all daemons share, and the bundle's version.
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

// ReceiveFlowCounts stores the flow counts that another member sent. It ignores counts
// under a version of the bundle other than the current one.
func (e *Engine) ReceiveFlowCounts(from upstream.MemberID, v bundle.Version, counts []uint32) {
	if t := e.routing.Load(); t != nil && t.Version == v {
		e.Loads.UpdateReported(from, t.UpstreamIDs(), counts)
	}
}

// ExpireRecentPlacements removes the placements that no longer have to be counted
// separately, because the flow's owner has reported the flow by now.
func (e *Engine) ExpireRecentPlacements(now time.Time) {
	e.Loads.Expire(now)
}
