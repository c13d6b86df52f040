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

// compareAge orders upstreams by when they registered, then by identifier.
func compareAge(a, b *Upstream) int {
	if c := cmp.Compare(a.Route.Created, b.Route.Created); c != 0 {
		return c
	}
	return cmp.Compare(a.Route.ID, b.Route.ID)
}

// upstreamRoute returns the route of a registration. If no bundle names its service yet, the
// service has only a name and the default number of connections, and no flows lead to it.
func (e *Engine) upstreamRoute(r *registry.Registration) *bundle.UpstreamRoute {
	s := e.services[r.Service]
	if s == nil && e.routing != nil {
		s = e.routing.Registered(r.Service)
	}
	if s == nil {
		s = &bundle.ServiceRoute{Name: r.Service, Connections: defaultConnections}
	} else {
		e.services[r.Service] = s
	}
	return &bundle.UpstreamRoute{
		ID: r.ID, Service: s, Address: r.Address, Zone: r.Zone, Slots: r.Slots,
		Connections: s.Connections, Drain: r.Draining, Created: uint64(r.Created),
	}
}

// defaultConnections is the number of connections of an upstream until the bundle is known: the
// users' upstreams hold about 2,000 connections each.
const defaultConnections = 2000

// markAlive notes a sign of life of an upstream. It shows that this host reaches upstreams, so
// pending suspicions are dropped.
func (e *Engine) markAlive(u *Upstream, now time.Time) {
	e.lastSeen, e.pendingSuspects = now, nil
	u.zoneHealth.markSeen(now)
	u.zoneHealth.recent.add(u)
	u.markAlive(now)
}

// Probe is a request to probe whether an upstream is alive.
type Probe struct {
	Upstream *bundle.UpstreamRoute
	// Registered is false for an upstream that is no longer registered.
	Registered bool
	// Reference is another upstream in good health, to be connected to while the probe waits: if it
	// doesn't accept quickly either, the fault is on this host's side and a timeout shows nothing.
	// It is nil if there is none.
	Reference *bundle.UpstreamRoute
	// Check is set if the upstream isn't a suspect: whether it accepts a connection quickly shows
	// whether this host reaches any upstream.
	Check bool
}

// UpstreamLoad is a registered upstream with the load that this balancer counts there.
type UpstreamLoad struct {
	Route *bundle.UpstreamRoute
	Load  *upstream.Load
}

// Upstreams returns the registered upstreams, in the order of their services.
func (e *Engine) Upstreams() []UpstreamLoad {
	var out []UpstreamLoad
	for _, name := range slices.Sorted(maps.Keys(e.index.pools)) {
		for _, p := range e.index.pools[name] {
			for _, u := range p.registered.list {
				out = append(out, UpstreamLoad{Route: u.Route, Load: u.load})
			}
		}
	}
	return out
}

// DueProbes returns the probes that are to be sent now. The result of each must be passed to
// ProbeDone, or to CheckDone if its Check is set.
func (e *Engine) DueProbes(now time.Time) []Probe {
	e.suspectWaiting(now)
	e.suspectUnopened(now)
	var out []Probe
	if check, ok := e.dueCheck(now); ok {
		out = append(out, check)
	}
	for _, u := range e.index.inDoubt.list {
		if u.flowRecords == 0 && e.isEvacuated(u) {
			continue // No caller waits for the result, and nothing is to be sent to an evacuated zone.
		}
		if u.probeDue(now) {
			u.probesInFlight++
			u.lastProbe = now
			out = append(out, Probe{Upstream: u.Route, Registered: u.registered, Reference: e.chooseReference(u, now)})
		}
	}
	return out
}

// ProbeDone applies the result of a probe that was sent at a time. It returns resets for the flows
// of an upstream that is found dead, so that their callers reconnect before an idle flow carries a
// request that can't be repeated.
//
// It resets no live flow, for these reasons. A refused connection or another identifier shows that
// the process that held the flows has ended. A timeout counts only if it happens twice while a
// probe of another upstream was answered quickly and no flow got an answer from the upstream
// meanwhile. That is what a crash of its host or a network cut looks like, and neither leaves a
// flow usable.
func (e *Engine) ProbeDone(id bundle.UpstreamID, r ProbeResult, sent, now time.Time) []Reset {
	u := e.upstreams[id]
	// A probe that was sent to the former incarnation shows nothing about the present one.
	if u == nil || sent.Before(u.incarnationSeen) {
		return nil
	}
	if r == ProbeAlive {
		u.zoneHealth.markSeen(now)
	}
	if !u.applyProbe(r, sent, now) {
		return nil
	}
	return e.endFlowsAt(map[*Upstream]bool{u: true}, now)
}

