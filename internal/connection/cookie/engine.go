package cookie

import (
	"net/netip"
	"time"

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
	// WarmupLimiter says what this balancer may send to upstreams that are slow after their start. Without one it sends
	// nothing to those whose service bounds that.
	WarmupLimiter WarmupLimiter
	// FlowLifetime is how long the memory of an upstream that went is kept, so that
	// the callers of its flows are told at once.
	FlowLifetime time.Duration
	// OnAnswered is called with the time from a request's first packet to the first
	// acknowledgement of its answer. It may be nil.
	OnAnswered func(took time.Duration)
}

// Engine decides for each packet. It isn't safe for concurrent use.
type Engine struct {
	opts      Options
	routing   *bundle.Routing
	upstreams map[bundle.UpstreamID]*Upstream
	table     table
	flows     map[Key]*flow
	// unknown holds when cookies of upstreams that aren't known were first seen.
	unknown map[Cookie]time.Time
	// confirmed is the time at which the list was last known to be complete.
	confirmed time.Time
	steady    steadiness
	// heard is when any upstream last showed a sign of life.
	heard time.Time
	// unsure are upstreams that left packets unanswered while nobody was heard, nextCheck when it may next be
	// found out whose trouble that is.
	unsure    []*Upstream
	nextCheck time.Time
	waits     waits
	// usual is how long answers of each service usually take.
	usual map[string]time.Duration
	// turned is when the windows of outcomes last turned.
	turned  time.Time
	busy    map[string]busyness
	zones   map[zoneService]zoneLoad
	reaches map[bundle.Zone]*reach
	// evacuated holds since when zones are evacuated.
	evacuated  map[bundle.Zone]time.Time
	candidates []upstream.Candidate
	requests   map[string]*Requests
	LoadTable  *upstream.LoadTable
	Counters   Counters
}

// Counters count decisions by their cause.
type Counters struct {
	Forwarded [NumCauses]uint64
	Reset     [NumCauses]uint64
	Dropped   [NumCauses]uint64
	// Restarts counts upstreams that seem to have started again.
	Restarts uint64
}

// idleDefault is when a flow is forgotten if no service says otherwise.
const idleDefault = time.Minute

// NewEngine returns an engine without routes and upstreams.
func NewEngine(o Options) *Engine {
	if o.OnAnswered == nil {
		o.OnAnswered = func(time.Duration) {}
	}
	return &Engine{
		opts:      o,
		upstreams: make(map[bundle.UpstreamID]*Upstream),
		table:     newTable(),
		flows:     make(map[Key]*flow),
		waits:     make(waits),
		usual:     make(map[string]time.Duration),
		unknown:   make(map[Cookie]time.Time),
		busy:      make(map[string]busyness),
		zones:     make(map[zoneService]zoneLoad),
		reaches:   make(map[bundle.Zone]*reach),
		requests:  make(map[string]*Requests),
		LoadTable: upstream.NewLoadTable(),
	}
}

// Version returns the version of the table in force, or zero.
func (e *Engine) Version() bundle.Version {
	if e.routing == nil {
		return 0
	}
	return e.routing.Version
}

// SetRegions replaces the regions of zones.
func (e *Engine) SetRegions(of map[bundle.Zone]bundle.Region) { e.opts.Regions = of }

// Ready reports whether flows can be placed: there are routes, and the list of
// upstreams has been read.
func (e *Engine) Ready() bool { return e.routing != nil && !e.confirmed.IsZero() }

// Flows returns how many flows are remembered.
func (e *Engine) Flows() int { return len(e.flows) }

// SetRouting puts a newer table in force. It returns resets for the flows whose
// route it drops.
func (e *Engine) SetRouting(r *bundle.Routing, now time.Time) []Reset {
	e.routing = r
	var out []Reset
	for _, u := range e.upstreams {
		if s := r.Registered(u.Route.Service.Name); s != nil {
			route := *u.Route
			route.Service, route.Connections = s, s.Connections
			u.Route = &route
		}
		if u.strange != nil && !e.strange(u, u.strange) {
			out = append(out, e.list(u.strange, now)...)
		}
	}
	for k, f := range e.flows {
		if r.RouteAt(k.Service()) == nil {
			out = append(out, e.end(k, f, CauseNoRoute))
		}
	}
	return out
}

// Update takes in registered upstreams that came, changed or went, and returns resets for
// flows of upstreams that started again. Its cost doesn't grow with the number of the others, so a small host
// keeps up while thousands are replaced.
func (e *Engine) Update(changes []registry.Change, now time.Time) []Reset {
	var out []Reset
	for i := range changes {
		if ch := &changes[i]; ch.Removed {
			e.unlist(ch.ID, now)
		} else {
			out = append(out, e.list(&ch.Registration, now)...)
		}
	}
	return out
}

