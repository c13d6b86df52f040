package emulator

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// Options are the settings of one play.
type Options struct {
	Seed uint64
	// Policy places new flows.
	Policy NamedPolicy
}

// play is one pattern with one seed and one policy.
type play struct {
	*clock
	pattern *Pattern
	opts    Options
	rng     *rand.Rand
	routing *bundle.Routing
	zones   []*zone
	servers []*server
	classes []*class
	// revision is that of the list of upstreams, nextID the last identifier given.
	revision objects.Position
	nextID   bundle.UpstreamID
	// byKey are the flows that aren't closed.
	byKey  map[cookie.Key]*flow
	result *Result
}

// zone is an availability zone.
type zone struct {
	Zone
	index  int
	hosts  []*host
	router *router
	// cut is set while the zone is cut off from the others, factor is by how much more its
	// callers ask.
	cut bool
	// evacuated is set while no new flow enters the zone.
	evacuated bool
	factor    float64
	// shifted is where part of its callers ask now.
	shifted      *zone
	shiftedShare float64
}

// flowTail is how long requests of the end have to be answered.
const flowTail = 5 * time.Second

// Run plays a pattern. Equal arguments give equal results.
func Run(p *Pattern, o Options) (*Result, error) {
	if o.Policy.New == nil {
		o.Policy = Policies()[0]
	}
	w := &play{
		clock: newClock(), pattern: p, opts: o, rng: rand.New(rand.NewPCG(o.Seed, uint64(len(p.Name)))),
		byKey: make(map[cookie.Key]*flow), result: newResult(p, o),
	}
	if err := w.makeRouting(); err != nil {
		return nil, err
	}
	w.makeZones()
	w.makeServers()
	w.makeHosts()
	w.makeClasses()
	for i := range p.Events {
		w.planEvent(&p.Events[i])
	}
	w.run(time.Duration(p.Length) + flowTail)
	w.result.finish(w)
	return w.result, nil
}

// routeAddress is where callers of the nth class send to.
func routeAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(n >> 8), byte(n)}), 443)
}

// makeRouting makes the one bundle of a play, with a route for each class.
func (w *play) makeRouting() error {
	b := &bundle.Bundle{}
	for i := range w.pattern.Services {
		b.Services = append(b.Services, bundle.Service{
			Name: w.pattern.Services[i].Name, Registered: true, Connections: connections,
			IdleTimeout: bundle.Duration(idleTimeout),
		})
	}
	for i := range w.pattern.Classes {
		c := &w.pattern.Classes[i]
		b.Routes = append(b.Routes, bundle.Route{
			Name: c.Name, Address: routeAddress(i), Targets: []bundle.Target{{Service: c.Service, Weight: 1}},
			Deadline: c.Deadline, Objective: c.Objective, Idempotent: c.Idempotent,
		})
	}
	if err := b.Check(); err != nil {
		return err
	}
	w.routing = bundle.NewRouting(1, b, nil)
	return nil
}

// Limits of upstreams that the patterns don't vary: those of the users' today.
const (
	connections = 2000
	idleTimeout = 15 * time.Second
)

func (w *play) makeZones() {
	for i, z := range w.pattern.Zones {
		w.zones = append(w.zones, &zone{Zone: z, index: i, factor: 1})
	}
	for _, z := range w.zones {
		z.router = newRouter(w, z)
	}
}

func (w *play) makeServers() {
	for i := range w.pattern.Services {
		s := &w.pattern.Services[i]
		for zi, n := range s.Upstreams {
			for range n {
				w.addServer(s, w.zones[zi], 0)
			}
		}
	}
}

// addServer starts an upstream with a new identifier. It is slow for a time.
func (w *play) addServer(s *Service, z *zone, warmup time.Duration) {
	w.nextID++
	v := &server{w: w, service: s, zone: z, id: w.nextID, flows: make(map[*flow]bool)}
	v.address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(v.id >> 16), byte(v.id >> 8), byte(v.id)}), 8080)
	v.start(warmup)
	w.servers = append(w.servers, v)
}

// tell lets all hosts know of a changed entry, each after a delay of its own.
func (w *play) tell(v *server, gone bool) {
	w.revision++
	r := v.entry(w.revision)
	asOf := w.revision
	for _, z := range w.zones {
		for _, h := range z.hosts {
			d := time.Duration(w.pattern.Delays.List)
			w.after(d+w.jitter(d), func() { h.learn(registry.Change{Registration: r, Removed: gone}, asOf) })
		}
	}
}

// listed returns the entries of all upstreams, as a host that starts reads them.
func (w *play) listed() []registry.Registration {
	var out []registry.Registration
	for _, v := range w.servers {
		if !v.lapsed {
			out = append(out, v.entry(v.revision))
		}
	}
	return out
}

func (w *play) makeHosts() {
	for _, z := range w.zones {
		for range z.Hosts {
			z.hosts = append(z.hosts, newHost(w, z))
		}
		for _, h := range z.hosts {
			h.begin()
		}
		w.every(w.jitter(loadsPeriod), loadsPeriod, func() { w.exchange(z, false) })
		w.every(w.jitter(peer.StartupReportPeriod), peer.StartupReportPeriod, func() { w.exchange(z, true) })
		z.router.begin()
	}
}

// jitter returns a random part of a time.
func (w *play) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(w.rng.Int64N(int64(d)))
}

// reaches reports whether packets pass between two zones.
func reaches(a, b *zone) bool { return a == b || !a.cut && !b.cut }

// way returns the delay between a host and an upstream.
func (w *play) way(a, b *zone) time.Duration {
	if a == b {
		return time.Duration(w.pattern.Delays.Zone)
	}
	return time.Duration(w.pattern.Delays.Cross)
}
