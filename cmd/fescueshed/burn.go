package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/process/status"
)

type burnCommand struct {
	Admin     []string      `help:"Metrics addresses of the balancers." required:"" placeholder:"HOST:PORT"`
	Objective float64       `help:"Share of requests that must be answered in time, more than 0 and less than 1." default:"0.99"`
	Window    time.Duration `help:"Time between two polls of the balancers." default:"10s"`
	Rounds    int           `help:"Number of windows to show." default:"1"`
	JSON      bool          `help:"Print JSON, one line for each window."`
	Timeout   time.Duration `help:"Time limit for the answer of each balancer." default:"5s"`
}

// burnWindow holds the burn rates at the end of one window.
type burnWindow struct {
	// Window holds the burn rates within the window, Total those since the first poll.
	Window, Total []status.BurnRate
}

// Run polls all balancers once per window and prints how fast each service uses up its error budget,
// the share of requests that may be late, refused or fail: within the last window, which shows the
// present rate, and since the command began, which a short disturbance changes little.
func (c *burnCommand) Run(ctx context.Context) error {
	if c.Objective <= 0 || c.Objective >= 1 {
		return eris.Errorf("--objective is %v, want more than 0 and less than 1", c.Objective)
	}
	first, err := fetchAll(ctx, c.Admin, c.Timeout)
	if err != nil {
		return err
	}
	last := first
	for range c.Rounds {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(c.Window):
		}
		next, err := fetchAll(ctx, c.Admin, c.Timeout)
		if err != nil {
			fmt.Fprintln(os.Stderr, err) // The answers of the other balancers are still useful.
		}
		w := burnWindow{
			Window: status.BurnRates(last, next, c.Objective),
			Total:  status.BurnRates(first, next, c.Objective),
		}
		if err := c.print(&w); err != nil {
			return err
		}
		last = next
	}
	return nil
}

func (c *burnCommand) print(b *burnWindow) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(b)
	}
	total := make(map[string]float64)
	for _, t := range b.Total {
		total[t.Service] = t.Rate
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tREQUESTS\tIN TIME\tLATE\tFAILED\tREFUSED\tUNKNOWN\tBURN\tSINCE START")
	for _, s := range b.Window {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\n",
			s.Service, s.Known(), s.InTime, s.Late, s.Failed, s.Refused, s.Unknown, s.Rate, total[s.Service])
	}
	return w.Flush()
}
