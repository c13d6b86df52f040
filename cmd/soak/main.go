// Command soak runs balancers as separate processes on loopback, with stand-ins for all other parts,
// and injects faults into them from outside, chosen at random from a seed. From what callers and
// upstreams see it checks that every guarantee holds. It ends after a set time, with exit status 1 if
// a guarantee was violated. Its output calls a violated guarantee a broken promise.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/standin/world"
)

type commands struct {
	Seed      uint64        `help:"Seed of the first run." default:"1"`
	Seeds     int           `help:"Number of runs, each with the next seed." default:"1"`
	Duration  time.Duration `help:"How long faults are injected in a run." default:"15s"`
	Hosts     int           `help:"Number of balancers." default:"6"`
	Upstreams int           `help:"Number of upstreams at the start." default:"18"`
	Callers   int           `help:"Number of callers." default:"40"`
	Pause     time.Duration `help:"Mean time between two faults." default:"700ms"`
	Binary    string        `help:"Path of the balancer's program; built from this module if not given." type:"path"`
	Keep      string        `help:"Directory for logs and reports, kept for failed runs only." default:"soak-logs" type:"path"`
}

const (
	minHosts = 3
	maxHosts = 200
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var c commands
	kong.Parse(&c, kong.Name("soak"), kong.Description("Randomized fault soak on loopback."), kong.UsageOnError())
	failed, err := c.run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Printf("%d runs, %d with a broken promise\n", c.Seeds, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// run runs all seeds and returns the number of runs in which a guarantee was violated.
func (c *commands) run(ctx context.Context) (int, error) {
	if c.Hosts < minHosts || c.Hosts > maxHosts {
		return 0, eris.Errorf("--hosts is %d, want %d to %d", c.Hosts, minHosts, maxHosts)
	}
	binary := c.Binary
	if binary == "" {
		built, clean, err := world.Build(ctx)
		if err != nil {
			return 0, err
		}
		defer clean()
		binary = built
	}
	failed := 0
	for i := range c.Seeds {
		if ctx.Err() != nil {
			return failed, eris.Wrap(ctx.Err(), "soak: interrupted")
		}
		broken, err := c.runSeed(ctx, binary, c.Seed+uint64(i))
		if err != nil {
			return failed, err
		}
		if broken {
			failed++
		}
	}
	return failed, nil
}
