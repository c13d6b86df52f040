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

// plotLevels are the characters of a plot, from no request answered to all.
var plotLevels = []rune("▁▂▃▄▅▆▇█")

// plot returns one character for each second of a run, which shows the share of that second's requests that
// were answered, or a blank if there were none.
func plot(stats []flows.CallerStats, began time.Time) string {
	var asked, answered []int
	for i := range stats {
		for _, o := range stats[i].Outcomes {
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
		b.WriteRune(plotLevels[answered[s]*(len(plotLevels)-1)/asked[s]])
	}
	return b.String()
}

// writeReport writes the report of a failed run to report.txt in dir: the plot, the injected faults with their
// times, and the violated guarantees.
func writeReport(dir string, r *run, o *outcome) error {
	var b strings.Builder
	fmt.Fprintf(&b, "began %s, answered by second: %s\n", r.startedAt.Format("15:04:05.000"), o.plot)
	for _, line := range append(r.faultLog, o.broken...) {
		fmt.Fprintln(&b, line)
	}
	return eris.Wrap(os.WriteFile(filepath.Join(dir, "report.txt"), []byte(b.String()), 0o600), "soak")
}
