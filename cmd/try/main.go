// Command try runs the whole path on loopback: the product's own balancers and
// the stand-ins for platform, fabric, upstreams and callers, each as a process
// of its own. It ends by itself and says whether every promise was kept.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

type commands struct {
	Run     runCommand     `cmd:"" default:"withargs" help:"Run a trial."`
	StandIn standInCommand `cmd:"" hidden:"" help:"Run one stand-in; used by the trial itself."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var c commands
	k := kong.Parse(&c,
		kong.Name("try"),
		kong.Description("Run the whole path on loopback, with failures if wanted."),
		kong.UsageOnError(),
		kong.BindTo(ctx, (*context.Context)(nil)))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
