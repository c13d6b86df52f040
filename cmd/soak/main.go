// Command soak runs balancers as separate processes among stand-ins on loopback,
// injects faults from outside them by a seeded plan, and checks from what callers
// and upstreams see that every promise is kept. It ends by itself; its exit status
// is 1 if a promise was broken.
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
	Seeds     int           `help:"How many runs, each with the next seed." default:"1"`
	Duration  time.Duration `help:"How long faults are injected in a run." default:"15s"`
	Hosts     int           `help:"How many balancers." default:"6"`
	Upstreams int           `help:"How many upstreams at the start." default:"18"`
	Callers   int           `help:"How many callers." default:"40"`
	Pause     time.Duration `help:"Mean time between two faults." default:"700ms"`
	Binary    string        `help:"The balancer's program; built from this module if not given." type:"path"`
	Keep      string        `help:"Directory for logs, kept for failed runs only." default:"soak-logs" type:"path"`
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
			return failed, eris.Wrap(ctx.Err(), "soak")
		}
		broken, err := c.one(ctx, binary, c.Seed+uint64(i))
		if err != nil {
			return failed, err
		}
		if broken {
			failed++
		}
	}
	return failed, nil
}
