package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/fescueshed/fescueshed/internal/process/status"
)

type reportCommand struct {
	Admin   []string      `help:"Admin or metrics addresses of the balancers." required:"" placeholder:"HOST:PORT"`
	JSON    bool          `help:"Print JSON."`
	Timeout time.Duration `help:"Time limit for the answer of each balancer." default:"5s"`
}

// Run fetches the status of all balancers and prints their combined state. If balancers don't answer, it
// prints the report of the others and returns an error that names the missing ones.
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
	printAdmission(w, r.Admission)
	printEvacuated(w, r.Evacuated)
	printDrops(w, r.Drops)
	return w.Flush()
}

// printAdmission prints the state of admission control by zone, service and priority. The counts begin
// at each balancer's start. A service that isn't short has no time in the last column.
func printAdmission(w io.Writer, classes []status.ClassSummary) {
	if len(classes) == 0 {
		return
	}
	fmt.Fprintln(w, "\nZONE\tSERVICE\tPRIORITY\tOFFERED\tADMITTED\tREFUSED\tSHARE\tUTILIZATION\tSHORT SINCE")
	for i := range classes {
		c := &classes[i]
		share := fmt.Sprintf("%.2f", c.LeastShare)
		if most := fmt.Sprintf("%.2f", c.MostShare); most != share {
			share += " to " + most
		}
		since := ""
		if !c.ShortSince.IsZero() {
			since = c.ShortSince.Format(time.RFC3339)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%s\t%.2f\t%s\n",
			c.Zone, c.Service, c.Priority, c.Offered, c.Admitted, c.Refused, share, c.Utilization, since)
	}
}
