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
	Settings      string `help:"File of settings, JSON with comments." type:"path"`
	PrintSettings bool   `help:"Print the settings with their defaults and end."`
}

// Run runs the daemon until a signal ends it. Only this command catches signals:
// the others end by them at once.
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
		return fmt.Errorf("balancer: --settings is needed")
	}
	// The daemon ends after ctx, gracefully, so its parts don't live by ctx.
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
	Settings []string `help:"Files of settings to check." type:"path"`
	Cookie   []string `help:"Files of settings for balancers by cookie to check." type:"path"`
	Bundles  []string `help:"Files of bundles to check." type:"path"`
}

// Run checks all files and returns all findings together.
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

// collect adds findings to all and returns any other error.
func collect(all *hujson.FindingsError, err error) error {
	var f *hujson.FindingsError
	if errors.As(err, &f) {
		all.List = append(all.List, f.List...)
		return nil
	}
	return err
}
