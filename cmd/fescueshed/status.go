package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/fescueshed/fescueshed/internal/process/daemon"
)

type statusCommand struct {
	Admin   string        `help:"Admin address of a balancer." required:"" placeholder:"HOST:PORT"`
	JSON    bool          `help:"Print JSON."`
	Timeout time.Duration `help:"How long to wait." default:"5s"`
}

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

func fetchStatus(ctx context.Context, admin string, timeout time.Duration) (*daemon.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/status", http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var s daemon.Status
	return &s, json.NewDecoder(resp.Body).Decode(&s)
}

func printStatus(s *daemon.Status) error {
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
	printDrops(w, s.Drops)
	return w.Flush()
}

func printDrops(w io.Writer, drops []daemon.DropStatus) {
	fmt.Fprintln(w, "\nDROPPED FOR\tPACKETS")
	for _, d := range drops {
		fmt.Fprintf(w, "%s\t%d\n", d.Cause, d.Packets)
	}
}

// bar draws the busy share of an upstream's slots.
func bar(busy int64, slots int) string {
	n := int(busy) * barWidth / max(slots, 1)
	n = min(max(n, 0), barWidth)
	return "[" + strings.Repeat("#", n) + strings.Repeat(".", barWidth-n) + "]"
}
