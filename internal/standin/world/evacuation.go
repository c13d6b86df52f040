package world

import (
	"fmt"
	"time"

	"github.com/fescueshed/fescueshed/platform/wire"
)

// evacuateWithin is how long after its request an evacuated zone may still get new flows. It is the users'
// bound.
const evacuateWithin = 5 * time.Second

// evacuated is a zone that gets no new flow for a while.
type evacuated struct {
	zone string
	at   time.Time
	// back is when the zone was taken back, zero if it wasn't.
	back time.Time
}

// Evacuate asks that no new flow enters a zone. It returns false if that was asked before.
func (w *World) Evacuate(zone string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.evacuation(zone) != nil {
		return false
	}
	w.Store.Put(wire.KindEvacuations, zone, struct{}{})
	w.evacuations = append(w.evacuations, &evacuated{zone: zone, at: time.Now()})
	return true
}

// EndEvacuation lets new flows enter a zone again.
func (w *World) EndEvacuation(zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e := w.evacuation(zone); e != nil {
		e.back = time.Now()
		w.Store.Delete(wire.KindEvacuations, zone)
	}
}

// evacuation returns the evacuation of a zone that lasts, or nil. w.mu is held.
func (w *World) evacuation(zone string) *evacuated {
	for _, e := range w.evacuations {
		if e.zone == zone && e.back.IsZero() {
			return e
		}
	}
	return nil
}

// entered returns what is to be said of upstreams that took new flows while their zone was
// evacuated. w.mu is held.
func (w *World) entered(s *Upstream) []string {
	var out []string
	for _, e := range w.evacuations {
		until := e.back
		if until.IsZero() {
			until = time.Now()
		}
		from := e.at.Add(evacuateWithin)
		if e.zone != string(s.Zone) || until.Before(from) || !w.unstable.Before(e.at.Add(-settleAfter)) {
			continue
		}
		if n := s.OpenedBetween(from, until); n > 0 {
			out = append(out, fmt.Sprintf("%d flows reached upstream %x of %s while that was evacuated", n, s.ID, e.zone))
		}
	}
	return out
}
