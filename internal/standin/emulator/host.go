package emulator

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/admission"
	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// host emulates a balancer: a queue of packets in front of the product's engine.
type host struct {
	sim     *simulation
	zone    *zone
	id      peer.ID
	engine  *cookie.Engine
	catalog *registry.Catalog
	// listening says that the process has opened its sockets, ready that it places flows.
	listening, ready bool
	// incarnation is the number of power losses so far, so that what was scheduled before one
	// isn't executed after it.
	incarnation int
	// readySince is when the process became ready.
	readySince time.Duration
	// busyUntil is when all packets received so far are processed.
	busyUntil time.Duration
	// pausedUntil is when the process runs again after a pause.
	pausedUntil time.Duration
	// removalsUntil is when the latest message about removed upstreams arrives.
	removalsUntil time.Duration
	// waiting holds the packets that arrived after the sockets were open and before the process
	// was ready.
	waiting []queuedPacket
}

// queuedPacket is a packet that waits for the process to become ready.
type queuedPacket struct {
	at time.Duration
	do func()
}

// Periods and limits of a daemon, as in package cookiedaemon.
const (
	reportPeriod = 500 * time.Millisecond
	// discoveryTime is how long members need to discover each other after a start.
	discoveryTime = 150 * time.Millisecond
	// initialUptime is the uptime of the hosts that run from the beginning.
	initialUptime = time.Hour
	probeTick     = 50 * time.Millisecond
	// maxStartupWait is how long packets may wait for a starting process. Older ones are dropped.
	maxStartupWait = 200 * time.Millisecond
	// probeTimeout limits one attempt to connect, probeDuration is how long a successful one
	// takes.
	probeTimeout = 250 * time.Millisecond
	// probePendingAfter is when an attempt that isn't accepted yet counts together with the
	// attempts at other upstreams.
	probePendingAfter = probeTimeout / 4
	probeDuration     = time.Millisecond
	flowLifetime      = time.Minute
)

func newHost(sim *simulation, z *zone) *host {
	return &host{sim: sim, zone: z, id: peer.ID(1 + z.index*maxHosts + len(z.hosts))}
}

// start starts the host with all registrations, as at the beginning of a simulation.
func (h *host) start() {
	h.listening = true
	h.boot()
	h.readySince = -initialUptime
	h.sim.every(h.sim.jitter(probeTick), probeTick, func() {
		if h.runs() {
			h.startProbes()
		}
	})
	h.sim.every(h.sim.jitter(reportPeriod), reportPeriod, func() {
		if h.runs() {
			h.engine.Expire(h.sim.wallTime())
			h.engine.ConfirmRegistrations(h.sim.wallTime())
			h.engine.RotateClasses()
		}
	})
}

// boot makes the process ready, without any state of an earlier incarnation.
func (h *host) boot() {
	o := cookie.Options{
		Zone: h.zone.Name, Policy: h.sim.opts.Policy.New(h.zone.Name, h.sim), FlowLifetime: flowLifetime,
	}
	if h.sim.pattern.Admission {
		o.Admission = admission.New()
	}
	h.engine = cookie.NewEngine(o)
	if o.Admission != nil && h.sim.now > 0 {
		o.Admission.Start(h.sim.wallTime())
		h.fetchAdmission()
	}
	h.catalog = registry.NewCatalog()
	now := h.sim.wallTime()
	h.engine.SetRouting(h.sim.routing, now)
	h.catalog.Replace(h.sim.registrations(), max(1, h.sim.revision), now)
	h.engine.Update(h.catalog.TakeChanges(), now)
	h.engine.SetEvacuatedZones(h.sim.evacuatedZones(), now)
	h.engine.ConfirmRegistrations(now)
	h.ready, h.readySince, h.busyUntil = true, h.sim.now, h.sim.now
	waiting := h.waiting
	h.waiting = nil
	for _, a := range waiting {
		if h.sim.now-a.at <= maxStartupWait {
			a.do()
		}
	}
}

// fetchAdmission takes over what a running host of the zone knows of the loads, as a daemon that starts does.
func (h *host) fetchAdmission() {
	for _, o := range h.zone.hosts {
		if o == h || !o.runs() {
			continue
		}
		if st := o.engine.AdmissionState(h.sim.wallTime()); len(st.Services) > 0 {
			h.engine.RestoreAdmission(st, h.sim.wallTime())
			return
		}
	}
}

