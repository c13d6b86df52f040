package cookie

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// SetEvacuatedZones replaces the set of evacuated zones. No new flow enters them in any way, not
// even if there is no other upstream: flows that can't be placed elsewhere are refused immediately.
// Open flows stay.
func (e *Engine) SetEvacuatedZones(zones []bundle.Zone, now time.Time) {
	next := make(map[bundle.Zone]time.Time, len(zones))
	for _, z := range zones {
		next[z] = now
		if since, ok := e.evacuated[z]; ok {
			next[z] = since
		}
	}
	e.evacuated = next
}

// EvacuatedSince returns since when a zone is evacuated here, or zero if it isn't.
func (e *Engine) EvacuatedSince(z bundle.Zone) time.Time { return e.evacuated[z] }

// FlowsIn returns the number of open flows with a record here whose upstream is in a zone.
func (e *Engine) FlowsIn(z bundle.Zone) int {
	n := 0
	for _, f := range e.flows {
		if f.opened && !f.closing && f.upstream.Route.Zone == z {
			n++
		}
	}
	return n
}

// isEvacuated reports whether the upstream's zone is evacuated.
func (e *Engine) isEvacuated(u *Upstream) bool {
	_, ok := e.evacuated[u.Route.Zone]
	return ok
}
