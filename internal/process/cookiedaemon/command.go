package cookiedaemon

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/metadata"
	"github.com/fescueshed/fescueshed/internal/process/logs"
	"github.com/fescueshed/fescueshed/internal/process/settings"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// Command runs a balancer that forwards flows by cookie. The command line sets its fields except
// Connect.
type Command struct {
	Settings      string `help:"Settings file, JSON with comments." required:"" type:"path"`
	PrintSettings bool   `help:"Print the settings with their defaults and exit."`
	// Connect returns the adapters by which the daemon communicates with the platform.
	Connect func(store *objects.Client) metadata.Platform `kong:"-"`
}

// settingsPeriod is how often the settings file is checked: it may change without a signal.
const settingsPeriod = 2 * time.Second

// Run runs a balancer that forwards flows by cookie until a signal ends it.
func (c *Command) Run(ctx context.Context) error {
	// The default action of SIGHUP would end the process until the settings are watched.
	signal.Ignore(syscall.SIGHUP)
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
	store, closeStore := objects.NewClient(cfg.Store)
	defer closeStore()
	d, cleanup, err := New(context.WithoutCancel(ctx), cfg, c.Connect(store))
	if err != nil {
		return err
	}
	defer cleanup()
	d.awaitStart(ctx)
	term, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup) // Once the daemon has left: SIGHUP must not cut its departure short.
	c.watchSettings(term, hup, src, d)
	d.Leave()
	klog.InfoS("Ended")
	return nil
}

// maxSignalDelay bounds how long a daemon that isn't ready leaves signals to their default action,
// which ends the process. Until it is ready it has nothing to drain, and registering signal
// handlers with Go's runtime costs a small host milliseconds while callers wait.
const maxSignalDelay = 250 * time.Millisecond

// awaitStart waits until the daemon is ready, but at most maxSignalDelay.
func (d *Daemon) awaitStart(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxSignalDelay)
	defer cancel()
	_ = d.awaitReady(ctx)
}

// watchSettings rereads the settings file on a signal of hup and every settingsPeriod until ctx ends. A file
// with findings is refused as a whole.
func (c *Command) watchSettings(ctx context.Context, hup <-chan os.Signal, src []byte, d *Daemon) {
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
