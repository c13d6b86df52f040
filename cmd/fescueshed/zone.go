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
	Evacuate evacuateCommand `cmd:"" help:"Place no new flows in a zone; open flows stay."`
	TakeBack takeBackCommand `cmd:"" help:"End the evacuation of a zone, so that it gets new flows again."`
}

type zoneFlags struct {
	Store   string        `help:"URL of the platform's object store, as in the balancers' settings." required:""`
	Timeout time.Duration `help:"Time limit, retries included." default:"30s"`
	Zone    string        `arg:"" help:"Name of the zone."`
}

// zones returns access to the evacuations in the store, a context with the timeout of the flags, and a
// clean-up function that releases both.
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

// Run writes the zone's evacuation to the store, unless it is there already. A zone without registered
// upstreams is an error.
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
	fmt.Printf("Zone %s is evacuated. `report` shows which balancers have received this and the flows still open there.\n", c.Zone)
	return nil
}

type takeBackCommand struct{ zoneFlags }

// Run removes the zone's evacuation from the store, if there is one.
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
	fmt.Printf("Zone %s is no longer evacuated.\n", c.Zone)
	return nil
}
