package cookie

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// compareAge orders upstreams by when they registered.
func compareAge(a, b *Upstream) int {
	if c := cmp.Compare(a.Route.Created, b.Route.Created); c != 0 {
		return c
	}
	return cmp.Compare(a.Route.ID, b.Route.ID)
}

// upstreamRoute returns the route of a registration. A service that no bundle
// names yet gets an empty one: nothing leads to it.
func (e *Engine) upstreamRoute(r *registry.Registration) *bundle.UpstreamRoute {
	s := &bundle.ServiceRoute{Name: r.Service, Connections: defaultConnections}
	if e.routing != nil {
		if known := e.routing.Registered(r.Service); known != nil {
			s = known
		}
	}
	return &bundle.UpstreamRoute{
		ID: r.ID, Service: s, Address: r.Address, Zone: r.Zone, Slots: r.Slots,
		Connections: s.Connections, Drain: r.Draining, Created: uint64(r.Created),
	}
}

// defaultConnections holds until the bundle is known: the users' upstreams of
// today hold about 2,000 connections each.
const defaultConnections = 2000

// markAlive notes a sign of life of an upstream.
func (e *Engine) markAlive(u *Upstream, now time.Time) {
	e.lastSeen, e.pendingSuspects = now, nil
	u.zoneHealth.markSeen(now)
	u.markAlive(now)
}

// Probe is a request to look whether an upstream lives.
type Probe struct {
	Upstream *bundle.UpstreamRoute
	// Registered is false for an upstream that the list no longer has.
	Registered bool
	// Reference is another upstream, one that was heard lately, to be probed while the
	// probe waits: if it doesn't answer quickly either, the trouble is on this host's
	// side and a time-out shows nothing. It is nil if there is none.
	Reference *bundle.UpstreamRoute
	// Check says that the upstream isn't doubted: whether it accepts a connection quickly shows
	// whether this host reaches anybody.
	Check bool
}

// UpstreamLoad is a listed upstream with what this balancer counts there.
type UpstreamLoad struct {
	Route *bundle.UpstreamRoute
	Load  *upstream.Load
}

// Upstreams returns the listed upstreams, in the order of their services.
func (e *Engine) Upstreams() []UpstreamLoad {
	var out []UpstreamLoad
	for _, name := range slices.Sorted(maps.Keys(e.index.byService)) {
		for _, u := range e.index.byService[name] {
			out = append(out, UpstreamLoad{Route: u.Route, Load: u.load})
		}
	}
	return out
}

// DueProbes returns the upstreams that are to be probed now. Each must be
// answered by Probed, a check by Checked.
func (e *Engine) DueProbes(now time.Time) []Probe {
	e.suspectWaiting(now)
	var out []Probe
	if check, ok := e.dueCheck(now); ok {
		out = append(out, check)
	}
	for _, u := range e.upstreams {
		if u.flowRecords == 0 && e.isEvacuated(u) {
			continue // Nobody waits for what it would find, and nothing is to be sent there.
		}
		if u.probeDue(now) {
			u.probesInFlight++
			u.lastProbe = now
			out = append(out, Probe{Upstream: u.Route, Registered: u.registered, Reference: e.chooseReference(u, now)})
		}
	}
	return out
}

// ProbeDone takes in what a probe that was sent at a time found. It returns resets
// for the flows of an upstream that is found dead, so that their callers come back
// before an idle flow carries a request that can't be repeated.
//
// Why no live flow is reset by it: a refused connection or another identifier
// shows that the process that held the flows is gone; a time-out counts only if
// it happens twice while a probe of another upstream was answered quickly, and no
// flow heard from the upstream meanwhile, which is what a crash of its host or a cut
// looks like, and neither leaves a flow usable.
func (e *Engine) ProbeDone(id bundle.UpstreamID, r ProbeResult, sent, now time.Time) []Reset {
	u := e.upstreams[id]
	// A probe that was sent to the former incarnation says nothing of the present one.
	if u == nil || sent.Before(u.incarnationSeen) {
		return nil
	}
	if r == ProbeAlive {
		u.zoneHealth.markSeen(now)
	}
	if !u.applyProbe(r, sent, now) {
		return nil
	}
	return e.endFlowsAt(map[*Upstream]bool{u: true})
}

