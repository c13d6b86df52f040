// Package world is a test environment on loopback addresses for balancers that forward flows by cookie. It has
// stand-ins for the store, routers, callers and upstreams, and injects faults.
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

// Sizes, addresses and times of a world.
const (
	zones            = 3
	slotsPerUpstream = 4
	// upstreamNet and relayNet are the second bytes of the addresses of upstreams and of
	// the relays in front of them.
	upstreamNet = 2
	relayNet    = 3
	// addedNet is the second byte of the addresses of routes that AddRoute adds.
	addedNet = 20
	// idleNet is the second byte of the addresses of routes that no caller uses.
	idleNet        = 19
	idlePort       = 443
	connections    = 2000
	idleTimeout    = 15 * time.Second
	maxVersionStep = 5
	serviceTime    = 10 * time.Millisecond
	callerPeriod   = 150 * time.Millisecond
	callerDeadline = 2 * time.Second
	// admissionServiceTime is the time of a request with admission control, admissionCallers the factor of the number of
	// callers. Those of the feed service then offer one upstream three times what it can serve in 40 ms a request, but
	// three, which faults leave in service, can serve them.
	admissionServiceTime = 40 * time.Millisecond
	admissionCallers     = 2
	// deregisterAfter is the time from the crash of an upstream until its entry is removed from the store.
	deregisterAfter = 3600 * time.Millisecond
	// inForceWithin and drainWithin are bounds that the users require: the time until a new bundle is in force
	// everywhere, and the time until a draining upstream gets no new flows.
	inForceWithin = 3 * time.Second
	drainWithin   = 3 * time.Second
	// settleAfter is the time after a fault in which the bounds need not hold.
	settleAfter = 4 * time.Second
)

// The services of a world. The switching route leads to the two of them in turn, changing with each version of the
// bundle that Roll writes.
const (
	ServiceFeed   = "feed"
	ServiceSheets = "sheets"
)

// Ports are the ports of one world. They are the same on all hosts.
type Ports struct {
	Data, Ready, Control, Metrics, Store, StoreProxy uint16
	// Peers is the port at which daemons reach each other. A relay and a proxy listen there and forward to Control.
	Peers uint16
}

// Options are the settings of a World.
type Options struct {
	Seed      uint64
	Hosts     int
	Upstreams int
	Callers   int
	// IncompressibleRoutes gives the routes that no caller uses names which don't compress, so that a bundle with
	// many of them is as large on the wire between daemons as in the store.
	IncompressibleRoutes bool
	// Admission switches admission control on. Part of the callers of the feed service then use a route of their own,
	// which is more urgent.
	Admission bool
}

// World holds the stand-ins of one run. Its methods are safe for concurrent use.
type World struct {
	opts    Options
	ports   Ports
	Store   *metadata.Store
	Router  *flows.Router
	Hosts   []*Host
	cuts    *cuts
	cleanup []func()

	mu  sync.Mutex
	rng *rand.Rand
	// lastIndex is the number of upstreams that AddUpstream has added. Upstreams get their addresses from it.
	lastIndex int
	upstreams []*Upstream
	// removed are upstreams that were ended, former incarnations of restarted ones included.
	removed  []*Upstream
	version  bundle.Version
	switches []routeSwitch
	// unstableUntil is when the last fault ends.
	unstableUntil time.Time
	// switchService is the service that the switching route leads to.
	switchService string
	// idleRoutes is the number of routes in the bundle that no caller uses, addedRoutes that of those added by AddRoute.
	idleRoutes, addedRoutes int
	evacuations             []*evacuation
	shortages               []shortage
	// logs is the directory with the logs of the processes, empty before StartProcesses.
	logs string
}

// Host is a host on which a balancer runs.
type Host struct {
	Name string
	Zone string
	IP   netip.Addr
	// StoreProxy is the host's link to the store.
	StoreProxy *Proxy
	// Seeds are the seeds in the host's settings. If empty, the first hosts of the world are the seeds.
	Seeds []netip.AddrPort
	// CPUShare is the balancer's share of a CPU core. Zero means 1.
	CPUShare float64
	// FirstStart is set if the whole system starts for the first time.
	FirstStart bool
	// Regions is the content of the setting with the regions of zones. It may be empty.
	Regions    string
	routerHost *flows.Host
	// peerProxy is the proxy for the TCP connections of other daemons to this host.
	peerProxy *Proxy
}

// Upstream is a stand-in upstream that is registered in the store.
type Upstream struct {
	*flows.Upstream
	stop func()
	// relayAddress is the registered address. A relay forwards from there to the upstream.
	relayAddress netip.AddrPort
	startedAt    time.Time
	// linkCutUntil is when the last cut of its links ends.
	linkCutUntil time.Time
	// drainedAt is when it began to drain, zero if it doesn't.
	drainedAt time.Time
	// sequence counts the writes of the upstream's entry.
	sequence uint64
	crashed  bool
	// endedAt is when it was ended, by a crash or after a drain, zero if it wasn't.
	endedAt time.Time
}

