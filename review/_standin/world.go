package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fescueshed/fescueshed/internal/standin/flows"
	"github.com/fescueshed/fescueshed/internal/standin/metadata"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// The size of the deployment, as in the site file krl-colombo.
var (
	zones          = []string{"zone-a", "zone-b", "zone-c"}
	hostsByZone    = []int{3, 2, 2}
	backendsByZone = []int{6, 6, 6}
)

const (
	serviceLive   = "live"
	serviceSheets = "sheets"
	// sheetsShare is one in how many backends belongs to serviceSheets.
	sheetsShare = 4
	slots       = 2
	// workTime is that of a booking exchange at krl-colombo.
	workTime = 29 * time.Millisecond
	maxConns = 2000
	idleMs   = 15000
	// restartDelay is how long the platform takes to start a process again that has ended.
	restartDelay = 600 * time.Millisecond
	grace        = 6 * time.Second
)

// world holds the stand-ins and the balancers of one run.
type world struct {
	dir, binary string
	ports       struct{ data, ready, control, metrics, store uint16 }
	store       *store
	router      *flows.Router
	hosts       []*host
	backends    []*backend
	record      *record
	rng         *rand.Rand
	stop        []func()
	version     uint64
}

// host is a machine with one balancer.
type host struct {
	name, zone string
	ip         netip.Addr
	settings   string
	log        *os.File
	mu         sync.Mutex
	cmd        *exec.Cmd
	done       chan struct{}
}

// backend is a stand-in backend and its entry in the store.
type backend struct {
	*flows.Upstream
	stop func()
}

func at(ip netip.Addr, port uint16) netip.AddrPort { return netip.AddrPortFrom(ip, port) }

func storeIP() netip.Addr { return netip.MustParseAddr("127.0.250.1") }

// newWorld starts the store, the routers and the backends. close ends them and all balancers.
func newWorld(ctx context.Context, binary string, rec *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, binary: binary, store: newStore(), record: rec, rng: rand.New(rand.NewPCG(1, 2))}
	w.stop = append(w.stop, func() { _ = os.RemoveAll(dir) })
	for _, p := range []*uint16{&w.ports.data, &w.ports.ready, &w.ports.control, &w.ports.metrics, &w.ports.store} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return w, err
		}
		*p = uint16(l.Addr().(*net.TCPAddr).Port)
		w.stop = append(w.stop, func() { _ = l.Close() }) // It stays open, so that runs side by side choose other ports.
	}
	l, err := net.Listen("tcp", at(storeIP(), w.ports.store).String())
	if err != nil {
		return w, err
	}
	s := &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	w.stop = append(w.stop, func() { _ = s.Close() })
	w.writeConfig()
	if err := w.startBackends(); err != nil {
		return w, err
	}
	w.addHosts(ctx)
	return w, nil
}

func (w *world) close() {
	for _, h := range w.hosts {
		h.end()
	}
	for _, b := range w.backends {
		b.stop()
	}
	for i := len(w.stop) - 1; i >= 0; i-- {
		w.stop[i]()
	}
}

// Routes that are in every configuration.
var (
	liveAddress   = netip.MustParseAddrPort("127.18.0.1:443")
	sheetsAddress = netip.MustParseAddrPort("127.18.0.2:443")
)

// writeConfig writes the next version of the configuration and returns once the store has acknowledged it.
func (w *world) writeConfig() {
	w.version += 1 + w.rng.Uint64N(4)
	route := func(name string, a netip.AddrPort, service string) map[string]any {
		return map[string]any{
			"name": name, "host": a.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", a.Port()), "service": service,
			"kind": "unsafe", "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 1, "maxAttempts": 2,
		}
	}
	routes := []any{route("live", liveAddress, serviceLive), route("sheets", sheetsAddress, serviceSheets)}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": maxConns, "protocol": "h1", "tls": false}
	}
	w.store.put("config", "main", map[string]any{
		"version": w.version, "routes": routes, "services": []any{service(serviceLive), service(serviceSheets)},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": idleMs},
	})
}

