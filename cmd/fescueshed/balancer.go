package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/process/daemon"
	"github.com/fescueshed/fescueshed/internal/process/settings"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/hujson"
)

type balancerCommand struct {
	Settings      string `help:"Settings file, JSON with comments." type:"path"`
	PrintSettings bool   `help:"Print the complete settings, defaults included, and exit."`
}

// Run runs the daemon until SIGTERM or SIGINT, then shuts it down gracefully. It catches these signals
// itself: main doesn't, so that a signal ends the operators' tools immediately.
func (c *balancerCommand) Run(ctx context.Context) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cfg := new(settings.Settings)
	*cfg = settings.Defaults()
	if c.Settings != "" {
		loaded, err := settings.Load(c.Settings)
		if err != nil {
			return err
		}
		cfg = loaded
	}
	if c.PrintSettings {
		_, err := fmt.Printf("%s\n", cfg.Print())
		return err
	}
	if c.Settings == "" {
		return fmt.Errorf("balancer: --settings is required")
	}
	// The daemon shuts down gracefully after ctx is cancelled, so its parts must not use ctx.
	d, cleanup, err := daemon.New(context.WithoutCancel(ctx), cfg)
	if err != nil {
		return err
	}
	defer cleanup()
	<-ctx.Done()
	if err := d.Leave(); err != nil {
		return err
	}
	klog.InfoS("Ended")
	return nil
}

type checkCommand struct {
	Settings []string `help:"Settings files of balancers to check." type:"path"`
	Cookie   []string `help:"Settings files of balancers that forward by cookie to check." type:"path"`
	Bundles  []string `help:"Bundle files to check." type:"path"`
}

// Run checks all files and returns the findings of all of them in one FindingsError.
func (c *checkCommand) Run() error {
	var all hujson.FindingsError
	for _, file := range c.Settings {
		_, err := settings.Load(file)
		if err := collect(&all, err); err != nil {
			return err
		}
	}
	for _, file := range c.Cookie {
		_, err := settings.LoadCookie(file)
		if err := collect(&all, err); err != nil {
			return err
		}
	}
	for _, file := range c.Bundles {
		src, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		_, err = bundle.Decode(file, src)
		if err := collect(&all, err); err != nil {
			return err
		}
	}
	if len(all.List) > 0 {
		return &all
	}
	fmt.Println("No findings.")
	return nil
}

// collect appends the findings in err to all. It returns err if it is any other error.
func collect(all *hujson.FindingsError, err error) error {
	var f *hujson.FindingsError
	if errors.As(err, &f) {
		all.List = append(all.List, f.List...)
		return nil
	}
	return err
}
