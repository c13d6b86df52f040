package cookie

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// outcomes counts how requests at one upstream ended in the present and the last
// window: answered, or failed without any answer. What the bytes of an answer say
// isn't read.
type outcomes struct {
	answered, failed         uint32
	lastAnswered, lastFailed uint32
}

func (o *outcomes) rotate() {
	o.lastAnswered, o.lastFailed = o.answered, o.failed
	o.answered, o.failed = 0, 0
}

// When an upstream is taken for failing and gets no new flows for a while. Open flows
// stay: it may answer them.
const (
	// answerTimeout is how long a request goes without a sign of an answer before it
	// counts as failed: more than an upstream with a full queue takes.
	answerTimeout = time.Second
	// outcomeWindow is the time over which outcomes are counted; two windows count.
	outcomeWindow = 2 * time.Second
	// minFailures is the least number of failures over the zone. Fewer may be lost
	// packets or callers that went away.
	minFailures = 3
	// minFailureShare is the least share of the requests that failed. The users' failing
	// upstreams fail two requests in five, or all.
	minFailureShare = 0.25
	// minFailureRatio is how much larger that share must be than that of the service's other
	// upstreams. Requests whose flow routers move to another balancer seem to fail here;
	// a rolling restart moves nearly all flows, so it looks alike at all upstreams.
	minFailureRatio = 3
	// ejectDuration is how long an upstream is left out at first, doubled at each of the next
	// ejections up to ejectTimes.
	ejectDuration = 2 * time.Second
	maxEjectSteps = 3
	// maxEjectedShare bounds how many of a service's upstreams in the zone are left out: if
	// more fail, the trouble isn't theirs, or leaving them out would crowd the rest.
	maxEjectedShare = 0.25
)

// recordFailure notes a request that got no answer.
func (e *Engine) recordFailure(f *flow) {
	if f.requestPending {
		f.upstream.outcomes.failed++
		f.endRequest()
	}
}

// expireRequests counts requests that wait for too long as failed. It looks at all flows.
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
		for _, u := range e.upstreams {
			u.outcomes.rotate()
		}
	}
}

// UpstreamLoads returns what this balancer counts at the listed upstreams where there is
// anything to count.
func (e *Engine) UpstreamLoads() []peer.Load {
	var out []peer.Load
	for _, u := range e.upstreams {
		o := &u.outcomes
		l := peer.Load{
			Cookie:   uint32(u.Cookie),
			Flows:    uint32(max(0, u.load.Flows.Load())),
			Answered: o.answered + o.lastAnswered,
			Failed:   o.failed + o.lastFailed,
		}
		if u.registered && !u.shadowed && l.Flows+l.Answered+l.Failed > 0 {
			out = append(out, l)
		}
	}
	return out
}

// EjectFailing takes in how requests ended over the whole zone, by upstream and by service, and
// leaves out the upstreams that fail too many, within ejectShare of those of their
// service in the zone. One balancer alone sees too few requests of each upstream.
func (e *Engine) EjectFailing(list []peer.Load, services []peer.ServiceLoad, now time.Time) []bundle.UpstreamID {
	all := make(map[string]peer.ServiceLoad, len(services))
	for _, s := range services {
		all[s.Service] = s
	}
	var out []bundle.UpstreamID
	for _, l := range list {
		u := e.index.byCookie[Cookie(l.Cookie)]
		if u == nil || !u.registered || now.Before(u.ejectedUntil) {
			continue
		}
		if !failsTooOften(l, all[u.Route.Service.Name]) || !e.mayEject(u, now) {
			continue
		}
		u.ejections = min(u.ejections+1, maxEjectSteps)
		u.ejectedUntil = now.Add(ejectDuration << (u.ejections - 1))
		u.outcomes = outcomes{}
		out = append(out, u.Route.ID)
	}
	return out
}

// failsTooOften reports whether an upstream failsTooOften too many requests, for itself and beside the
// others of its service.
func failsTooOften(l peer.Load, all peer.ServiceLoad) bool {
	share := failureShare(l.Failed, l.Answered)
	if l.Failed < minFailures || share < minFailureShare {
		return false
	}
	others := failureShare(all.Failed-min(all.Failed, l.Failed), all.Answered-min(all.Answered, l.Answered))
	return share >= minFailureRatio*others
}

func failureShare(failed, answered uint32) float64 {
	return float64(failed) / float64(max(1, failed+answered))
}

func (e *Engine) mayEject(u *Upstream, now time.Time) bool {
	all, ejected := 0, 0
	for _, o := range e.index.byService[u.Route.Service.Name] {
		if o.Route.Zone != u.Route.Zone || o.Route.Drain {
			continue
		}
		all++
		if now.Before(o.ejectedUntil) {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedShare*float64(all)
}
