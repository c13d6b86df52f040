package cookie

import (
	"net/netip"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/admission"
	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// Options are the settings of an Engine.
type Options struct {
	// Zone is the balancer's own zone.
	Zone bundle.Zone
	// Regions holds the region of each zone.
	Regions map[bundle.Zone]bundle.Region
	// Policy chooses upstreams for new flows.
	Policy upstream.Policy
	// WarmupLimiter limits the flows that this balancer sends to upstreams that are slow after
	// their start. If it is nil, the engine sends no flows to such upstreams of a service that has
	// a warm-up rate.
	WarmupLimiter WarmupLimiter
	// FlowLifetime is how long a deregistered upstream without flow records is remembered, so that
	// callers of its flows are reset immediately. Cookies of unknown upstreams are remembered for
	// as long.
	FlowLifetime time.Duration
	// Admission decides which new flows are refused while their service has too little capacity. If
	// it is nil, all are placed.
	Admission *admission.Control
	// Inquire says that other balancers are asked about ambiguous flows. Each ActionHold must then be followed by
	// InquiryBegun, and the packet be passed to Decide again once the inquiry ends.
	Inquire bool
	// OnAnswered is called with the time from a request's first packet to the first acknowledgement
	// of its answer. It may be nil.
	OnAnswered func(took time.Duration)
}

// Engine decides what is done with each packet. It isn't safe for concurrent use.
type Engine struct {
	opts    Options
	routing *bundle.Routing
	// services holds each registered service as its upstreams refer to it. An entry is replaced only
	// if the service's settings change.
	services  map[string]*bundle.ServiceRoute
	upstreams map[bundle.UpstreamID]*Upstream
	index     *index
	flows     map[Key]*flow
	// unknownCookies holds when each cookie that names no known upstream was first seen.
	unknownCookies map[Cookie]time.Time
	// placements are those of ambiguous flows, inquiries the questions about them to other balancers.
	placements *placements
	inquiries  map[Key]*inquiry
	// routingConfirmed is the latest time at which the routing table in force was known to be the newest one, zero if
	// it never was. newerVersion is the newest version of which another balancer told, at newerHeardAt.
	routingConfirmed time.Time
	newerVersion     bundle.Version
	newerHeardAt     time.Time
	// unrouted holds since when flows have no route that may have opened by a newer routing table.
	unrouted map[Key]time.Time
	// confirmed is the latest time at which the registrations were known to be complete, zero if
	// they never were.
	confirmed     time.Time
	confirmations confirmationRun
	// lastSeen is when any upstream last showed a sign of life.
	lastSeen time.Time
	// pendingSuspects are upstreams that left packets unanswered while no upstream at all was seen.
	// nextCheck is the earliest time at which the next check may show whether the fault is on this
	// host's side.
	pendingSuspects []*Upstream
	nextCheck       time.Time
	waitQueues      waitQueues
	openings        openings
	// typicalLatency is the smoothed time in which requests of each service are answered.
	typicalLatency map[string]time.Duration
	// roundTrip is the smoothed time from a first packet to its caller's acknowledgement, in which no
	// request is worked on.
	roundTrip time.Duration
	// outcomesRotatedAt is when the windows of request outcomes were last rotated.
	outcomesRotatedAt time.Time
	// activity and requests are by service.
	activity     map[string]flowActivity
	zoneLoads    map[zoneService]zoneLoad
	healthByZone map[bundle.Zone]*zoneHealth
	// evacuated holds since when each evacuated zone is evacuated.
	evacuated map[bundle.Zone]time.Time
	// search is the search for an upstream that choose reuses.
	search   search
	requests map[string]*Requests
	// reported are the upstreams of the last report of the zone's sum.
	reported  []bundle.UpstreamID
	LoadTable *upstream.LoadTable
	Counters  Counters
}

// Counters count decisions by cause. Like the engine, they aren't safe for concurrent use.
type Counters struct {
	Forwarded [NumCauses]uint64
	Reset     [NumCauses]uint64
	Dropped   [NumCauses]uint64
	// Restarts counts upstreams that seem to have restarted.
	Restarts uint64
	// Ambiguous counts flows that opened after more than one upstream may have received a copy of their first packet,
	// Held packets that waited for an inquiry about such a flow.
	Ambiguous, Held uint64
}

// defaultIdleTimeout is how long a flow without packets is remembered if its service sets no idle
// timeout.
const defaultIdleTimeout = time.Minute

// NewEngine returns an engine without routes and upstreams.
func NewEngine(o Options) *Engine {
	if o.OnAnswered == nil {
		o.OnAnswered = func(time.Duration) {}
	}
	return &Engine{
		opts:           o,
		services:       make(map[string]*bundle.ServiceRoute),
		upstreams:      make(map[bundle.UpstreamID]*Upstream),
		index:          newIndex(),
		flows:          make(map[Key]*flow),
		waitQueues:     make(waitQueues),
		typicalLatency: make(map[string]time.Duration),
		unknownCookies: make(map[Cookie]time.Time),
		unrouted:       make(map[Key]time.Time),
		placements:     newPlacements(),
		inquiries:      make(map[Key]*inquiry),
		activity:       make(map[string]flowActivity),
		zoneLoads:      make(map[zoneService]zoneLoad),
		healthByZone:   make(map[bundle.Zone]*zoneHealth),
		requests:       make(map[string]*Requests),
		LoadTable:      upstream.NewLoadTable(),
	}
}

// Version returns the version of the routing table in force, or zero if there is none.
func (e *Engine) Version() bundle.Version {
	if e.routing == nil {
		return 0
	}
	return e.routing.Version
}

// SetRegions replaces the regions of zones.
func (e *Engine) SetRegions(of map[bundle.Zone]bundle.Region) { e.opts.Regions = of }

// Ready reports whether flows can be placed: a routing table is in force, and the registrations
// were complete at least once.
func (e *Engine) Ready() bool { return e.routing != nil && !e.confirmed.IsZero() }

// Flows returns the number of flow records.
func (e *Engine) Flows() int { return len(e.flows) }

// SetRouting puts a newer routing table in force. It returns resets for the flows whose route the
// table drops, and for flows of upstreams whose registration becomes usable by the table
// and shows a restart.
func (e *Engine) SetRouting(r *bundle.Routing, now time.Time) []Reset {
	first := e.routing == nil
	e.routing = r
	e.updateServices()
	if first {
		e.withholdUnnamed(now)
	}
	var out []Reset
	for _, u := range slices.Clone(e.index.mismatched.list) {
		if !e.hasMismatchedService(u, u.mismatched) {
			out = append(out, e.register(u.mismatched, now)...)
		}
	}
	return append(out, e.updateRoutes(now)...)
}

// updateServices makes the upstreams of services whose settings the routing table changes refer to
// the new settings. A version that changes routes alone costs nothing for each upstream.
func (e *Engine) updateServices() {
	for name, pools := range e.index.pools {
		s := e.routing.Registered(name)
		if s == nil || s.SameSettings(e.services[name]) {
			continue
		}
		e.services[name] = s
		for _, p := range pools {
			for _, u := range p.registered.list {
				u.setService(s)
			}
		}
	}
	for _, u := range e.index.deregistered.list {
		if s := e.routing.Registered(u.Route.Service.Name); s != nil && !s.SameSettings(u.Route.Service) {
			u.setService(s)
		}
	}
}

// withholdUnnamed withholds the registrations that were received before any routing table and whose service the first one
// doesn't name.
func (e *Engine) withholdUnnamed(now time.Time) {
	for id, u := range e.upstreams {
		if u.registered && e.routing.Registered(u.registration.Service) == nil {
			e.index.removeFromService(u)
			e.index.remove(u)
			delete(e.upstreams, id)
			e.withhold(nil, &u.registration, now)
		}
	}
}

// Update applies registrations that were added, changed or removed, and returns resets for flows of
// upstreams that restarted. Its cost doesn't grow with the number of the other registrations, so
// that a small host keeps up while thousands of upstreams are replaced.
func (e *Engine) Update(changes []registry.Change, now time.Time) []Reset {
	var out []Reset
	for i := range changes {
		if ch := &changes[i]; ch.Removed {
			e.deregister(ch.ID, now)
		} else {
			out = append(out, e.register(&ch.Registration, now)...)
		}
	}
	return out
}

// deregister marks an upstream as no longer registered. The upstream is probed before its flows are
// reset.
func (e *Engine) deregister(id bundle.UpstreamID, now time.Time) {
	u := e.upstreams[id]
	if u == nil {
		return
	}
	u.mismatched = nil
	if !u.registered {
		e.index.update(u)
		return
	}
	e.index.removeFromService(u)
	u.registered = false
	u.deregisteredAt = now
	wasGood := u.health == HealthGood
	u.suspect(now)
	u.onlyDeregistered = wasGood
}

// register applies a registration that was added or changed.
func (e *Engine) register(r *registry.Registration, now time.Time) []Reset {
	u := e.upstreams[r.ID]
	switch {
	case u != nil && u.registered && u.mismatched == nil && u.registration.SameContent(r):
		// After the store was restored from a snapshot, each entry has another position. The
		// warm-up time that runs since its last change isn't started again.
		u.registration = *r
		return nil
	case u != nil && r.Unusable && (u.registered || !r.HasContent()):
		// Its open flows continue by its last usable registration.
		u.registration.Revision, u.registration.Unusable = r.Revision, true
		e.index.update(u)
		return nil
	case u == nil && !r.HasContent():
		e.addDeregistered(r.ID, netip.AddrPort{}, now)
		return nil
	case e.hasMismatchedService(u, r):
		e.withhold(u, r, now)
		return nil
	case u == nil:
		u = &Upstream{Cookie: Of(r.ID), load: e.LoadTable.Load(r.ID), index: e.index}
		e.upstreams[r.ID] = u
	}
	var out []Reset
	if restart := r.Restarted(&u.registration); restart != registry.RestartNone {
		out = e.handleRestart(u, r, restart == registry.RestartCertain, now)
	}
	e.applyRegistration(u, r, now)
	return out
}

// applyRegistration puts a registration of a known upstream in force.
func (e *Engine) applyRegistration(u *Upstream, r *registry.Registration, now time.Time) {
	if u.registered {
		e.index.removeFromService(u)
	}
	u.warmingUntil = now.Add(r.Warmup)
	switch {
	case u.registered || u.health == HealthGood:
	case u.onlyDeregistered && u.health == HealthSuspect && u.timeouts == 0 && u.unaccepted == 0:
		u.health = HealthGood // It writes its entry, and nothing else spoke against it.
	default:
		u.nextProbe = now // It is registered again: probe it immediately.
	}
	u.registered, u.registration, u.mismatched = true, *r, nil
	e.index.releaseCookie(u)
	u.Route = e.upstreamRoute(r)
	u.zoneHealth = e.zoneHealthOf(r.Zone)
	e.index.assignCookie(u)
	e.index.addToService(u)
}

// hasMismatchedService reports whether a registration is of a service that the bundle doesn't name, and u, the upstream as
// known so far, isn't of that service either; u may be nil. Another writer may have replaced the entry: open flows must not
// follow it to another address, where they would reach an upstream that resets them, or nothing that answers probes.
func (e *Engine) hasMismatchedService(u *Upstream, r *registry.Registration) bool {
	return e.routing != nil && e.routing.Registered(r.Service) == nil && (u == nil || r.Service != u.Route.Service.Name)
}

// withhold keeps a registration with a mismatched service until a bundle names the service. The upstream goes on as known
// so far. If it isn't known, u is nil, and packets of its flows are dropped: they may be alive.
func (e *Engine) withhold(u *Upstream, r *registry.Registration, now time.Time) {
	if u == nil {
		u = e.addDeregistered(r.ID, netip.AddrPort{}, now)
	}
	mismatched := *r
	u.mismatched = &mismatched
	e.index.update(u)
}

// ConfirmRegistrations notes that the registrations were complete at a time. It ignores a time
// before one that was confirmed already.
func (e *Engine) ConfirmRegistrations(at time.Time) {
	if at.After(e.confirmed) {
		e.confirmations.add(at, e.confirmed)
		e.confirmed = at
	}
}

// Decide decides what is done with a packet and counts the decision by its cause.
func (e *Engine) Decide(p *Packet, now time.Time) Verdict {
	v := e.decide(p, now)
	switch v.Action {
	case ActionForward:
		e.Counters.Forwarded[v.Cause]++
		v.Cookie = v.Upstream.Cookie
		if p.opensFlow() {
			v.Cookie = v.Cookie.Tentative()
		}
	case ActionReset:
		e.Counters.Reset[v.Cause]++
	case ActionDrop:
		e.Counters.Dropped[v.Cause]++
	case ActionHold:
		e.Counters.Held++
	}
	return v
}

func (e *Engine) decide(p *Packet, now time.Time) Verdict {
	if e.routing == nil {
		return Verdict{Cause: CauseNoRoute}
	}
	r := e.routing.RouteAt(p.Key.Service())
	if r == nil {
		return e.decideUnrouted(p, now)
	}
	if p.opensFlow() {
		return e.decideFirst(p, r, now)
	}
	return e.decideEstablished(p, r, now)
}

// resetVerdict returns the verdict that resets a packet's flow. A packet that is itself a reset is
// dropped.
func resetVerdict(p *Packet, c Cause) Verdict {
	if p.Flags.Has(FlagRST) {
		return Verdict{Cause: c}
	}
	return Verdict{Action: ActionReset, Cause: c, Reset: Reset{Key: p.Key, Seq: p.Ack, Cause: c}}
}

// endFlow removes a flow record, counts its pending request as failed, and returns the reset to
// send to its caller.
func (e *Engine) endFlow(k Key, f *flow, c Cause) Reset {
	e.countFailed(f)
	e.forgetFlow(k, f)
	e.Counters.Reset[c]++
	return Reset{Key: k, Seq: f.ack, Cause: c, Upstream: f.upstream.Route}
}

// forgetFlow removes a flow record and takes the flow off the load of its upstream.
func (e *Engine) forgetFlow(k Key, f *flow) {
	f.removeFromLoad()
	f.upstream.addFlowRecords(-1)
	delete(e.flows, k)
	delete(e.unrouted, k)
}
