package cookie

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// zoneHealth is what this balancer observed of the path to a zone. The own zone has one too.
type zoneHealth struct {
	// lastSeen is when an upstream there last showed a sign of life. Until suspectUntil, the zone
	// may be cut off or have lost its upstreams.
	lastSeen, suspectUntil time.Time
	// lostAt is when several upstreams of the zone were found dead together, zero if an upstream
	// was seen since.
	lostAt time.Time
	// recent are the upstreams there that last showed a sign of life.
	recent recentUpstreams
}

// recentUpstreams holds a few different upstreams, the latest at the position next-1.
type recentUpstreams struct {
	list [numRecent]*Upstream
	next int
}

// numRecent is the number of upstreams of a zone that are remembered: one of several is still a good
// reference when some of them fail together.
const numRecent = 8

// add notes a sign of life of an upstream.
func (r *recentUpstreams) add(u *Upstream) {
	for _, o := range r.list {
		if o == u {
			return
		}
	}
	r.list[r.next] = u
	r.next = (r.next + 1) % numRecent
}

const (
	// zoneSuspectTTL is how long a zone that may be cut off is a suspect. Reports of its free
	// capacity may still arrive for as long, from members that received them before.
	zoneSuspectTTL = 2 * time.Second
	// minSilentTogether is how many upstreams of a zone must leave a connection unaccepted at the
	// same time for the zone to count as lost at the first attempt. One or two may be busy, or a
	// packet of each may be lost.
	minSilentTogether = 3
	// maxUnaccepted is how many connections in a row an upstream must leave unaccepted to be dead.
	// Each counts as unaccepted after a quarter of the probe timeout, if another upstream accepts a
	// connection that begins after it.
	maxUnaccepted = 2
)

// zoneHealthOf returns the health of a zone and creates it at first use.
func (e *Engine) zoneHealthOf(z bundle.Zone) *zoneHealth {
	h := e.healthByZone[z]
	if h == nil {
		h = &zoneHealth{}
		e.healthByZone[z] = h
	}
	return h
}

// suspect notes that a first packet to the zone went unanswered. If no upstream of the zone was
// seen meanwhile, the zone may be cut off or have lost its upstreams. Load reports of another zone
// and registrations of the own zone show that only seconds later, and a flow that is placed there
// waits 200 ms for its retransmission.
func (h *zoneHealth) suspect(now time.Time) {
	if now.Sub(h.lastSeen) >= aliveTTL {
		h.suspectUntil = now.Add(zoneSuspectTTL)
	}
}

// isSuspect reports whether the zone may be cut off or have lost its upstreams.
func (h *zoneHealth) isSuspect(now time.Time) bool { return now.Before(h.suspectUntil) }

// markSeen notes a sign of life from the zone and clears all suspicion.
func (h *zoneHealth) markSeen(now time.Time) { *h = zoneHealth{lastSeen: now, recent: h.recent} }

// noteUnanswered notes that a caller retransmitted a packet to an upstream, or has waited long for
// its answer. If the upstream is silent while others are seen, it becomes a suspect. While no
// upstream at all is seen, its silence shows nothing: this host may be slow or cut off, or its link
// full. It may also be that all flows of this host are in a zone whose upstreams fell silent
// together. The upstream is then kept in pendingSuspects until an upstream of another zone shows
// which it is.
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

// dueCheck returns the probe of an upstream of another zone that shows whether this host reaches
// any upstream, if that is in question and a check is due.
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

// CheckDone applies the result of a Probe with Check set: whether its upstream accepted a
// connection quickly. If it did, the fault isn't on this host's side, and the upstreams that left
// packets unanswered become suspects.
func (e *Engine) CheckDone(accepted bool, now time.Time) {
	suspects := e.pendingSuspects
	e.pendingSuspects = nil
	if !accepted {
		return
	}
	e.lastSeen = now
	for _, u := range suspects {
		if u.health == HealthGood && u.silent(now) {
			u.suspect(now)
			u.zoneHealth.suspect(now)
		}
	}
}

// ProbePending notes that a probe that was sent at a time isn't accepted yet, though its
// reference accepted a connection quickly. It returns the upstreams that are found dead by it, and
// resets for their flows.
//
// An upstream is dead after two connections in a row that it doesn't accept: one may be lost on the
// way, and the references show that the fault isn't on this host's side. Until a silent upstream's
// flows are reset, their callers wait, and others send requests there that can't be repeated.
//
// All upstreams of a zone may fall silent together, when the zone loses power or its network. If
// several leave a connection unaccepted at the same time, and no upstream of the zone shows a sign
// of life meanwhile, one connection each is enough. The zone's other upstreams with flows are then
// probed, and for zoneSuspectTTL one unaccepted connection is enough for them too.
//
// Upstreams that are deregistered don't count: a rolling replacement ends several of them together,
// and a draining upstream closes its port before it ends its flows.
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
		s.nextProbe = now.Add(reprobeInterval)
		s.foundDeadAt = now
		s.setHealth(HealthDead)
		dead[s] = true
	}
	if len(found) > 1 {
		u.zoneHealth.suspect(now)
		e.suspectOthers(u.zoneHealth, now)
	}
	return found, e.endFlowsAt(dead, now)
}

