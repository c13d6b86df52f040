package carrier

import (
	"context"
	"crypto/sha256"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/metadata"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/process/settings"
	"github.com/fescueshed/fescueshed/internal/process/steps"
	"github.com/fescueshed/fescueshed/internal/process/timer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// The periods at which the parts of a daemon look at the time.
const (
	// tickPeriod is how often the process shows itself that it runs. It is much
	// less than pauseLimit, also on a host that gets its processor by tenths of a
	// second.
	tickPeriod = 50 * time.Millisecond
	memberTickPeriod  = 100 * time.Millisecond
	sweepPeriod = 500 * time.Millisecond
	// pauseLimit is how long the process may not run without being taken for
	// paused. A shorter one would take a host whose share of a tenth of a second is
	// used up for paused; callers repeat a first packet after 200 ms, and only
	// copies that are older than the next one can do harm.
	pauseLimit = 300 * time.Millisecond
)

// Carrier is a running balancer.
type Carrier struct {
	cfg      atomic.Pointer[settings.Cookie]
	platform metadata.Platform
	inForce  bundle.InForce
	pauses   *timer.Pauses
	data     *data
	members  *members
	probes   *probes
	logs     *decisionLog
	// answerSeconds and probeSeconds are the histograms of times in seconds.
	answerSeconds, probeSeconds metrics.Histogram
	started          time.Time
	leaving          atomic.Bool
	start            *startup
	// unusable counts stored objects that couldn't be used, each time they were read.
	unusable  atomic.Uint64
	departure departure
	outdatedAnswers  outdatedCounts

	// mu guards what follows.
	mu      sync.Mutex
	engine  *cookie.Engine
	warmupLimiters *peer.Warmers
	election peer.Reading
	state   storeState
	// lastOrigin is the daemon whose news were heard last, passed the last news that this
	// daemon passed on.
	lastOrigin peer.ID
	lastRelayed advertisementSummary
}

// New opens the sockets of a daemon and starts its parts. The clean-up function
// ends them at once; Leave ends them gracefully before.
func New(ctx context.Context, cfg *settings.Cookie, p metadata.Platform) (*Carrier, func(), error) {
	c := &Carrier{
		platform: p,
		pauses:   timer.NewPauses(pauseLimit),
		logs:     newDecisionLog(cfg.LogsPerSecond),
		started:  time.Now(),
		state:    storeState{catalog: registry.NewCatalog()},
	}
	c.start = newStartup(c.started, cfg.FirstStart)
	c.warmupLimiters = peer.NewWarmers(peer.IDOf(cfg.Name), c.started.Add(JoinDuration))
	c.engine = cookie.NewEngine(cookie.Options{
		Warmer:       c.warmupLimiters,
		Zone:         cfg.Zone,
		Regions:      cfg.Regions,
		Policy:       upstream.NewZoned(cfg.Zone, upstream.DefaultChoices),
		FlowLifetime: time.Duration(cfg.FlowLifetime),
		Answered:     func(took time.Duration) { c.answerSeconds.Update(took.Seconds()) },
	})
	c.cfg.Store(cfg)
	cleanup, err := steps.Run(ctx,
		c.startData, c.startProbes, c.startMembers, c.startStore, c.startContacts, c.startReadiness, c.startMetrics, c.startTimer)
	if err != nil {
		return nil, nil, err
	}
	klog.InfoS("Daemon started", "Name", cfg.Name, "Zone", cfg.Zone, "Data", cfg.DataAddress, "Store", cfg.Store)
	return c, cleanup, nil
}

func (c *Carrier) startTimer(context.Context) (func(), error) {
	t, stop := timer.New()
	t.Subscribe(tickPeriod, c.tick)
	t.Subscribe(memberTickPeriod, c.members.tick)
	t.Subscribe(sweepPeriod, c.sweep)
	t.Subscribe(peer.EagerPeriod, c.sendLoadsEagerly)
	return stop, nil
}

// keys returns the secrets that daemons share.
func keys(cfg *settings.Cookie) peer.Keys {
	k := peer.Keys{Seal: cfg.Secret}
	if len(k.Seal) == 0 {
		derived := sha256.Sum256([]byte(cfg.Store))
		k.Seal = derived[:]
	}
	for _, s := range cfg.AcceptedSecrets {
		k.Accept = append(k.Accept, s)
	}
	return k
}

// Ready reports whether routers should send packets here.
func (c *Carrier) Ready() bool { return c.canPlaceFlows() && !c.leaving.Load() }

// canPlaceFlows reports whether the daemon knows enough to place flows.
func (c *Carrier) canPlaceFlows() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.canPlaceFlowsLocked()
}

