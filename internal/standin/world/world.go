// Package world puts balancers that carry flows by cookie among stand-ins on
// loopback: the store, routers, callers and upstreams, with faults from outside.
package world

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/standin/flows"
	"github.com/fescueshed/fescueshed/internal/standin/metadata"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// Sizes of a world.
const (
	zones          = 3
	slotsPerServer = 4
	// serverNet and linkNet are the second byte of the addresses of upstreams and of
	// the relays before them.
	serverNet = 2
	linkNet   = 3
	// idleNet is the second byte of the addresses of routes that no caller uses.
	idleNet        = 19
	idlePort       = 443
	connections    = 2000
	idleTimeout    = 15 * time.Second
	maxVersionStep = 5
	workTime       = 10 * time.Millisecond
	callerPeriod   = 150 * time.Millisecond
	callerDeadline = 2 * time.Second
	// lapseAfter is when the entry of an upstream that crashed lapses.
	lapseAfter = 3600 * time.Millisecond
	// inForceWithin and drainWithin are the users' bounds.
	inForceWithin = 3 * time.Second
	drainWithin   = 3 * time.Second
	// settleAfter is how long after a fault the bounds don't hold.
	settleAfter = 4 * time.Second
)

// The services of a world. Callers of Switch are led to one of the two by turns.
const (
	ServiceFeed   = "feed"
	ServiceSheets = "sheets"
)

// Ports are those of one world, the same on all hosts.
type Ports struct {
	Data, Ready, Control, Metrics, Store, StoreProxy uint16
	// Peers is where daemons are reached by others, through a relay.
	Peers uint16
}

// Options are the settings of a World.
type Options struct {
	Seed      uint64
	Hosts     int
	Upstreams int
	Callers   int
	// IncompressibleRoutes gives the routes that no caller uses names which don't compress, so that a bundle of many is as
	// large between daemons as it is in the store.
	IncompressibleRoutes bool
}

// World is the stand-ins of one run. Its methods are safe for concurrent use.
type World struct {
	opts    Options
	ports   Ports
	Store   *metadata.Store
	Router  *flows.Router
	Hosts   []*Host
	cuts    *cuts
	cleanup []func()

	mu        sync.Mutex
	rng       *rand.Rand
	next      int
	servers   []*Upstream
	past      []*Upstream
	version   bundle.Version
	switches  []switched
	unstable  time.Time
	lastRoute string
	// idleRoutes are routes of the bundle that no caller uses.
	idleRoutes  int
	evacuations []*evacuated
}

// Host is where a balancer runs.
type Host struct {
	Name       string
	Zone       string
	IP         netip.Addr
	StoreProxy *Proxy
	// Seeds replace the world's first hosts in the settings, if there are any.
	Seeds []netip.AddrPort
	// CPUShare is the host's share of a core, 1 if it is zero.
	CPUShare float64
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool
	// Regions are those of zones, as they stand in settings, if there are any.
	Regions string
	route   *flows.Host
	// peers is what other daemons' connections pass.
	peers *Proxy
}

// Upstream is an upstream with its entry in the store.
type Upstream struct {
	*flows.Upstream
	end func()
	// at is where it is reached, through a relay.
	at      netip.AddrPort
	born    time.Time
	harmed  time.Time
	drained time.Time
	// beats counts what the upstream wrote of itself.
	beats    uint64
	crashed  bool
	crashing time.Time
}

// switched is a change of the service that the switching route leads to.
type switched struct {
	at      time.Time
	service string
}

// Addresses that callers send to.
var (
	feedAt   = netip.MustParseAddrPort("198.18.0.1:443")
	sheetsAt = netip.MustParseAddrPort("198.18.0.2:443")
	switchAt = netip.MustParseAddrPort("198.18.0.3:443")
)

// New starts the stand-ins. The clean-up function ends them.
func New(ctx context.Context, o Options) (*World, func(), error) {
	w := &World{
		opts: o, Store: metadata.NewStore(), cuts: newCuts(),
		rng: rand.New(rand.NewPCG(o.Seed, o.Seed)), lastRoute: ServiceFeed,
	}
	ctx, cancel := context.WithCancel(ctx)
	w.cleanup = append(w.cleanup, cancel)
	for _, step := range []func(context.Context) error{w.findPorts, w.startStore, w.startHosts, w.startServers} {
		if err := step(ctx); err != nil {
			w.close()
			return nil, nil, err
		}
	}
	return w, w.close, nil
}