// ReportedDead notes that another balancer found an upstream dead. It is looked at, not
// believed: that balancer may be the one that is cut off. With few hosts each finds out by
// itself; where each sees few flows, most of a crashed upstream's callers are told in time by hints alone.
func (e *Engine) ReportedDead(id bundle.UpstreamID, now time.Time) {
	u := e.upstreams[id]
	if u != nil && u.registered && u.health == HealthGood && now.Sub(u.probeAnswered) >= probeAnswerTTL {
		u.suspect(now)
	}
}

// UpstreamByCookie returns the upstream that a cookie names, and whether there is one.
func (e *Engine) UpstreamByCookie(c Cookie) (bundle.UpstreamID, bool) {
	u := e.index.byCookie[c]
	if u == nil {
		return 0, false
	}
	return u.Route.ID, true
}

// Health returns the belief about an upstream.
func (e *Engine) Health(id bundle.UpstreamID) Health {
	if u := e.upstreams[id]; u != nil {
		return u.health
	}
	return HealthGood
}

// DeadUpstreams returns the listed upstreams that were found dead.
func (e *Engine) DeadUpstreams() []bundle.UpstreamID {
	var out []bundle.UpstreamID
	for id, u := range e.upstreams {
		if u.registered && u.health == HealthDead {
			out = append(out, id)
		}
	}
	return out
}

// DeregisteredDead returns the upstreams that left the list and were found dead.
func (e *Engine) DeregisteredDead() []peer.DeregisteredUpstream {
	var out []peer.DeregisteredUpstream
	for id, u := range e.upstreams {
		if !u.registered && u.health == HealthDead {
			out = append(out, peer.DeregisteredUpstream{ID: id, Address: u.Route.Address})
		}
	}
	return out
}

// LearnDeregisteredDead takes in upstreams that another balancer found dead after they left the
// list. As with ReportedDead, this one looks for itself as soon as a packet names one.
func (e *Engine) LearnDeregisteredDead(list []peer.DeregisteredUpstream, now time.Time) {
	for _, g := range list {
		if e.upstreams[g.ID] == nil && g.Address.IsValid() {
			e.addDeregistered(g.ID, g.Address, now).health = HealthSuspect
		}
	}
}

// addDeregistered adds an upstream that takes no flow and whose cookie is known: no packet that
// names it is taken for one of an upstream that nobody knows.
func (e *Engine) addDeregistered(id bundle.UpstreamID, at netip.AddrPort, now time.Time) *Upstream {
	u := &Upstream{
		Cookie: Of(id), load: e.LoadTable.Load(id), deregisteredAt: now, zoneHealth: e.zoneHealthOf(""),
		Route: &bundle.UpstreamRoute{ID: id, Address: at, Service: &bundle.ServiceRoute{}},
	}
	e.upstreams[id] = u
	e.index.assignCookie(u)
	return u
}

// Paused tells that the process stood still for a while. What callers repeated
// meanwhile says nothing of upstreams, so all get time to be heard of again.
func (e *Engine) Paused(now time.Time) {
	for _, u := range e.upstreams {
		u.lastSeen = now
	}
}

// Expire forgets flows without packets and upstreams that went long ago. It is
// called about once a second.
func (e *Engine) Expire(now time.Time) {
	e.expireRequests(now)
	for k, f := range e.flows {
		age := now.Sub(f.lastPacket)
		if age > loadTimeout {
			f.removeFromLoad()
		}
		if age > f.lifetime(e.idleTimeout(f)) {
			e.forgetFlow(k, f)
		}
	}
	for c, first := range e.unknownCookies {
		if now.Sub(first) > e.opts.FlowLifetime {
			delete(e.unknownCookies, c)
		}
	}
	for id, u := range e.upstreams {
		if !u.registered && u.flowRecords == 0 && now.Sub(u.deregisteredAt) > e.opts.FlowLifetime {
			delete(e.upstreams, id)
			e.index.releaseCookie(u)
			e.LoadTable.Forget(id)
		}
	}
}

func (e *Engine) idleTimeout(f *flow) time.Duration {
	if d := f.upstream.Route.Service.IdleTimeout; d > 0 {
		return d
	}
	return defaultIdleTimeout
}