// canPlaceFlowsLocked is placesFlows while c.mu is held. Without the evacuated zones no flow is placed: the first
// ones would enter a zone that is being emptied.
func (c *Carrier) canPlaceFlowsLocked() bool {
	return c.engine.Ready() && !c.state.confirmed[kindEvacuations].IsZero()
}

// signalIfReady lets those go on that wait for the daemon to know enough to place flows. c.mu is
// held.
func (c *Carrier) signalIfReady() {
	if c.canPlaceFlowsLocked() {
		c.start.ready.set()
	}
}

// Version returns the version of the bundle in force, or zero.
func (c *Carrier) Version() bundle.Version { return c.inForce.Version() }

// Upstreams returns how many registered upstreams the daemon routes by.
func (c *Carrier) Upstreams() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.state.catalog.InUse() {
		if r.Known() {
			n++
		}
	}
	return n
}

// AvailableUpstreams returns how many registered upstreams may get new flows, as far as their entries say.
func (c *Carrier) AvailableUpstreams() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.state.catalog.InUse() {
		if !r.Unusable && !r.Draining {
			n++
		}
	}
	return n
}

// Members returns how many daemons this one knows, itself among them.
func (c *Carrier) Members() int { return len(c.members.view.Load().Members) }

// ReadsStore reports whether the daemon reads the store now.
func (c *Carrier) ReadsStore() bool { return c.shouldReadStore(time.Now()) }

// tick runs often: it notices pauses, sends due probes and lets doubts of the
// store's list end.
func (c *Carrier) tick(now time.Time) {
	c.pauses.Seen(now)
	c.mu.Lock()
	c.expireHeldUpstreams(now)
	c.expireEvacuations(now)
	due := c.engine.DueProbes(now)
	c.mu.Unlock()
	c.probes.send(due)
}

// sweep forgets flows that went and tells the zone what this daemon counts.
func (c *Carrier) sweep(now time.Time) {
	c.mu.Lock()
	c.warmupLimiters.See(c.members.view.Load(), now)
	c.engine.Expire(now)
	c.mu.Unlock()
	c.members.sendLoads(now)
	c.members.advertise(now)
	c.members.relayed.expire(now)
	c.members.changes.sum(c.Members(), now)
}

// sendLoadsEagerly tells loads more often for a while after the start.
func (c *Carrier) sendLoadsEagerly(now time.Time) {
	if peer.TellsEagerly(now.Sub(c.started)) {
		c.members.sendLoads(now)
	}
}

// Leave serves on until routers have stopped sending packets here.
func (c *Carrier) Leave() {
	began := time.Now()
	c.departure.begin(began, c.cfg.Load().LingerLimit())
	c.leaving.Store(true)
	c.members.sendLeaving()
	klog.InfoS("Leaving", "Flows", c.flows())
	for now := began; !c.departure.mayEnd(now); now = time.Now() {
		time.Sleep(departurePoll)
	}
	c.members.sendLeft()
	klog.InfoS("Left", "Flows", c.flows(), "After", time.Since(began))
}

// checkReady answers a readiness check.
func (c *Carrier) checkReady() bool {
	if c.Ready() {
		return true
	}
	c.departure.readinessRefused(time.Now())
	return false
}

func (c *Carrier) flows() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.engine.Flows()
}

// Reload puts changed settings in force. Addresses are those of open sockets and
// stay until the process is started again.
func (c *Carrier) Reload(cfg *settings.Cookie) {
	old := c.cfg.Load()
	if cfg.DataAddress != old.DataAddress || cfg.ControlAddress != old.ControlAddress || cfg.Zone != old.Zone {
		klog.InfoS("Settings refused: addresses and zone need a restart", "Data", cfg.DataAddress, "Zone", cfg.Zone)
		return
	}
	c.platform.Store.SetBase(cfg.Store)
	c.members.setKeys(keys(cfg))
	c.mu.Lock()
	c.engine.SetRegions(cfg.Regions)
	c.mu.Unlock()
	c.cfg.Store(cfg)
	klog.InfoS("Settings in force", "Store", cfg.Store, "Seeds", cfg.Seeds)
}