func (w *World) close() {
	for i := len(w.cleanup) - 1; i >= 0; i-- {
		w.cleanup[i]()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		s.end()
	}
}

// findPorts takes ports that are free on the first address of the loopback range, and
// keeps them there as long as the world stands, so that worlds beside it take others.
func (w *World) findPorts(ctx context.Context) error {
	var found []uint16
	for range 7 {
		l, err := listen(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
		if err != nil {
			return eris.Wrap(err, "world: ports")
		}
		w.cleanup = append(w.cleanup, func() { _ = l.Close() })
		found = append(found, uint16(l.Addr().(*net.TCPAddr).Port))
	}
	w.ports = Ports{
		Data: found[0], Ready: found[1], Control: found[2], Metrics: found[3], Store: found[4], StoreProxy: found[5], Peers: found[6],
	}
	return nil
}

func (w *World) storeAt() netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.250.1"), w.ports.Store)
}

func (w *World) startStore(ctx context.Context) error {
	l, err := listen(ctx, w.storeAt())
	if err != nil {
		return eris.Wrap(err, "world: store")
	}
	s := &http.Server{Handler: w.Store, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	w.cleanup = append(w.cleanup, func() { _ = s.Close() })
	w.Roll()
	return nil
}

func (w *World) startHosts(ctx context.Context) error {
	for range w.opts.Hosts {
		if _, err := w.AddHost(ctx); err != nil {
			return err
		}
	}
	routed := make([]*flows.Host, 0, len(w.Hosts))
	for _, h := range w.Hosts {
		routed = append(routed, h.route)
	}
	w.Router = flows.NewRouter(ctx, routed)
	return nil
}

// AddHost makes a host with a proxy to the store. Routers know those that were there at
// the start only.
func (w *World) AddHost(ctx context.Context) (*Host, error) {
	i := len(w.Hosts)
	ip := netip.AddrFrom4([4]byte{127, 0, byte(1 + i%zones), byte(1 + i/zones)})
	h := &Host{Name: fmt.Sprintf("host-%d", i+1), Zone: zoneName(i % zones), IP: ip}
	p, stop, err := NewProxy(ctx, netip.AddrPortFrom(ip, w.ports.StoreProxy), w.storeAt(), nil)
	if err != nil {
		return nil, err
	}
	w.cleanup = append(w.cleanup, stop)
	h.StoreProxy = p
	w.cuts.mu.Lock()
	w.cuts.zones[ip] = h.Zone
	w.cuts.mu.Unlock()
	h.peers, stop, err = link(ctx, netip.AddrPortFrom(ip, w.ports.Peers), netip.AddrPortFrom(ip, w.ports.Control), w.cuts.toHost(h))
	if err != nil {
		return nil, err
	}
	w.cleanup = append(w.cleanup, stop)
	h.route = &flows.Host{
		DataAddress:  netip.AddrPortFrom(ip, w.ports.Data),
		ReadinessURL: metadata.ReadinessURL(netip.AddrPortFrom(ip, w.ports.Ready)),
	}
	w.Hosts = append(w.Hosts, h)
	return h, nil
}

// link passes datagrams and connections on from one address to another. The clean-up
// function ends it.
func link(ctx context.Context, at, to netip.AddrPort, blocked func(from netip.Addr) bool) (*Proxy, func(), error) {
	_, stopRelay, err := NewRelay(at, to, blocked)
	if err != nil {
		return nil, nil, err
	}
	p, stopProxy, err := NewProxy(ctx, at, to, blocked)
	if err != nil {
		stopRelay()
		return nil, nil, err
	}
	return p, func() {
		stopRelay()
		stopProxy()
	}, nil
}

func zoneName(i int) string { return "zone-" + strconv.Itoa(i+1) }

func (w *World) startServers(context.Context) error {
	for i := range w.opts.Upstreams {
		service := ServiceFeed
		if i%3 == 2 {
			service = ServiceSheets
		}
		if err := w.AddUpstream(service, zoneName(i%zones), netip.AddrPort{}); err != nil {
			return err
		}
	}
	return nil
}

// AddUpstream starts an upstream and registers it. It gets an address of its own if
// none is given.
func (w *World) AddUpstream(service, zone string, at netip.AddrPort) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	if !at.IsValid() {
		ip := netip.AddrFrom4([4]byte{127, serverNet, byte(w.next >> 8), byte(w.next)})
		at = netip.AddrPortFrom(ip, w.ports.Data)
	}
	id := bundle.UpstreamID(w.rng.Uint64N(1 << 40))
	return w.startServer(flows.UpstreamOptions{
		ID: id, Service: service, Zone: bundle.Zone(zone), Address: at, CallerPort: w.ports.Data,
		WorkTime: workTime, Slots: slotsPerServer, Codec: metadata.SegmentCodec{}, Health: metadata.HealthHandler(id),
	})
}

