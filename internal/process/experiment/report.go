package experiment

import (
	"fmt"
	"io"
	"slices"
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
	// Admission says that hosts refused flows of less urgent classes while a service was short.
	Admission bool
	// Best is the share of the requests' total worth that the slots could have earned, see
	// emulator.Result.Best.
	Best float64
	// Worth is the share of the requests' total worth that callers obtained. Windows is the mean
	// of that share in the two windows of 2 s in which it was least.
	Worth, Windows Spread
	// Asked and the others are numbers of requests per emulator run, as means over the seeds.
	Asked, InTime, Late, Refused, Failed float64
	// Arrivals counts requests that arrived at upstreams, those of retries included.
	Arrivals float64
	// Shed counts requests for which an upstream had no free slot, ShedWithRoom those of them
	// for which another upstream had one.
	Shed, ShedWithRoom float64
	// BusiestOverMean is the largest number of requests of one upstream, divided by the mean
	// of its service and zone.
	BusiestOverMean Spread
	// ByWindow is the worth of each window of 2 s, as a mean over the seeds.
	ByWindow []float64
	// BestByWindow is the worth that the slots could have earned in each window of 2 s, as a mean
	// over the seeds.
	BestByWindow []float64
	Classes      []ClassRow
	// hasPriorities says that the classes differ in priority.
	hasPriorities bool
}

// ClassRow is the result of one class of a pattern. Numbers are means over the seeds.
type ClassRow struct {
	Class                                string
	Priority                             int
	Worth                                Spread
	Asked, InTime, Late, Refused, Failed float64
	// TriesPerAnswer is the number of attempts per answered request, first attempts included.
	TriesPerAnswer float64
	// Rejected counts requests that upstreams rejected, RefusedFlows flows that hosts refused since
	// the service was short, OverLimit flows that upstreams reset at their connection limit.
	Rejected, RefusedFlows, OverLimit float64
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
		Pattern: w.pattern.Name, Policy: w.policy.Name, Admission: w.pattern.Admission,
		Best:            spreadOf(w.results, (*emulator.Result).BestWorth).Mean,
		Worth:           spreadOf(w.results, func(r *emulator.Result) float64 { return r.All.Worth() }),
		Windows:         spreadOf(w.results, (*emulator.Result).WorstWindows),
		BusiestOverMean: spreadOf(w.results, func(r *emulator.Result) float64 { return r.BusiestOverMean }),
		Asked:           mean(func(r *emulator.Result) int { return r.All.Asked }),
		InTime:          mean(func(r *emulator.Result) int { return r.All.InTime }),
		Late:            mean(func(r *emulator.Result) int { return r.All.Late }),
		Refused:         mean(func(r *emulator.Result) int { return r.All.Refused }),
		Failed:          mean(func(r *emulator.Result) int { return r.All.Failed }),
		Arrivals:        mean(func(r *emulator.Result) int { return r.Arrivals }),
		Shed:            mean(func(r *emulator.Result) int { return r.Shed }),
		ShedWithRoom:    mean(func(r *emulator.Result) int { return r.ShedWithRoom }),
	}
	for i := range w.results[0].Windows {
		out.ByWindow = append(out.ByWindow, spreadOf(w.results, func(r *emulator.Result) float64 { return r.Windows[i].Worth() }).Mean)
		out.BestByWindow = append(out.BestByWindow, spreadOf(w.results, func(r *emulator.Result) float64 {
			return bestOfWindow(r, i)
		}).Mean)
	}
	for i := range w.pattern.Classes {
		out.Classes = append(out.Classes, w.summarizeClass(i))
		out.hasPriorities = out.hasPriorities || w.pattern.Classes[i].Priority != w.pattern.Classes[0].Priority
	}
	return out
}

// bestOfWindow returns the share of a window's worth that the slots could have earned.
func bestOfWindow(r *emulator.Result, window int) float64 {
	if owed := r.Windows[window].Owed; owed > 0 {
		return r.Best[window] / owed
	}
	return 1
}

