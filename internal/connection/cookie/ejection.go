package cookie

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// outcomes counts how requests at one upstream ended in the present and the last window: answered,
// or failed without any answer. The content of an answer isn't examined.
type outcomes struct {
	answered, failed         uint32
	lastAnswered, lastFailed uint32
}

// rotate begins a new window.
func (o *outcomes) rotate() {
	o.lastAnswered, o.lastFailed = o.answered, o.failed
	o.answered, o.failed = 0, 0
}

// Bounds by which an upstream counts as failing and is ejected: it gets no new flows for a while,
// unless there is no better choice. Its open flows stay, since it may still answer them.
const (
	// answerTimeout is how long a request waits without a sign of an answer before it counts as
	// failed. It is longer than an upstream with a full queue takes to answer.
	answerTimeout = time.Second
	// outcomeWindow is the length of one window of outcomes. The present and the last window count.
	outcomeWindow = 2 * time.Second
	// minFailures is the least number of failures over the zone. Fewer may be lost packets or
	// callers that gave up.
	minFailures = 3
	// minFailureShare is the least share of requests that failed. The users' failing upstreams fail
	// two requests in five, or all.
	minFailureShare = 0.25
	// minFailureRatio is the least ratio of that share to the share at the service's other
	// upstreams. Requests whose flow routers move to another balancer seem to fail here; a rolling
	// restart moves nearly all flows, so it looks alike at all upstreams.
	minFailureRatio = 3
	// ejectDuration is the length of an upstream's first ejection. It is doubled at each of the
	// next ejections, up to the one numbered maxEjectSteps.
	ejectDuration = 2 * time.Second
	maxEjectSteps = 3
	// maxEjectedShare bounds the share of a service's upstreams in a zone that are ejected: if more
	// fail, the fault isn't theirs, or their ejection would overload the others.
	maxEjectedShare = 0.25
)

// recordFailure counts the pending request as failed at its upstream.
func (e *Engine) recordFailure(f *flow) {
	if f.requestPending {
		f.upstream.outcomes.failed++
		f.upstream.markActive()
		f.endRequest()
	}
}

// expireRequests counts requests that have waited longer than answerTimeout as failed, and rotates
// the windows of outcomes. It iterates over all flows.
func (e *Engine) expireRequests(now time.Time) {
	for _, f := range e.flows {
		if f.requestPending && now.Sub(f.requestedAt) > answerTimeout {
			f.overdue = true
			e.requestCounts(f.upstream.Route.Service).Unknown++
			e.recordFailure(f)
		}
	}
	if now.Sub(e.outcomesRotatedAt) >= outcomeWindow {
		e.outcomesRotatedAt = now
		for _, u := range e.index.active.list {
			u.outcomes.rotate()
		}
	}
}

// UpstreamLoads returns what this balancer counts at each registered upstream where any count isn't
// zero.
func (e *Engine) UpstreamLoads() []peer.Load {
	var out []peer.Load
	active := &e.index.active
	for i := len(active.list) - 1; i >= 0; i-- {
		u := active.list[i]
		o := &u.outcomes
		l := peer.Load{
			Cookie:   uint32(u.Cookie),
			Flows:    uint32(max(0, u.load.Flows.Load())),
			Answered: o.answered + o.lastAnswered,
			Failed:   o.failed + o.lastFailed,
		}
		switch counted := l.Flows+l.Answered+l.Failed > 0; {
		case !counted:
			active.put(u, false)
		case u.registered && !u.shadowed:
			out = append(out, l)
		}
	}
	return out
}

// EjectFailing takes the outcomes of requests over the whole zone, by upstream and by service, and
// ejects upstreams where too many fail, up to maxEjectedShare of those of their service in the
// zone. It returns the ejected ones. One balancer alone sees too few requests of each upstream to
// decide.
func (e *Engine) EjectFailing(loads []peer.Load, services []peer.ServiceLoad, now time.Time) []bundle.UpstreamID {
	byService := make(map[string]peer.ServiceLoad, len(services))
	for _, s := range services {
		byService[s.Service] = s
	}
	var out []bundle.UpstreamID
	for _, l := range loads {
		u, _ := e.index.find(Cookie(l.Cookie))
		if u == nil || !u.registered || now.Before(u.ejectedUntil) {
			continue
		}
		if !failsTooOften(l, byService[u.Route.Service.Name]) || !e.mayEject(u, now) {
			continue
		}
		u.ejections = min(u.ejections+1, maxEjectSteps)
		u.ejectedUntil = now.Add(ejectDuration << (u.ejections - 1))
		u.outcomes = outcomes{}
		u.pool.ejected.put(u, true)
		out = append(out, u.Route.ID)
	}
	return out
}

// failsTooOften reports whether too many requests fail at an upstream, both in absolute numbers and
// compared with the other upstreams of its service.
func failsTooOften(l peer.Load, all peer.ServiceLoad) bool {
	share := failureShare(l.Failed, l.Answered)
	if l.Failed < minFailures || share < minFailureShare {
		return false
	}
	others := failureShare(all.Failed-min(all.Failed, l.Failed), all.Answered-min(all.Answered, l.Answered))
	return share >= minFailureRatio*others
}

// failureShare returns the share of requests that failed.
func failureShare(failed, answered uint32) float64 {
	return float64(failed) / float64(max(1, failed+answered))
}

// mayEject reports whether the ejection of one more upstream stays within maxEjectedShare of those
// of its pool that don't drain. Draining ones are few, and the walk over them is as rare as a
// failing upstream.
func (e *Engine) mayEject(u *Upstream, now time.Time) bool {
	all := 0
	for _, o := range u.pool.registered.list {
		if !o.Route.Drain {
			all++
		}
	}
	return float64(u.pool.activeEjections(now)+1) <= maxEjectedShare*float64(all)
}
