// Command try runs a complete deployment on loopback: the real balancers and stand-ins for platform,
// fabric, upstreams and callers, each as a separate process. It ends after a set time and reports
// whether every guarantee to callers and upstreams held. Its output calls a violated guarantee a
// broken promise.
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
	StandIn standInCommand `cmd:"" hidden:"" help:"Run one stand-in process; started by the trial itself."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var c commands
	k := kong.Parse(&c,
		kong.Name("try"),
		kong.Description("Run a complete deployment on loopback, with failures on request."),
		kong.UsageOnError(),
		kong.BindTo(ctx, (*context.Context)(nil)))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
