package world

import (
	"fmt"
	"time"

	"github.com/fescueshed/fescueshed/platform/wire"
)

// evacuateWithin is how long after the request for its evacuation a zone may still get new flows. The users
// require this bound.
const evacuateWithin = 5 * time.Second

// evacuation is a period in which a zone gets no new flows.
type evacuation struct {
	zone      string
	startedAt time.Time
	// endedAt is when the evacuation ended, zero if it hasn't.
	endedAt time.Time
}

// Evacuate requests that no new flow enters a zone. It returns false if the zone is evacuated already.
func (w *World) Evacuate(zone string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.activeEvacuation(zone) != nil {
		return false
	}
	w.Store.Put(wire.KindEvacuations, zone, struct{}{})
	w.evacuations = append(w.evacuations, &evacuation{zone: zone, startedAt: time.Now()})
	return true
}

// EndEvacuation ends the evacuation of a zone, if there is one, so that new flows may enter it again.
func (w *World) EndEvacuation(zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e := w.activeEvacuation(zone); e != nil {
		e.endedAt = time.Now()
		w.Store.Delete(wire.KindEvacuations, zone)
	}
}

// activeEvacuation returns the evacuation of a zone that hasn't ended yet, or nil. w.mu must be held.
func (w *World) activeEvacuation(zone string) *evacuation {
	for _, e := range w.evacuations {
		if e.zone == zone && e.endedAt.IsZero() {
			return e
		}
	}
	return nil
}

// evacuationViolations describes how many new flows reached the upstream while its zone was evacuated. Evacuations that
// a fault may have delayed aren't checked. w.mu must be held.
func (w *World) evacuationViolations(s *Upstream) []string {
	var out []string
	for _, e := range w.evacuations {
		until := e.endedAt
		if until.IsZero() {
			until = time.Now()
		}
		from := e.startedAt.Add(evacuateWithin)
		if e.zone != string(s.Zone) || until.Before(from) || !w.unstableUntil.Before(e.startedAt.Add(-settleAfter)) {
			continue
		}
		if n := s.OpenedBetween(from, until); n > 0 {
			out = append(out, fmt.Sprintf("%d flows reached upstream %x of %s while the zone was evacuated", n, s.ID, e.zone))
		}
	}
	return out
}
