// Command fescueshed is the balancer and the tool of its operators.
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
	Zone       zoneCommands         `cmd:"" help:"Evacuate a zone of balancers by cookie, and take it back."`
	Key        keyCommands          `cmd:"" help:"Make and show operators' keys."`
	Status     statusCommand        `cmd:"" help:"Show what a balancer knows: members, upstreams, load, drops."`
	Capacity   capacityCommand      `cmd:"" help:"Measure what the parts cost and work out the size to design for."`
	Report     reportCommand        `cmd:"" help:"Show what several balancers hold together: versions, load, imbalance, drops."`
	Burn       burnCommand          `cmd:"" help:"Show how fast each service uses up what its service-level objective allows."`
	Explain    explainCommand       `cmd:"" help:"Show what the logs of several balancers tell of one flow, and what it means."`
	Experiment experimentCommand    `cmd:"" help:"Compare policies of placing on patterns of load, in virtual time."`
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
