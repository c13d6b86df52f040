package cookie

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

const (
	// unknownGrace is how long packets whose cookie names no known upstream are only dropped. The
	// cookie may be that of a new upstream whose registration hasn't been received yet, or of an
	// upstream whose registration lapsed while the store was unavailable, which is back within
	// about two seconds of the store's return. A reset would break a live flow.
	unknownGrace = 3 * time.Second
	// maxUnknownCookies bounds the number of remembered cookies that name no known upstream, and so
	// the memory for cookies that no balancer assigned.
	maxUnknownCookies = 4096
)

// decideEstablished decides on a packet of an established flow. r is nil if the routing table has no route for it.
func (e *Engine) decideEstablished(p *Packet, r *bundle.CallerRoute, now time.Time) Verdict {
	f := e.flows[p.Key]
	if f == nil || !f.opened && e.mayHaveOpenedElsewhere(f, p, now) {
		return e.adopt(p, r, now)
	}
	if !f.opened {
		e.markOpened(f, p, now)
	}
	u := f.upstream
	if u.health == HealthDead {
		return e.resetFlow(p, f, deadCause(u))
	}
	e.observe(f, p, r, now)
	if p.Flags.Has(FlagRST) {
		e.forgetFlow(p.Key, f)
	}
	return Verdict{Action: ActionForward, Upstream: u}
}

// mayHaveOpenedElsewhere reports whether a flow that isn't known to be open may have opened through another balancer, at
// another upstream than the one whose tentative cookie the packet carries.
func (e *Engine) mayHaveOpenedElsewhere(f *flow, p *Packet, now time.Time) bool {
	_, tentative := e.index.find(p.Cookie)
	return tentative && !f.sawAllCopies(now)
}

// markOpened notes at which upstream the flow opened. That is the one whose answer the caller
// acknowledges, and so the one whose cookie it repeats, not necessarily the one that the flow was
// sent to last. From then on the record decides, not the cookie: if a second upstream, tried while the
// first was slow, answers late, the caller repeats that one's cookie. By the cookie alone, the
// flow's packets would go to an upstream that resets them.
func (e *Engine) markOpened(f *flow, p *Packet, now time.Time) {
	if u, _ := e.index.find(p.Cookie); u != nil && u != f.upstream {
		f.moveTo(u, now)
	}
	if p.Flags.Has(FlagRST) {
		return
	}
	if !f.onlyPlacedHere(now) {
		e.notePlacement(p.Key, f.upstream, p.Ack, now)
	}
	f.opened = true
	e.noteRoundTrip(f, now)
	f.ack, f.next = p.Ack, p.Seq
	e.markAlive(f.upstream, now)
}

// adopt decides on a packet of a flow that this balancer has no record of, and adds one if the
// cookie names a live upstream. r is nil if the routing table has no route for the flow.
func (e *Engine) adopt(p *Packet, r *bundle.CallerRoute, now time.Time) Verdict {
	if p.Cookie == 0 {
		return Verdict{Cause: CauseNoCookie}
	}
	u, tentative := e.index.find(p.Cookie)
	if u == nil {
		return e.decideUnknownCookie(p, now)
	}
	if tentative {
		to, begins := e.inquire(p, u, now)
		if to == nil {
			return Verdict{Action: ActionHold, Cause: CauseAmbiguous, Inquire: begins}
		}
		u = to
	}
	if u.health == HealthDead && !u.isDeadFindingStale(now) {
		return resetVerdict(p, deadCause(u))
	}
	if !u.Route.Address.IsValid() {
		// Its registration can't be read and no usable one was ever received here. The flow may be
		// alive.
		return Verdict{Cause: CauseUnknownCookie}
	}
	v := Verdict{Action: ActionForward, Upstream: u}
	if r == nil {
		v.Cause = CauseRouteUnknown
	}
	if p.Flags.Has(FlagRST) {
		return v
	}
	if former := e.flows[p.Key]; former != nil {
		e.forgetFlow(p.Key, former)
	}
	if r == nil && !e.trackUnrouted(p.Key, now) {
		return v
	}
	f := &flow{
		upstream: u, class: e.classOf(u.Route.Service, r), opened: true, lastPacket: now, placedAt: now, ack: p.Ack, next: p.Seq,
	}
	if tentative {
		e.notePlacement(p.Key, u, p.Ack, now)
	}
	if u.health == HealthDead {
		// The probe that is due now decides.
		u.suspect(now)
	}
	e.flows[p.Key] = f
	u.addFlowRecords(1)
	e.observe(f, p, r, now)
	return v
}

// decideUnknownCookie decides on a packet whose cookie names no known upstream. It resets the flow
// only if the registrations have been complete for unknownGrace since the cookie was first seen,
// without an outage of the store in between: upstreams need that time after each outage.
func (e *Engine) decideUnknownCookie(p *Packet, now time.Time) Verdict {
	firstSeen, ok := e.unknownCookies[p.Cookie.base()]
	if !ok {
		if len(e.unknownCookies) < maxUnknownCookies {
			e.unknownCookies[p.Cookie.base()] = now
		}
		return Verdict{Cause: CauseUnknownCookie}
	}
	if since := e.confirmations.since; since.After(firstSeen) {
		firstSeen = since
	}
	if e.confirmed.Sub(firstSeen) < unknownGrace {
		return Verdict{Cause: CauseUnknownCookie}
	}
	return resetVerdict(p, CauseGone)
}

// resetFlow removes the record of a flow and returns the verdict that resets it.
func (e *Engine) resetFlow(p *Packet, f *flow, c Cause) Verdict {
	e.countFailed(f)
	e.forgetFlow(p.Key, f)
	v := resetVerdict(p, c)
	v.Reset.Upstream = f.upstream.Route
	return v
}

// deadCause returns the cause of a reset for flows of a dead upstream.
func deadCause(u *Upstream) Cause {
	if u.registered {
		return CauseDead
	}
	return CauseGone
}
