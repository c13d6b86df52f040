package cookiedaemon

import (
	"context"
	"crypto/sha256"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/admission"
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

// Periods of the daemon's timers.
const (
	// tickPeriod is how often the process records that it is running. It is much shorter than
	// pauseLimit, even on a host that is given its CPU share in slices of a tenth of a second.
	tickPeriod = 50 * time.Millisecond
	// memberTickPeriod is how often the timers of the membership are checked.
	memberTickPeriod = 100 * time.Millisecond
	// sweepPeriod is how often flows expire and loads and advertisements are sent.
	sweepPeriod = 500 * time.Millisecond
	// pauseLimit is how long the process may stand still before it is treated as paused. A shorter
	// limit would treat a host that has used up its CPU share for a tenth of a second as paused.
	// Callers retransmit a first packet after 200 ms, and only copies older than the next
	// retransmission can do harm.
	pauseLimit = 300 * time.Millisecond
)

// Daemon is a running balancer.
type Daemon struct {
	cfg      atomic.Pointer[settings.Cookie]
	platform metadata.Platform
	inForce  bundle.InForce
	pauses   *timer.PauseDetector
	data     *data
	members  *members
	probes   *probes
	logs     *decisionLog
	// answerSeconds and probeSeconds are histograms of durations in seconds.
	answerSeconds, probeSeconds metrics.Histogram
	started                     time.Time
	// leaving is set once Leave was called.
	leaving atomic.Bool
	start   *startup
	// admission says that this daemon decides on the admission of new flows. It doesn't change while
	// the daemon runs.
	admission bool
	// unusable counts stored objects that could not be used, once for each read.
	unusable atomic.Uint64
	// bundleFindings is the number of parts of the newest bundle that can't be used as written.
	bundleFindings  atomic.Int64
	departure       departure
	outdatedAnswers kindCounts
	// unreadableAnswers counts answers that couldn't be decoded.
	unreadableAnswers kindCounts

	// mu guards the fields below.
	mu            sync.Mutex
	engine        *cookie.Engine
	warmupLimiter *peer.WarmupLimiter
	election      peer.ReaderElection
	state         storeState
	// lastOrigin is the daemon from which the last received advertisement originates. lastRelayed
	// summarizes the last advertisement that this daemon relayed.
	lastOrigin  peer.ID
	lastRelayed advertisementSummary
	// lastAdvertised is the latest change of the catalog that this daemon advertised.
	lastAdvertised registry.ChangeNumber
}

// New opens the sockets of a daemon and starts its parts. The returned clean-up function stops them
// immediately; call Leave before it for a graceful shutdown. After an error nothing is left running.
func New(ctx context.Context, cfg *settings.Cookie, p metadata.Platform) (*Daemon, func(), error) {
	d := &Daemon{
		platform: p,
		pauses:   timer.NewPauseDetector(pauseLimit),
		logs:     newDecisionLog(cfg.LogsPerSecond),
		started:  time.Now(),
		state:    storeState{catalog: registry.NewCatalog()},
	}
	d.start = newStartup(d.started, cfg.FirstStart)
	control := newAdmission(cfg, &p)
	d.admission = control != nil
	d.warmupLimiter = peer.NewWarmupLimiter(peer.IDOf(cfg.Name), d.started.Add(JoinDuration))
	d.engine = cookie.NewEngine(cookie.Options{
		WarmupLimiter: d.warmupLimiter,
		Zone:          cfg.Zone,
		Regions:       cfg.Regions,
		Policy:        upstream.NewZoneAware(cfg.Zone, upstream.DefaultChoices),
		FlowLifetime:  time.Duration(cfg.FlowLifetime),
		Admission:     control,
		Inquire:       true,
		OnAnswered:    func(took time.Duration) { d.answerSeconds.Update(took.Seconds()) },
	})
	d.cfg.Store(cfg)
	cleanup, err := steps.Run(ctx,
		d.startData, d.startProbes, d.startMembers, d.startStore, d.startContacts, d.startReadiness, d.startMetrics, d.startTimer)
	if err != nil {
		return nil, nil, err
	}
	klog.InfoS("Daemon started", "Name", cfg.Name, "Zone", cfg.Zone, "Data", cfg.DataAddress, "Store", cfg.Store,
		"Admission", d.admission)
	return d, cleanup, nil
}

// newAdmission returns the admission control of a daemon, or nil unless the settings or the
// platform ask for it.
func newAdmission(cfg *settings.Cookie, p *metadata.Platform) *admission.Control {
	if !cfg.Admission && !p.RequestsAdmission(cfg.PlatformTerms) {
		return nil
	}
	c := admission.New()
	c.Start(time.Now())
	return c
}

func (d *Daemon) startTimer(context.Context) (func(), error) {
	t, stop := timer.New()
	t.Subscribe(tickPeriod, d.tick)
	t.Subscribe(memberTickPeriod, d.members.tick)
	t.Subscribe(sweepPeriod, d.sweep)
	t.Subscribe(peer.StartupReportPeriod, d.sendLoadsEagerly)
	return stop, nil
}

// keys returns the secrets shared by the daemons.
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

// Ready reports whether routers should send packets to this daemon.
func (d *Daemon) Ready() bool { return d.canPlaceFlows() && !d.leaving.Load() }

// canPlaceFlows reports whether the daemon has the state that it needs to place flows.
func (d *Daemon) canPlaceFlows() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.canPlaceFlowsLocked()
}

