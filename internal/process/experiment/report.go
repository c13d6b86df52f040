package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/fescueshed/fescueshed/internal/standin/emulator"
)

// Report is what an experiment found.
type Report struct {
	// Seeds are those played, from First on.
	Seeds int
	First uint64
	Rows  []Row
}

// Row is one pattern with one policy, over all seeds.
type Row struct {
	Pattern, Policy string
	// Worth is the part of the requests' worth that callers got, Windows that of the two
	// windows of 2 s that got least.
	Worth, Windows Spread
	// Asked and the rest count requests, as means of a play.
	Asked, InTime, Late, Refused, Failed float64
	// Shed counts requests that an upstream had no room for, ShedWithRoom those of them for
	// which another one had.
	Shed, ShedWithRoom float64
	// BusiestOverMean is the largest number of requests of one upstream over the mean of its
	// service and zone.
	BusiestOverMean Spread
	// ByWindow is the worth of each window of 2 s, as a mean.
	ByWindow []float64
}

// Spread is a figure over several seeds.
type Spread struct {
	Mean, Least, Most float64
}

func spreadOf(list []*emulator.Result, figure func(*emulator.Result) float64) Spread {
	s := Spread{Least: figure(list[0]), Most: figure(list[0])}
	for _, r := range list {
		v := figure(r)
		s.Mean += v / float64(len(list))
		s.Least, s.Most = min(s.Least, v), max(s.Most, v)
	}
	return s
}

func (r *runner) report() *Report {
	out := &Report{Seeds: r.opts.Seeds, First: r.opts.FirstSeed}
	for i := range r.rows {
		out.Rows = append(out.Rows, r.rows[i].sum())
	}
	return out
}

func (w *row) sum() Row {
	mean := func(figure func(*emulator.Result) int) float64 {
		return spreadOf(w.results, func(r *emulator.Result) float64 { return float64(figure(r)) }).Mean
	}
	out := Row{
		Pattern: w.pattern.Name, Policy: w.policy.Name,
		Worth:           spreadOf(w.results, func(r *emulator.Result) float64 { return r.All.Worth() }),
		Windows:         spreadOf(w.results, (*emulator.Result).WorstWindows),
		BusiestOverMean: spreadOf(w.results, func(r *emulator.Result) float64 { return r.BusiestOverMean }),
		Asked:           mean(func(r *emulator.Result) int { return r.All.Asked }),
		InTime:          mean(func(r *emulator.Result) int { return r.All.InTime }),
		Late:            mean(func(r *emulator.Result) int { return r.All.Late }),
		Refused:         mean(func(r *emulator.Result) int { return r.All.Refused }),
		Failed:          mean(func(r *emulator.Result) int { return r.All.Failed }),
		Shed:            mean(func(r *emulator.Result) int { return r.Shed }),
		ShedWithRoom:    mean(func(r *emulator.Result) int { return r.ShedWithRoom }),
	}
	for i := range w.results[0].Windows {
		out.ByWindow = append(out.ByWindow, spreadOf(w.results, func(r *emulator.Result) float64 { return r.Windows[i].Worth() }).Mean)
	}
	return out
}

// Print writes the report as a table.
func (r *Report) Print(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	const head = "PATTERN\tPOLICY\tWORTH\tLEAST\tMOST\tWORST WINDOWS\tASKED\tLATE\tREFUSED\tFAILED\tSHED\tWITH ROOM\tBUSIEST/MEAN"
	fmt.Fprintln(w, head)
	for i := range r.Rows {
		s := &r.Rows[i]
		fmt.Fprintf(w, "%s\t%s\t%.4f\t%.4f\t%.4f\t%.4f\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\n",
			s.Pattern, s.Policy, s.Worth.Mean, s.Worth.Least, s.Worth.Most, s.Windows.Mean,
			s.Asked, s.Late, s.Refused, s.Failed, s.Shed, s.ShedWithRoom, s.BusiestOverMean.Mean)
	}
	return w.Flush()
}