// routeSwitch is a change of the switching route to a service.
type routeSwitch struct {
	at      time.Time
	service string
}

// The addresses of the routes that callers use.
var (
	feedAddress   = netip.MustParseAddrPort("198.18.0.1:443")
	sheetsAddress = netip.MustParseAddrPort("198.18.0.2:443")
	switchAddress = netip.MustParseAddrPort("198.18.0.3:443")
	urgentAddress = netip.MustParseAddrPort("198.18.0.4:443")
)

// New starts the stand-ins. The clean-up function ends them. Balancers aren't started; see StartProcesses.
func New(ctx context.Context, o Options) (*World, func(), error) {
	if o.Admission {
		o.Callers *= admissionCallers
	}
	w := &World{
		opts: o, Store: metadata.NewStore(), cuts: newCuts(),
		rng: rand.New(rand.NewPCG(o.Seed, o.Seed)), switchService: ServiceFeed,
	}
	ctx, cancel := context.WithCancel(ctx)
	w.cleanup = append(w.cleanup, cancel)
	for _, step := range []func(context.Context) error{w.reservePorts, w.startStore, w.startHosts, w.startUpstreams} {
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
	for _, s := range w.upstreams {
		s.stop()
	}
}

// reservePorts chooses ports that are free on the first address of the loopback range, and
// keeps them open there until the world is closed, so that concurrent worlds choose others.
func (w *World) reservePorts(ctx context.Context) error {
	var ports []uint16
	for range 7 {
		l, err := listen(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
		if err != nil {
			return eris.Wrap(err, "world: ports")
		}
		w.cleanup = append(w.cleanup, func() { _ = l.Close() })
		ports = append(ports, uint16(l.Addr().(*net.TCPAddr).Port))
	}
	w.ports = Ports{
		Data: ports[0], Ready: ports[1], Control: ports[2], Metrics: ports[3], Store: ports[4], StoreProxy: ports[5], Peers: ports[6],
	}
	return nil
}

func (w *World) storeAddress() netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.250.1"), w.ports.Store)
}

func (w *World) startStore(ctx context.Context) error {
	l, err := listen(ctx, w.storeAddress())
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
	routerHosts := make([]*flows.Host, 0, len(w.Hosts))
	for _, h := range w.Hosts {
		routerHosts = append(routerHosts, h.routerHost)
	}
	w.Router = flows.NewRouter(ctx, routerHosts)
	return nil
}

// AddHost adds a host with a proxy to the store and a link for its peers. Routers send only to the hosts that were
// there at the start.
func (w *World) AddHost(ctx context.Context) (*Host, error) {
	i := len(w.Hosts)
	ip := netip.AddrFrom4([4]byte{127, 0, byte(1 + i%zones), byte(1 + i/zones)})
	h := &Host{Name: fmt.Sprintf("host-%d", i+1), Zone: zoneName(i % zones), IP: ip}
	p, stop, err := NewProxy(ctx, netip.AddrPortFrom(ip, w.ports.StoreProxy), w.storeAddress(), nil)
	if err != nil {
		return nil, err
	}
	w.cleanup = append(w.cleanup, stop)
	h.StoreProxy = p
	w.cuts.mu.Lock()
	w.cuts.zones[ip] = h.Zone
	w.cuts.mu.Unlock()
	h.peerProxy, stop, err = newLink(ctx, netip.AddrPortFrom(ip, w.ports.Peers), netip.AddrPortFrom(ip, w.ports.Control),
		w.cuts.blockedToHost(h))
	if err != nil {
		return nil, err
	}
	w.cleanup = append(w.cleanup, stop)
	h.routerHost = &flows.Host{
		DataAddress:  netip.AddrPortFrom(ip, w.ports.Data),
		ReadinessURL: metadata.ReadinessURL(netip.AddrPortFrom(ip, w.ports.Ready)),
	}
	w.Hosts = append(w.Hosts, h)
	return h, nil
}

// newLink forwards UDP datagrams and TCP connections from one address to another, except while blocked
// reports true for their sender. It returns the proxy for the connections. The clean-up function ends both.
func newLink(ctx context.Context, at, to netip.AddrPort, blocked func(from netip.Addr) bool) (*Proxy, func(), error) {
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

func (w *World) startUpstreams(context.Context) error {
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

// AddUpstream starts an upstream and registers it. If the given address isn't valid, the upstream gets an address of
// its own.
func (w *World) AddUpstream(service, zone string, at netip.AddrPort) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastIndex++
	if !at.IsValid() {
		ip := netip.AddrFrom4([4]byte{127, upstreamNet, byte(w.lastIndex >> 8), byte(w.lastIndex)})
		at = netip.AddrPortFrom(ip, w.ports.Data)
	}
	id := bundle.UpstreamID(w.rng.Uint64N(1 << 40))
	work := serviceTime
	if w.opts.Admission {
		work = admissionServiceTime
	}
	return w.startUpstream(flows.UpstreamOptions{
		ID: id, Service: service, Zone: bundle.Zone(zone), Address: at, CallerPort: w.ports.Data,
		WorkTime: work, Slots: slotsPerUpstream, Codec: metadata.SegmentCodec{}, Health: metadata.HealthHandler(id),
	})
}

// startUpstream starts an upstream and registers it. w.mu must be held.
func (w *World) startUpstream(o flows.UpstreamOptions) error {
	u, stop, err := flows.NewUpstream(o)
	if err != nil {
		return err
	}
	s := &Upstream{Upstream: u, stop: stop, startedAt: time.Now()}
	if err := w.addRelay(s); err != nil {
		stop()
		return err
	}
	w.upstreams = append(w.upstreams, s)
	w.register(s)
	return nil
}

// addRelay starts a relay in front of an upstream, at another address with the same port.
func (w *World) addRelay(s *Upstream) error {
	ip := s.Address.Addr().As4()
	ip[1] = relayNet
	s.relayAddress = netip.AddrPortFrom(netip.AddrFrom4(ip), s.Address.Port())
	_, stopLink, err := newLink(context.Background(), s.relayAddress, s.Address, w.cuts.blockedToUpstream(s))
	if err != nil {
		return err
	}
	stopUpstream := s.stop
	s.stop = func() {
		stopLink()
		stopUpstream()
	}
	return nil
}

// register writes an upstream's entry to the store. w.mu must be held.
func (w *World) register(s *Upstream) {
	s.sequence++
	w.Store.Register(&registry.Registration{
		ID: s.ID, Service: s.Service, Address: s.relayAddress, Zone: s.Zone, Slots: s.Slots, Draining: !s.drainedAt.IsZero(),
		StartTime: registry.UnixMilli(s.startedAt.UnixMilli()), Sequence: s.sequence,
	})
}

// Settings returns the content of the settings file for a host's daemon.
func (w *World) Settings(h *Host) string {
	seedAddresses := h.Seeds
	for i := range min(zones, len(w.Hosts)) {
		if len(h.Seeds) == 0 {
			seedAddresses = append(seedAddresses, netip.AddrPortFrom(w.Hosts[i].IP, w.ports.Peers))
		}
	}
	seeds := ""
	for _, at := range seedAddresses {
		seeds += fmt.Sprintf("%q,", at)
	}
	at := func(port uint16) string { return strconv.Quote(netip.AddrPortFrom(h.IP, port).String()) }
	return fmt.Sprintf(`{
  "Name": %q, "Zone": %q, "Regions": {%s}, "CPUShare": %g, "FirstStart": %t, "Seeds": [%s],
  "DataAddress": %s, "ReadinessAddress": %s, "ControlAddress": %s, "AnnouncedAddress": %s, "MetricsAddress": %s,
  "Store": "http://%s", "Secret": "c2VjcmV0IG9mIHRoZSB3b3JsZA==", "Admission": %t,
}
`, h.Name, h.Zone, h.Regions, cmp.Or(h.CPUShare, 1), h.FirstStart, seeds,
		at(w.ports.Data), at(w.ports.Ready), at(w.ports.Control), at(w.ports.Peers), at(w.ports.Metrics),
		netip.AddrPortFrom(h.IP, w.ports.StoreProxy), w.opts.Admission)
}

// DataAddress returns the address at which a host's daemon receives packets.
func (w *World) DataAddress(h *Host) netip.AddrPort { return h.routerHost.DataAddress }

// MarkUnstable records that a fault lasts for the time d from now. The bounds on time need not hold
// until settleAfter has passed after its end.
func (w *World) MarkUnstable(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until := time.Now().Add(d); until.After(w.unstableUntil) {
		w.unstableUntil = until
	}
}

// boundsHold reports whether the bounds on time must hold for something that happened at a time: more than settleAfter
// after the last fault. w.mu must be held.
func (w *World) boundsHold(at time.Time) bool { return at.Sub(w.unstableUntil) > settleAfter }

// upstreamOf returns the upstream that a cookie names, a removed one included, or nil. w.mu must be held.
func (w *World) upstreamOf(c cookie.Cookie) *Upstream {
	for _, list := range [][]*Upstream{w.upstreams, w.removed} {
		for _, s := range list {
			if c.IsOf(s.ID) {
				return s
			}
		}
	}
	return nil
}
