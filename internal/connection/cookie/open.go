package cookie

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// decideFirst decides on a first packet, which is one that requests a new flow, or a retransmission
// of it.
func (e *Engine) decideFirst(p *Packet, r *bundle.CallerRoute, now time.Time) Verdict {
	f := e.flows[p.Key]
	if f != nil && f.isReplacedBy(p, now) {
		e.countFailed(f)
		e.forgetFlow(p.Key, f)
		f = nil
	}
	if f == nil {
		return e.place(p, r, now)
	}
	if e.isEvacuated(f.upstream) {
		return e.leaveEvacuatedZone(p, f, r, now)
	}
	if f.opened || p.Copy <= f.lastCopy {
		// The network duplicated or delayed the datagram.
		return Verdict{Action: ActionForward, Cause: CauseRepeated, Upstream: f.upstream}
	}
	f.noteCopy(p.Copy, now)
	if now.Sub(f.placedAt) < copyTransit {
		// The copies were delayed together, so the upstream had no time to answer. A second upstream would answer too.
		return Verdict{Action: ActionForward, Cause: CauseRepeated, Upstream: f.upstream}
	}
	// An upstream that answers other flows only lost a packet of this one. Any other may be dead or
	// at capacity, and waiting for a second retransmission would cost 400 ms more. If no upstream
	// at all is seen, the fault may be on this host's side, and another upstream would be as
	// silent.
	if f.upstream.usable() && (now.Sub(f.upstream.lastSeen) < aliveTTL || now.Sub(e.lastSeen) >= aliveTTL) {
		e.noteUnanswered(f.upstream, now)
		return Verdict{Action: ActionForward, Cause: CauseRepeated, Upstream: f.upstream}
	}
	e.noteUnanswered(f.upstream, now)
	f.upstream.zoneHealth.suspect(now)
	return e.placeAgain(p, f, r, now)
}

// leaveEvacuatedZone decides on a first packet that arrives again after the zone of its upstream
// was evacuated. If the flow is open, the packet is dropped: nobody needs it any more, and it could
// open a second flow there. Otherwise the flow is placed in another zone or refused.
func (e *Engine) leaveEvacuatedZone(p *Packet, f *flow, r *bundle.CallerRoute, now time.Time) Verdict {
	if f.opened {
		return Verdict{Cause: CauseEvacuated}
	}
	f.noteCopy(p.Copy, now)
	v := e.placeAgain(p, f, r, now)
	if !e.isEvacuated(f.upstream) {
		return v
	}
	e.forgetFlow(p.Key, f)
	e.requestCounts(f.upstream.Route.Service).Refused++
	return resetVerdict(p, CauseEvacuated)
}

// place chooses the upstream of a new flow and adds a flow record.
func (e *Engine) place(p *Packet, r *bundle.CallerRoute, now time.Time) Verdict {
	h := p.Key.hash()
	service := r.Pick(h)
	class, d := e.admit(p, r, service, now)
	if !d.Admitted {
		e.requestCounts(service).Refused++
		v := resetVerdict(p, CauseOverload)
		v.Admission = d
		return v
	}
	u := e.choose(r, service, h, nil, now)
	if u == nil {
		if p.isRetransmitted() {
			return Verdict{Cause: CauseNoUpstream}
		}
		e.requestCounts(service).Refused++
		return resetVerdict(p, CauseNoUpstream)
	}
	f := newFlow(u, class, p, now)
	delete(e.placements.byKey, p.Key)
	e.flows[p.Key] = f
	u.addFlowRecords(1)
	f.addToLoad()
	e.trackOpening(f, now)
	return Verdict{Action: ActionForward, Cause: e.placedCause(u), Upstream: u}
}

// placeAgain moves a flow to an upstream other than those that were silent. If there is no other
// one, the flow stays.
func (e *Engine) placeAgain(p *Packet, f *flow, r *bundle.CallerRoute, now time.Time) Verdict {
	tried := []*Upstream{f.upstream, f.previous}
	u := e.choose(r, r.Pick(p.Key.hash()), p.Key.hash(), tried, now)
	if u == nil {
		return Verdict{Action: ActionForward, Cause: CauseRepeated, Upstream: f.upstream}
	}
	f.previous = f.upstream
	f.moveTo(u, now)
	e.trackOpening(f, now)
	return Verdict{Action: ActionForward, Cause: CauseSilent, Upstream: u}
}

// placedCause returns the cause for a new flow at an upstream.
func (e *Engine) placedCause(u *Upstream) Cause {
	if u.Route.Zone != e.opts.Zone {
		return CauseSpilled
	}
	return CausePlaced
}

// mayEnter reports whether new flows of a route may enter a zone at all. The rule holds even if no
// other upstream is left.
func (e *Engine) mayEnter(r *bundle.CallerRoute, z bundle.Zone) bool {
	_, evacuated := e.evacuated[z]
	return !evacuated && r.Allows(e.opts.Regions[z])
}

// eligible reports whether a new flow may be placed at the upstream. If suspected is set, upstreams
// qualify too that are used only if there is no better one: those that are suspects or ejected.
func (u *Upstream) eligible(suspected bool, now time.Time) bool {
	if !suspected {
		return u.acceptsFlows(now)
	}
	return u.hasUsableRegistration() && !u.Route.Drain && !u.shadowed && u.health != HealthDead
}

// excluded reports whether an upstream is in a list.
func excluded(u *Upstream, list []*Upstream) bool {
	for _, x := range list {
		if u == x {
			return true
		}
	}
	return false
}
