package main

import (
	"net/netip"
	"sync"
	"time"
)

// flowLog is what clients and backends saw of each flow, by the client's end.
type flowLog struct {
	w  *world
	mu sync.Mutex
	m  map[netip.AddrPort]*flowRecord
}

type flowRecord struct {
	owner      *backend
	openedAt   time.Time
	isClosed   bool
	offers     []*backend
	refusals   []*backend
	otherSince time.Time
	others     int
	reported   bool
}

func (l *flowLog) get(k netip.AddrPort) *flowRecord {
	r := l.m[k]
	if r == nil {
		r = &flowRecord{}
		l.m[k] = r
	}
	return r
}

// offered notes that a backend got the opening packet.
func (l *flowLog) offered(k netip.AddrPort, b *backend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.get(k)
	for _, o := range r.offers {
		if o == b {
			return
		}
	}
	r.offers = append(r.offers, b)
	l.w.logf("offer %v at %s", k, b.name())
	if len(r.offers) == 2 {
		l.w.count("flows whose opening packet reached two backends")
	}
}

// opened notes that a backend has the end of the handshake.
func (l *flowLog) opened(k netip.AddrPort, b *backend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.get(k)
	r.owner, r.openedAt, r.isClosed, r.others, r.refusals = b, time.Now(), false, 0, nil
	l.w.logf("open %v at %s", k, b.name())
}

func (l *flowLog) closed(k netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(k).isClosed = true
}

func (l *flowLog) refused(k netip.AddrPort, b *backend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.get(k)
	r.refusals = append(r.refusals, b)
	l.w.logf("refused %v at %s", k, b.name())
}

// packetAt notes a packet, other than an opening one, that reached a backend.
func (l *flowLog) packetAt(k netip.AddrPort, b *backend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.get(k)
	now := time.Now()
	switch {
	case r.owner == nil || r.isClosed:
	case r.owner == b:
		r.others = 0
	default:
		if r.others == 0 {
			r.otherSince = now
		}
		r.others++
		if r.others >= 3 && now.Sub(r.otherSince) >= flowMs && !r.reported && l.counts(r, now) {
			r.reported = true
			l.w.violation("FLOW", "flow %v: for %v, %d packets reached other backends and none its own", k, now.Sub(r.otherSince), r.others)
		}
	}
}

const (
	flowMs       = 2 * time.Second
	flowLifetime = 60 * time.Second
)

// counts reports whether the rule covers the flow now.
func (l *flowLog) counts(r *flowRecord, now time.Time) bool {
	return r.owner != nil && !r.isClosed && now.Sub(r.openedAt) < flowLifetime && !r.owner.isEnded()
}

// reset notes that a client got a valid reset on a flow.
func (l *flowLog) reset(k netip.AddrPort, own bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.get(k)
	now := time.Now()
	if !l.counts(r, now) {
		return
	}
	if !own {
		for _, b := range r.refusals {
			if b == r.owner {
				return // Its own backend may have sent it.
			}
		}
	}
	by := "the system"
	if !own && len(r.refusals) > 0 {
		by = "backend " + r.refusals[len(r.refusals)-1].name()
	}
	l.w.violation("FLOW", "flow %v, open at backend %s for %v, which lives: the client got a reset of %s (opening packet reached %d backends)",
		k, r.owner.name(), now.Sub(r.openedAt).Round(time.Millisecond), by, len(r.offers))
	r.isClosed = true
}

// service returns the service at whose backend a flow opened, empty if it didn't.
func (l *flowLog) service(k netip.AddrPort) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.m[k]; r != nil && r.owner != nil {
		return r.owner.service
	}
	return ""
}
