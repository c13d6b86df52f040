package cookie

import (
	"maps"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// waits are the requests in progress, oldest first, by how long they may wait before their upstream is doubted. They
// hold those that were answered too, until that time.
type waits map[time.Duration][]wait

type wait struct {
	f       *flow
	askedAt time.Time
}

const (
	// doubtPart is the part of a route's objective for which a request may wait before its upstream is doubted: most of it
	// is left for finding out, and for the caller's next try elsewhere.
	doubtPart = 0.3
	// usualTimes is how many times as long as the service's answers usually take a request may wait at least: an
	// upstream that is as slow as ever isn't to be probed for it.
	usualTimes = 3
	// minDoubt and maxDoubt bound that. Any upstream lets some requests wait for longer than the least; callers
	// repeat a packet after the longest.
	minDoubt = 50 * time.Millisecond
	maxDoubt = 200 * time.Millisecond
	// doubtStep is the unit of the wait: there is a queue for each that is in use.
	doubtStep = 10 * time.Millisecond
	// usualSmoothing is the weight of one answer in what is usual.
	usualSmoothing = 1.0 / 32
)

// mayWait returns how long a request may wait before its upstream is doubted, by the objective of its route and by
// what its service's answers usually take.
func mayWait(objective, usual time.Duration) time.Duration {
	span := max(time.Duration(doubtPart*float64(objective)), usualTimes*usual, minDoubt)
	return min((span + doubtStep - 1).Truncate(doubtStep), maxDoubt)
}

// add notes a request that came now.
func (w waits) add(f *flow, span time.Duration, now time.Time) {
	w[span] = append(w[span], wait{f: f, askedAt: now})
}

// awaits notes that a request of a route came now.
func (e *Engine) awaits(f *flow, r *bundle.CallerRoute, now time.Time) {
	if r.Objective > 0 {
		e.waits.add(f, mayWait(r.Objective, e.usual[f.up.Route.Service.Name]), now)
	}
}

// tookUsually takes in how long an answer of a service took.
func (e *Engine) tookUsually(service string, took time.Duration) {
	u := e.usual[service]
	if u == 0 {
		u = took
	}
	e.usual[service] = u + time.Duration(usualSmoothing*float64(took-u))
}

// doubtWaiting doubts the upstreams of requests that wait for long, if nothing was heard from them since. A caller
// repeats its request only after 200 ms, when most of a short objective has passed.
func (e *Engine) doubtWaiting(now time.Time) {
	for _, span := range slices.Sorted(maps.Keys(e.waits)) {
		list := e.waits[span]
		n := 0
		for ; n < len(list) && now.Sub(list[n].askedAt) >= span; n++ {
			f := list[n].f
			if f.busy && f.askedAt.Equal(list[n].askedAt) && !f.up.heard.After(f.askedAt) {
				e.unanswered(f.up, now)
			}
		}
		if n == len(list) {
			delete(e.waits, span)
		} else {
			e.waits[span] = list[n:]
		}
	}
}
