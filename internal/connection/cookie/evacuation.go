package cookie

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// SetEvacuatedZones says which zones are evacuated, in place of those before. No new flow enters them by any
// way, not for want of another upstream either: what can't be placed elsewhere is refused at once. Open
// flows stay.
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

// EvacuatedSince returns since when a zone is evacuated here, zero if it isn't.
func (e *Engine) EvacuatedSince(z bundle.Zone) time.Time { return e.evacuated[z] }

// FlowsIn returns how many open flows are remembered whose upstream is in a zone.
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
