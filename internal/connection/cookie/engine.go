package cookie

import (
	"maps"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// Options are the settings of an Engine.
type Options struct {
	// Zone is the balancer's own zone.
	Zone bundle.Zone
	// Policy chooses upstreams for new flows.
	Policy upstream.Policy
	// FlowLifetime is how long the memory of an upstream that went is kept, so that
	// the callers of its flows are told at once.
	FlowLifetime time.Duration
	// Answered is called with the time from a request's first packet to the first
	// acknowledgement of its answer. It may be nil.
	Answered func(took time.Duration)
}

// Engine decides for each packet. It isn't safe for concurrent use.
type Engine struct {
	opts      Options
	routing   *bundle.Routing
	upstreams map[bundle.UpstreamID]*Upstream
	byCookie  map[Cookie]*Upstream
	byService map[string][]*Upstream
	flows     map[Key]*flow
	// lists counts the lists taken in.
	lists uint64
	// unknown holds when cookies of upstreams that aren't known were first seen.
	unknown map[Cookie]time.Time
	// confirmed is the time at which the list was last known to be complete.
	confirmed time.Time
	// heard is when any upstream last showed a sign of life.
	heard time.Time
	// turned is when the windows of outcomes last turned.
	turned     time.Time
	busy       map[string]busyness
	zones      map[zoneService]zoneLoad
	candidates []upstream.Candidate
	requests   map[string]*Requests
	Board      *upstream.Board
	Counters   Counters
}

// Counters count decisions by their cause.
type Counters struct {
	Forwarded [NumCauses]uint64
	Reset     [NumCauses]uint64
	Dropped   [NumCauses]uint64
}

// idleDefault is when a flow is forgotten if no service says otherwise.
const idleDefault = time.Minute

// NewEngine returns an engine without routes and upstreams.
func NewEngine(o Options) *Engine {
	if o.Answered == nil {
		o.Answered = func(time.Duration) {}
	}
	return &Engine{
		opts:      o,
		upstreams: make(map[bundle.UpstreamID]*Upstream),
		byCookie:  make(map[Cookie]*Upstream),
		byService: make(map[string][]*Upstream),
		flows:     make(map[Key]*flow),
		unknown:   make(map[Cookie]time.Time),
		busy:      make(map[string]busyness),
		zones:     make(map[zoneService]zoneLoad),
		requests:  make(map[string]*Requests),
		Board:     upstream.NewBoard(),
	}
}

// Version returns the version of the table in force, or zero.
func (e *Engine) Version() bundle.Version {
	if e.routing == nil {
		return 0
	}
	return e.routing.Version
}

// Ready reports whether flows can be placed: there are routes, and the list of
// upstreams has been read.
func (e *Engine) Ready() bool { return e.routing != nil && !e.confirmed.IsZero() }

// Flows returns how many flows are remembered.
func (e *Engine) Flows() int { return len(e.flows) }

// SetRouting puts a newer table in force. It returns resets for the flows whose
// route it drops.
func (e *Engine) SetRouting(r *bundle.Routing) []Reset {
	e.routing = r
	for _, u := range e.upstreams {
		if s := r.Registered(u.Route.Service.Name); s != nil {
			route := *u.Route
			route.Service, route.Connections = s, s.Connections
			u.Route = &route
		}
	}
	var out []Reset
	for k, f := range e.flows {
		if r.RouteAt(k.Service()) == nil {
			out = append(out, e.end(k, f, CauseNoRoute))
		}
	}
	return out
}

// SetUpstreams takes in the list of registered upstreams. What didn't change since
// the last list costs one look-up each: lists of thousands come several times a
// second while upstreams are replaced.
func (e *Engine) SetUpstreams(list []registry.Registration, now time.Time) {
	e.lists++
	changed := false
	for i := range list {
		changed = e.setUpstream(&list[i], now) || changed
	}
	for _, u := range e.upstreams {
		if u.listed && u.inList != e.lists {
			u.listed = false
			u.goneAt = now
			u.doubt(now)
			changed = true
		}
	}
	if changed {
		e.index()
	}
}

// setUpstream takes in one entry. It reports whether the look-up tables change by it.
func (e *Engine) setUpstream(r *registry.Registration, now time.Time) bool {
	u := e.upstreams[r.ID]
	if u != nil {
		u.inList = e.lists
		if u.listed && u.revision == r.Revision {
			return false
		}
	}
	if u == nil {
		u = &Upstream{Cookie: Of(r.ID), load: e.Board.Load(r.ID), inList: e.lists}
		e.upstreams[r.ID] = u
	}
	u.coldUntil = now.Add(r.Warmup)
	if !u.listed && u.health != HealthGood {
		u.nextProbe = now // It is back on the list: look at once whether it lives.
	}
	known := u.listed
	u.listed, u.revision = true, r.Revision
	u.Route = e.upstreamRoute(r)
	return !known
}

// Confirm notes that the list was complete at a time.
func (e *Engine) Confirm(at time.Time) {
	if at.After(e.confirmed) {
		e.confirmed = at
	}
}

// index makes the look-up tables. An upstream that was created earlier keeps its
// cookie if another one has the same: nobody else can have given it to a flow.
func (e *Engine) index() {
	clear(e.byCookie)
	clear(e.byService)
	all := slices.SortedFunc(maps.Values(e.upstreams), compareAge)
	for _, u := range all {
		first := e.byCookie[u.Cookie]
		u.shadowed = first != nil
		if first == nil {
			e.byCookie[u.Cookie] = u
		}
		if u.listed {
			name := u.Route.Service.Name
			e.byService[name] = append(e.byService[name], u)
		}
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
