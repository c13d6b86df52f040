package cookie

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// decideFirst decides for a first packet.
func (e *Engine) decideFirst(p *Packet, r *bundle.CallerRoute, now time.Time) Verdict {
	f := e.flows[p.Key]
	if f == nil {
		return e.place(p, r, now)
	}
	if e.isEvacuated(f.upstream) {
		return e.leaveEvacuatedZone(p, f, r, now)
	}
	if f.opened || p.Copy <= f.copies {
		// A datagram that the network doubled or delayed.
		return Verdict{Action: ActionForward, Cause: CauseRepeated, Upstream: f.upstream}
	}
	f.copies = p.Copy
	f.lastPacket = now
	// An upstream that answers other flows lost a packet of this one. Any other may
	// be dead or full, and waiting for a second copy would cost 400 ms more. If no upstream is heard, the
	// trouble may be this host's, and another upstream would be as silent.
	if f.upstream.usable() && (now.Sub(f.upstream.lastSeen) < aliveTTL || now.Sub(e.lastSeen) >= aliveTTL) {
		e.noteUnanswered(f.upstream, now)
		return Verdict{Action: ActionForward, Cause: CauseRepeated, Upstream: f.upstream}
	}
	e.noteUnanswered(f.upstream, now)
	f.upstream.zoneHealth.suspect(now)
	return e.placeAgain(p, f, r, now)
}

// leaveEvacuatedZone decides for a first packet that comes again after the zone of its upstream was
// evacuated. If the flow is open, the packet is of no use to anybody any more, and could open a
// second one there.
func (e *Engine) leaveEvacuatedZone(p *Packet, f *flow, r *bundle.CallerRoute, now time.Time) Verdict {
	if f.opened {
		return Verdict{Cause: CauseEvacuated}
	}
	f.copies, f.lastPacket = max(f.copies, p.Copy), now
	v := e.placeAgain(p, f, r, now)
	if !e.isEvacuated(f.upstream) {
		return v
	}
	e.forgetFlow(p.Key, f)
	e.requestCounts(f.upstream.Route.Service).Refused++
	return resetVerdict(p, CauseEvacuated)
}

// place chooses the upstream of a new flow.
func (e *Engine) place(p *Packet, r *bundle.CallerRoute, now time.Time) Verdict {
	h := p.Key.hash()
	service := r.Pick(h)
	u := e.choose(r, service, h, nil, now)
	if u == nil {
		e.requestCounts(service).Refused++
		return resetVerdict(p, CauseNoUpstream)
	}
	f := &flow{upstream: u, copies: p.Copy, placedAt: now, lastPacket: now, ack: p.Ack}
	e.flows[p.Key] = f
	u.flowRecords++
	f.addToLoad()
	return Verdict{Action: ActionForward, Cause: e.placedCause(u), Upstream: u}
}

// placeAgain turns to another upstream than those that were silent. If there is
// no other, the flow stays.
func (e *Engine) placeAgain(p *Packet, f *flow, r *bundle.CallerRoute, now time.Time) Verdict {
	not := []*Upstream{f.upstream, f.previous}
	u := e.choose(r, r.Pick(p.Key.hash()), p.Key.hash(), not, now)
	if u == nil {
		return Verdict{Action: ActionForward, Cause: CauseRepeated, Upstream: f.upstream}
	}
	f.previous = f.upstream
	f.moveTo(u)
	return Verdict{Action: ActionForward, Cause: CauseSilent, Upstream: u}
}

func (e *Engine) placedCause(u *Upstream) Cause {
	if u.Route.Zone != e.opts.Zone {
		return CauseSpilled
	}
	return CausePlaced
}

// choose asks the policy for one of the service's upstreams that may take a flow of the route, the
// given ones left out. If none does, those that are only doubted are asked for.
func (e *Engine) choose(
	r *bundle.CallerRoute, s *bundle.ServiceRoute, seed uint64, not []*Upstream, now time.Time,
) *Upstream {
	busy := e.activity[s.Name].requestsPerFlow
	for _, suspected := range [...]bool{false, true} {
		e.candidates = e.candidates[:0]
		for _, u := range e.index.byService[s.Name] {
			if excluded(u, not) || !e.mayEnter(r, u) || !u.eligible(suspected, now) || !e.withinWarmupLimit(u, now) {
				continue
			}
			e.candidates = append(e.candidates, upstream.Candidate{
				Route:           u.Route,
				Load:            u.load,
				Cold:            now.Before(u.warmingUntil),
				RequestsPerFlow: busy,

				ZoneFlowsPerSlot: e.zoneFlowsPerSlot(u, now),
			})
		}
		if chosen := e.opts.Policy.Choose(e.candidates, seed); chosen != nil {
			u := e.upstreams[chosen.ID]
			e.recordWarmupFlow(u, now)
			return u
		}
	}
	return nil
}

// mayEnter reports whether new flows of a route may enter an upstream's zone at all, however short of others
// they are.
func (e *Engine) mayEnter(r *bundle.CallerRoute, u *Upstream) bool {
	return !e.isEvacuated(u) && r.Allows(e.opts.Regions[u.Route.Zone])
}

// eligible reports whether a new flow may go there, or, if suspected is set, whether
// it may for want of a better one: where the upstream is doubted or left out.
func (u *Upstream) eligible(suspected bool, now time.Time) bool {
	if !suspected {
		return u.acceptsFlows(now) && !u.zoneHealth.isSuspect(now)
	}
	return u.hasUsableRegistration() && !u.Route.Drain && !u.shadowed && u.health != HealthDead
}

func excluded(u *Upstream, not []*Upstream) bool {
	for _, n := range not {
		if u == n {
			return true
		}
	}
	return false
}
