package world

import (
	"sync"
	"time"
)

// BytesPerSecond is the bandwidth of a link.
type BytesPerSecond int

// RateLimit models a link of bounded bandwidth, which all its concurrent users share. It is safe for
// concurrent use.
type RateLimit struct {
	perSecond BytesPerSecond

	mu sync.Mutex
	// freeAt is when the link will have carried all bytes sent so far.
	freeAt time.Time
}

// NewRateLimit returns a link of the given bandwidth.
func NewRateLimit(perSecond BytesPerSecond) *RateLimit { return &RateLimit{perSecond: perSecond} }

// wait sends n bytes over the link and returns when it has carried them.
func (r *RateLimit) wait(n int) {
	r.mu.Lock()
	now := time.Now()
	if r.freeAt.Before(now) {
		r.freeAt = now
	}
	r.freeAt = r.freeAt.Add(time.Duration(n) * time.Second / time.Duration(r.perSecond))
	free := r.freeAt
	r.mu.Unlock()
	time.Sleep(time.Until(free))
}

// LimitLink makes all that a host receives over TCP connections, from the store and from other daemons,
// share a link of bounded bandwidth. Connections don't show which daemon opened them, so the answers that the
// other daemons get from each other share it too.
func (w *World) LimitLink(h *Host, perSecond BytesPerSecond) {
	w.setLinkRate(h, NewRateLimit(perSecond))
}

// UnlimitLink ends the effect of LimitLink.
func (w *World) UnlimitLink(h *Host) { w.setLinkRate(h, nil) }

func (w *World) setLinkRate(h *Host, r *RateLimit) {
	h.StoreProxy.SetRateLimit(r)
	for _, o := range w.Hosts {
		if o != h {
			o.peerProxy.SetRateLimit(r)
		}
	}
}
