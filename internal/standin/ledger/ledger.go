// Package ledger defines the counts of the stand-in callers and upstreams, and the report derived
// from them. The balancers' own code isn't involved.
package ledger

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// RequestID identifies a request of a stand-in caller.
type RequestID string

// Answer is the body of a stand-in upstream's answer.
type Answer struct {
	ID       RequestID
	Service  string
	Upstream string
	// Seq is the sequence number of a feed's notification.
	Seq uint32
}

// Caller is what one process of stand-in callers saw.
type Caller struct {
	Requests, Answered, Refused, Unknown, TimedOut int
	Flows, BrokenFlows                             int
	WrongAnswers, WrongService                     int
	// RefusedIDs are the requests whose callers were told that they haven't run.
	RefusedIDs []RequestID
	// Broken holds the reason for each broken flow.
	Broken []string
}

// Upstream is what one upstream did.
type Upstream struct {
	Service string
	Name    string
	Zone    bundle.Zone
	// Busy is the total time during which slots were in use, summed over all slots.
	Busy time.Duration
	// Runs is how often each non-idempotent request ran.
	Runs map[RequestID]int
	// WrongService counts packets with the VNI or address of another service.
	WrongService int
}

// Report is the result of a whole run.
type Report struct {
	Requests, Answered, Refused, Unknown, TimedOut int
	Flows, BrokenFlows                             int
	WrongAnswers, WrongService                     int
	// DoubleRuns counts non-idempotent requests that ran more than once.
	DoubleRuns int
	// RanAfterRefusal counts requests that ran although their callers were told that they
	// haven't.
	RanAfterRefusal int
	// Imbalance is the largest busy time of an upstream divided by the mean of its service, for
	// the service where this ratio is highest.
	Imbalance float64
}

// Merge returns the report of all callers and upstreams.
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

// NoViolations reports whether the run violated no guarantee.
func (r *Report) NoViolations() bool {
	return r.BrokenFlows+r.WrongAnswers+r.WrongService+r.DoubleRuns+r.RanAfterRefusal == 0
}
