// Command stand2 plays a case of a review: it starts the project's balancers as processes, and the stand-ins for
// clients, routers, backends and the platform's store inside itself.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"strconv"
	"sync"
	"syscall"
	"time"
)

var zoneNames = []string{"col-hall-a", "col-hall-b", "col-hall-c"}

type ports struct{ data, backend, ready, control, metrics, store uint16 }

type world struct {
	dir, binary string
	trouble     bool
	loss        float64
	ports       ports
	store       *store
	storeAddr   netip.AddrPort
	router      *router
	flows       *flowLog
	hosts       []*host
	backends    []*backend
	clients     []*clientHost
	began       time.Time

	mu         sync.Mutex
	closed     bool
	record     *os.File
	counts     map[string]int
	violations map[string]int
	runs       map[string]int
	version    int
	// maxConns is how many flows a backend holds.
	maxConns int
	// idleTimeoutMs is a limit of the next version.
	idleTimeoutMs int
}

func (w *world) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

func (w *world) lose() bool { return w.loss > 0 && rand.Float64() < w.loss }

func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) violation(rule, format string, args ...any) {
	w.mu.Lock()
	w.violations[rule]++
	w.mu.Unlock()
	w.logf("BROKEN "+rule+": "+format, args...)
}

func (w *world) count(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[what]++
}

func (w *world) sent(id string) { w.logf("sent %s", id) }

func (w *world) answered(id string, f *flow, status int) {
	w.count("requests with status " + strconv.Itoa(status))
	why := ""
	if status == 0 {
		why = " (" + f.why + ")"
	}
	w.logf("answered %s on %v: %d%s", id, f.src, status, why)
}

func (w *world) ran(id string, b *backend) {
	w.mu.Lock()
	w.runs[id]++
	n := w.runs[id]
	w.mu.Unlock()
	w.logf("ran %s at %s", id, b.name())
	if n > 1 {
		w.violation("UNASKED", "request %s ran twice", id)
	}
}

func (w *world) seeds() []*host { return w.hosts[:3] }

// Ports are taken from below the range that the system gives to outgoing connections.
const (
	firstPort = 12000
	numPorts  = 18000
)

// freePort returns a port that is free for TCP and UDP on the first loopback address and on that of the store.
func freePort() uint16 {
	for {
		p := uint16(firstPort + rand.IntN(numPorts))
		if isFree(netip.AddrPortFrom(ip(0, 0, 1), p)) && isFree(netip.AddrPortFrom(ip(200, 1, 7), p)) {
			return p
		}
	}
}

func isFree(at netip.AddrPort) bool {
	l, err := net.Listen("tcp4", at.String())
	if err != nil {
		return false
	}
	defer l.Close()
	u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return false
	}
	u.Close()
	return true
}

func ip(a, b, c byte) netip.Addr { return netip.AddrFrom4([4]byte{127, a, b, c}) }

func newWorld(folder string) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, binary: "target/fescueshed-cookie", trouble: os.Getenv("TROUBLE") != "0", store: newStore(), began: time.Now(),
		record: record, counts: map[string]int{}, violations: map[string]int{}, runs: map[string]int{},
		idleTimeoutMs: 15000, maxConns: 2000,
	}
	w.ports = ports{freePort(), freePort(), freePort(), freePort(), freePort(), freePort()}
	w.flows = &flowLog{w: w, m: map[netip.AddrPort]*flowRecord{}}
	w.router = &router{w: w}
	w.storeAddr = netip.AddrPortFrom(ip(200, 1, 7), w.ports.store)
	l, err := net.Listen("tcp4", w.storeAddr.String())
	if err != nil {
		return nil, err
	}
	go (&http.Server{Handler: w.store}).Serve(l)
	return w, nil
}

// startHosts starts the balancers, n in each zone, and waits until all are in rotation.
func (w *world) startHosts(each []int) error {
	for z, n := range each {
		for i := range n {
			w.hosts = append(w.hosts, &host{w: w, name: fmt.Sprintf("edge-%s-%d", zoneNames[z], i+1), zone: zoneNames[z], ip: ip(10, byte(z+1), byte(i+10))})
		}
	}
	for _, h := range w.hosts {
		if err := h.writeSettings(true); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
		go w.router.watch(h)
	}
	for deadline := time.Now().Add(15 * time.Second); w.router.inRotation() < len(w.hosts); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("only %d of %d balancers are in rotation", w.router.inRotation(), len(w.hosts))
		}
	}
	for _, h := range w.hosts {
		h.writeSettings(false)
	}
	return nil
}

func (w *world) startBackends(service string, each []int, net byte, work time.Duration, body int) error {
	for z, n := range each {
		for i := range n {
			if _, err := w.startBackend(service, zoneNames[z], ip(128+net, byte(z+1), byte(i+10)), work, body); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *world) startClients(each []int) error {
	for z, n := range each {
		for i := range n {
			c, err := w.startClientHost(zoneNames[z], ip(64, byte(z+1), byte(i+10)))
			if err != nil {
				return err
			}
			w.clients = append(w.clients, c)
		}
	}
	return nil
}

// route is a route of the configuration.
type route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"pathPrefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
}

func newRoute(name, service string, at netip.AddrPort) route {
	return route{
		Name: name, Host: at.Addr().String(), PathPrefix: fmt.Sprintf("/%d/", at.Port()), Kind: "unsafe", TimeoutMs: 1000,
		TargetLatencyMs: 150, Priority: 1, Service: service, MaxAttempts: 2,
	}
}

// roll writes a version of the configuration. The store has acknowledged it when roll returns.
func (w *world) roll(routes []route) {
	w.version += 1 + rand.IntN(4)
	service := func(n string) map[string]any {
		return map[string]any{"name": n, "healthPath": "/healthz", "maxConns": w.maxConns, "protocol": "h1", "tls": false}
	}
	w.store.put("config", "main", map[string]any{
		"version": w.version, "routes": routes, "services": []any{service("reminder-svc"), service("statement-svc")},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": w.idleTimeoutMs},
	})
	w.logf("configuration %d acknowledged", w.version)
}

// end stops all processes, writes the sums and returns the exit status.
func (w *world) end() int {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	for _, h := range w.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
	}
	time.Sleep(200 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var keys []string
	for k := range w.counts {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		fmt.Fprintf(w.record, "total: %s: %d\n", k, w.counts[k])
		fmt.Printf("%s: %d\n", k, w.counts[k])
	}
	status := 0
	for rule, n := range w.violations {
		fmt.Fprintf(w.record, "total: broken %s: %d\n", rule, n)
		fmt.Printf("broken %s: %d\n", rule, n)
		status = 1
	}
	return status
}

func main() {
	if len(os.Args) < 3 {
		fmt.Println("usage: stand2 CASE FOLDER")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	w, err := newWorld(os.Args[2])
	if err != nil || play == nil {
		fmt.Println("can't run:", err)
		os.Exit(2)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-stopped
		fmt.Println("can't run: stopped")
		w.end()
		os.Exit(2)
	}()
	if err := play(w); err != nil {
		fmt.Println("can't run:", err)
		w.end()
		os.Exit(2)
	}
	os.Exit(w.end())
}
