package world

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
)

// minUpstreamsPerZone is how many upstreams of a service, in each zone, faults and drains leave in service.
const minUpstreamsPerZone = 1

// pickRemovable returns a random upstream that may be removed, or nil: one that doesn't drain and whose zone
// keeps minUpstreamsPerZone others of its service that don't drain either. w.mu must be held.
func (w *World) pickRemovable() *Upstream {
	var candidates []*Upstream
	for _, s := range w.upstreams {
		n := 0
		for _, o := range w.upstreams {
			if o.Service == s.Service && o.Zone == s.Zone && o.drainedAt.IsZero() {
				n++
			}
		}
		if n > minUpstreamsPerZone && s.drainedAt.IsZero() {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[w.rng.IntN(len(candidates))]
}

// markRemoved moves an upstream from the present upstreams to the removed ones. w.mu must be held.
func (w *World) markRemoved(s *Upstream) {
	for i, o := range w.upstreams {
		if o == s {
			w.upstreams = append(w.upstreams[:i], w.upstreams[i+1:]...)
			w.removed = append(w.removed, s)
			return
		}
	}
}

// DrainUpstream removes some upstream as planned. The upstream registers that it drains, serves for drainWithin
// and one second more, and ends. Its flows close after their next answers. DrainUpstream returns false if there is no
// upstream that may be removed.
func (w *World) DrainUpstream() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.pickRemovable()
	if s == nil {
		return false
	}
	w.drain(s)
	return true
}

// drain makes an upstream drain and leave, as DrainUpstream does. w.mu must be held.
func (w *World) drain(s *Upstream) {
	s.drainedAt = time.Now()
	s.Drain()
	w.register(s)
	time.AfterFunc(drainWithin+time.Second, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		s.endedAt = time.Now()
		s.stop()
		w.markRemoved(s)
		w.Store.Deregister(s.ID)
	})
}

// CrashUpstream ends some upstream immediately. Its entry is removed from the store deregisterAfter later. If reuse
// is set, an upstream of the other service then starts at its address. CrashUpstream returns false if there is no
// upstream that may be removed.
func (w *World) CrashUpstream(reuse bool) bool {
	s := w.crashOne()
	if s == nil {
		return false
	}
	time.AfterFunc(deregisterAfter, func() {
		w.Store.Deregister(s.ID)
		if reuse {
			// The address may still be in use for a short time; then it isn't reused.
			_ = w.AddUpstream(otherService(s.Service), string(s.Zone), s.Address)
		}
	})
	return true
}

// RestartUpstream ends some upstream as a crash does and starts it again after the given time, with the same
// identifier and address. The new incarnation doesn't know the flows of the former one. RestartUpstream returns false
// if there is no upstream that may be removed.
func (w *World) RestartUpstream(after time.Duration) bool {
	s := w.crashOne()
	if s == nil {
		return false
	}
	time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.startUpstream(s.UpstreamOptions) != nil {
			w.Store.Deregister(s.ID) // Its address is still in use, so it isn't started again.
		}
	})
	return true
}

// crashOne immediately ends some upstream that may be removed, and returns it, or nil if there is none.
func (w *World) crashOne() *Upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.pickRemovable()
	if s == nil {
		return nil
	}
	s.crashed, s.endedAt = true, time.Now()
	s.stop()
	w.markRemoved(s)
	return s
}

func otherService(service string) string {
	if service == ServiceFeed {
		return ServiceSheets
	}
	return ServiceFeed
}

// MayReset reports whether the flow of a caller, opened with a cookie, may be reset. It may not if its upstream runs,
// didn't reset the flow itself, and no fault explains the reset.
func (w *World) MayReset(c cookie.Cookie, caller netip.AddrPort) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.upstreamOf(c)
	if s != nil && w.openedBeforeRestart(s, caller) {
		return true
	}
	if s == nil || !s.Alive() || !s.endedAt.IsZero() || s.HasReset(caller) {
		return true
	}
	// Flows that a cut broke may still be detected and reset for some time after the cut.
	return time.Since(s.linkCutUntil) < settleAfter
}

// openedBeforeRestart reports whether a former incarnation of an upstream held a caller's flow and
// the present one doesn't. w.mu must be held.
func (w *World) openedBeforeRestart(s *Upstream, caller netip.AddrPort) bool {
	for _, former := range w.removed {
		if former != s && former.ID == s.ID && former.Opened(caller) {
			return !s.Opened(caller)
		}
	}
	return false
}

// MayServe reports whether a service may answer a flow of the switching route that was opened at a time. It may if the
// route led to it then, or at some time in the period inForceWithin before. While the bounds don't hold, both services
// may.
func (w *World) MayServe(service string, opened time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.boundsHold(opened) {
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

// Violations describes the broken guarantees that the upstreams have recorded: requests that ran
// more than once, and flows that reached a draining upstream, or an evacuated zone, too late.
func (w *World) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	runs := make(map[uint64]int)
	for _, list := range [][]*Upstream{w.upstreams, w.removed} {
		for _, s := range list {
			for id, n := range s.Runs() {
				runs[uint64(id)] += n
			}
			late := s.drainedAt.Add(drainWithin)
			if !s.drainedAt.IsZero() && w.unstableUntil.Before(s.drainedAt.Add(-settleAfter)) && s.OpenedAfter(late) > 0 {
				out = append(out, fmt.Sprintf("flows reached upstream %x too long after it began to drain", s.ID))
			}
			out = append(out, w.evacuationViolations(s)...)
		}
	}
	for id, n := range runs {
		if n > 1 {
			out = append(out, fmt.Sprintf("request %x ran %d times", id, n))
		}
	}
	return out
}
