package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/standin/flows"
)

// bars are the levels of a plot, from none to all answered.
var bars = []rune("▁▂▃▄▅▆▇█")

// plot draws the share of requests that were answered in each second of a run.
func plot(tallies []flows.CallerStats, began time.Time) string {
	var asked, answered []int
	for i := range tallies {
		for _, o := range tallies[i].Outcomes {
			s := int(o.At.Sub(began) / time.Second)
			for len(asked) <= s {
				asked, answered = append(asked, 0), append(answered, 0)
			}
			asked[s]++
			if o.Answered {
				answered[s]++
			}
		}
	}
	var b strings.Builder
	for s := range asked {
		if asked[s] == 0 {
			b.WriteRune(' ')
			continue
		}
		b.WriteRune(bars[answered[s]*(len(bars)-1)/asked[s]])
	}
	return b.String()
}

// writeReport keeps what is wanted of a failed run: the plan with its times, what
// broke, and the plot.
func writeReport(dir string, r *run, o *outcome) error {
	var b strings.Builder
	fmt.Fprintf(&b, "began %s, answered by second: %s\n", r.began.Format("15:04:05.000"), o.plot)
	for _, line := range append(r.plan, o.broken...) {
		fmt.Fprintln(&b, line)
	}
	return eris.Wrap(os.WriteFile(filepath.Join(dir, "report.txt"), []byte(b.String()), 0o600), "soak")
}
