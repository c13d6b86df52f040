package flows

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Router distributes callers' datagrams over the balancers that are ready, by a hash modulo their
// number. Nearly all flows move to another balancer when one joins or leaves. It is safe for
// concurrent use.
type Router struct {
	mu       sync.Mutex
	hosts    []*Host
	rotation []*Host
	// unreachable holds the balancers whose datagrams are dropped.
	unreachable map[netip.AddrPort]bool
}

// Host is a balancer to which routers send datagrams.
type Host struct {
	DataAddress netip.AddrPort
	// ReadinessURL is the HTTP URL of the readiness check.
	ReadinessURL string
	misses       int
	inRotation   bool
}

const (
	// checkPeriod is the interval of readiness checks. A balancer leaves the rotation after
	// maxMisses consecutive failed ones.
	checkPeriod  = 500 * time.Millisecond
	checkTimeout = 400 * time.Millisecond
	maxMisses    = 2
)

// NewRouter returns a router that checks the readiness of its hosts until ctx ends.
func NewRouter(ctx context.Context, hosts []*Host) *Router {
	r := &Router{hosts: hosts, unreachable: make(map[netip.AddrPort]bool)}
	client := &http.Client{Timeout: checkTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, h := range hosts {
		go r.checkReadiness(ctx, client, h)
	}
	return r
}

func (r *Router) checkReadiness(ctx context.Context, client *http.Client, h *Host) {
	t := time.NewTicker(checkPeriod)
	defer t.Stop()
	for {
		r.recordCheck(h, ready(ctx, client, h.ReadinessURL))
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

func (r *Router) recordCheck(h *Host, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		h.misses, h.inRotation = 0, true
	} else if h.misses++; h.misses >= maxMisses {
		h.inRotation = false
	}
	r.rotation = r.rotation[:0]
	for _, h := range r.hosts {
		if h.inRotation {
			r.rotation = append(r.rotation, h)
		}
	}
	if 2*len(r.rotation) < len(r.hosts) {
		// Fewer than half couldn't serve all flows, and the checks may be wrong. So use all, as if
		// no check had failed.
		r.rotation = append(r.rotation[:0], r.hosts...)
	}
}

// InRotation returns the number of balancers whose readiness checks succeed.
func (r *Router) InRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, h := range r.hosts {
		if h.inRotation {
			n++
		}
	}
	return n
}

// SetUnreachable starts or stops dropping all datagrams to a balancer.
func (r *Router) SetUnreachable(host netip.AddrPort, unreachable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachable[host] = unreachable
}

// Pick returns the balancer for a datagram, and whether the router delivers it. It doesn't before
// the first readiness check has completed, or if the picked balancer is unreachable.
func (r *Router) Pick(from, to netip.AddrPort) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.rotation) == 0 {
		return netip.AddrPort{}, false
	}
	h := xxhash.Sum64String(from.String() + to.String())
	at := r.rotation[h%uint64(len(r.rotation))].DataAddress
	return at, !r.unreachable[at]
}
