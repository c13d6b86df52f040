package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/standin/emulator"
)

type fleetCommand struct {
	Hosts       []int         `help:"Numbers of hosts, one simulation each." default:"300,985,1970"`
	Zones       int           `help:"Number of zones." default:"5"`
	Large       int           `help:"One in this many hosts is large." default:"20"`
	Upstreams   int           `help:"Registered upstreams for each host." default:"10"`
	SmallShare  int           `help:"A small host's share of a core, in thousandths." default:"192"`
	PowerLoss   bool          `help:"Start after a power loss, with callers waiting, instead of for the first time."`
	CallerDelay time.Duration `help:"Mean time until a caller's packet arrives at a host after a power loss." default:"50ms"`
	Length      time.Duration `help:"Simulated time." default:"8s"`
	Seed        uint64        `help:"The seed." default:"1"`
	JSON        bool          `help:"Print JSON."`
}

// fleetStart is the result of one start. Counts are for each host.
type fleetStart struct {
	Hosts, Upstreams   int
	Ready              int
	MedianReady        time.Duration
	LastReady          time.Duration
	StoreCalls         float64
	Messages           float64
	MembersFetched     float64
	MostMembersTracked int
	StoreReaders       int
}

// Run simulates starts of fleets and prints what they cost.
func (c *fleetCommand) Run() error {
	if c.Zones < 1 || c.Large < 1 || c.SmallShare < 1 || c.Upstreams < 0 {
		return eris.New("fleet: zones, large and small-share must be at least 1, upstreams at least 0")
	}
	results := make([]fleetStart, 0, len(c.Hosts))
	for _, n := range c.Hosts {
		if n < c.Zones {
			return eris.Errorf("fleet: %d hosts are fewer than one for each of %d zones", n, c.Zones)
		}
		results = append(results, c.simulate(n))
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(results)
	}
	return printFleetStarts(results)
}

func (c *fleetCommand) simulate(hosts int) fleetStart {
	perZone := hosts / c.Zones
	large := max(1, perZone/c.Large)
	f := &emulator.Fleet{
		Zones: c.Zones, Large: large, Small: perZone - large, SmallShare: c.SmallShare,
		Upstreams: hosts * c.Upstreams, FirstStart: !c.PowerLoss, CallerDelay: c.CallerDelay, Length: c.Length,
	}
	r := emulator.RunFleet(f, c.Seed)
	all := float64(c.Zones * perZone)
	out := fleetStart{
		Hosts: c.Zones * perZone, Upstreams: f.Upstreams, Ready: len(r.ReadyTimes),
		StoreCalls: float64(r.Calls) / all, Messages: float64(r.Messages) / all, MembersFetched: float64(r.MembersSent) / all,
		MostMembersTracked: r.MostTracked, StoreReaders: r.StoreReaders,
	}
	if len(r.ReadyTimes) > 0 {
		out.MedianReady, out.LastReady = r.ReadyTimes[len(r.ReadyTimes)/2], slices.Max(r.ReadyTimes)
	}
	return out
}

// printFleetStarts prints one line for each start.
func printFleetStarts(results []fleetStart) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOSTS\tUPSTREAMS\tREADY\tMEDIAN\tLAST\tCALLS/HOST\tMESSAGES/HOST\tMEMBERS FETCHED/HOST\tMOST TRACKED\tREADERS")
	for _, r := range results {
		fmt.Fprintf(w, "%d\t%d\t%d\t%v\t%v\t%.2f\t%.0f\t%.0f\t%d\t%d\n",
			r.Hosts, r.Upstreams, r.Ready, r.MedianReady.Round(time.Millisecond), r.LastReady.Round(time.Millisecond),
			r.StoreCalls, r.Messages, r.MembersFetched, r.MostMembersTracked, r.StoreReaders)
	}
	return eris.Wrap(w.Flush(), "fleet: print")
}
