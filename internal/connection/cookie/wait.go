package cookie

import (
	"maps"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// waitQueues are the requests in progress, oldest first, by how long they may wait before their upstream is doubted. They
// hold those that were answered too, until that time.
type waitQueues map[time.Duration][]waitingRequest

type waitingRequest struct {
	f           *flow
	requestedAt time.Time
}

const (
	// suspicionShare is the part of a route's objective for which a request may wait before its upstream is doubted: most of it
	// is left for finding out, and for the caller's next try elsewhere.
	suspicionShare = 0.3
	// minTypicalLatencies is how many times as long as the service's answers usually take a request may wait at least: an
	// upstream that is as slow as ever isn't to be probed for it.
	minTypicalLatencies = 3
	// minSuspicionDelay and maxDoubt bound that. Any upstream lets some requests wait for longer than the least; callers
	// repeat a packet after the longest.
	minSuspicionDelay = 50 * time.Millisecond
	maxSuspicionDelay = 200 * time.Millisecond
	// suspicionDelayStep is the unit of the wait: there is a queue for each that is in use.
	suspicionDelayStep = 10 * time.Millisecond
	// typicalLatencySmoothing is the weight of one answer in what is usual.
	typicalLatencySmoothing = 1.0 / 32
)

// suspicionDelay returns how long a request may wait before its upstream is doubted, by the objective of its route and by
// what its service's answers usually take.
func suspicionDelay(objective, usual time.Duration) time.Duration {
	span := max(time.Duration(suspicionShare*float64(objective)), minTypicalLatencies*usual, minSuspicionDelay)
	return min((span + suspicionDelayStep - 1).Truncate(suspicionDelayStep), maxSuspicionDelay)
}

// add notes a request that came now.
func (w waitQueues) add(f *flow, span time.Duration, now time.Time) {
	w[span] = append(w[span], waitingRequest{f: f, requestedAt: now})
}

// trackRequest notes that a request of a route came now.
func (e *Engine) trackRequest(f *flow, r *bundle.CallerRoute, now time.Time) {
	if r.Objective > 0 {
		e.waiting.add(f, suspicionDelay(r.Objective, e.typicalLatency[f.upstream.Route.Service.Name]), now)
	}
}

// updateTypicalLatency takes in how long an answer of a service took.
func (e *Engine) updateTypicalLatency(service string, took time.Duration) {
	u := e.typicalLatency[service]
	if u == 0 {
		u = took
	}
	e.typicalLatency[service] = u + time.Duration(typicalLatencySmoothing*float64(took-u))
}

// suspectWaiting doubts the upstreams of requests that wait for long, if nothing was heard from them since. A caller
// repeats its request only after 200 ms, when most of a short objective has passed.
func (e *Engine) suspectWaiting(now time.Time) {
	for _, span := range slices.Sorted(maps.Keys(e.waiting)) {
		list := e.waiting[span]
		n := 0
		for ; n < len(list) && now.Sub(list[n].requestedAt) >= span; n++ {
			f := list[n].f
			if f.requestPending && f.requestedAt.Equal(list[n].requestedAt) && !f.upstream.lastSeen.After(f.requestedAt) {
				e.noteUnanswered(f.upstream, now)
			}
		}
		if n == len(list) {
			delete(e.waiting, span)
		} else {
			e.waiting[span] = list[n:]
		}
	}
}
