package cookie

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/version/registry"
)

const (
	// registrationLag is how long an upstream that started may take until its new entry is in a
	// store that it reaches, or its former one has lapsed: three heartbeats of 1.2 s at the
	// users' installations, 2.5 s for which a lapsed entry may still be kept, and the time of a
	// watch.
	registrationLag = 7 * time.Second
	// confirmationGap is the time between two confirmations of the list from which on the store
	// counts as having been away. They come each half second.
	confirmationGap = 1500 * time.Millisecond
)

// confirmationRun is what is known of how long the list has been confirmed without a gap.
type confirmationRun struct {
	// since is when the present run of confirmations began, previousEnd the last confirmation of
	// the run previousEnd it, zero if there was none.
	since, previousEnd time.Time
}

// add takes in a confirmation, and when the one before it was.
func (s *confirmationRun) add(at, last time.Time) {
	if at.Sub(last) > confirmationGap {
		s.since, s.previousEnd = at, last
	}
}

// formerIncarnationUntil returns a time before which only the former incarnation of an upstream can have run
// whose entry shows a new one: the list told the former entry up to then. While a store was
// away, and for as long after as an upstream has to write its entry again, the list tells
// nothing of the kind: upstreams that started again meanwhile served flows under their former
// entries, and a reset would break those.
func (e *Engine) formerIncarnationUntil(u *Upstream) time.Time {
	last := e.confirmed
	if !u.registered && u.deregisteredAt.Before(last) {
		last = u.deregisteredAt
	}
	if last.Sub(e.confirmations.since) < registrationLag {
		last = e.confirmations.previousEnd
	}
	return last.Add(-registrationLag)
}

// handleRestart takes in that an upstream started again under its identifier. What was learned of
// the former incarnation says nothing of the new one: a dead one would get no flow, an
// ejected or loaded one too few, and a probe that is under way would end its flows.
//
// It returns resets for the flows that are surely of the former incarnation. Nobody else
// tells their callers before they send something, and a request that is sent on such a flow
// can't be repeated by its caller if it isn't idempotent. Flows of which that isn't sure stay:
// the upstream itself resets those that it doesn't hold at their next packet, and a reset of
// one that it does hold would break it. Until they show a sign of life they count for
// nothing.
func (e *Engine) handleRestart(u *Upstream, r *registry.Registration, certain bool, now time.Time) []Reset {
	e.Counters.Restarts++
	formerUntil := e.formerIncarnationUntil(u)
	if u.Route.Service.Name != r.Service {
		formerUntil = now // The new incarnation would take them for flows of its own service.
	}
	var out []Reset
	for k, f := range e.flows {
		if f.upstream != u {
			continue
		}
		f.formerIncarnation = true
		f.removeFromLoad()
		if certain && !f.placedAt.After(formerUntil) {
			out = append(out, e.endFlow(k, f, CauseRestarted))
		}
	}
	e.LoadTable.Forget(r.ID)
	u.load = e.LoadTable.Load(r.ID)
	u.resetIncarnation(now)
	return out
}

// resetIncarnation forgets what was learned of the former incarnation. That the new one registered is
// its first sign of life.
func (u *Upstream) resetIncarnation(now time.Time) {
	u.incarnationSeen = now
	u.health, u.probeAnswered, u.lastSeen = HealthGood, now, time.Time{}
	u.probesInFlight, u.timeouts, u.refusedOnce, u.nextProbe = 0, 0, false, now
	u.outcomes, u.ejectedUntil, u.ejections = outcomes{}, time.Time{}, 0
}
