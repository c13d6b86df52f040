package main

import (
	"context"
	"fmt"
	"time"

	"github.com/fescueshed/fescueshed/internal/process/operator"
	"github.com/fescueshed/fescueshed/internal/version/platform"
)

type bundleCommands struct {
	Prepare prepareCommand    `cmd:"" help:"Check a bundle and make it the successor of the one in force."`
	Approve approveCommand    `cmd:"" help:"Sign a prepared bundle."`
	Roll    rollCommand       `cmd:"" help:"Put an approved bundle in force."`
	Status  bundleStatusShown `cmd:"" help:"Show the bundle in force."`
}

type platformFlags struct {
	Platform string        `help:"URL of the platform's object service." required:""`
	Timeout  time.Duration `help:"How long to try." default:"30s"`
}

// client returns a client, a context with the flags' timeout, and a clean-up.
func (f *platformFlags) client(ctx context.Context) (*platform.Client, context.Context, func()) {
	c, stop := platform.NewClient(f.Platform)
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	return c, ctx, func() {
		cancel()
		stop()
	}
}

type prepareCommand struct {
	platformFlags
	By   string `help:"Name of the preparer." required:""`
	File string `arg:"" help:"The bundle, JSON with comments." type:"path"`
	Out  string `help:"Where to write the prepared bundle." required:"" type:"path"`
}

// Run prepares the bundle.
func (c *prepareCommand) Run(ctx context.Context) error {
	p, ctx, stop := c.client(ctx)
	defer stop()
	s, err := operator.Prepare(ctx, p, c.By, c.File, c.Out)
	if err != nil {
		return err
	}
	fmt.Printf("Prepared version %d by %s. Another operator approves it next.\n", s.Version, s.PreparedBy)
	return nil
}

type approveCommand struct {
	Key  string `help:"File of the approver's key." required:"" type:"path"`
	File string `arg:"" help:"The prepared bundle." type:"path"`
	Out  string `help:"Where to write the approved bundle." required:"" type:"path"`
}

// Run approves the bundle.
func (c *approveCommand) Run() error {
	s, err := operator.Approve(c.Key, c.File, c.Out)
	if err != nil {
		return err
	}
	fmt.Printf("Approved version %d by %s.\n", s.Version, s.ApprovedBy)
	return nil
}

type rollCommand struct {
	platformFlags
	File string `arg:"" help:"The approved bundle." type:"path"`
}

// Run rolls the bundle.
func (c *rollCommand) Run(ctx context.Context) error {
	p, ctx, stop := c.client(ctx)
	defer stop()
	s, err := operator.Roll(ctx, p, c.File)
	if err != nil {
		return err
	}
	fmt.Printf("Version %d is accepted.\n", s.Version)
	return nil
}

type bundleStatusShown struct {
	platformFlags
}

// Run prints who made the bundle in force.
func (c *bundleStatusShown) Run(ctx context.Context) error {
	p, ctx, stop := c.client(ctx)
	defer stop()
	s, _, err := p.Head(ctx)
	if err != nil {
		return err
	}
	if s == nil {
		fmt.Println("No bundle was rolled yet.")
		return nil
	}
	fmt.Printf("Version %d, prepared by %s, approved by %s, operation %s.\n",
		s.Version, s.PreparedBy, s.ApprovedBy, s.OperationID)
	return nil
}

type keyCommands struct {
	New  keyNewCommand  `cmd:"" help:"Make a key."`
	Show keyShowCommand `cmd:"" help:"Show the public key of a key file."`
}

type keyNewCommand struct {
	Name string `arg:"" help:"Name of the operator."`
	File string `arg:"" help:"Where to write the key." type:"path"`
}

// Run makes a key and prints its public part.
func (c *keyNewCommand) Run() error {
	k, err := operator.NewKey(c.Name, c.File)
	if err != nil {
		return err
	}
	fmt.Println(k.Public())
	return nil
}

type keyShowCommand struct {
	File string `arg:"" help:"The key file." type:"path"`
}

// Run prints the public key.
func (c *keyShowCommand) Run() error {
	k, err := operator.LoadKey(c.File)
	if err != nil {
		return err
	}
	fmt.Println(k.Name, k.Public())
	return nil
}
