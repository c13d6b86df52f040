package main

import (
	"context"
	"fmt"
	"time"

	"github.com/fescueshed/fescueshed/internal/process/operator"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/platform"
)

type zoneCommands struct {
	Evacuate evacuateCommand `cmd:"" help:"Let no new flow enter a zone; open flows stay."`
	TakeBack takeBackCommand `cmd:"" help:"Let new flows enter an evacuated zone again."`
}

type zoneFlags struct {
	Store   string        `help:"URL of the platform's object store, as in the balancers' settings." required:""`
	Timeout time.Duration `help:"How long to try." default:"30s"`
	Zone    string        `arg:"" help:"The zone."`
}

// zones returns the zones at the store, a context with the flags' timeout, and a clean-up.
func (f *zoneFlags) zones(ctx context.Context) (*operator.Evacuator, context.Context, func()) {
	calls, stop := objects.NewClient(f.Store)
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	z := &operator.Evacuator{Evacuations: platform.NewEvacuationMarkers(calls), Registrations: platform.NewRegistrations(calls)}
	return z, ctx, func() {
		cancel()
		stop()
	}
}

type evacuateCommand struct{ zoneFlags }

// Run evacuates the zone.
func (c *evacuateCommand) Run(ctx context.Context) error {
	z, ctx, stop := c.zones(ctx)
	defer stop()
	changed, err := z.Evacuate(ctx, bundle.Zone(c.Zone))
	if err != nil {
		return err
	}
	if !changed {
		fmt.Printf("Zone %s is evacuated already.\n", c.Zone)
		return nil
	}
	fmt.Printf("Zone %s is evacuated. `report` shows which balancers know it and how many flows are still open there.\n", c.Zone)
	return nil
}

type takeBackCommand struct{ zoneFlags }

// Run takes the zone back.
func (c *takeBackCommand) Run(ctx context.Context) error {
	z, ctx, stop := c.zones(ctx)
	defer stop()
	changed, err := z.EndEvacuation(ctx, bundle.Zone(c.Zone))
	if err != nil {
		return err
	}
	if !changed {
		fmt.Printf("Zone %s wasn't evacuated.\n", c.Zone)
		return nil
	}
	fmt.Printf("Zone %s is taken back.\n", c.Zone)
	return nil
}