func (w *row) summarizeClass(i int) ClassRow {
	spread := func(metric func(*emulator.ClassResult) float64) Spread {
		return spreadOf(w.results, func(r *emulator.Result) float64 { return metric(&r.Classes[i]) })
	}
	mean := func(metric func(*emulator.ClassResult) int) float64 {
		return spread(func(c *emulator.ClassResult) float64 { return float64(metric(c)) }).Mean
	}
	return ClassRow{
		Class: w.pattern.Classes[i].Name, Priority: w.pattern.Classes[i].Priority,
		Worth:          spread(func(c *emulator.ClassResult) float64 { return c.Worth() }),
		Asked:          mean(func(c *emulator.ClassResult) int { return c.Asked }),
		InTime:         mean(func(c *emulator.ClassResult) int { return c.InTime }),
		Late:           mean(func(c *emulator.ClassResult) int { return c.Late }),
		Refused:        mean(func(c *emulator.ClassResult) int { return c.Refused }),
		Failed:         mean(func(c *emulator.ClassResult) int { return c.Failed }),
		TriesPerAnswer: spread((*emulator.ClassResult).TriesPerAnswer).Mean,
		Rejected:       mean(func(c *emulator.ClassResult) int { return c.Rejected }),
		RefusedFlows:   mean(func(c *emulator.ClassResult) int { return c.RefusedFlows }),
		OverLimit:      mean(func(c *emulator.ClassResult) int { return c.OverLimit }),
	}
}

// ShowsClasses says that the report shows the row's classes: they differ in priority, or hosts run
// admission control.
func (r *Row) ShowsClasses() bool { return r.hasPriorities || r.Admission }

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
	if err := w.Flush(); err != nil {
		return err
	}
	return r.printClasses(to)
}

// printClasses writes a table of the classes of rows that show them, and nothing if none does.
func (r *Report) printClasses(to io.Writer) error {
	if !slices.ContainsFunc(r.Rows, func(row Row) bool { return row.ShowsClasses() }) {
		return nil
	}
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nPATTERN\tPOLICY\tADMISSION\tCLASS\tPRIORITY\tWORTH\tBEST\tASKED\tIN TIME\tLATE\tREFUSED\tFAILED\t"+
		"TRIES/ANSWER\tARRIVED\tREJECTED\tFLOWS REFUSED\tFLOWS OVER LIMIT")
	for i := range r.Rows {
		row := &r.Rows[i]
		if !row.ShowsClasses() {
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\tall\t\t%.4f\t%.4f\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t\t%.1f\t%.1f\t%.1f\t%.1f\n",
			row.Pattern, row.Policy, onOff(row.Admission), row.Worth.Mean, row.Best, row.Asked, row.InTime, row.Late,
			row.Refused, row.Failed, row.Arrivals, row.Shed, row.RefusedFlows(), row.OverLimit())
		for _, c := range row.Classes {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%.4f\t\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t\t%.1f\t%.1f\t%.1f\n",
				row.Pattern, row.Policy, onOff(row.Admission), c.Class, c.Priority, c.Worth.Mean, c.Asked, c.InTime, c.Late,
				c.Refused, c.Failed, c.TriesPerAnswer, c.Rejected, c.RefusedFlows, c.OverLimit)
		}
	}
	return w.Flush()
}

func onOff(b bool) string {
	if b {
		return "on"
	}
	return "off"
}

// RefusedFlows returns the number of flows that hosts refused since a service was short.
func (r *Row) RefusedFlows() float64 {
	return r.sumOfClasses(func(c *ClassRow) float64 { return c.RefusedFlows })
}

// OverLimit returns the number of flows that upstreams reset at their connection limit.
func (r *Row) OverLimit() float64 {
	return r.sumOfClasses(func(c *ClassRow) float64 { return c.OverLimit })
}

func (r *Row) sumOfClasses(metric func(*ClassRow) float64) float64 {
	sum := 0.0
	for i := range r.Classes {
		sum += metric(&r.Classes[i])
	}
	return sum
}