// NoteReportedDead notes that another balancer found an upstream dead. This one probes the upstream
// itself, since the other one may be cut off. With few hosts each detects dead upstreams by itself;
// where each sees few flows, most of a crashed upstream's callers are reset in time only due to
// such reports.
func (e *Engine) NoteReportedDead(id bundle.UpstreamID, now time.Time) {
	u := e.upstreams[id]
	if u != nil && u.registered && u.health == HealthGood && now.Sub(u.probeAnswered) >= probeAnswerTTL {
		u.suspect(now)
	}
}

// UpstreamByCookie returns the upstream that a cookie names, and whether there is one.
func (e *Engine) UpstreamByCookie(c Cookie) (bundle.UpstreamID, bool) {
	u, _ := e.index.find(c)
	if u == nil {
		return 0, false
	}
	return u.Route.ID, true
}

// Health returns the health of an upstream as seen by this balancer, HealthGood if it isn't known.
func (e *Engine) Health(id bundle.UpstreamID) Health {
	if u := e.upstreams[id]; u != nil {
		return u.health
	}
	return HealthGood
}

// DeadUpstreams returns the registered upstreams that were found dead.
func (e *Engine) DeadUpstreams() []bundle.UpstreamID {
	var out []bundle.UpstreamID
	for _, u := range e.index.inDoubt.list {
		if u.registered && u.health == HealthDead {
			out = append(out, u.Route.ID)
		}
	}
	return out
}

// DeregisteredDead returns the deregistered upstreams that were found dead.
func (e *Engine) DeregisteredDead() []peer.DeregisteredUpstream {
	var out []peer.DeregisteredUpstream
	for _, u := range e.index.deregistered.list {
		if u.health == HealthDead {
			out = append(out, peer.DeregisteredUpstream{ID: u.Route.ID, Address: u.Route.Address})
		}
	}
	return out
}

// LearnDeregisteredDead adds upstreams that another balancer found dead after they were
// deregistered. As with NoteReportedDead, this balancer probes them itself, as soon as a packet names
// one.
func (e *Engine) LearnDeregisteredDead(upstreams []peer.DeregisteredUpstream, now time.Time) {
	for _, d := range upstreams {
		if e.upstreams[d.ID] == nil && d.Address.IsValid() {
			e.addDeregistered(d.ID, d.Address, now).setHealth(HealthSuspect)
		}
	}
}

// addDeregistered adds an upstream that takes no flows and whose cookie is known, so that packets
// that name it aren't treated as packets with an unknown cookie.
func (e *Engine) addDeregistered(id bundle.UpstreamID, at netip.AddrPort, now time.Time) *Upstream {
	u := &Upstream{
		Cookie: Of(id), load: e.LoadTable.Load(id), deregisteredAt: now, zoneHealth: e.zoneHealthOf(""), index: e.index,
		Route: &bundle.UpstreamRoute{ID: id, Address: at, Service: &bundle.ServiceRoute{}},
	}
	e.upstreams[id] = u
	e.index.assignCookie(u)
	e.index.update(u)
	return u
}

// Paused notes that the process was paused for a while. What callers retransmitted meanwhile shows
// nothing about upstreams, so all upstreams count as seen now.
func (e *Engine) Paused(now time.Time) {
	for _, u := range e.upstreams {
		u.lastSeen = now
	}
	if e.opts.Admission == nil {
		return
	}
	for _, f := range e.flows {
		f.lastData = now // The pause is no time at an upstream.
	}
}

// Expire removes records of flows without packets, and upstreams that were deregistered long ago.
// It is to be called about once a second.
func (e *Engine) Expire(now time.Time) {
	e.expireRequests(now)
	e.placements.expire(e.opts.FlowLifetime, now)
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
	gone := e.index.deregistered.list
	for i := len(gone) - 1; i >= 0; i-- {
		u := gone[i]
		if u.flowRecords == 0 && u.mismatched == nil && now.Sub(u.deregisteredAt) > e.opts.FlowLifetime {
			delete(e.upstreams, u.Route.ID)
			e.index.remove(u)
			e.LoadTable.Forget(u.Route.ID)
		}
	}
}

// idleTimeout returns the idle timeout of a flow's service.
func (e *Engine) idleTimeout(f *flow) time.Duration {
	if d := f.upstream.Route.Service.IdleTimeout; d > 0 {
		return d
	}
	return defaultIdleTimeout
}
