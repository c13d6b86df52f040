package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/fescueshed/fescueshed/internal/standin/ledger"
)

// progress prints the sums of all callers so far.
func (t *trial) progress(ctx context.Context) {
	var sum ledger.Report
	for _, c := range t.callers {
		var l ledger.Caller
		if err := c.call(ctx, methodLedger, nil, &l); err != nil {
			continue
		}
		sum.Requests += l.Requests
		sum.Answered += l.Answered
		sum.Flows += l.Flows
	}
	t.logf("%d flows open, %d of %d requests answered", sum.Flows, sum.Answered, sum.Requests)
}

// collect ends the callers, reads the ledgers of all callers and upstreams, and merges them. It also returns a
// line for each broken flow.
func (t *trial) collect(ctx context.Context) (ledger.Report, []string, error) {
	callers := make([]ledger.Caller, len(t.callers))
	var broken []string
	for i, c := range t.callers {
		if err := c.call(ctx, methodFinish, nil, &callers[i]); err != nil {
			return ledger.Report{}, nil, err
		}
		broken = append(broken, callers[i].Broken...)
	}
	upstreams := make([]ledger.Upstream, len(t.upstreams))
	for i, u := range t.upstreams {
		if err := u.call(ctx, methodLedger, nil, &upstreams[i]); err != nil {
			return ledger.Report{}, nil, err
		}
	}
	return ledger.Merge(callers, upstreams), broken, nil
}

func printReport(r *ledger.Report) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w)
	row := func(name string, v any) { fmt.Fprintf(w, "%s\t%v\t\n", name, v) }
	row("requests", r.Requests)
	row("answered", r.Answered)
	row("refused, not run", r.Refused)
	row("unknown outcome", r.Unknown)
	row("no answer", r.TimedOut)
	row("flows", r.Flows)
	row("broken flows", r.BrokenFlows)
	row("wrong answers", r.WrongAnswers)
	row("wrong service", r.WrongService)
	row("run twice", r.DoubleRuns)
	row("run after refusal", r.RanAfterRefusal)
	row("imbalance", fmt.Sprintf("%.3f", r.Imbalance))
	_ = w.Flush()
}
