package emulator

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// host is a balancer: the product's decisions, with a queue of packets before them.
type host struct {
	w       *play
	zone    *zone
	id      peer.ID
	engine  *cookie.Engine
	catalog *registry.Catalog
	// listens says that the process has its sockets open, ready that it places flows.
	listens, ready bool
	// life tells one start from the next, so that what was planned for the former doesn't
	// happen to this one.
	life int
	// booted is when the process became ready.
	booted time.Duration
	// busyUntil is when the packets before have been decided.
	busyUntil time.Duration
	// waiting are packets that came while the process started.
	waiting []arrival
}

// arrival is a packet that waits.
type arrival struct {
	at time.Duration
	do func()
}

// Periods and limits of a daemon, as in package cookiedaemon.
const (
	loadsPeriod = 500 * time.Millisecond
	// joinWait is how long members take to know each other after a start.
	joinWait = 150 * time.Millisecond
	// longAgo is when the hosts started that are there from the beginning.
	longAgo     = time.Hour
	awakePeriod = 50 * time.Millisecond
	// freshStart is how long first packets may wait for a process that starts.
	freshStart = 200 * time.Millisecond
	// probeTimeout bounds one attempt to connect, probeTook is how long one takes.
	probeTimeout = 250 * time.Millisecond
	// unacceptedAfter is when one that isn't accepted counts beside others.
	unacceptedAfter = probeTimeout / 4
	probeTook       = time.Millisecond
	flowLifetime    = time.Minute
)

func newHost(w *play, z *zone) *host {
	return &host{w: w, zone: z, id: peer.ID(1 + z.index*maxHosts + len(z.hosts))}
}

// begin starts the host with all that the list has, as at the beginning of a play.
func (h *host) begin() {
	h.listens = true
	h.boot()
	h.booted = -longAgo
	h.w.every(h.w.jitter(awakePeriod), awakePeriod, func() {
		if h.ready {
			h.probe()
		}
	})
	h.w.every(h.w.jitter(loadsPeriod), loadsPeriod, func() {
		if h.ready {
			h.engine.Expire(h.w.wall())
			h.engine.ConfirmRegistrations(h.w.wall())
		}
	})
}

// boot makes the process ready, with an empty memory.
func (h *host) boot() {
	h.engine = cookie.NewEngine(cookie.Options{
		Zone: h.zone.Name, Policy: h.w.opts.Policy.New(h.zone.Name, h.w), FlowLifetime: flowLifetime,
	})
	h.catalog = registry.NewCatalog()
	now := h.w.wall()
	h.engine.SetRouting(h.w.routing, now)
	h.catalog.Replace(h.w.listed(), max(1, h.w.revision), now)
	h.engine.Update(h.catalog.TakeChanges(), now)
	h.engine.SetEvacuatedZones(h.w.evacuated(), now)
	h.engine.ConfirmRegistrations(now)
	h.ready, h.booted, h.busyUntil = true, h.w.now, h.w.now
	waiting := h.waiting
	h.waiting = nil
	for _, a := range waiting {
		if h.w.now-a.at <= freshStart {
			a.do()
		}
	}
}

// fail takes the host's power. It starts again after a time.
func (h *host) fail(down time.Duration) {
	h.listens, h.ready, h.waiting = false, false, nil
	h.life++
	life := h.life
	step := func(d time.Duration, do func()) {
		h.w.after(d, func() {
			if h.life == life {
				do()
			}
		})
	}
	step(down+time.Duration(h.w.pattern.Hosts.Start), func() {
		h.listens = true
		step(time.Duration(h.w.pattern.Hosts.Load), h.boot)
	})
}

// receive takes a caller's packet.
func (h *host) receive(f *flow, p cookie.Packet) {
	decide := func() { h.decide(f, &p) }
	switch {
	case !h.listens:
	case !h.ready:
		h.waiting = append(h.waiting, arrival{at: h.w.now, do: decide})
	default:
		life := h.life
		h.busyUntil = max(h.busyUntil, h.w.now) + time.Duration(h.w.pattern.Hosts.Packet)
		h.w.after(h.busyUntil-h.w.now, func() {
			if h.life == life {
				decide()
			}
		})
	}
}

// decide does what the engine says of a packet.
func (h *host) decide(f *flow, p *cookie.Packet) {
	h.w.result.Packets++
	v := h.engine.Decide(p, h.w.wall())
	switch v.Action {
	case cookie.ActionReset:
		h.reset(f)
	case cookie.ActionForward:
		s := h.w.server(v.Upstream.Route.ID)
		if s == nil || !reaches(h.zone, s.zone) {
			return
		}
		first := *p
		h.w.after(h.w.way(h.zone, s.zone), func() { s.receive(f, &first) })
	case cookie.ActionDrop:
	}
}