// deadAfterUnaccepted returns the upstreams that are dead now that u left a connection unaccepted:
// if the zone is lost, all its upstreams that did so; otherwise u alone, if it left maxUnaccepted
// and isn't draining.
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

// unacceptedInZone returns the registered suspects of a zone that left a probe unaccepted.
func (e *Engine) unacceptedInZone(h *zoneHealth) []*Upstream {
	var out []*Upstream
	for _, u := range e.index.inDoubt.list {
		if u.zoneHealth == h && u.registered && u.health == HealthSuspect && u.unaccepted > 0 {
			out = append(out, u)
		}
	}
	return out
}

// suspectOthers requests a probe of each registered upstream of a zone that has flows and is in
// good health. They are taken in the order of their identifiers: the set of upstreams with flows has
// an order that depends on that of a map, and the order of the suspects decides which upstreams random
// draws meet later.
func (e *Engine) suspectOthers(h *zoneHealth, now time.Time) {
	var others []*Upstream
	for _, u := range e.index.withFlows.list {
		if u.zoneHealth == h && u.registered && u.health == HealthGood {
			others = append(others, u)
		}
	}
	slices.SortFunc(others, func(a, b *Upstream) int { return cmp.Compare(a.Route.ID, b.Route.ID) })
	for _, u := range others {
		u.suspect(now)
	}
}

// endFlowsAt ends the flows of upstreams that were found dead and returns their resets. A flow that may
// be open elsewhere stays: the next copy of its first packet is sent to another upstream.
func (e *Engine) endFlowsAt(dead map[*Upstream]bool, now time.Time) []Reset {
	var out []Reset
	for k, f := range e.flows {
		if dead[f.upstream] && f.mayBeReset(now) {
			out = append(out, e.endFlow(k, f, deadCause(f.upstream)))
		}
	}
	return out
}

// chooseReference returns the upstream whose answer shows whether an unanswered probe of target is
// due to a fault on this host's side, or nil if there is none: the one that was seen last of those
// that each zone remembers. If no upstream of the target's zone was seen lately, the reference is
// one of another zone, since the whole zone may be silent. Among upstreams that were seen at the
// same time, a hash of the two identifiers and the time chooses, and so it does among all usable
// ones if none was seen.
func (e *Engine) chooseReference(target *Upstream, now time.Time) *bundle.UpstreamRoute {
	silentZone := now.Sub(target.zoneHealth.lastSeen) >= aliveTTL
	var best *Upstream
	var bestDraw uint64
	for _, h := range e.healthByZone {
		if silentZone && h == target.zoneHealth {
			continue
		}
		for _, u := range h.recent.list {
			if u == nil || u == target || !u.registered || u.health != HealthGood || e.isEvacuated(u) {
				continue
			}
			draw := referenceDraw(target, now, uint64(u.Route.ID))
			if best == nil || u.lastSeen.After(best.lastSeen) || u.lastSeen.Equal(best.lastSeen) && draw > bestDraw {
				best, bestDraw = u, draw
			}
		}
	}
	if best == nil {
		best = e.unseenReference(target, silentZone, now)
	}
	if best == nil {
		return nil
	}
	return best.Route
}

// unseenReference returns a usable upstream as a reference for target, or nil if there is none.
func (e *Engine) unseenReference(target *Upstream, silentZone bool, now time.Time) *Upstream {
	var pools []*pool
	n := 0
	for _, name := range slices.Sorted(maps.Keys(e.index.pools)) {
		for _, p := range e.index.pools[name] {
			if _, evacuated := e.evacuated[p.zone]; evacuated || silentZone && p.health == target.zoneHealth {
				continue
			}
			pools, n = append(pools, p), n+len(p.usable.list)
		}
	}
	if n == 0 {
		return nil
	}
	i := int(referenceDraw(target, now, uint64(n)) % uint64(n))
	if u := memberAt(pools, false, i); u != target {
		return u
	}
	if n == 1 {
		return nil
	}
	return memberAt(pools, false, (i+1)%n)
}

func referenceDraw(target *Upstream, now time.Time, salt uint64) uint64 {
	return peer.Mix(salt ^ uint64(target.Route.ID) ^ uint64(now.UnixNano()))
}