// canPlaceFlowsLocked is canPlaceFlows for callers that hold d.mu. No flow is placed before the
// evacuated zones are known: the first flows could otherwise enter a zone that is being evacuated.
func (d *Daemon) canPlaceFlowsLocked() bool {
	return d.engine.Ready() && !d.state.confirmed[kindEvacuations].IsZero()
}

// signalIfReady sets the ready event once the daemon can place flows. d.mu must be held.
func (d *Daemon) signalIfReady() {
	if d.canPlaceFlowsLocked() {
		d.start.ready.set()
	}
}

// Version returns the version of the bundle in force, or zero.
func (d *Daemon) Version() bundle.Version { return d.inForce.Version() }

// Upstreams returns the number of registered upstreams in use.
func (d *Daemon) Upstreams() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, r := range d.state.catalog.InUse() {
		if r.HasContent() {
			n++
		}
	}
	return n
}

// AvailableUpstreams returns the number of registered upstreams that may get new flows according to
// their store entries.
func (d *Daemon) AvailableUpstreams() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, r := range d.state.catalog.InUse() {
		if !r.Unusable && !r.Draining {
			n++
		}
	}
	return n
}

// Members returns the number of known daemons, including this one.
func (d *Daemon) Members() int { return len(d.members.view.Load().Members) }

// ReadsStore reports whether the daemon currently reads the store.
func (d *Daemon) ReadsStore() bool { return d.shouldReadStore(time.Now()) }

// tick runs every tickPeriod. It records that the process is running, expires the upstreams and
// evacuations that are held in place of the store's content, and sends the probes and the placements
// that are due.
func (d *Daemon) tick(now time.Time) {
	d.pauses.Observe(now)
	d.mu.Lock()
	d.expireHeldUpstreams(now)
	d.expireEvacuations(now)
	due := d.engine.DueProbes(now)
	d.mu.Unlock()
	d.probes.send(due)
	d.members.placements.tick(now)
}

// sweep runs every sweepPeriod. It expires flows and sends this daemon's loads, counts by class and
// advertisement.
func (d *Daemon) sweep(now time.Time) {
	d.mu.Lock()
	d.warmupLimiter.Update(d.members.view.Load(), now)
	d.engine.Expire(now)
	resets := d.engine.EndUnrouted()
	d.mu.Unlock()
	d.data.resets(resets)
	d.members.sendLoads(now)
	d.members.rotateClasses(now)
	d.members.sendClasses(now)
	d.members.advertise(now)
	d.members.placements.followView()
	d.members.relayed.expire(now)
	d.members.changes.logSummaries(d.Members(), now)
}

// sendLoadsEagerly sends loads and counts by class at a shorter period for a while after the start.
func (d *Daemon) sendLoadsEagerly(now time.Time) {
	if peer.UsesStartupReportPeriod(now.Sub(d.started)) {
		d.members.sendLoads(now)
		d.members.sendClasses(now)
	}
}

// Leave announces that the daemon leaves, and goes on forwarding until routers have stopped sending
// packets to it.
func (d *Daemon) Leave() {
	began := time.Now()
	d.departure.begin(began, d.cfg.Load().LingerLimit())
	d.leaving.Store(true)
	d.members.announceLeaving()
	klog.InfoS("Leaving", "Flows", d.flows())
	for now := began; !d.departure.mayEnd(now); now = time.Now() {
		time.Sleep(departurePoll)
	}
	d.members.announceLeft()
	klog.InfoS("Left", "Flows", d.flows(), "After", time.Since(began))
}

// checkReady answers a readiness check, and counts the ones it refuses while leaving.
func (d *Daemon) checkReady() bool {
	if d.Ready() {
		return true
	}
	d.departure.readinessRefused(time.Now())
	return false
}

func (d *Daemon) flows() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engine.Flows()
}

// Reload puts changed settings in force. It refuses a change of the zone or of an address of an
// open socket, which needs a restart. A change that switches admission control takes effect on
// restart; the other changes that came with it are in force before, as the platform may need a long
// time to restart all hosts.
func (d *Daemon) Reload(cfg *settings.Cookie) {
	old := d.cfg.Load()
	if cfg.DataAddress != old.DataAddress || cfg.ControlAddress != old.ControlAddress || cfg.Zone != old.Zone {
		klog.InfoS("Settings refused: addresses and zone need a restart", "Data", cfg.DataAddress, "Zone", cfg.Zone)
		return
	}
	d.platform.Store.SetBase(cfg.Store)
	d.members.setKeys(keys(cfg))
	d.mu.Lock()
	d.engine.SetRegions(cfg.Regions)
	d.mu.Unlock()
	d.cfg.Store(cfg)
	if on := newAdmission(cfg, &d.platform) != nil; on != d.admission {
		klog.InfoS("Admission control changes on restart", "Admission", d.admission, "AfterRestart", on)
	}
	klog.InfoS("Settings in force", "Store", cfg.Store, "Seeds", cfg.Seeds)
}
