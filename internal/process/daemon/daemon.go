// Package daemon connects the parts of a balancer daemon that live as long as the
// process: engine, data and control sockets, bundles, and admin server.
package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/caller"
	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/process/blocklist"
	"github.com/fescueshed/fescueshed/internal/process/fabric"
	"github.com/fescueshed/fescueshed/internal/process/settings"
	"github.com/fescueshed/fescueshed/internal/process/steps"
	"github.com/fescueshed/fescueshed/internal/process/timer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/platform"
)

// The periods of the daemon's periodic tasks.
const (
	pauseCheckPeriod = 50 * time.Millisecond
	tickPeriod       = 25 * time.Millisecond
	sweepPeriod      = 25 * time.Millisecond
	seedPeriod       = 2 * time.Second
	// connectedSeedPeriod replaces seedPeriod once other members are known.
	connectedSeedPeriod = time.Minute
)

// Daemon is a running balancer.
type Daemon struct {
	cfg      *settings.Settings
	engine   *caller.Engine
	fabric   *fabric.Fabric
	control  *control
	platform *platform.Client
	bundles  *bundles
	boot     time.Time
	sweeper  sweeper
	blocked  blocklist.List

	evacuations evacuations
	readyOnce   sync.Once
	ready       chan struct{}
}

// New opens the sockets of a daemon and starts its parts. The clean-up function stops
// them immediately; for a graceful shutdown, call Leave first.
func New(ctx context.Context, cfg *settings.Settings) (*Daemon, func(), error) {
	d := &Daemon{cfg: cfg, boot: time.Now(), ready: make(chan struct{})}
	cleanup, err := steps.Run(ctx,
		d.startEngine, d.startPlatform, d.startControl, d.startBundles, d.startRPC, d.startAdmin, d.startTimer)
	if err != nil {
		return nil, nil, err
	}
	klog.InfoS("Daemon started", "Name", cfg.Name, "Zone", cfg.Zone, "Data", cfg.DataAddress)
	return d, cleanup, nil
}

func (d *Daemon) startTimer(context.Context) (func(), error) {
	t, stop := timer.New()
	t.Subscribe(pauseCheckPeriod, d.engine.DetectPause)
	t.Subscribe(tickPeriod, d.control.tick)
	t.Subscribe(sweepPeriod, d.sweeper.step)
	return stop, nil
}

func (d *Daemon) startEngine(context.Context) (func(), error) {
	d.engine = caller.NewEngine(caller.Options{
		Self:    peer.IDOf(d.cfg.Name),
		Fabrics: d.cfg.Fabrics,
		Start:   d.boot.Add(-time.Second),
		Lease:   time.Duration(d.cfg.Lease),
	})
	d.sweeper = sweeper{d: d}
	f, stop, err := fabric.New(fabric.Options{
		Address:     d.cfg.DataAddress,
		Workers:     d.cfg.Workers,
		Batch:       d.cfg.BatchPackets,
		BufferBytes: d.cfg.SocketBufferBytes,
		Engine:      d.engine,
		Key:         geneve.NewKey(d.cfg.Secret),
		Blocked:     &d.blocked,
	})
	d.fabric = f
	return stop, err
}

func (d *Daemon) startPlatform(context.Context) (func(), error) {
	c, stop := platform.NewClient(d.cfg.Platform)
	d.platform = c
	return stop, nil
}

func (d *Daemon) startBundles(ctx context.Context) (func(), error) {
	return d.bundles.start(ctx), nil
}

func (d *Daemon) startControl(ctx context.Context) (func(), error) {
	self := peer.Member{
		ID:          peer.IDOf(d.cfg.Name),
		Name:        d.cfg.Name,
		Zone:        d.cfg.Zone,
		Data:        d.cfg.DataAddress,
		Control:     d.cfg.ControlAddress,
		RPC:         d.cfg.ControlAddress,
		Incarnation: peer.Incarnation(d.boot.UnixMilli()),
		Boot:        rand.Uint64(),
	}
	d.bundles = newBundles(ctx, d)
	c, err := newControl(d, self)
	if err != nil {
		return nil, err
	}
	d.control = c
	return c.start(ctx), nil
}

// apply puts a verified bundle in force.
func (d *Daemon) apply(s *bundle.Signed, b *bundle.Bundle) {
	d.engine.SetRouting(bundle.NewRouting(s.Version, b, d.engine.Routing()))
	d.evacuations.set(b.Evacuated, s.Version, time.Now())
	d.control.setBundle(s.Version)
	d.readyOnce.Do(func() { close(d.ready) })
	klog.InfoS("Bundle in force", "Version", s.Version, "PreparedBy", s.PreparedBy, "ApprovedBy", s.ApprovedBy)
}

// Ready returns a channel that is closed once a bundle is in force.
func (d *Daemon) Ready() <-chan struct{} { return d.ready }

// ErrLeaveTimeout is returned by Leave if the daemon could not hand over its records
// within LeaveTimeout.
var ErrLeaveTimeout = eris.New("daemon: the time to leave ran out")

// Leave shuts the daemon down gracefully: the daemon stops owning flows, hands its
// records over to other members, lets requests in progress complete, and forwards
// packets for a further LeaveLinger, in which the fabric stops sending them. All this
// takes LeaveTimeout at most. Leave returns ErrLeaveTimeout if the handover takes longer.
func (d *Daemon) Leave() error {
	timeout := time.After(time.Duration(d.cfg.LeaveTimeout))
	d.control.announceLeaving()
	klog.InfoS("Leaving", "Flows", d.engine.Flows.Len(), "OpenRequests", d.engine.Requests.Open())
	handedOver := d.sweeper.startHandover()
	select {
	case <-handedOver:
	case <-timeout:
		return eris.Wrapf(ErrLeaveTimeout, "%d flows and %d requests remained",
			d.engine.Flows.Len(), d.engine.Requests.Open())
	}
	select {
	case <-time.After(time.Duration(d.cfg.LeaveLinger)):
	case <-timeout:
	}
	d.control.announceLeft()
	klog.InfoS("Left", "Flows", d.engine.Flows.Len())
	return nil
}
