package cookie

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Requests counts how requests of one service ended, as far as this balancer saw it. A
// request begins with the first packet of its data and ends with the first
// acknowledgement of its answer; what the bytes say isn't read.
type Requests struct {
	// InTime and Late were answered within the objective of their route, or later.
	InTime, Late uint64
	// Failed were given up by their caller or ended by a reset, Refused weren't placed.
	Failed, Refused uint64
	// Unknown had no answer here within failedAfter: they failed, or routers moved their
	// flow to another balancer, which saw the answer.
	Unknown uint64
}

// Requests returns the counts by service. The caller must not change them.
func (e *Engine) Requests() map[string]*Requests { return e.requests }

func (e *Engine) requestCounts(s *bundle.ServiceRoute) *Requests {
	r := e.requests[s.Name]
	if r == nil {
		r = &Requests{}
		e.requests[s.Name] = r
	}
	return r
}

// countAnswered counts a request whose answer a caller has acknowledged.
func (e *Engine) countAnswered(f *flow, r *bundle.CallerRoute, now time.Time) {
	took := now.Sub(f.requestedAt)
	counts := e.requestCounts(f.upstream.Route.Service)
	if f.overdue {
		counts.Unknown--
	}
	if r.Objective > 0 && took > r.Objective {
		counts.Late++
	} else {
		counts.InTime++
	}
	f.overdue = false
	e.updateTypicalLatency(f.upstream.Route.Service.Name, took)
	e.opts.OnAnswered(took)
}

// countFailed counts a request in progress whose flow ends.
func (e *Engine) countFailed(f *flow) {
	if f.requestPending {
		e.requestCounts(f.upstream.Route.Service).Failed++
	}
}