// powerOff cuts the power of the host, which starts again after the time down.
func (h *host) powerOff(down time.Duration) {
	h.listening, h.ready, h.waiting, h.pausedUntil = false, false, nil, 0
	h.incarnation++
	incarnation := h.incarnation
	step := func(d time.Duration, do func()) {
		h.sim.after(d, func() {
			if h.incarnation == incarnation {
				do()
			}
		})
	}
	step(down+time.Duration(h.sim.pattern.Hosts.Start), func() {
		h.listening = true
		step(time.Duration(h.sim.pattern.Hosts.Load), h.boot)
	})
}

// pause stops the process for a time. Packets wait in its sockets.
func (h *host) pause(d time.Duration) {
	h.pausedUntil = h.sim.now + d
	h.busyUntil = max(h.busyUntil, h.pausedUntil)
}

// runs reports whether the process places flows and isn't paused.
func (h *host) runs() bool { return h.ready && h.sim.now >= h.pausedUntil }

// receive queues a packet of a caller, or drops it if the process has no open sockets.
func (h *host) receive(f *flow, p cookie.Packet) {
	decide := func() { h.decide(f, &p) }
	switch {
	case !h.listening:
	case !h.ready:
		h.waiting = append(h.waiting, queuedPacket{at: h.sim.now, do: decide})
	default:
		incarnation := h.incarnation
		h.busyUntil = max(h.busyUntil, h.sim.now) + time.Duration(h.sim.pattern.Hosts.Packet)
		h.sim.after(h.busyUntil-h.sim.now, func() {
			if h.incarnation == incarnation {
				decide()
			}
		})
	}
}

// decide passes a packet to the engine and executes its decision.
func (h *host) decide(f *flow, p *cookie.Packet) {
	h.sim.result.Packets++
	v := h.engine.Decide(p, h.sim.wallTime())
	switch v.Action {
	case cookie.ActionReset:
		if v.Cause == cookie.CauseOverload {
			f.class.result().RefusedFlows++
			h.sim.after(time.Duration(h.sim.pattern.Delays.Caller), func() { f.resetWith(outcomeRefused) })
			return
		}
		h.resetFlow(f)
	case cookie.ActionForward:
		s := h.sim.server(v.Upstream.Route.ID)
		if s == nil || !reachable(h.zone, s.zone) {
			return
		}
		first := *p
		h.sim.after(h.sim.networkDelay(h.zone, s.zone), func() { s.receive(f, &first) })
	case cookie.ActionDrop:
	}
}

// resetFlow sends a reset to the caller of a flow.
func (h *host) resetFlow(f *flow) {
	h.sim.after(time.Duration(h.sim.pattern.Delays.Caller), f.reset)
}

// resetFlows sends resets to the callers of flows that ended without a packet of theirs. It sorts
// the list, because engines return it in random order and results must be reproducible.
func (h *host) resetFlows(list []cookie.Reset) {
	slices.SortFunc(list, func(a, b cookie.Reset) int {
		return compareKeys(a.Key, b.Key)
	})
	for i := range list {
		if f := h.sim.flowByKey(list[i].Key); f != nil {
			h.resetFlow(f)
		}
	}
}

// compareKeys orders flows by their caller's address and port.
func compareKeys(a, b cookie.Key) int {
	return cmp.Or(bytes.Compare(a.CallerIP[:], b.CallerIP[:]), cmp.Compare(a.CallerPort, b.CallerPort))
}

// applyChanges applies changed registrations.
func (h *host) applyChanges(changes []registry.Change, asOf objects.Position) {
	if !h.ready {
		return // It reads all registrations when it is ready.
	}
	if !h.runs() {
		h.sim.after(h.pausedUntil-h.sim.now, func() { h.applyChanges(changes, asOf) })
		return
	}
	now := h.sim.wallTime()
	if h.catalog.Apply(changes, asOf, now) {
		h.resetFlows(h.engine.Update(h.catalog.TakeChanges(), now))
	}
}

// startProbes expires registrations and starts the probes that are due.
func (h *host) startProbes() {
	now := h.sim.wallTime()
	if h.catalog.Expire(now) {
		h.resetFlows(h.engine.Update(h.catalog.TakeChanges(), now))
	}
	due := h.engine.DueProbes(now)
	slices.SortFunc(due, func(a, b cookie.Probe) int { return cmp.Compare(a.Upstream.ID, b.Upstream.ID) })
	for _, pr := range due {
		h.sim.result.Probes++
		h.runProbe(pr, now)
	}
}