// reset tells the caller of a flow that it is over.
func (h *host) reset(f *flow) {
	h.w.after(time.Duration(h.w.pattern.Delays.Caller), f.reset)
}

// resets tells the callers of flows that ended without a packet. Engines return them in no
// particular order, which must not decide what happens next.
func (h *host) resets(list []cookie.Reset) {
	slices.SortFunc(list, func(a, b cookie.Reset) int {
		return cmp.Or(bytes.Compare(a.Key.CallerIP[:], b.Key.CallerIP[:]), cmp.Compare(a.Key.CallerPort, b.Key.CallerPort))
	})
	for i := range list {
		if f := h.w.flow(list[i].Key); f != nil {
			h.reset(f)
		}
	}
}

// learn takes in a changed entry.
func (h *host) learn(ch registry.Change, asOf objects.Position) {
	if !h.ready {
		return // It reads the whole list when it starts.
	}
	now := h.w.wall()
	if h.catalog.Apply([]registry.Change{ch}, asOf, now) {
		h.resets(h.engine.Update(h.catalog.TakeChanges(), now))
	}
}

// probe looks at the upstreams that are doubted.
func (h *host) probe() {
	now := h.w.wall()
	if h.catalog.Expire(now) {
		h.resets(h.engine.Update(h.catalog.TakeChanges(), now))
	}
	due := h.engine.DueProbes(now)
	slices.SortFunc(due, func(a, b cookie.Probe) int { return cmp.Compare(a.Upstream.ID, b.Upstream.ID) })
	for _, pr := range due {
		h.w.result.Probes++
		h.ask(pr, now)
	}
}

func (h *host) ask(pr cookie.Probe, sent time.Time) {
	id := pr.Upstream.ID
	if pr.Check {
		accepted := h.accepted(pr.Upstream)
		h.later(probeTook, func() {
			h.engine.CheckDone(accepted, h.w.wall())
			h.probe()
		})
		return
	}
	found, took := cookie.ProbeAlive, probeTook
	if !h.accepted(pr.Upstream) {
		found, took = cookie.ProbeUnsure, probeTimeout
		if pr.Reference != nil && h.accepted(pr.Reference) {
			found = cookie.ProbeTimeout
			h.later(unacceptedAfter, func() { h.unaccepted(id, sent) })
		}
	}
	h.later(took, func() {
		before := h.engine.Health(id)
		h.resets(h.engine.ProbeDone(id, found, sent, h.w.wall()))
		if before != cookie.HealthDead && h.engine.Health(id) == cookie.HealthDead {
			h.tellFound([]bundle.UpstreamID{id})
		}
	})
}

// accepted reports whether an upstream accepts a connection of this host now.
func (h *host) accepted(u *bundle.UpstreamRoute) bool {
	s := h.w.server(u.ID)
	return s != nil && !s.dark && reaches(h.zone, s.zone)
}

// unaccepted tells that a probe isn't accepted yet.
func (h *host) unaccepted(id bundle.UpstreamID, sent time.Time) {
	found, resets := h.engine.ProbePending(id, sent, h.w.wall())
	h.resets(resets)
	h.probe()
	if len(found) > 0 {
		slices.Sort(found)
		h.tellFound(found[:min(len(found), peer.MaxDead)])
	}
}

// later does something after a time, unless the process has ended by then.
func (h *host) later(d time.Duration, do func()) {
	life := h.life
	h.w.after(d, func() {
		if h.life == life && h.ready {
			do()
		}
	})
}

// tellFound tells the zone of upstreams that were found dead.
func (h *host) tellFound(ids []bundle.UpstreamID) {
	for _, o := range h.zone.hosts {
		if o != h && o.ready {
			h.w.after(h.w.way(h.zone, h.zone), func() {
				for _, id := range ids {
					o.engine.ReportedDead(id, h.w.wall())
				}
			})
		}
	}
}

// exchange sums up what the hosts of a zone count and tells it to them, with the loads of
// the other zones that it hears of.
func (w *play) exchange(z *zone, eager bool) {
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
	if first == nil || eager && !peer.UsesStartupReportPeriod(w.now-first.booted) {
		return
	}
	sum := peer.SumReports(first.id, reports)
	for _, o := range w.zones {
		if o != z && reaches(z, o) {
			sum.Zones = append(sum.Zones, o.loads()...)
		}
	}
	for _, h := range z.hosts {
		if h.joined() {
			h.engine.ApplyZoneReport(sum, w.wall())
		}
	}
}

// joined reports whether a host is ready and known to the others.
func (h *host) joined() bool { return h.ready && h.w.now-h.booted >= joinWait }

// loads returns what a zone tells others of its load.
func (z *zone) loads() []peer.ZoneLoad {
	for _, h := range z.hosts {
		if h.ready {
			return h.engine.OwnZoneLoads()
		}
	}
	return nil
}
