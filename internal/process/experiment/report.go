package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/fescueshed/fescueshed/internal/standin/emulator"
)

// Report is the result of an experiment.
type Report struct {
	// Seeds is the number of seeds, First the first of them.
	Seeds int
	First uint64
	Rows  []Row
}

// Row is the result of one pattern with one policy, over all seeds.
type Row struct {
	Pattern, Policy string
	// Worth is the share of the requests' total worth that callers obtained. Windows is the mean
	// of that share in the two windows of 2 s in which it was least.
	Worth, Windows Spread
	// Asked and the others are numbers of requests per emulator run, as means over the seeds.
	Asked, InTime, Late, Refused, Failed float64
	// Shed counts requests for which an upstream had no free slot, ShedWithRoom those of them
	// for which another upstream had one.
	Shed, ShedWithRoom float64
	// BusiestOverMean is the largest number of requests of one upstream, divided by the mean
	// of its service and zone.
	BusiestOverMean Spread
	// ByWindow is the worth of each window of 2 s, as a mean over the seeds.
	ByWindow []float64
}

// Spread is the mean, minimum and maximum of a metric over several seeds.
type Spread struct {
	Mean, Least, Most float64
}

func spreadOf(results []*emulator.Result, metric func(*emulator.Result) float64) Spread {
	s := Spread{Least: metric(results[0]), Most: metric(results[0])}
	for _, r := range results {
		v := metric(r)
		s.Mean += v / float64(len(results))
		s.Least, s.Most = min(s.Least, v), max(s.Most, v)
	}
	return s
}

func (r *runner) report() *Report {
	out := &Report{Seeds: r.opts.Seeds, First: r.opts.FirstSeed}
	for i := range r.rows {
		out.Rows = append(out.Rows, r.rows[i].summarize())
	}
	return out
}

func (w *row) summarize() Row {
	mean := func(metric func(*emulator.Result) int) float64 {
		return spreadOf(w.results, func(r *emulator.Result) float64 { return float64(metric(r)) }).Mean
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
	const header = "PATTERN\tPOLICY\tWORTH\tLEAST\tMOST\tWORST WINDOWS\tASKED\tLATE\tREFUSED\tFAILED\tSHED\tWITH SLOTS\tBUSIEST/MEAN"
	fmt.Fprintln(w, header)
	for i := range r.Rows {
		row := &r.Rows[i]
		fmt.Fprintf(w, "%s\t%s\t%.4f\t%.4f\t%.4f\t%.4f\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\n",
			row.Pattern, row.Policy, row.Worth.Mean, row.Worth.Least, row.Worth.Most, row.Windows.Mean,
			row.Asked, row.Late, row.Refused, row.Failed, row.Shed, row.ShedWithRoom, row.BusiestOverMean.Mean)
	}
	return w.Flush()
}
