package world

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/standin/metadata"
	"github.com/fescueshed/fescueshed/platform/wire"
)

// rewriteWithin is how long operators and upstreams take to write again what a snapshot lacks: a heartbeat.
const rewriteWithin = 1200 * time.Millisecond

// RestoreStore takes the store away for a time and restores it from a snapshot, as metadata.Store.Snapshot returned it.
// Operators and upstreams then write again what they wrote since.
func (w *World) RestoreStore(restore func(), away time.Duration) {
	w.Store.SetFaults(metadata.Faults{ResetConnections: true})
	time.AfterFunc(away, func() {
		restore()
		w.Store.SetFaults(metadata.Faults{})
		w.RewriteAll(rewriteWithin)
	})
}

// RewriteAll lets operators write the bundle and the evacuations again, and upstreams their entries, each at some
// time within a span. Entries of upstreams that are gone lapse.
func (w *World) RewriteAll(within time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	soon := func() time.Duration { return time.Duration(w.rng.Int64N(int64(within))) }
	time.AfterFunc(soon(), func() {
		w.RewriteBundle()
		w.evacuateAgain()
	})
	for _, s := range w.servers {
		time.AfterFunc(soon(), func() { w.registerAgain(s) })
	}
	for _, s := range w.past {
		time.AfterFunc(lapseAfter, func() { w.lapseAgain(s) })
	}
}

// evacuateAgain writes which zones are evacuated, and removes those that were taken back.
func (w *World) evacuateAgain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.evacuations {
		if w.evacuation(e.zone) == nil {
			w.Store.Delete(wire.KindEvacuations, e.zone)
		} else if w.Store.Content(wire.KindEvacuations, e.zone) == "" {
			w.Store.Put(wire.KindEvacuations, e.zone, struct{}{})
		}
	}
}

func (w *World) registerAgain(s *Upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range w.servers {
		if o == s {
			w.register(s)
		}
	}
}

// lapseAgain removes the entry of an upstream that is gone, unless it started again under the same identifier.
func (w *World) lapseAgain(s *Upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range w.servers {
		if o.ID == s.ID {
			return
		}
	}
	w.Store.Deregister(s.ID)
}