func (w *world) startBackends() error {
	for z, n := range backendsByZone {
		for i := range n {
			service := serviceLive
			if i%sheetsShare == sheetsShare-1 {
				service = serviceSheets
			}
			ip := netip.AddrFrom4([4]byte{127, 2, byte(z + 1), byte(i + 1)})
			if err := w.startBackend(service, zones[z], ip); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *world) startBackend(service, zone string, ip netip.Addr) error {
	id := bundle.UpstreamID(w.rng.Uint64N(1<<40) | 1<<39)
	u, stop, err := flows.NewUpstream(flows.UpstreamOptions{
		ID: id, Service: service, Zone: bundle.Zone(zone), Address: at(ip, w.ports.data), CallerPort: w.ports.data,
		WorkTime: workTime, Slots: slots, Codec: metadata.SegmentCodec{}, Health: metadata.HealthHandler(id),
	})
	if err != nil {
		return err
	}
	b := &backend{Upstream: u, stop: stop}
	w.backends = append(w.backends, b)
	w.store.put("servers", b.name(), b.entry("ready"))
	return nil
}

func (b *backend) name() string { return metadata.EntryName(b.ID) }

// entry returns the content of the backend's entry. The heartbeats change nothing but its sequence, so they don't
// change the stored entry.
func (b *backend) entry(state string) map[string]any {
	return map[string]any{
		"service": b.Service, "address": b.Address.String(), "zone": string(b.Zone), "version": "v1", "concurrencyLimit": b.Slots,
		"state": state, "warmupLeftMs": 0, "sequence": 4,
	}
}

func (w *world) addHosts(ctx context.Context) {
	var routed []*flows.Host
	for z, n := range hostsByZone {
		for i := range n {
			h := &host{
				name: fmt.Sprintf("edge-%s-%d", zones[z], i+1), zone: zones[z],
				ip: netip.AddrFrom4([4]byte{127, 0, byte(z + 1), byte(i + 1)}),
			}
			w.hosts = append(w.hosts, h)
			routed = append(routed, &flows.Host{
				DataAddress: at(h.ip, w.ports.data), ReadinessURL: "http://" + at(h.ip, w.ports.ready).String() + "/v1/readyz",
			})
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	w.stop = append(w.stop, cancel)
	w.router = flows.NewRouter(ctx, routed)
}

// writeSettings fills in the template of the deploy file for a host.
func (w *world) writeSettings(h *host, first bool) error {
	var regions, seeds []string
	for z := range zones {
		regions = append(regions, fmt.Sprintf("%q: \"region\"", zones[z]))
		seeds = append(seeds, fmt.Sprintf("\"127.0.%d.1:%d\"", z+1, w.ports.control))
	}
	text := fmt.Sprintf(`{
  "Name": %q, "Zone": %q, "Regions": {%s},
  "DataAddress": "%s", "ReadinessAddress": "%s", "ControlAddress": "%s", "MetricsAddress": "%s",
  "Store": "http://%s", "Seeds": [%s], "FirstStart": %t,
  "PlatformTerms": ["base","drain","config","cost","recover","flows","platform"],
  "CPUShare": 0.088, "FlowLifetime": "60s", "Grace": "6s",
}
`, h.name, h.zone, strings.Join(regions, ", "), at(h.ip, w.ports.data), at(h.ip, w.ports.ready), at(h.ip, w.ports.control),
		at(h.ip, w.ports.metrics), at(storeIP(), w.ports.store), strings.Join(seeds, ", "), first)
	h.settings = filepath.Join(w.dir, h.name+".hujson")
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// startHosts starts all balancers for the first time and waits until all are ready.
func (w *world) startHosts(ctx context.Context) error {
	for _, h := range w.hosts {
		if err := w.writeSettings(h, true); err != nil {
			return err
		}
		if err := w.start(h); err != nil {
			return err
		}
	}
	for range 100 {
		if w.router.InRotation() == len(w.hosts) {
			break
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
	if n := w.router.InRotation(); n != len(w.hosts) {
		return fmt.Errorf("%d of %d balancers are ready after 10 s", n, len(w.hosts))
	}
	for _, h := range w.hosts {
		if err := w.writeSettings(h, false); err != nil {
			return err
		}
	}
	return nil
}

// start starts a balancer by the command of the deploy file.
func (w *world) start(h *host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.log == nil {
		f, err := os.Create(filepath.Join(w.dir, h.name+".log"))
		if err != nil {
			return err
		}
		h.log = f
	}
	cmd := exec.Command(w.binary, "--settings", h.settings)
	cmd.Stdout, cmd.Stderr = h.log, h.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.cmd, h.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to the balancer's process and returns a channel that is closed when it has ended.
func (h *host) signal(s syscall.Signal) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s) // It may have ended meanwhile.
	}
	return h.done
}

// end kills the balancer's process, if it runs, and waits for its end.
func (h *host) end() {
	if done := h.signal(syscall.SIGKILL); done != nil {
		<-done
	}
}

// restart stops a balancer as planned and starts it again: SIGTERM, after the grace period SIGKILL.
func (w *world) restart(h *host) error {
	done := h.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(grace):
		h.end()
	}
	time.Sleep(restartDelay)
	return w.start(h)
}

// caller returns the options of a client.
func (w *world) caller(i int, service netip.AddrPort) flows.CallerOptions {
	return flows.CallerOptions{
		IP: netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), Port: w.ports.data, Service: service,
		Period: 200 * time.Millisecond, Deadline: time.Second, Retries: 2, Router: w.router, Codec: metadata.SegmentCodec{},
		Rng:          rand.New(rand.NewPCG(uint64(i), uint64(i))),
		MayAnswer:    func(string, time.Time) bool { return true },
		ResetAllowed: w.resetAllowed,
	}
}

// backendOf returns the backend at which a client's flow was opened, or nil.
func (w *world) backendOf(caller netip.AddrPort) *backend {
	for _, b := range w.backends {
		if b.Opened(caller) {
			return b
		}
	}
	return nil
}

// saveLogs copies the balancers' logs to a folder that the variable REVIEW_LOGS names, for reading after a run.
func (w *world) saveLogs() {
	to := os.Getenv("REVIEW_LOGS")
	if to == "" {
		return
	}
	for _, h := range w.hosts {
		b, err := os.ReadFile(filepath.Join(w.dir, h.name+".log"))
		if err == nil {
			_ = os.WriteFile(filepath.Join(to, h.name+".log"), b, 0o600)
		}
	}
}
