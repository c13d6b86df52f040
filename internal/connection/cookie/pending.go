package cookie

import (
	"maps"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// waitQueues are the requests in progress, oldest first, by how long they may wait before their
// upstream becomes a suspect. Answered requests stay in them until that time too.
type waitQueues map[time.Duration][]waitingRequest

// waitingRequest is a request of a flow. If the flow has a later one since, requestedAt differs.
type waitingRequest struct {
	f           *flow
	requestedAt time.Time
}

const (
	// suspicionShare is the share of a route's objective, the time in which its requests are to be
	// answered, for which a request may wait before its upstream becomes a suspect: most of the
	// objective is left for the detection, and for the caller's next attempt elsewhere.
	suspicionShare = 0.3
	// minTypicalLatencies times the typical latency of the service is the least time for which a
	// request may wait, up to maxSuspicionDelay: an upstream that is no slower than is typical
	// isn't to be probed.
	minTypicalLatencies = 3
	// minSuspicionDelay and maxSuspicionDelay bound that wait. Any upstream lets some requests wait
	// for longer than the minimum; callers retransmit a packet after the maximum.
	minSuspicionDelay = 50 * time.Millisecond
	maxSuspicionDelay = 200 * time.Millisecond
	// suspicionDelayStep is the unit of the wait: each multiple that is in use has a queue.
	suspicionDelayStep = 10 * time.Millisecond
	// typicalLatencySmoothing is the weight of one answer in the typical latency, from 0 to 1.
	typicalLatencySmoothing = 1.0 / 32
)

// suspicionDelay returns how long a request may wait before its upstream becomes a suspect, given
// the objective of its route and the typical latency of its service.
func suspicionDelay(objective, typical time.Duration) time.Duration {
	delay := max(time.Duration(suspicionShare*float64(objective)), minTypicalLatencies*typical, minSuspicionDelay)
	return min((delay + suspicionDelayStep - 1).Truncate(suspicionDelayStep), maxSuspicionDelay)
}

// openingDelay is how long an upstream may leave a new flow unopened before it becomes a suspect. It
// is shorter than the time after which a caller retransmits, since a caller whose packet was refused
// at once doesn't: it comes back with another flow, which would be placed like the one before.
const openingDelay = 100 * time.Millisecond

// openings are the flows placed lately, oldest first.
type openings []opening

// opening is a flow that was placed at an upstream at a time.
type opening struct {
	f        *flow
	upstream *Upstream
	placedAt time.Time
}

// trackOpening queues a flow that was placed now.
func (e *Engine) trackOpening(f *flow, now time.Time) {
	e.openings = append(e.openings, opening{f: f, upstream: f.upstream, placedAt: now})
}

// suspectUnopened calls noteUnanswered for the upstreams that haven't opened a flow in time and
// weren't seen since it was placed.
func (e *Engine) suspectUnopened(now time.Time) {
	n := 0
	for ; n < len(e.openings) && now.Sub(e.openings[n].placedAt) >= openingDelay; n++ {
		o := &e.openings[n]
		if !o.f.opened && o.f.upstream == o.upstream && !o.upstream.lastSeen.After(o.placedAt) {
			e.noteUnanswered(o.upstream, now)
		}
	}
	e.openings = slices.Delete(e.openings, 0, n)
}

// add appends a request that arrived now.
func (w waitQueues) add(f *flow, delay time.Duration, now time.Time) {
	w[delay] = append(w[delay], waitingRequest{f: f, requestedAt: now})
}

// trackRequest queues a request that arrived now, if its route has an objective.
func (e *Engine) trackRequest(f *flow, r *bundle.CallerRoute, now time.Time) {
	if objective := objectiveOf(r); objective > 0 {
		e.waitQueues.add(f, suspicionDelay(objective, e.typicalLatency[f.upstream.Route.Service.Name]), now)
	}
}

// updateTypicalLatency adds the latency of an answer to the typical latency of its service.
func (e *Engine) updateTypicalLatency(service string, took time.Duration) {
	typical := e.typicalLatency[service]
	if typical == 0 {
		typical = took
	}
	e.typicalLatency[service] = typical + time.Duration(typicalLatencySmoothing*float64(took-typical))
}

// suspectWaiting calls noteUnanswered for the upstreams of requests that have waited too long,
// unless the upstream was seen since the request arrived. A caller retransmits its request only
// after 200 ms, when most of a short objective has passed.
func (e *Engine) suspectWaiting(now time.Time) {
	for _, delay := range slices.Sorted(maps.Keys(e.waitQueues)) {
		queue := e.waitQueues[delay]
		n := 0
		for ; n < len(queue) && now.Sub(queue[n].requestedAt) >= delay; n++ {
			f := queue[n].f
			if f.requestPending && f.requestedAt.Equal(queue[n].requestedAt) && !f.upstream.lastSeen.After(f.requestedAt) {
				e.noteUnanswered(f.upstream, now)
			}
		}
		if n == len(queue) {
			delete(e.waitQueues, delay)
		} else {
			e.waitQueues[delay] = queue[n:]
		}
	}
}
