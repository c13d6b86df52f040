package cookie

import (
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// zoneHealth is what this balancer saw of its way to a zone, its own among them.
type zoneHealth struct {
	// lastSeen is when an upstream there last showed a sign of life, suspectUntil until when the
	// zone may be cut off or have lost its upstreams.
	lastSeen, suspectUntil time.Time
	// lostAt is when several of its upstreams were found dead together, zero if one was heard since.
	lostAt time.Time
}

const (
	// zoneSuspectTTL is how long no new flow goes to a zone that may be cut off: as long as the
	// word that it had room may still come from members that heard it before.
	zoneSuspectTTL = 2 * time.Second
	// minSilentTogether is how many upstreams of a zone must leave a connection unaccepted at once for it to count as
	// lost at the first attempt. One or two may be busy, or a packet of each may be lost.
	minSilentTogether = 3
	// maxUnaccepted is how many connections in a row an upstream leaves open until it is dead. Each lasts a quarter
	// of the time-out, and another upstream accepts one that begins after it.
	maxUnaccepted = 2
)

// zoneHealthOf returns what is known of the way to a zone.
func (e *Engine) zoneHealthOf(z bundle.Zone) *zoneHealth {
	r := e.zoneHealth[z]
	if r == nil {
		r = &zoneHealth{}
		e.zoneHealth[z] = r
	}
	return r
}

// suspect notes that a first packet to the zone went unanswered. If nothing was heard from there meanwhile, the zone may
// be cut off or have lost its upstreams. Reports of another zone say so only seconds later, the list of the own
// one too, and a flow that is placed there waits 200 ms for its copy.
func (r *zoneHealth) suspect(now time.Time) {
	if now.Sub(r.lastSeen) >= aliveTTL {
		r.suspectUntil = now.Add(zoneSuspectTTL)
	}
}

// isSuspect reports whether the zone may be cut off or have lost its upstreams.
func (r *zoneHealth) isSuspect(now time.Time) bool { return now.Before(r.suspectUntil) }

// markSeen notes a sign of life from the zone.
func (r *zoneHealth) markSeen(now time.Time) { *r = zoneHealth{lastSeen: now} }

// noteUnanswered notes that a caller repeated a packet that went to an upstream. It says nothing while no upstream at all is
// heard: then this host may be slow or cut off, or its link full. It may also be that its flows are all in a zone whose
// upstreams fell silent together; an upstream of another zone shows which it is.
func (e *Engine) noteUnanswered(u *Upstream, now time.Time) {
	if u.health != HealthGood || !u.silent(now) {
		return
	}
	if now.Sub(e.lastSeen) < aliveTTL {
		u.suspect(now)
		return
	}
	if len(e.pendingSuspects) < minSilentTogether && !slices.Contains(e.pendingSuspects, u) {
		e.pendingSuspects = append(e.pendingSuspects, u)
	}
}

// dueCheck returns an upstream of another zone that is to show whether this host reaches anybody, if that is in
// question now.
func (e *Engine) dueCheck(now time.Time) (Probe, bool) {
	if len(e.pendingSuspects) == 0 || now.Before(e.nextCheck) {
		return Probe{}, false
	}
	e.nextCheck = now.Add(inconclusiveRetry)
	r := e.chooseReference(e.pendingSuspects[0], now)
	if r == nil || r.Zone == e.pendingSuspects[0].Route.Zone {
		return Probe{}, false
	}
	return Probe{Upstream: r, Check: true}, true
}

// CheckDone takes in whether the upstream of a Probe that was a check accepted a connection quickly. If it did, the host
// is well, and those that left packets unanswered are doubted.
func (e *Engine) CheckDone(accepted bool, now time.Time) {
	list := e.pendingSuspects
	e.pendingSuspects = nil
	if !accepted {
		return
	}
	e.lastSeen = now
	for _, u := range list {
		if u.health == HealthGood && u.silent(now) {
			u.suspect(now)
			u.zoneHealth.suspect(now)
		}
	}
}

// ProbePending takes in that a probe which was sent at a time isn't accepted yet, though its reference was at once. It
// returns the upstreams that are found dead by it, and resets for their flows.
//
// An upstream is dead by two connections in a row that it leaves open: one may be lost on the way, and the
// references show that it isn't this host's trouble. Until a silent upstream's flows are reset, callers wait on
// them, and others send requests there that can't be repeated.
//
// All upstreams of a zone may fall silent together: its power is lost, or the way there. If several leave a connection
// open at once, and nobody of the zone shows a sign of life meanwhile, one each is enough. The zone's others that callers
// have flows at are looked at then, and for a while one that leaves its connection open is dead like them.
//
// Upstreams that left the list don't count: a rolling replacement ends several of them together, and whoever
// drains closes its port before it ends its flows.
func (e *Engine) ProbePending(id bundle.UpstreamID, sent, now time.Time) ([]bundle.UpstreamID, []Reset) {
	u := e.upstreams[id]
	if u == nil || sent.Before(u.incarnationSeen) || u.health == HealthDead || u.lastSeen.After(sent) {
		return nil, nil
	}
	u.unaccepted++
	if !u.registered {
		return nil, nil
	}
	silent := e.deadAfterUnaccepted(u, sent, now)
	dead := make(map[*Upstream]bool, len(silent))
	found := make([]bundle.UpstreamID, 0, len(silent))
	for _, s := range silent {
		found = append(found, s.Route.ID)
		s.health = HealthDead
		s.nextProbe = now.Add(reprobeInterval)
		dead[s] = true
	}
	if len(found) > 1 {
		u.zoneHealth.suspect(now)
		e.suspectOthers(u.zoneHealth, now)
	}
	return found, e.endFlowsAt(dead)
}

// deadAfterUnaccepted returns which upstreams are dead now that u has left a connection open: all of its zone that did, if the
// zone is lost, or u alone if it left two.
func (e *Engine) deadAfterUnaccepted(u *Upstream, sent, now time.Time) []*Upstream {
	if !u.zoneHealth.lastSeen.After(sent) {
		silent := e.unacceptedInZone(u.zoneHealth)
		if len(silent) >= minSilentTogether || now.Sub(u.zoneHealth.lostAt) <= zoneSuspectTTL {
			u.zoneHealth.lostAt = now
			return silent
		}
	}
	if u.unaccepted >= maxUnaccepted && !u.Route.Drain {
		return []*Upstream{u}
	}
	return nil
}

// unacceptedInZone returns the doubted upstreams of a zone that left a probe open.
func (e *Engine) unacceptedInZone(r *zoneHealth) []*Upstream {
	var out []*Upstream
	for _, u := range e.upstreams {
		if u.zoneHealth == r && u.registered && u.health == HealthSuspect && u.unaccepted > 0 {
			out = append(out, u)
		}
	}
	return out
}

// suspectOthers asks for a probe of each upstream of a zone that callers have flows at.
func (e *Engine) suspectOthers(r *zoneHealth, now time.Time) {
	for _, u := range e.upstreams {
		if u.zoneHealth == r && u.registered && u.flowRecords > 0 && u.health == HealthGood {
			u.suspect(now)
		}
	}
}

// endFlowsAt ends the flows of upstreams that were found dead.
func (e *Engine) endFlowsAt(dead map[*Upstream]bool) []Reset {
	var out []Reset
	for k, f := range e.flows {
		if dead[f.upstream] {
			out = append(out, e.endFlow(k, f, deadCause(f.upstream)))
		}
	}
	return out
}

// chooseReference returns the upstream that shows whether a probe of u that goes unanswered is this host's trouble: the one
// that was heard last. If nobody of u's zone was heard lately, it is one of another zone, since the
// whole zone may be silent; among those that weren't heard either, u and the time draw one.
func (e *Engine) chooseReference(not *Upstream, now time.Time) *bundle.UpstreamRoute {
	silentZone := now.Sub(not.zoneHealth.lastSeen) >= aliveTTL
	var best *Upstream
	var bestDraw uint64
	for _, u := range e.upstreams {
		if u == not || !u.registered || u.health != HealthGood || e.isEvacuated(u) {
			continue
		}
		if silentZone && u.zoneHealth == not.zoneHealth {
			continue
		}
		draw := peer.Mix(uint64(u.Route.ID) ^ uint64(not.Route.ID) ^ uint64(now.UnixNano()))
		if best == nil || u.lastSeen.After(best.lastSeen) || u.lastSeen.Equal(best.lastSeen) && draw > bestDraw {
			best, bestDraw = u, draw
		}
	}
	if best == nil {
		return nil
	}
	return best.Route
}
