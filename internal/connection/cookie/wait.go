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
	// minDoubt and maxDoubt bound that. Any upstream lets some requests wait for longer than the least; callers
	// repeat a packet after the longest.
	minDoubt = 50 * time.Millisecond
	maxDoubt = 200 * time.Millisecond
)

// add notes a request that came now.
func (w waits) add(f *flow, r *bundle.CallerRoute, now time.Time) {
	if r.Objective <= 0 {
		return
	}
	span := min(max(minDoubt, time.Duration(doubtPart*float64(r.Objective))), maxDoubt)
	w[span] = append(w[span], wait{f: f, askedAt: now})
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