// runProbe simulates one probe and reports its result to the engine.
func (h *host) runProbe(pr cookie.Probe, sent time.Time) {
	id := pr.Upstream.ID
	if pr.Check {
		accepted := h.canConnect(pr.Upstream)
		h.afterIfUp(probeDuration, func() {
			h.engine.CheckDone(accepted, h.sim.wallTime())
			h.startProbes()
		})
		return
	}
	result, duration := cookie.ProbeAlive, probeDuration
	if !h.canConnect(pr.Upstream) {
		result, duration = cookie.ProbeUnsure, probeTimeout
		if pr.Reference != nil && h.canConnect(pr.Reference) {
			result = cookie.ProbeTimeout
			h.afterIfUp(probePendingAfter, func() { h.handleProbePending(id, sent) })
		}
	}
	h.afterIfUp(duration, func() {
		before := h.engine.Health(id)
		h.resetFlows(h.engine.ProbeDone(id, result, sent, h.sim.wallTime()))
		if before != cookie.HealthDead && h.engine.Health(id) == cookie.HealthDead {
			h.announceDead([]bundle.UpstreamID{id})
		}
	})
}

// canConnect reports whether an upstream accepts a connection from this host now.
func (h *host) canConnect(u *bundle.UpstreamRoute) bool {
	s := h.sim.server(u.ID)
	return s != nil && !s.silent && reachable(h.zone, s.zone)
}

// handleProbePending reports to the engine that a probe isn't accepted yet, and announces the
// upstreams that the engine takes for dead because of it.
func (h *host) handleProbePending(id bundle.UpstreamID, sent time.Time) {
	dead, resets := h.engine.ProbePending(id, sent, h.sim.wallTime())
	h.resetFlows(resets)
	h.startProbes()
	if len(dead) > 0 {
		slices.Sort(dead)
		h.announceDead(dead[:min(len(dead), peer.MaxDead)])
	}
}

// afterIfUp calls do after a time, and after a pause that lasts then, unless the host has lost power
// by then.
func (h *host) afterIfUp(d time.Duration, do func()) {
	incarnation := h.incarnation
	h.sim.after(d, func() {
		switch {
		case h.incarnation != incarnation || !h.ready:
		case !h.runs():
			h.afterIfUp(h.pausedUntil-h.sim.now, do)
		default:
			do()
		}
	})
}

// announceDead reports dead upstreams to the other hosts of the zone.
func (h *host) announceDead(ids []bundle.UpstreamID) {
	for _, o := range h.zone.hosts {
		if o != h && o.runs() {
			h.sim.after(h.sim.networkDelay(h.zone, h.zone), func() {
				for _, id := range ids {
					o.engine.NoteReportedDead(id, h.sim.wallTime())
				}
			})
		}
	}
}

// exchangeReports sends the sum of the reports of a zone's hosts to each of them, together with
// the loads of the other zones that are reachable. startup says that the call is one of the
// additional ones with peer.StartupReportPeriod, which only takes effect shortly after a start.
func (sim *simulation) exchangeReports(z *zone, startup bool) {
	var reports []*peer.Report
	var first *host
	for _, h := range z.hosts {
		if !h.joined() {
			continue
		}
		if first == nil {
			first = h
		}
		reports = append(reports, h.engine.Report(h.id))
	}
	if first == nil || startup && !peer.UsesStartupReportPeriod(sim.now-first.readySince) {
		return
	}
	sum := peer.SumReports(first.id, reports)
	for _, o := range sim.zones {
		if o != z && reachable(z, o) {
			sum.Zones = append(sum.Zones, o.ownLoads()...)
		}
	}
	for _, h := range z.hosts {
		if h.joined() {
			h.engine.ApplyZoneReport(sum, sim.wallTime())
		}
	}
	if sim.pattern.Admission {
		sim.exchangeClassReports(z, first)
	}
}

// joined reports whether a host runs and the other hosts have discovered it.
func (h *host) joined() bool { return h.runs() && h.sim.now-h.readySince >= discoveryTime }

// ownLoads returns the loads that a zone reports to other zones.
func (z *zone) ownLoads() []peer.ZoneLoad {
	for _, h := range z.hosts {
		if h.runs() {
			return h.engine.OwnZoneLoads()
		}
	}
	return nil
}
