package emulator

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// Options are the settings of one simulation.
type Options struct {
	Seed uint64
	// Policy places new flows. The default is the product's own policy.
	Policy NamedPolicy
}

// simulation runs one pattern with one seed and one policy.
type simulation struct {
	*clock
	pattern *Pattern
	opts    Options
	rng     *rand.Rand
	routing *bundle.Routing
	zones   []*zone
	servers []*server
	classes []*class
	// revision is the store revision of the latest registration, lastID the last upstream
	// identifier that was assigned.
	revision objects.Position
	lastID   bundle.UpstreamID
	// openFlows holds the flows that aren't closed.
	openFlows map[cookie.Key]*flow
	result    *Result
	// changeClassReport and deliverClassSum, if set, disturb the exchange of counts by class: the first
	// changes what a host reports, the second calls apply when a host receives its zone's sum.
	changeClassReport func(h *host, r *peer.ClassReport)
	deliverClassSum   func(apply func())
}

// zone is an availability zone.
type zone struct {
	Zone
	index  int
	hosts  []*host
	router *router
	// isolated says that the zone is cut off from the others.
	isolated bool
	// evacuated says that the zone gets no new flows.
	evacuated bool
	// rateFactor multiplies the request rate of the zone's callers.
	rateFactor float64
	// lastPorts holds the port of each caller's latest flow, if Zone.Callers isn't zero.
	lastPorts []uint16
	// classes are the counts by class of the zone's hosts in the window that was summed at classesAt.
	classes   *peer.ClassReport
	classesAt time.Duration
	// shiftTarget is the zone to which shiftedShare of the callers send. It is nil without a
	// shift.
	shiftTarget  *zone
	shiftedShare float64
}

// finalWait is how long the simulation continues after Pattern.Length, so that the last requests
// can be answered.
const finalWait = 5 * time.Second

// Run simulates a pattern. It uses the first of Policies if o names none. Equal arguments give
// equal results.
func Run(p *Pattern, o Options) (*Result, error) {
	sim, err := newSimulation(p, o)
	if err != nil {
		return nil, err
	}
	return sim.play(), nil
}

func newSimulation(p *Pattern, o Options) (*simulation, error) {
	if o.Policy.New == nil {
		o.Policy = Policies()[0]
	}
	sim := &simulation{
		clock: newClock(), pattern: p, opts: o, rng: rand.New(rand.NewPCG(o.Seed, uint64(len(p.Name)))),
		openFlows: make(map[cookie.Key]*flow), result: newResult(p, o),
	}
	if err := sim.makeRouting(); err != nil {
		return nil, err
	}
	sim.makeZones()
	sim.makeServers()
	sim.makeHosts()
	sim.makeClasses()
	sim.every(0, slotSamplePeriod, sim.sampleSlots)
	for i := range p.Events {
		sim.scheduleEvent(&p.Events[i])
	}
	return sim, nil
}

// play plays the pattern to its end.
func (sim *simulation) play() *Result {
	sim.run(time.Duration(sim.pattern.Length) + finalWait)
	sim.result.finish(sim)
	return sim.result
}

// routeAddress returns the service address to which callers of the nth class send.
func routeAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(n >> 8), byte(n)}), 443)
}

// makeRouting builds the only bundle of a simulation, with one route for each class.
func (sim *simulation) makeRouting() error {
	b := &bundle.Bundle{}
	for i := range sim.pattern.Services {
		b.Services = append(b.Services, bundle.Service{
			Name: sim.pattern.Services[i].Name, Registered: true, Connections: sim.pattern.Services[i].connections(),
			IdleTimeout: bundle.Duration(sim.pattern.Services[i].idleTimeout()),
		})
	}
	for i := range sim.pattern.Classes {
		c := &sim.pattern.Classes[i]
		b.Routes = append(b.Routes, bundle.Route{
			Name: c.Name, Address: routeAddress(i), Targets: []bundle.Target{{Service: c.Service, Weight: 1}},
			Deadline: c.Deadline, Objective: c.Objective, Idempotent: c.Idempotent, Priority: c.Priority,
		})
	}
	if err := b.Check(); err != nil {
		return err
	}
	sim.routing = bundle.NewRouting(1, b, nil)
	return nil
}

