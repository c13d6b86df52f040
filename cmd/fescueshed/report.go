package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/fescueshed/fescueshed/internal/process/status"
)

type reportCommand struct {
	Admin   []string      `help:"Admin or metrics addresses of the balancers." required:"" placeholder:"HOST:PORT"`
	JSON    bool          `help:"Print JSON."`
	Timeout time.Duration `help:"How long to wait for each balancer." default:"5s"`
}

// Run asks all balancers and prints what they hold together. A balancer that
// doesn't answer is named, and makes the command fail after the report.
func (c *reportCommand) Run(ctx context.Context) error {
	all, missing := fetchAll(ctx, c.Admin, c.Timeout)
	r := status.Summarize(all)
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
			return err
		}
		return missing
	}
	if err := printSummary(&r); err != nil {
		return err
	}
	return missing
}

func printSummary(r *status.Summary) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ZONE\tBUNDLE\tBALANCERS")
	for _, v := range r.Versions {
		fmt.Fprintf(w, "%s\t%d\t%d\n", v.Zone, v.Version, v.Balancers)
	}
	fmt.Fprintln(w, "\nSERVICE\tUPSTREAM\tZONE\tFLOWS\tREQUESTS\tSLOTS")
	for _, u := range r.Upstreams {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", u.Service, u.Name, u.Zone, u.Flows, u.Requests, bar(u.Requests, u.Slots))
	}
	fmt.Fprintln(w, "\nSERVICE\tIMBALANCE OF FLOWS")
	for _, s := range r.Services {
		fmt.Fprintf(w, "%s\t%.3f\n", s.Name, s.Imbalance)
	}
	printEvacuated(w, r.Evacuated)
	printDrops(w, r.Drops)
	return w.Flush()
}
