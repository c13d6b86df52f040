package world

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
)

// leastServers is how many upstreams of a service are left alone in each zone.
const leastServers = 1

// pick returns an upstream that may go: one whose zone keeps another of its
// service. w.mu is held.
func (w *World) pick() *Upstream {
	var fits []*Upstream
	for _, s := range w.servers {
		n := 0
		for _, o := range w.servers {
			if o.Service == s.Service && o.Zone == s.Zone && o.drained.IsZero() {
				n++
			}
		}
		if n > leastServers && s.drained.IsZero() {
			fits = append(fits, s)
		}
	}
	if len(fits) == 0 {
		return nil
	}
	return fits[w.rng.IntN(len(fits))]
}

func (w *World) drop(s *Upstream) {
	for i, o := range w.servers {
		if o == s {
			w.servers = append(w.servers[:i], w.servers[i+1:]...)
			w.past = append(w.past, s)
			return
		}
	}
}

// DrainUpstream lets an upstream leave as planned: it says so, serves on for the bound
// and a little longer, and ends. Its flows close after their next answers.
func (w *World) DrainUpstream() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.pick()
	if s == nil {
		return false
	}
	s.drained = time.Now()
	s.Drain()
	w.register(s)
	time.AfterFunc(drainWithin+time.Second, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		s.crashing = time.Now()
		s.end()
		w.drop(s)
		w.Store.Deregister(s.ID)
	})
	return true
}

// CrashUpstream ends an upstream at once; its entry lapses later. If reuse is set, an
// upstream of the other service then starts at its address.
func (w *World) CrashUpstream(reuse bool) bool {
	s := w.crash()
	if s == nil {
		return false
	}
	time.AfterFunc(lapseAfter, func() {
		w.Store.Deregister(s.ID)
		if reuse {
			// The address may still be in use for a moment; then there is no reuse.
			_ = w.AddUpstream(other(s.Service), string(s.Zone), s.Address)
		}
	})
	return true
}

// RestartUpstream ends an upstream as a crash does and starts it again a while later under its
// identifier, at its address. It knows nothing of the flows of before.
func (w *World) RestartUpstream(after time.Duration) bool {
	s := w.crash()
	if s == nil {
		return false
	}
	time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.startServer(s.UpstreamOptions) != nil {
			w.Store.Deregister(s.ID) // Its address is still in use for a moment, so it stays away.
		}
	})
	return true
}

// crash ends any upstream that may go at once, and returns it, or nil.
func (w *World) crash() *Upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.pick()
	if s == nil {
		return nil
	}
	s.crashed, s.crashing = true, time.Now()
	s.end()
	w.drop(s)
	return s
}

func other(service string) string {
	if service == ServiceFeed {
		return ServiceSheets
	}
	return ServiceFeed
}

// MayReset implements the rule for resets of open flows: an upstream that lives and
// didn't reset the flow itself keeps it.
func (w *World) MayReset(c cookie.Cookie, caller netip.AddrPort) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.find(c)
	if s != nil && w.heldBefore(s, caller) {
		return true
	}
	if s == nil || !s.Alive() || !s.crashing.IsZero() || s.HasReset(caller) {
		return true
	}
	// What a cut breaks is noticed for a while after it.
	return time.Since(s.harmed) < settleAfter
}

// heldBefore reports whether a former incarnation of an upstream held a caller's flow, and
// the present one doesn't. w.mu is held.
func (w *World) heldBefore(s *Upstream, caller netip.AddrPort) bool {
	for _, former := range w.past {
		if former != s && former.ID == s.ID && former.Opened(caller) {
			return !s.Opened(caller)
		}
	}
	return false
}

// MayServe implements the rule for the switching route: a flow goes to the service
// that was in force when it opened, or not longer before than the bound.
func (w *World) MayServe(service string, opened time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.settled(opened) {
		return true
	}
	for i, s := range w.switches {
		last := i == len(w.switches)-1
		if s.service == service && (last || w.switches[i+1].at.After(opened.Add(-inForceWithin))) {
			return true
		}
	}
	return false
}

// Violations returns the broken promises that the upstreams show: requests that ran
// twice and flows that reached a draining upstream, or an evacuated zone, too late.
func (w *World) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	runs := make(map[uint64]int)
	for _, list := range [][]*Upstream{w.servers, w.past} {
		for _, s := range list {
			for id, n := range s.Runs() {
				runs[uint64(id)] += n
			}
			late := s.drained.Add(drainWithin)
			if !s.drained.IsZero() && w.unstable.Before(s.drained.Add(-settleAfter)) && s.OpenedAfter(late) > 0 {
				out = append(out, fmt.Sprintf("flows reached upstream %x too long after it drained", s.ID))
			}
			out = append(out, w.entered(s)...)
		}
	}
	for id, n := range runs {
		if n > 1 {
			out = append(out, fmt.Sprintf("request %x ran %d times", id, n))
		}
	}
	return out
}
