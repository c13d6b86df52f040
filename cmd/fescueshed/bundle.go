package main

import (
	"context"
	"fmt"
	"time"

	"github.com/fescueshed/fescueshed/internal/process/operator"
	"github.com/fescueshed/fescueshed/internal/version/platform"
)

type bundleCommands struct {
	Prepare prepareCommand      `cmd:"" help:"Check a bundle and prepare it as the next version after the one in force."`
	Approve approveCommand      `cmd:"" help:"Sign a prepared bundle."`
	Roll    rollCommand         `cmd:"" help:"Put an approved bundle in force."`
	Status  bundleStatusCommand `cmd:"" help:"Show the bundle in force."`
}

type platformFlags struct {
	Platform string        `help:"URL of the platform's object service." required:""`
	Timeout  time.Duration `help:"Time limit, retries included." default:"30s"`
}

// client returns a client of the platform, a context with the timeout of the flags, and a clean-up
// function that releases both.
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
	By   string `help:"Name of the operator who prepares the bundle." required:""`
	File string `arg:"" help:"Bundle file, JSON with comments." type:"path"`
	Out  string `help:"File to write the prepared bundle to." required:"" type:"path"`
}

// Run checks the bundle, numbers it as the next version and writes it to the output file.
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
	Key  string `help:"Key file of the operator who approves the bundle." required:"" type:"path"`
	File string `arg:"" help:"File of the prepared bundle." type:"path"`
	Out  string `help:"File to write the approved bundle to." required:"" type:"path"`
}

// Run signs the prepared bundle with the approver's key and writes it to the output file.
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
	File string `arg:"" help:"File of the approved bundle." type:"path"`
}

// Run puts the approved bundle in force by writing it to the platform.
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

type bundleStatusCommand struct {
	platformFlags
}

// Run prints the version of the bundle in force, who prepared and who approved it, and the
// identifier of the operation.
func (c *bundleStatusCommand) Run(ctx context.Context) error {
	p, ctx, stop := c.client(ctx)
	defer stop()
	s, _, err := p.Head(ctx)
	if err != nil {
		return err
	}
	if s == nil {
		fmt.Println("No bundle has been rolled yet.")
		return nil
	}
	fmt.Printf("Version %d, prepared by %s, approved by %s, operation %s.\n",
		s.Version, s.PreparedBy, s.ApprovedBy, s.OperationID)
	return nil
}

type keyCommands struct {
	New  keyNewCommand  `cmd:"" help:"Create a key."`
	Show keyShowCommand `cmd:"" help:"Show the public key of a key file."`
}

type keyNewCommand struct {
	Name string `arg:"" help:"Name of the operator."`
	File string `arg:"" help:"File to write the key to." type:"path"`
}

// Run creates a key, writes it to the file and prints its public part.
func (c *keyNewCommand) Run() error {
	k, err := operator.NewKey(c.Name, c.File)
	if err != nil {
		return err
	}
	fmt.Println(k.Public())
	return nil
}

type keyShowCommand struct {
	File string `arg:"" help:"Key file." type:"path"`
}

// Run prints the operator's name and the public key.
func (c *keyShowCommand) Run() error {
	k, err := operator.LoadKey(c.File)
	if err != nil {
		return err
	}
	fmt.Println(k.Name, k.Public())
	return nil
}
