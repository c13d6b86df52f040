package world

import (
	"sync"
	"time"
)

// BytesPerSecond is what a link carries.
type BytesPerSecond int

// RateLimit is a link of a bounded rate. Who uses it at the same time shares it. It is safe for
// concurrent use.
type RateLimit struct {
	perSecond BytesPerSecond

	mu sync.Mutex
	// free is when all that was sent so far has passed.
	free time.Time
}

// NewRateLimit returns a link that carries so much.
func NewRateLimit(perSecond BytesPerSecond) *RateLimit { return &RateLimit{perSecond: perSecond} }

// await waits until so many bytes have passed.
func (r *RateLimit) await(n int) {
	r.mu.Lock()
	now := time.Now()
	if r.free.Before(now) {
		r.free = now
	}
	r.free = r.free.Add(time.Duration(n) * time.Second / time.Duration(r.perSecond))
	free := r.free
	r.mu.Unlock()
	time.Sleep(time.Until(free))
}

// LimitLink lets all that a host takes in over connections, from the store and from other daemons,
// share a link of some rate. Connections don't show which daemon opened them, so what the others
// ask of each other shares it too.
func (w *World) LimitLink(h *Host, perSecond BytesPerSecond) { w.share(h, NewRateLimit(perSecond)) }

// UnlimitLink ends LimitLink.
func (w *World) UnlimitLink(h *Host) { w.share(h, nil) }

func (w *World) share(h *Host, r *RateLimit) {
	h.StoreProxy.SetRateLimit(r)
	for _, o := range w.Hosts {
		if o != h {
			o.peers.SetRateLimit(r)
		}
	}
}
