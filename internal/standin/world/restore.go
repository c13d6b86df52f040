package world

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/standin/metadata"
	"github.com/fescueshed/fescueshed/platform/wire"
)

// rewriteWithin is the time within which operators and upstreams write again what a snapshot lacks: one heartbeat
// period.
const rewriteWithin = 1200 * time.Millisecond

// RestoreStore makes the store unreachable for the time outage and then restores it from a snapshot. The function
// restore is one that metadata.Store.Snapshot returned. Operators and upstreams then repeat the writes that the
// snapshot lacks.
func (w *World) RestoreStore(restore func(), outage time.Duration) {
	w.Store.SetFaults(metadata.Faults{ResetConnections: true})
	time.AfterFunc(outage, func() {
		restore()
		w.Store.SetFaults(metadata.Faults{})
		w.RewriteAll(rewriteWithin)
	})
}

// RewriteAll makes operators write the bundle and the evacuations again, and upstreams their entries, each at a
// random time within the given span. Entries of removed upstreams are deregistered deregisterAfter from now.
func (w *World) RewriteAll(within time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	randomDelay := func() time.Duration { return time.Duration(w.rng.Int64N(int64(within))) }
	time.AfterFunc(randomDelay(), func() {
		w.RewriteBundle()
		w.rewriteEvacuations()
	})
	for _, s := range w.upstreams {
		time.AfterFunc(randomDelay(), func() { w.reregister(s) })
	}
	for _, s := range w.removed {
		time.AfterFunc(deregisterAfter, func() { w.deregisterAgain(s) })
	}
}

// rewriteEvacuations writes the evacuations that last to the store again, and removes those that have ended.
func (w *World) rewriteEvacuations() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.evacuations {
		if w.activeEvacuation(e.zone) == nil {
			w.Store.Delete(wire.KindEvacuations, e.zone)
		} else if w.Store.Content(wire.KindEvacuations, e.zone) == "" {
			w.Store.Put(wire.KindEvacuations, e.zone, struct{}{})
		}
	}
}

// reregister writes the entry of an upstream again, unless the upstream was removed.
func (w *World) reregister(s *Upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range w.upstreams {
		if o == s {
			w.register(s)
		}
	}
}

// deregisterAgain removes the entry of a removed upstream, unless an upstream with the same identifier runs again.
func (w *World) deregisterAgain(s *Upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range w.upstreams {
		if o.ID == s.ID {
			return
		}
	}
	w.Store.Deregister(s.ID)
}
