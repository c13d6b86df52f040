// Command fescueshed contains the balancers of both data paths and the tools of their operators.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/process/cookiedaemon"
	"github.com/fescueshed/fescueshed/internal/version/hujson"
	"github.com/fescueshed/fescueshed/platform"
)

type commands struct {
	Balancer   balancerCommand      `cmd:"" help:"Run a balancer until SIGTERM, which ends it gracefully."`
	Cookie     cookiedaemon.Command `cmd:"" help:"Run a balancer for flows that carry a cookie, until SIGTERM."`
	Bundle     bundleCommands       `cmd:"" help:"Prepare, approve and roll bundles."`
	Zone       zoneCommands         `cmd:"" help:"Evacuate a zone for balancers that forward by cookie, or end its evacuation."`
	Key        keyCommands          `cmd:"" help:"Create and show operators' keys."`
	Status     statusCommand        `cmd:"" help:"Show the state of a balancer: members, upstreams, load, drops."`
	Capacity   capacityCommand      `cmd:"" help:"Measure what each part costs and calculate the size to design for."`
	Report     reportCommand        `cmd:"" help:"Show the combined state of several balancers: versions, load, imbalance, drops."`
	Burn       burnCommand          `cmd:"" help:"Show how fast each service uses up its service-level objective's error budget."`
	Explain    explainCommand       `cmd:"" help:"Show the log lines of several balancers that concern one flow, and explain them."`
	Experiment experimentCommand    `cmd:"" help:"Compare placement policies on load patterns, simulated in virtual time."`
	Fleet      fleetCommand         `cmd:"" help:"Simulate starts of fleets of several sizes: what they cost hosts and the store."`
	Check      checkCommand         `cmd:"" help:"Check settings and bundles and print all findings."`
}

const (
	exitFailure  = 1
	exitFindings = 2
)

func main() {
	c := commands{Cookie: cookiedaemon.Command{Connect: platform.New}}
	k := kong.Parse(&c,
		kong.Name("fescueshed"),
		kong.Description("A layer-4 load balancer that keeps flows alive through planned change."),
		kong.UsageOnError(),
		kong.BindTo(context.Background(), (*context.Context)(nil)))
	err := k.Run()
	klog.Flush()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var findings *hujson.FindingsError
	if eris.As(err, &findings) {
		return exitFindings
	}
	return exitFailure
}
