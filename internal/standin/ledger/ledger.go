// Package ledger is what the stand-in callers and upstreams count, and the
// report made of it. The balancers have no part in it.
package ledger

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// RequestID names a request of a stand-in caller.
type RequestID string

// Answer is the body that a stand-in upstream answers with.
type Answer struct {
	ID       RequestID
	Service  string
	Upstream string
	// Seq numbers the notifications of a feed.
	Seq uint32
}

// Caller is what the callers saw.
type Caller struct {
	Requests, Answered, Refused, Unknown, TimedOut int
	Flows, BrokenFlows                             int
	WrongAnswers, WrongService                     int
	// RefusedIDs are the requests that were told not to have run.
	RefusedIDs []RequestID
	// Broken holds the reason of each broken flow.
	Broken []string
}

// Upstream is what one upstream did.
type Upstream struct {
	Service string
	Name    string
	Zone    bundle.Zone
	// Busy is the time its slots were in use, added up.
	Busy time.Duration
	// Runs counts how often each non-idempotent request ran.
	Runs map[RequestID]int
	// WrongService counts packets with another service's VNI or address.
	WrongService int
}

// Report is the outcome of a whole run.
type Report struct {
	Requests, Answered, Refused, Unknown, TimedOut int
	Flows, BrokenFlows                             int
	WrongAnswers, WrongService                     int
	// DoubleRuns counts non-idempotent requests that ran more than once.
	DoubleRuns int
	// RanAfterRefusal counts requests that ran though they were refused as not run.
	RanAfterRefusal int
	// Imbalance is the largest over the mean busy time of a service's upstreams,
	// of the service where that is worst.
	Imbalance float64
}

// Merge makes the report of all callers and upstreams.
func Merge(callers []Caller, upstreams []Upstream) Report {
	var r Report
	runs := make(map[RequestID]int)
	for i := range upstreams {
		r.WrongService += upstreams[i].WrongService
		for id, n := range upstreams[i].Runs {
			runs[id] += n
		}
	}
	for _, n := range runs {
		if n > 1 {
			r.DoubleRuns++
		}
	}
	for i := range callers {
		r.add(&callers[i], runs)
	}
	r.Imbalance = imbalance(upstreams)
	return r
}

func (r *Report) add(c *Caller, runs map[RequestID]int) {
	r.Requests += c.Requests
	r.Answered += c.Answered
	r.Refused += c.Refused
	r.Unknown += c.Unknown
	r.TimedOut += c.TimedOut
	r.Flows += c.Flows
	r.BrokenFlows += c.BrokenFlows
	r.WrongAnswers += c.WrongAnswers
	r.WrongService += c.WrongService
	for _, id := range c.RefusedIDs {
		if runs[id] > 0 {
			r.RanAfterRefusal++
		}
	}
}

func imbalance(upstreams []Upstream) float64 {
	type load struct {
		most, sum time.Duration
		n         int
	}
	loads := make(map[string]load)
	for i := range upstreams {
		u := &upstreams[i]
		l := loads[u.Service]
		l.most = max(l.most, u.Busy)
		l.sum += u.Busy
		l.n++
		loads[u.Service] = l
	}
	worst := 0.0
	for _, l := range loads {
		if l.sum > 0 {
			worst = max(worst, float64(l.most)*float64(l.n)/float64(l.sum))
		}
	}
	return worst
}

// NoViolations reports whether every promise was kept.
func (r *Report) NoViolations() bool {
	return r.BrokenFlows+r.WrongAnswers+r.WrongService+r.DoubleRuns+r.RanAfterRefusal == 0
}
