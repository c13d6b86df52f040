package cookie

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// An established flow to an address without a route has either lost its route by the routing table in force, or it opened
// through a balancer with a newer table. The first must end, a reset of the second would break it. The two are told apart
// by the time as of which the table in force is known to be the newest: a flow that was open before that time, for
// longer than a confirmation may take to arrive, can't have opened by a newer one.

const (
	// maxUnrouted bounds the tracked flows without a route. Beyond it, packets follow their cookie without a record, and
	// only the upstream ends their flows.
	maxUnrouted = 4096
	// newerVersionTTL is how long a newer version of which another balancer told counts without being heard again.
	newerVersionTTL = unknownGrace
)

// NoteNewerVersion notes that another balancer has a version of the routing table in force. A version that isn't newer than
// the one in force here is ignored.
func (e *Engine) NoteNewerVersion(v bundle.Version, now time.Time) {
	if v > e.Version() {
		e.newerVersion, e.newerHeardAt = max(e.newerVersion, v), now
	}
}

// isBehind reports whether another balancer is known to have a newer routing table.
func (e *Engine) isBehind(now time.Time) bool {
	return e.newerVersion > e.Version() && now.Sub(e.newerHeardAt) < newerVersionTTL
}

// ConfirmRouting notes that the routing table in force was the newest one at a time. It ignores a confirmation that
// contradicts a newer version of which another balancer told.
func (e *Engine) ConfirmRouting(at time.Time) {
	if at.After(e.routingConfirmed) && !e.isBehind(at) {
		e.routingConfirmed = at
	}
}

// openedByTableInForce reports whether a flow that was open at a time can't have opened by a newer routing table than the
// one in force.
func (e *Engine) openedByTableInForce(openAt time.Time) bool {
	return e.routingConfirmed.Sub(openAt) >= unknownGrace
}

// decideUnrouted decides on a packet to an address without a route.
func (e *Engine) decideUnrouted(p *Packet, now time.Time) Verdict {
	switch {
	case !p.opensFlow():
		return e.decideEstablished(p, nil, now)
	case p.isRetransmitted():
		return Verdict{Cause: CauseNoRoute}
	case e.isBehind(now):
		// The route may be among what is still to be received. The caller retransmits the packet.
		return Verdict{Cause: CauseRouteUnknown}
	}
	return resetVerdict(p, CauseNoRoute)
}

// trackUnrouted notes that an open flow has no route since now. It reports false if too many are tracked.
func (e *Engine) trackUnrouted(k Key, now time.Time) bool {
	if len(e.unrouted) >= maxUnrouted {
		return false
	}
	e.unrouted[k] = now
	return true
}

// UnroutedFlows returns the number of open flows that are kept although the routing table has no route for them.
func (e *Engine) UnroutedFlows() int { return len(e.unrouted) }

// EndUnrouted returns resets for the flows that have no route, and that can't have opened by a newer routing table.
func (e *Engine) EndUnrouted() []Reset {
	var out []Reset
	for k, since := range e.unrouted {
		if e.openedByTableInForce(since) {
			out = append(out, e.endFlow(k, e.flows[k], CauseNoRoute))
		}
	}
	return out
}

// updateRoutes brings the flow records in line with a new routing table. It returns resets for the flows whose route the
// table drops.
func (e *Engine) updateRoutes(now time.Time) []Reset {
	var out []Reset
	for k, f := range e.flows {
		r := e.routing.RouteAt(k.Service())
		_, unrouted := e.unrouted[k]
		switch {
		case r != nil && unrouted:
			delete(e.unrouted, k)
			e.assignClass(f, r)
		case r != nil || unrouted:
			// A flow that had no route before may have opened by a table that is newer than this one too.
		case f.placedHere() || e.openedByTableInForce(f.placedAt) || !e.trackUnrouted(k, now):
			out = append(out, e.endFlow(k, f, CauseNoRoute))
		}
	}
	return out
}

// assignClass makes a flow count in the class of a route that wasn't known when its record was added.
func (e *Engine) assignClass(f *flow, r *bundle.CallerRoute) {
	f.class = e.classOf(f.upstream.Route.Service, r)
	if f.requestPending {
		f.countStart()
	}
}
