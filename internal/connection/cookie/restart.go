package cookie

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/version/registry"
)

const (
	// registrationLag is how long it may take after an upstream's start until its new registration
	// is in a reachable store, or its former one has lapsed: three heartbeats of 1.2 s at the
	// users' installations, 2.5 s for which a lapsed entry may still be kept, and the time of a
	// watch.
	registrationLag = 7 * time.Second
	// confirmationGap is the time between two confirmations of the registrations above which the
	// store counts as having been unavailable. Confirmations arrive each half second.
	confirmationGap = 1500 * time.Millisecond
)

// confirmationRun is the present run of confirmations of the registrations without a gap longer
// than confirmationGap.
type confirmationRun struct {
	// since is when the present run of confirmations began, previousEnd the last confirmation of
	// the run before it, zero if there was none.
	since, previousEnd time.Time
}

// add adds a confirmation. last is the time of the one before it.
func (c *confirmationRun) add(at, last time.Time) {
	if at.Sub(last) > confirmationGap {
		c.since, c.previousEnd = at, last
	}
}

// formerIncarnationUntil returns a time until which only the former incarnation of an upstream can
// have run, given that a registration of a new one arrives now. An incarnation is one run of the
// upstream's process under its identifier. Up to that time the registrations still had the former
// entry. While the store was unavailable, and for as long afterwards as an upstream needs to write
// its entry again, they don't show that. Upstreams that restarted meanwhile served flows under
// their former entries, and a reset would break those flows.
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

// handleRestart handles the restart of an upstream under its identifier. What was observed of the
// former incarnation doesn't apply to the new one: if the former one was dead, the new one would
// get no flow; if it was ejected or loaded, too few; and a probe of the former one that is under
// way would end the flows of the new one.
//
// It returns resets for the flows that certainly belong to the former incarnation. Nothing else
// informs their callers before they send something, and a request that is sent on such a flow can't
// be repeated by its caller if it isn't idempotent. Flows for which that isn't certain stay: the
// upstream itself resets those that it doesn't hold at their next packet, and a reset of one that
// it does hold would break it. Until they show a sign of life they don't count in the load.
func (e *Engine) handleRestart(u *Upstream, r *registry.Registration, certain bool, now time.Time) []Reset {
	e.Counters.Restarts++
	formerUntil := e.formerIncarnationUntil(u)
	if u.Route.Service.Name != r.Service {
		formerUntil = now // The new incarnation would treat them as flows of its own service.
	}
	var out []Reset
	for k, f := range e.flows {
		if f.upstream != u {
			continue
		}
		f.formerIncarnation = true
		f.removeFromLoad()
		if certain && !f.placedAt.After(formerUntil) && f.mayBeReset(now) {
			out = append(out, e.endFlow(k, f, CauseRestarted))
		}
	}
	if u.has(setUsable) {
		u.pool.add(u, -1)
	}
	e.LoadTable.Forget(r.ID)
	u.load = e.LoadTable.Load(r.ID)
	if u.has(setUsable) {
		u.pool.add(u, 1)
	}
	u.resetIncarnation(now)
	return out
}

// resetIncarnation clears what was observed of the former incarnation. The registration of the new
// one counts as an answered probe.
func (u *Upstream) resetIncarnation(now time.Time) {
	u.incarnationSeen = now
	u.health, u.probeAnswered, u.lastSeen = HealthGood, now, time.Time{}
	u.probesInFlight, u.timeouts, u.refusedOnce, u.nextProbe = 0, 0, false, now
	u.outcomes, u.ejectedUntil, u.ejections = outcomes{}, time.Time{}, 0
	u.index.update(u)
}