// startServer starts an upstream and registers it. w.mu is held.
func (w *World) startServer(o flows.UpstreamOptions) error {
	u, end, err := flows.NewUpstream(o)
	if err != nil {
		return err
	}
	s := &Upstream{Upstream: u, end: end, born: time.Now()}
	if err := w.link(s); err != nil {
		end()
		return err
	}
	w.servers = append(w.servers, s)
	w.register(s)
	return nil
}

// link puts a relay before an upstream, at the same port of another address.
func (w *World) link(s *Upstream) error {
	ip := s.Address.Addr().As4()
	ip[1] = linkNet
	s.at = netip.AddrPortFrom(netip.AddrFrom4(ip), s.Address.Port())
	_, stop, err := link(context.Background(), s.at, s.Address, w.cuts.toServer(s))
	if err != nil {
		return err
	}
	end := s.end
	s.end = func() {
		stop()
		end()
	}
	return nil
}

// register writes an upstream's entry. w.mu is held.
func (w *World) register(s *Upstream) {
	s.beats++
	w.Store.Register(&registry.Registration{
		ID: s.ID, Service: s.Service, Address: s.at, Zone: s.Zone, Slots: s.Slots, Draining: !s.drained.IsZero(),
		StartTime: registry.UnixMilli(s.born.UnixMilli()), Sequence: s.beats,
	})
}

// Settings returns the settings file of a host's daemon.
func (w *World) Settings(h *Host) string {
	named := h.Seeds
	for i := range min(zones, len(w.Hosts)) {
		if len(h.Seeds) == 0 {
			named = append(named, netip.AddrPortFrom(w.Hosts[i].IP, w.ports.Peers))
		}
	}
	seeds := ""
	for _, at := range named {
		seeds += fmt.Sprintf("%q,", at)
	}
	at := func(port uint16) string { return strconv.Quote(netip.AddrPortFrom(h.IP, port).String()) }
	return fmt.Sprintf(`{
  "Name": %q, "Zone": %q, "Regions": {%s}, "CPUShare": %g, "FirstStart": %t, "Seeds": [%s],
  "DataAddress": %s, "ReadinessAddress": %s, "ControlAddress": %s, "AnnouncedAddress": %s, "MetricsAddress": %s,
  "Store": "http://%s", "Secret": "c2VjcmV0IG9mIHRoZSB3b3JsZA==",
}
`, h.Name, h.Zone, h.Regions, cmp.Or(h.CPUShare, 1), h.FirstStart, seeds,
		at(w.ports.Data), at(w.ports.Ready), at(w.ports.Control), at(w.ports.Peers), at(w.ports.Metrics),
		netip.AddrPortFrom(h.IP, w.ports.StoreProxy))
}

// DataAddress returns where a host's daemon takes packets.
func (w *World) DataAddress(h *Host) netip.AddrPort { return h.route.DataAddress }

// MarkUnstable notes that a fault is at work for a time: the bounds on time don't hold
// until settleAfter has passed after it.
func (w *World) MarkUnstable(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until := time.Now().Add(d); until.After(w.unstable) {
		w.unstable = until
	}
}

func (w *World) settled(at time.Time) bool { return at.Sub(w.unstable) > settleAfter }

// find returns the server that a cookie names.
func (w *World) find(c cookie.Cookie) *Upstream {
	for _, list := range [][]*Upstream{w.servers, w.past} {
		for _, s := range list {
			if cookie.Of(s.ID) == c {
				return s
			}
		}
	}
	return nil
}
