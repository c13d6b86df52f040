package cookie

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Requests counts how requests of one service ended, as far as this balancer observed it. A request
// begins with the first packet of its data and ends with the first acknowledgement of its answer;
// the content isn't examined.
type Requests struct {
	// InTime counts requests answered within the objective of their route, Late those answered
	// later.
	InTime, Late uint64
	// Failed counts requests that their caller gave up or that a reset ended, Refused flows that
	// weren't placed.
	Failed, Refused uint64
	// Unknown counts requests without an answer here within answerTimeout: they failed, or routers
	// moved their flow to another balancer, which saw the answer. An answer that is seen later
	// moves its request to InTime or Late.
	Unknown uint64
}

// Requests returns the counts by service. The caller must not change them.
func (e *Engine) Requests() map[string]*Requests { return e.requests }

// requestCounts returns the counts of a service and creates them at first use.
func (e *Engine) requestCounts(s *bundle.ServiceRoute) *Requests {
	r := e.requests[s.Name]
	if r == nil {
		r = &Requests{}
		e.requests[s.Name] = r
	}
	return r
}

// countAnswered counts a request whose answer its caller has acknowledged.
func (e *Engine) countAnswered(f *flow, r *bundle.CallerRoute, now time.Time) {
	took := now.Sub(f.requestedAt)
	counts := e.requestCounts(f.upstream.Route.Service)
	if f.overdue {
		counts.Unknown--
	}
	if objective := objectiveOf(r); objective > 0 && took > objective {
		counts.Late++
	} else {
		counts.InTime++
	}
	f.overdue = false
	e.updateTypicalLatency(f.upstream.Route.Service.Name, took)
	e.opts.OnAnswered(took)
}

// objectiveOf returns the objective of a route, zero if it sets none or isn't known.
func objectiveOf(r *bundle.CallerRoute) time.Duration {
	if r == nil {
		return 0
	}
	return r.Objective
}

// countFailed counts the pending request of a flow that ends as failed.
func (e *Engine) countFailed(f *flow) {
	if f.requestPending {
		e.requestCounts(f.upstream.Route.Service).Failed++
	}
}
