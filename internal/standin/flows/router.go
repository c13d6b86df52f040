package flows

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Router spreads callers' datagrams over the balancers that are ready, by a hash
// modulo their number: nearly all flows move when one joins or leaves. It is safe
// for concurrent use.
type Router struct {
	mu       sync.Mutex
	hosts    []*Host
	rotation []*Host
	// cut drops what goes to these.
	cut map[netip.AddrPort]bool
}

// Host is a balancer as routers know it.
type Host struct {
	DataAddress netip.AddrPort
	// ReadinessURL is asked over HTTP.
	ReadinessURL string
	misses       int
	in           bool
}

const (
	// checkPeriod and maxMisses are how routers look whether a balancer is ready.
	checkPeriod  = 500 * time.Millisecond
	checkTimeout = 400 * time.Millisecond
	maxMisses    = 2
)

// NewRouter returns a router that checks its hosts until ctx ends.
func NewRouter(ctx context.Context, hosts []*Host) *Router {
	r := &Router{hosts: hosts, cut: make(map[netip.AddrPort]bool)}
	client := &http.Client{Timeout: checkTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, h := range hosts {
		go r.check(ctx, client, h)
	}
	return r
}

func (r *Router) check(ctx context.Context, client *http.Client, h *Host) {
	t := time.NewTicker(checkPeriod)
	defer t.Stop()
	for {
		r.checked(h, ready(ctx, client, h.ReadinessURL))
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func ready(ctx context.Context, client *http.Client, at string) bool {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, at, http.NoBody)
	if err != nil {
		return false
	}
	resp, err := client.Do(q)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *Router) checked(h *Host, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		h.misses, h.in = 0, true
	} else if h.misses++; h.misses >= maxMisses {
		h.in = false
	}
	r.rotation = r.rotation[:0]
	for _, h := range r.hosts {
		if h.in {
			r.rotation = append(r.rotation, h)
		}
	}
	if 2*len(r.rotation) < len(r.hosts) {
		// So few can't carry all, and a check may be wrong: all are used, as if none
		// had missed one.
		r.rotation = append(r.rotation[:0], r.hosts...)
	}
}

// InRotation returns how many balancers get packets.
func (r *Router) InRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, h := range r.hosts {
		if h.in {
			n++
		}
	}
	return n
}

// SetUnreachable drops what goes to a balancer, or ends that.
func (r *Router) SetUnreachable(host netip.AddrPort, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[host] = cut
}

// Pick returns the balancer for a flow.
func (r *Router) Pick(from, to netip.AddrPort) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.rotation) == 0 {
		return netip.AddrPort{}, false
	}
	h := xxhash.Sum64String(from.String() + to.String())
	at := r.rotation[h%uint64(len(r.rotation))].DataAddress
	return at, !r.cut[at]
}
