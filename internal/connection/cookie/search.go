package cookie

import (
	"math/rand/v2"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// search looks for the upstream of one new flow. It implements upstream.Sampler.
type search struct {
	engine  *Engine
	route   *bundle.CallerRoute
	service *bundle.ServiceRoute
	// exclude are upstreams that must not get the flow.
	exclude []*Upstream
	// suspected says that upstreams qualify too that are used only if there is no better one.
	suspected bool
	// reserved is the share of the service's upstreams that are kept for more urgent flows. Those
	// don't qualify.
	reserved float64
	now      time.Time
	// pools, found and candidates are buffers. found are the upstreams of candidates.
	pools      []*pool
	found      []*Upstream
	candidates []upstream.Candidate
	// looks counts the upstreams that were looked at.
	looks uint64
}

const (
	// maxDraws is how many random members are looked at before all are: enough to find one with
	// near certainty if a fifth of them take flows.
	maxDraws = 32
	// maxScannedPool is the size of pools whose members are all looked at from the start, which
	// costs no more than the draws.
	maxScannedPool = maxDraws
)

// choose returns the policy's choice among the service's upstreams that may take a flow of the
// route, except for the given ones. If there is none, it tries again with those that are reserved
// for more urgent flows, and then with those that are suspects or ejected too. It returns nil if
// there is none either.
func (e *Engine) choose(
	r *bundle.CallerRoute, s *bundle.ServiceRoute, seed uint64, exclude []*Upstream, now time.Time,
) *Upstream {
	w := &e.search
	w.engine, w.route, w.service, w.exclude, w.now = e, r, s, exclude, now
	if share := e.reservedShare(s, r, now); share > 0 {
		if u := w.run(false, share, seed); u != nil {
			return u
		}
	}
	for _, suspected := range [...]bool{false, true} {
		if u := w.run(suspected, 0, seed); u != nil {
			return u
		}
	}
	return nil
}

// run searches once, with or without suspected and reserved upstreams.
func (w *search) run(suspected bool, reserved float64, seed uint64) *Upstream {
	w.suspected, w.reserved = suspected, reserved
	w.found, w.candidates = w.found[:0], w.candidates[:0]
	chosen := w.choose(w.engine.opts.Policy, seed)
	if chosen == nil {
		return nil
	}
	u := w.engine.upstreams[chosen.ID]
	w.engine.recordWarmupFlow(u, w.now)
	return u
}

// choose lets the policy choose, by samples if it can.
func (w *search) choose(p upstream.Policy, seed uint64) *bundle.UpstreamRoute {
	if sampling, ok := p.(upstream.SamplingPolicy); ok {
		return sampling.ChooseSampled(w, seed)
	}
	for _, own := range [...]bool{true, false} {
		for _, p := range w.eligiblePools(own) {
			for _, u := range p.members(w.suspected) {
				if w.takes(u) {
					w.add(u)
				}
			}
		}
	}
	return p.Choose(w.candidates, seed)
}

// Utilization implements upstream.Sampler.
func (w *search) Utilization() float64 {
	requestsPerFlow := w.engine.activity[w.service.Name].requestsPerFlow
	for _, p := range w.eligiblePools(true) {
		return requestsPerFlow * p.flowsPerSlot()
	}
	return 0
}

// Sample implements upstream.Sampler. Random members are drawn first, so that it costs the same
// however many there are. If too few of those take a flow, all are looked at.
func (w *search) Sample(own bool, n int, rng *rand.Rand) []upstream.Candidate {
	pools := w.eligiblePools(own)
	members := 0
	for _, p := range pools {
		members += len(p.members(w.suspected))
	}
	first := len(w.found)
	if members > maxScannedPool {
		w.draw(pools, members, n, rng)
	}
	// The search without reserved upstreams has another one behind it, so it costs no scan of a large pool.
	if len(w.found)-first < min(n, members) && (w.reserved == 0 || members <= maxScannedPool) {
		w.truncate(first)
		w.scan(pools, members > maxScannedPool, n, rng)
	}
	return w.candidates[first:]
}

// eligiblePools returns the pools of the own zone or of the others that flows of the route may
// enter.
func (w *search) eligiblePools(own bool) []*pool {
	w.pools = w.pools[:0]
	for _, p := range w.engine.index.pools[w.service.Name] {
		if (p.zone == w.engine.opts.Zone) != own || !w.engine.mayEnter(w.route, p.zone) {
			continue
		}
		if !w.suspected && p.health.isSuspect(w.now) || p.isExhausted(w.suspected, w.now) {
			continue
		}
		w.pools = append(w.pools, p)
	}
	return w.pools
}

// draw adds up to n random members that take a flow, from at most maxDraws.
func (w *search) draw(pools []*pool, members, n int, rng *rand.Rand) {
	wanted := len(w.found) + n
	for range maxDraws {
		if len(w.found) == wanted {
			return
		}
		if u := memberAt(pools, w.suspected, rng.IntN(members)); w.takes(u) && !excluded(u, w.found) {
			w.add(u)
		}
	}
}

// memberAt returns the ith of all members of the pools.
func memberAt(pools []*pool, suspected bool, i int) *Upstream {
	for _, p := range pools {
		list := p.members(suspected)
		if i < len(list) {
			return list[i]
		}
		i -= len(list)
	}
	return nil
}

// scan adds n random ones of all members that take a flow. If remember is set, pools in which there
// is none aren't searched again for a while.
func (w *search) scan(pools []*pool, remember bool, n int, rng *rand.Rand) {
	first := len(w.found)
	for _, p := range pools {
		before := len(w.found)
		for _, u := range p.members(w.suspected) {
			if w.takes(u) {
				w.found = append(w.found, u)
			}
		}
		if remember && len(w.found) == before && len(w.exclude) == 0 && w.reserved == 0 {
			p.markExhausted(w.suspected, w.now)
		}
	}
	eligible := w.found[first:]
	n = min(n, len(eligible))
	for i := range n {
		j := i + rng.IntN(len(eligible)-i)
		eligible[i], eligible[j] = eligible[j], eligible[i]
	}
	w.found = w.found[:first]
	for _, u := range eligible[:n] {
		w.add(u)
	}
}

// takes reports whether a member of an eligible pool takes a flow.
func (w *search) takes(u *Upstream) bool {
	w.looks++
	return !u.isReserved(w.reserved) && !excluded(u, w.exclude) && u.eligible(w.suspected, w.now) && u.hasCapacity() &&
		w.engine.withinWarmupLimit(u, w.now)
}

// add adds an upstream to those found.
func (w *search) add(u *Upstream) {
	w.found = append(w.found, u)
	w.candidates = append(w.candidates, upstream.Candidate{
		Route:           u.Route,
		Load:            u.load,
		WarmingUp:       w.now.Before(u.warmingUntil),
		RequestsPerFlow: w.engine.activity[w.service.Name].requestsPerFlow,

		ZoneFlowsPerSlot: w.engine.zoneFlowsPerSlot(u.pool, w.now),
	})
}

// truncate drops all but the first n upstreams found.
func (w *search) truncate(n int) { w.found, w.candidates = w.found[:n], w.candidates[:n] }
