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
	// awakePeriod is how often the process shows itself that it runs. It is much
	// less than pauseLimit, also on a host that gets its processor by tenths of a
	// second.
	awakePeriod = 50 * time.Millisecond
	memberTick  = 100 * time.Millisecond
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
	pauses   *timer.PauseDetector
	data     *data
	members  *members
	probes   *probes
	logs     *decisionLog
	// answered and probed are the histograms of times in seconds.
	answered, probed metrics.Histogram
	started          time.Time
	leaving          atomic.Bool
	start            *startup
	// unusable counts stored objects that couldn't be used, each time they were read.
	unusable  atomic.Uint64
	departure departure
	outdated  outdated

	// mu guards what follows.
	mu      sync.Mutex
	engine  *cookie.Engine
	warmers *peer.WarmupLimiter
	reading peer.ReaderElection
	known   knowledge
	// origin is the daemon whose news were heard last, passed the last news that this
	// daemon passed on.
	origin peer.ID
	passed word
}

// New opens the sockets of a daemon and starts its parts. The clean-up function
// ends them at once; Leave ends them gracefully before.
func New(ctx context.Context, cfg *settings.Cookie, p metadata.Platform) (*Carrier, func(), error) {
	c := &Carrier{
		platform: p,
		pauses:   timer.NewPauseDetector(pauseLimit),
		logs:     newDecisionLog(cfg.LogsPerSecond),
		started:  time.Now(),
		known:    knowledge{catalog: registry.NewCatalog()},
	}
	c.start = newStartup(c.started, cfg.FirstStart)
	c.warmers = peer.NewWarmupLimiter(peer.IDOf(cfg.Name), c.started.Add(JoinedAfter))
	c.engine = cookie.NewEngine(cookie.Options{
		WarmupLimiter: c.warmers,
		Zone:          cfg.Zone,
		Regions:       cfg.Regions,
		Policy:        upstream.NewZoneAware(cfg.Zone, upstream.DefaultChoices),
		FlowLifetime:  time.Duration(cfg.FlowLifetime),
		OnAnswered:    func(took time.Duration) { c.answered.Update(took.Seconds()) },
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
	t.Subscribe(awakePeriod, c.awake)
	t.Subscribe(memberTick, c.members.tick)
	t.Subscribe(sweepPeriod, c.sweep)
	t.Subscribe(peer.StartupReportPeriod, c.tellEagerly)
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
func (c *Carrier) Ready() bool { return c.placesFlows() && !c.leaving.Load() }

// placesFlows reports whether the daemon knows enough to place flows.
func (c *Carrier) placesFlows() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready()
}

// ready is placesFlows while c.mu is held. Without the evacuated zones no flow is placed: the first
// ones would enter a zone that is being emptied.
func (c *Carrier) ready() bool {
	return c.engine.Ready() && !c.known.confirmed[kindEvacuations].IsZero()
}

// noteReady lets those go on that wait for the daemon to know enough to place flows. c.mu is
// held.
func (c *Carrier) noteReady() {
	if c.ready() {
		c.start.ready.happen()
	}
}

// Version returns the version of the bundle in force, or zero.
func (c *Carrier) Version() bundle.Version { return c.inForce.Version() }

// Upstreams returns how many registered upstreams the daemon routes by.
func (c *Carrier) Upstreams() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.known.catalog.InUse() {
		if r.HasContent() {
			n++
		}
	}
	return n
}

// Takes returns how many registered upstreams may get new flows, as far as their entries say.
func (c *Carrier) Takes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.known.catalog.InUse() {
		if !r.Unusable && !r.Draining {
			n++
		}
	}
	return n
}

// Members returns how many daemons this one knows, itself among them.
func (c *Carrier) Members() int { return len(c.members.view.Load().Members) }

// Reads reports whether the daemon reads the store now.
func (c *Carrier) Reads() bool { return c.reads(time.Now()) }

// awake runs often: it notices pauses, sends due probes and lets doubts of the
// store's list end.
func (c *Carrier) awake(now time.Time) {
	c.pauses.Observe(now)
	c.mu.Lock()
	c.expireList(now)
	c.expireEvacuations(now)
	due := c.engine.DueProbes(now)
	c.mu.Unlock()
	c.probes.send(due)
}

// sweep forgets flows that went and tells the zone what this daemon counts.
func (c *Carrier) sweep(now time.Time) {
	c.mu.Lock()
	c.warmers.Update(c.members.view.Load(), now)
	c.engine.Expire(now)
	c.mu.Unlock()
	c.members.tellLoads(now)
	c.members.tellNews(now)
	c.members.passed.forget(now)
	c.members.lines.sum(c.Members(), now)
}

// tellEagerly tells loads more often for a while after the start.
func (c *Carrier) tellEagerly(now time.Time) {
	if peer.UsesStartupReportPeriod(now.Sub(c.started)) {
		c.members.tellLoads(now)
	}
}

// Leave serves on until routers have stopped sending packets here.
func (c *Carrier) Leave() {
	began := time.Now()
	c.departure.begin(began, c.cfg.Load().LingerLimit())
	c.leaving.Store(true)
	c.members.leave()
	klog.InfoS("Leaving", "Flows", c.flows())
	for now := began; !c.departure.over(now); now = time.Now() {
		time.Sleep(departurePoll)
	}
	c.members.left()
	klog.InfoS("Left", "Flows", c.flows(), "After", time.Since(began))
}

// checkReady answers a readiness check.
func (c *Carrier) checkReady() bool {
	if c.Ready() {
		return true
	}
	c.departure.checked(time.Now())
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
