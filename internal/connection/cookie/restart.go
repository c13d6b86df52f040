package cookie

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// registrationLag is how long an upstream that started may take until the store has its new
// entry: three heartbeats of 1.2 s at the users' installations, after which the former entry
// would have lapsed, and the time of two watches. Flows that were placed longer ago than
// this, before the last moment when the list still had the former entry, were open in the
// former incarnation.
const registrationLag = 5 * time.Second

// restarted takes in that an upstream started again under its identifier. What was learned of
// the former incarnation says nothing of the new one: a dead one would get no flow, an
// ejected or loaded one too few, and a probe that is under way would end its flows.
//
// It returns resets for the flows that are surely of the former incarnation. Nobody else
// tells their callers before they send something, and a request that is sent on such a flow
// can't be repeated by its caller if it isn't idempotent. Flows of which that isn't sure stay:
// the upstream itself resets those that it doesn't hold at their next packet, and a reset of
// one that it does hold would break it. Until they show a sign of life they count for
// nothing.
func (e *Engine) restarted(u *Upstream, r *registry.Registration, certain bool, now time.Time) []Reset {
	e.Counters.Restarts++
	surely := e.confirmed.Add(-registrationLag)
	if u.Route.Service.Name != r.Service {
		surely = now // The new incarnation would take them for flows of its own service.
	}
	var out []Reset
	for k, f := range e.flows {
		if f.up != u {
			continue
		}
		f.former = true
		f.uncount()
		if certain && !f.placed.After(surely) {
			out = append(out, e.end(k, f, CauseRestarted))
		}
	}
	e.Board.Forget(r.ID)
	u.load = e.Board.Load(r.ID)
	u.renew(now)
	return out
}

// renew forgets what was learned of the former incarnation. That the new one registered is
// its first sign of life.
func (u *Upstream) renew(now time.Time) {
	u.since = now
	u.health, u.checked, u.heard = HealthGood, now, time.Time{}
	u.probes, u.timeouts, u.refused, u.nextProbe = 0, 0, false, now
	u.outcomes, u.ejected, u.ejections = outcomes{}, time.Time{}, 0
}
