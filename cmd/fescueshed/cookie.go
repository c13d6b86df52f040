package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/process/carrier"
	"github.com/fescueshed/fescueshed/internal/process/logs"
	"github.com/fescueshed/fescueshed/internal/process/settings"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/platform"
)

type cookieCommand struct {
	Settings      string `help:"File of settings, JSON with comments." required:"" type:"path"`
	PrintSettings bool   `help:"Print the settings with their defaults and end."`
}

// settingsPeriod is how often the settings file is looked at: it may change
// without a signal.
const settingsPeriod = 2 * time.Second

// Run runs a balancer that carries flows by cookie until a signal ends it.
func (c *cookieCommand) Run(ctx context.Context) error {
	src, err := os.ReadFile(c.Settings)
	if err != nil {
		return err
	}
	cfg, err := settings.DecodeCookie(c.Settings, src)
	if err != nil {
		return err
	}
	if c.PrintSettings {
		_, err := fmt.Printf("%s\n", cfg.Print())
		return err
	}
	w, flush := logs.NewWriter(os.Stdout)
	defer flush()
	if err := logs.Setup(w); err != nil {
		return err
	}
	term, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	store, closeStore := objects.NewCaller(cfg.Store)
	defer closeStore()
	d, cleanup, err := carrier.New(context.WithoutCancel(ctx), cfg, carrier.Platform{
		Packets:       platform.Packets{},
		Store:         store,
		Bundles:       platform.NewBundles(store),
		Registrations: platform.NewRegistrations(store),
		Contacts:      platform.NewContacts(store),
		Readiness:     platform.NewReadiness,
		HealthID:      platform.HealthID,
	})
	if err != nil {
		return err
	}
	defer cleanup()
	c.watchSettings(term, src, d)
	d.Leave()
	klog.InfoS("Ended")
	return nil
}

// watchSettings rereads the settings file on SIGHUP, and now and then without it,
// until ctx ends. A file with findings is refused as a whole.
func (c *cookieCommand) watchSettings(ctx context.Context, src []byte, d *carrier.Carrier) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(settingsPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-t.C:
		}
		changed, err := os.ReadFile(c.Settings)
		if err != nil {
			klog.ErrorS(err, "Settings can't be read", "File", c.Settings)
			continue
		}
		if bytes.Equal(changed, src) {
			continue
		}
		src = changed
		cfg, err := settings.DecodeCookie(c.Settings, src)
		if err != nil {
			klog.ErrorS(err, "Settings refused", "File", c.Settings)
			continue
		}
		d.Reload(cfg)
	}
}