// unlist takes an upstream off the list. It is looked at before its flows are reset.
func (e *Engine) unlist(id bundle.UpstreamID, now time.Time) {
	u := e.upstreams[id]
	if u == nil || !u.listed {
		return
	}
	e.table.remove(u)
	u.listed = false
	u.goneAt = now
	u.doubt(now)
}

// list takes in an entry.
func (e *Engine) list(r *registry.Registration, now time.Time) []Reset {
	u := e.upstreams[r.ID]
	switch {
	case u != nil && u.listed && u.entry.SameContent(r):
		// After a restore of the store each entry has another position. What was counted from its last change goes on.
		u.entry = *r
		return nil
	case u != nil && r.Unusable && (u.listed || !r.HasContent()):
		// Its open flows go on by what was known before.
		u.entry.Revision, u.entry.Unusable = r.Revision, true
		return nil
	case u == nil && !r.HasContent():
		e.unlisted(r.ID, netip.AddrPort{}, now)
		return nil
	case u == nil:
		u = &Upstream{Cookie: Of(r.ID), load: e.LoadTable.Load(r.ID)}
		e.upstreams[r.ID] = u
	case e.strange(u, r):
		strange := *r
		u.strange = &strange
		return nil
	}
	var out []Reset
	if restart := r.Restarted(&u.entry); restart != registry.RestartNone {
		out = e.restarted(u, r, restart == registry.RestartCertain, now)
	}
	e.enlist(u, r, now)
	return out
}

// enlist puts an entry in force.
func (e *Engine) enlist(u *Upstream, r *registry.Registration, now time.Time) {
	if u.listed {
		e.table.remove(u)
	}
	u.coldUntil = now.Add(r.Warmup)
	if !u.listed && u.health != HealthGood {
		u.nextProbe = now // It is back on the list: look at once whether it lives.
	}
	u.listed, u.entry, u.strange = true, *r, nil
	e.table.forgetCookie(u)
	u.Route = e.upstreamRoute(r)
	u.reach = e.reachOf(r.Zone)
	e.table.nameCookie(u)
	e.table.add(u)
}

// strange reports whether an entry gives an upstream that is known a service that no bundle
// names. Another writer may have replaced it: open flows must not follow it to another
// address, or they would reach an upstream that resets them.
func (e *Engine) strange(u *Upstream, r *registry.Registration) bool {
	return e.routing != nil && u.listed && r.Service != u.Route.Service.Name && e.routing.Registered(r.Service) == nil
}

// ConfirmRegistrations notes that the list was complete at a time.
func (e *Engine) ConfirmRegistrations(at time.Time) {
	if at.After(e.confirmed) {
		e.steady.confirmed(at, e.confirmed)
		e.confirmed = at
	}
}

// Decide says what is done with a packet.
func (e *Engine) Decide(p *Packet, now time.Time) Verdict {
	v := e.decide(p, now)
	switch v.Action {
	case ActionForward:
		e.Counters.Forwarded[v.Cause]++
	case ActionReset:
		e.Counters.Reset[v.Cause]++
	case ActionDrop:
		e.Counters.Dropped[v.Cause]++
	}
	return v
}

func (e *Engine) decide(p *Packet, now time.Time) Verdict {
	if e.routing == nil {
		return Verdict{Cause: CauseNoRoute}
	}
	r := e.routing.RouteAt(p.Key.Service())
	if r == nil {
		return refuse(p, CauseNoRoute)
	}
	if p.opens() {
		return e.open(p, r, now)
	}
	return e.pass(p, r, now)
}

// refuse resets the flow of a packet. A reset is never answered by a reset.
func refuse(p *Packet, c Cause) Verdict {
	if p.Flags.Has(FlagRST) {
		return Verdict{Cause: c}
	}
	return Verdict{Action: ActionReset, Cause: c, Reset: Reset{Key: p.Key, Seq: p.Ack, Cause: c}}
}

// end forgets a flow and returns the reset that tells its caller.
func (e *Engine) end(k Key, f *flow, c Cause) Reset {
	e.lost(f)
	e.forget(k, f)
	e.Counters.Reset[c]++
	return Reset{Key: k, Seq: f.ack, Cause: c, Upstream: f.up.Route}
}

func (e *Engine) forget(k Key, f *flow) {
	f.uncount()
	f.up.flows--
	delete(e.flows, k)
}
