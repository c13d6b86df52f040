package main

import (
	"context"
	"crypto/rand"
	"net/netip"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/fescueshed/fescueshed/internal/process/operator"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// trial is one run of a deployment: its processes, keys and settings.
type trial struct {
	opts      *runCommand
	dir       string
	deploy    deployment
	startedAt time.Time
	binary    string
	key       *operator.KeyFile
	secret    []byte

	platform  *standIn
	fabric    *standIn
	upstreams []*standIn
	callers   []*standIn

	// mu guards balancers and routed.
	mu        sync.Mutex
	balancers []*balancer
	// routed holds the data addresses of the balancers that the fabric and the upstreams send to.
	routed []netip.AddrPort
}

// host holds the name, zone and addresses of a balancer's host.
type host struct {
	name                 string
	zone                 bundle.Zone
	data, control, admin netip.AddrPort
}

const (
	secretBytes    = 32
	readyTimeout   = 15 * time.Second
	readyPoll      = 20 * time.Millisecond
	progressPeriod = 3 * time.Second
	leaveLimit     = 40 * time.Second
	fileMode       = 0o600
)

// start builds the balancer if needed and starts all processes but the callers.
func (t *trial) start(ctx context.Context) error {
	t.startedAt = time.Now()
	t.secret = make([]byte, secretBytes)
	_, _ = rand.Read(t.secret)
	if t.binary = t.opts.Binary; t.binary == "" {
		t.logf("building the balancer")
		binary, err := buildBalancer(ctx, t.dir)
		if err != nil {
			return err
		}
		t.binary = binary
	}
	t.startedAt = time.Now()
	steps := []func(context.Context) error{
		t.startPlatform, t.startBalancers, t.roll, t.startFabric, t.startUpstreams, t.routeToAll, t.awaitReady,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// startPlatform creates the approver's key and starts the platform.
func (t *trial) startPlatform(ctx context.Context) error {
	key, err := operator.NewKey("approver", filepath.Join(t.dir, "approver.key"))
	if err != nil {
		return err
	}
	t.key = key
	t.platform, err = startStandIn(ctx, "platform", "platform", t.dir, platformConfig{Address: platformAddress()})
	return err
}

// runTraffic runs the callers for the trial's time and injects the failures meanwhile. It returns when that time
// is over and all failures have run, with the error of one that failed, or with that of ctx if it ends earlier.
func (t *trial) runTraffic(ctx context.Context, fails []failure) error {
	if err := t.startCallers(ctx); err != nil {
		return err
	}
	end := time.After(time.Duration(t.opts.Seconds) * time.Second)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	errs := make(chan error, len(fails))
	for _, f := range fails {
		wg.Go(func() { errs <- f.run(ctx, t) })
	}
	progress := time.NewTicker(progressPeriod)
	defer progress.Stop()
	for working := true; working; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-progress.C:
			t.progress(ctx)
		case <-end:
			working = false
		}
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes that the trial started.
func (t *trial) stop() {
	for _, s := range t.callers {
		s.stop()
	}
	for _, b := range t.balancers {
		if b.cmd != nil && b.cmd.Process != nil {
			b.signal(syscall.SIGKILL)
			b.signal(syscall.SIGCONT)
			_ = b.wait(stopTimeout)
		}
	}
	for _, s := range append(append([]*standIn{}, t.upstreams...), t.fabric, t.platform) {
		if s != nil {
			s.stop()
		}
	}
}