// Limits of upstreams whose service has none of its own: the ones that the users' installations
// have.
const (
	maxConnections = 2000
	idleTimeout    = 15 * time.Second
)

// connections returns how many flows an upstream of the service holds.
func (s *Service) connections() int { return cmp.Or(s.Connections, maxConnections) }

// idleTimeout returns how long an upstream of the service holds an abandoned flow.
func (s *Service) idleTimeout() time.Duration {
	return cmp.Or(time.Duration(s.IdleTimeout), idleTimeout)
}

// serviceOf returns the service of the nth class.
func (p *Pattern) serviceOf(n int) *Service {
	i := slices.IndexFunc(p.Services, func(s Service) bool { return s.Name == p.Classes[n].Service })
	return &p.Services[i]
}

func (sim *simulation) makeZones() {
	for i, z := range sim.pattern.Zones {
		sim.zones = append(sim.zones, &zone{Zone: z, index: i, rateFactor: 1, lastPorts: make([]uint16, z.Callers)})
	}
	for _, z := range sim.zones {
		z.router = newRouter(sim, z)
	}
}

func (sim *simulation) makeServers() {
	for i := range sim.pattern.Services {
		s := &sim.pattern.Services[i]
		for zi, n := range s.Upstreams {
			for range n {
				sim.addServer(s, sim.zones[zi], 0)
			}
		}
	}
}

// addServer starts an upstream with a new identifier. It is slow for the duration of warmup.
func (sim *simulation) addServer(s *Service, z *zone, warmup time.Duration) {
	sim.lastID++
	v := &server{sim: sim, service: s, zone: z, id: sim.lastID, flows: make(map[*flow]bool)}
	v.address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(v.id >> 16), byte(v.id >> 8), byte(v.id)}), 8080)
	v.start(warmup)
	sim.servers = append(sim.servers, v)
}

// announceServers sends the changed or removed registrations of upstreams to all hosts, to each in one
// message after a delay of its own. A host ignores a message that a later one overtakes.
func (sim *simulation) announceServers(list []*server, removed bool) {
	changes := make([]registry.Change, 0, len(list))
	for _, v := range list {
		sim.revision++
		v.revision = sim.revision
		changes = append(changes, registry.Change{Registration: v.registration(v.revision), Removed: removed})
	}
	asOf := sim.revision
	for _, z := range sim.zones {
		for _, h := range z.hosts {
			d := time.Duration(sim.pattern.Delays.List)
			at := sim.now + d + sim.jitter(d)
			// Messages of the same removal, or of removals at the same time, keep their order: a daemon
			// receives the changes of the store in order. Other messages may still overtake each other,
			// since the results of the patterns that were recorded so far depend on it.
			if list[0].leaving {
				at = max(at, h.removalsUntil)
				h.removalsUntil = at
			}
			sim.after(at-sim.now, func() { h.applyChanges(changes, asOf) })
		}
	}
}

// registrations returns the registrations of all upstreams, as a starting host reads them.
func (sim *simulation) registrations() []registry.Registration {
	var out []registry.Registration
	for _, v := range sim.servers {
		if !v.deregistered {
			out = append(out, v.registration(v.revision))
		}
	}
	return out
}

func (sim *simulation) makeHosts() {
	for _, z := range sim.zones {
		for range z.Hosts {
			z.hosts = append(z.hosts, newHost(sim, z))
		}
		for _, h := range z.hosts {
			h.start()
		}
		sim.every(sim.jitter(reportPeriod), reportPeriod, func() { sim.exchangeReports(z, false) })
		sim.every(sim.jitter(peer.StartupReportPeriod), peer.StartupReportPeriod, func() { sim.exchangeReports(z, true) })
		z.router.startChecks()
	}
}

// jitter returns a random duration of at least 0 and less than d, or 0 if d isn't positive.
func (sim *simulation) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(sim.rng.Int64N(int64(d)))
}

// reachable reports whether packets pass between two zones.
func reachable(a, b *zone) bool { return a == b || !a.isolated && !b.isolated }

// networkDelay returns the one-way delay between a host in one zone and an upstream in another or
// the same zone.
func (sim *simulation) networkDelay(a, b *zone) time.Duration {
	if a == b {
		return time.Duration(sim.pattern.Delays.Zone)
	}
	return time.Duration(sim.pattern.Delays.Cross)
}
