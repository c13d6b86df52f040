package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/fescueshed/fescueshed/internal/process/status"
)

type statusCommand struct {
	Admin   string        `help:"Admin or metrics address of a balancer." required:"" placeholder:"HOST:PORT"`
	JSON    bool          `help:"Print JSON."`
	Timeout time.Duration `help:"Time limit for the answer." default:"5s"`
}

// barWidth is the length of a bar in characters, without its brackets.
const barWidth = 20

// Run fetches and prints a daemon's status.
func (c *statusCommand) Run(ctx context.Context) error {
	s, err := fetchStatus(ctx, c.Admin, c.Timeout)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(s)
	}
	return printStatus(s)
}

func fetchStatus(ctx context.Context, address string, timeout time.Duration) (*status.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return status.Fetch(ctx, address)
}

// fetchAll returns the status of all daemons that answer. The error names those that don't.
func fetchAll(ctx context.Context, addresses []string, timeout time.Duration) ([]status.Status, error) {
	var out []status.Status
	var errs []error
	for _, a := range addresses {
		s, err := fetchStatus(ctx, a, timeout)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", a, err))
			continue
		}
		out = append(out, *s)
	}
	return out, errors.Join(errs...)
}

func printStatus(s *status.Status) error {
	fmt.Printf("%s in %s: bundle %d (prepared by %s, approved by %s), %d flow records, %d open requests\n\n",
		s.Name, s.Zone, s.Version, s.Prepared, s.Approved, s.Flows, s.OpenRequests)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tZONE\tSTATE")
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\n", m.Name, m.Zone, m.State)
	}
	fmt.Fprintln(w, "\nSERVICE\tUPSTREAM\tZONE\tFLOWS\tREQUESTS\tSLOTS")
	for _, u := range s.Upstreams {
		name := u.Name
		if u.Drain {
			name += " (draining)"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", u.Service, name, u.Zone, u.Flows, u.Requests, bar(u.Requests, u.Slots))
	}
	printStore(w, s.Store)
	sum := status.Summarize([]status.Status{*s})
	printAdmission(w, sum.Admission)
	printEvacuated(w, sum.Evacuated)
	printDrops(w, s.Drops)
	return w.Flush()
}

// printStore prints, for each kind of the store's objects, the position up to which the daemon has them
// and how long ago that was confirmed. After a restore of the store it prints how many upstreams the
// daemon keeps as they were before. s may be nil.
func printStore(w io.Writer, s *status.StoreStatus) {
	if s == nil {
		return
	}
	fmt.Fprintln(w, "\nSTORE\tAS OF\tAGE")
	for _, k := range s.Kinds {
		fmt.Fprintf(w, "%s\t%s\t%.1f s\n", k.Kind, k.AsOf, k.Age)
	}
	if s.EpochSince.IsZero() {
		return
	}
	fmt.Fprintf(w, "restored %d times, last detected %s; upstreams held despite an older entry: %d, despite a missing entry: %d\n",
		s.Epoch, s.EpochSince.Format(time.RFC3339), s.HeldOverOlder, s.HeldThoughMissing)
}

func printEvacuated(w io.Writer, zones []status.EvacuatedZone) {
	if len(zones) == 0 {
		return
	}
	fmt.Fprintln(w, "\nEVACUATED ZONE\tSINCE\tOPEN FLOWS\tBALANCERS")
	for _, z := range zones {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d of %d\n", z.Zone, z.Since.Format(time.RFC3339), z.Flows, z.Balancers, z.Of)
	}
}

func printDrops(w io.Writer, drops []status.DropStatus) {
	fmt.Fprintln(w, "\nDROPPED FOR\tPACKETS")
	for _, d := range drops {
		fmt.Fprintf(w, "%s\t%d\n", d.Cause, d.Packets)
	}
}

// bar draws the share of an upstream's slots that are in use.
func bar(busy int64, slots int) string {
	n := int(busy) * barWidth / max(slots, 1)
	n = min(max(n, 0), barWidth)
	return "[" + strings.Repeat("#", n) + strings.Repeat(".", barWidth-n) + "]"
}
