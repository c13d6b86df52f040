package main

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/process/operator"
	"github.com/fescueshed/fescueshed/internal/process/settings"
	"github.com/fescueshed/fescueshed/internal/standin/caller"
	"github.com/fescueshed/fescueshed/internal/standin/fabric"
	"github.com/fescueshed/fescueshed/internal/standin/ledger"
	"github.com/fescueshed/fescueshed/internal/standin/upstream"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/platform"
)

// trial is one run: the processes and what they are told.
type trial struct {
	opts   *runCommand
	dir    string
	deploy deployment
	began  time.Time
	binary string
	key    *operator.KeyFile
	secret []byte

	platform  *standIn
	fabric    *standIn
	upstreams []*standIn
	callers   []*standIn

	// mu guards balancers and routed.
	mu        sync.Mutex
	balancers []*balancer
	// routed are the balancers that the fabric sends to.
	routed []netip.AddrPort
}

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

func (t *trial) start(ctx context.Context) error {
	t.began = time.Now()
	t.secret = make([]byte, secretBytes)
	_, _ = rand.Read(t.secret)
	if t.binary = t.opts.Binary; t.binary == "" {
		t.say("building the balancer")
		binary, err := buildProduct(ctx, t.dir)
		if err != nil {
			return err
		}
		t.binary = binary
	}
	t.began = time.Now()
	steps := []func(context.Context) error{
		t.startPlatform, t.startBalancers, t.roll, t.startFabric, t.startUpstreams, t.route, t.awaitReady,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (t *trial) startPlatform(ctx context.Context) error {
	key, err := operator.NewKey("approver", filepath.Join(t.dir, "approver.key"))
	if err != nil {
		return err
	}
	t.key = key
	t.platform, err = startStandIn(ctx, "platform", "platform", t.dir, platformConfig{Address: platformAddress()})
	return err
}

func (t *trial) startBalancers(ctx context.Context) error {
	for i := range t.opts.Balancers {
		if _, err := t.addBalancer(ctx, i); err != nil {
			return err
		}
	}
	t.say("%d balancers in %d zones", t.opts.Balancers, len(t.deploy.zones))
	return nil
}

// addBalancer starts a daemon on a new host and puts it on the platform's list.
func (t *trial) addBalancer(ctx context.Context, i int) (*balancer, error) {
	b, err := t.startBalancer(i)
	if err != nil {
		return nil, err
	}
	return b, t.listHosts(ctx)
}

// startBalancer starts a daemon on a host that runs none yet.
func (t *trial) startBalancer(i int) (*balancer, error) {
	zone := i % len(t.deploy.zones)
	b := &balancer{
		host: host{
			name:    fmt.Sprintf("balancer-%d", i+1),
			zone:    t.deploy.zones[zone],
			data:    address(netBalancer, zone+1, i+1, dataPort),
			control: address(netBalancer, zone+1, i+1, controlPort),
			admin:   address(netBalancer, zone+1, i+1, adminPort),
		},
		binary: t.binary,
	}
	b.settings = filepath.Join(t.dir, b.name+".hujson")
	b.logFile = filepath.Join(t.dir, b.name+".log")
	if err := os.WriteFile(b.settings, t.settings(&b.host), fileMode); err != nil {
		return nil, eris.Wrap(err, b.name)
	}
	t.mu.Lock()
	t.balancers = append(t.balancers, b)
	t.mu.Unlock()
	return b, b.start()
}

func (t *trial) settings(h *host) []byte {
	s := settings.Defaults()
	s.Name, s.Zone = h.name, h.zone
	s.DataAddress, s.ControlAddress, s.AdminAddress = h.data, h.control, h.admin
	s.Platform = "http://" + platformAddress().String()
	s.Fabrics = []netip.AddrPort{fabricAddress()}
	s.Operators = []bundle.Operator{{Name: t.key.Name, Key: t.publicKey()}}
	s.Secret = t.secret
	for i := range minBalancers {
		s.Seeds = append(s.Seeds, address(netBalancer, i%len(t.deploy.zones)+1, i+1, controlPort))
	}
	s.Debug = true
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		panic(err) // Settings always encode.
	}
	return append([]byte("// Settings of "+h.name+", written by try.\n"), b...)
}

func (t *trial) publicKey() []byte {
	b, err := base64.StdEncoding.DecodeString(t.key.Public())
	if err != nil {
		panic(err) // The key file encodes it so.
	}
	return b
}

func (t *trial) listHosts(ctx context.Context) error {
	t.mu.Lock()
	hosts := make([]platform.Host, 0, len(t.balancers))
	for _, b := range t.balancers {
		hosts = append(hosts, platform.Host{Name: b.name, Control: b.control})
	}
	t.mu.Unlock()
	return t.platform.call(ctx, methodHosts, hosts, nil)
}

// roll takes the bundle through the operators' own commands.
func (t *trial) roll(ctx context.Context) error {
	src, err := json.MarshalIndent(t.deploy.bundle(), "", "  ")
	if err != nil {
		return eris.Wrap(err, "bundle")
	}
	return t.rollContent(ctx, append([]byte("// First bundle of the trial.\n"), src...))
}

func (t *trial) rollContent(ctx context.Context, src []byte) error {
	file := func(name string) string { return filepath.Join(t.dir, name) }
	if err := os.WriteFile(file("bundle.hujson"), src, fileMode); err != nil {
		return eris.Wrap(err, "bundle")
	}
	at := "--platform=http://" + platformAddress().String()
	for _, args := range [][]string{
		{"bundle", "prepare", at, "--by=preparer", "--out=" + file("prepared.json"), file("bundle.hujson")},
		{"bundle", "approve", "--key=" + file("approver.key"), "--out=" + file("approved.json"), file("prepared.json")},
		{"bundle", "roll", at, file("approved.json")},
	} {
		out, err := exec.CommandContext(ctx, t.binary, args...).CombinedOutput()
		if err != nil {
			return fmt.Errorf("%v: %w\n%s", args[:2], err, out)
		}
		t.say("%s", out[:max(len(out)-1, 0)])
	}
	return nil
}

func (t *trial) startFabric(ctx context.Context) error {
	cfg := fabric.Config{Address: fabricAddress(), Delay: t.deploy.clientDelay}
	for i, s := range t.deploy.services {
		cfg.Services = append(cfg.Services, fabric.Service{VNI: s.vni, Address: serviceAddress(i)})
	}
	var err error
	t.fabric, err = startStandIn(ctx, "fabric", "fabric", t.dir, cfg)
	return err
}

func (t *trial) startUpstreams(ctx context.Context) error {
	for i, s := range t.deploy.services {
		for n := range s.upstreams {
			name := fmt.Sprintf("%s-%d", s.name, n+1)
			u, err := startStandIn(ctx, "upstream", name, t.dir, upstream.Config{
				Service: s.name, Name: name, Zone: t.deploy.zones[n%len(t.deploy.zones)], VNI: s.vni,
				Address: upstreamAddress(i, n), Services: []netip.AddrPort{serviceAddress(i)},
				Slots: s.slots, ServiceTime: s.work, FeedPeriod: s.feed,
			})
			if err != nil {
				return err
			}
			t.upstreams = append(t.upstreams, u)
		}
	}
	t.say("%d upstreams", len(t.upstreams))
	return nil
}

func (t *trial) startCallers(ctx context.Context) error {
	for i, s := range t.deploy.services {
		callers := s.callers
		if i == 0 && t.opts.Callers > 0 {
			callers = t.opts.Callers
		}
		c, err := startStandIn(ctx, "caller", "callers-of-"+s.name, t.dir, caller.Config{
			Name: s.name, Service: s.name, Address: serviceAddress(i), Callers: callers,
			Period: t.opts.Period, FeedSilence: 5*time.Second + s.feed, RequestTimeout: 12 * time.Second,
			Seed: t.opts.Seed + uint64(i),
		})
		if err != nil {
			return err
		}
		t.callers = append(t.callers, c)
	}
	return nil
}

// route lets the fabric send to all balancers.
func (t *trial) route(ctx context.Context) error {
	t.mu.Lock()
	t.routed = nil
	for _, b := range t.balancers {
		t.routed = append(t.routed, b.data)
	}
	t.mu.Unlock()
	return t.tellFabric(ctx)
}

// setRouted adds a balancer to those that the fabric sends to, or takes it out.
func (t *trial) setRouted(ctx context.Context, b *balancer, on bool) error {
	t.mu.Lock()
	t.routed = slices.DeleteFunc(t.routed, func(a netip.AddrPort) bool { return a == b.data })
	if on {
		t.routed = append(t.routed, b.data)
	}
	t.mu.Unlock()
	return t.tellFabric(ctx)
}

func (t *trial) tellFabric(ctx context.Context) error {
	t.mu.Lock()
	routed := slices.Clone(t.routed)
	t.mu.Unlock()
	for _, s := range append([]*standIn{t.fabric}, t.upstreams...) {
		if err := s.call(ctx, methodBalancers, routed, nil); err != nil {
			return err
		}
	}
	return nil
}

func (t *trial) awaitReady(ctx context.Context) error {
	for _, b := range t.balancers {
		if err := awaitReady(ctx, b); err != nil {
			return err
		}
	}
	t.say("all balancers are ready")
	return nil
}

func awaitReady(ctx context.Context, b *balancer) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.admin.String()+"/readyz", http.NoBody)
		if err != nil {
			return eris.Wrap(err, b.name)
		}
		resp, err := http.DefaultClient.Do(r)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s didn't become ready within %v", b.name, readyTimeout)
		case <-time.After(readyPoll):
		}
	}
}

// work lets callers work for the trial's time and brings the failures about.
func (t *trial) work(ctx context.Context, fails []failure) error {
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

func (t *trial) progress(ctx context.Context) {
	var sum ledger.Report
	for _, c := range t.callers {
		var l ledger.Caller
		if err := c.call(ctx, methodLedger, nil, &l); err != nil {
			continue
		}
		sum.Requests += l.Requests
		sum.Answered += l.Answered
		sum.Flows += l.Flows
	}
	t.say("%d flows open, %d of %d requests answered", sum.Flows, sum.Answered, sum.Requests)
}

// collect ends the callers and reads all ledgers.
func (t *trial) collect(ctx context.Context) (ledger.Report, []string, error) {
	callers := make([]ledger.Caller, len(t.callers))
	var broken []string
	for i, c := range t.callers {
		if err := c.call(ctx, methodFinish, nil, &callers[i]); err != nil {
			return ledger.Report{}, nil, err
		}
		broken = append(broken, callers[i].Broken...)
	}
	upstreams := make([]ledger.Upstream, len(t.upstreams))
	for i, u := range t.upstreams {
		if err := u.call(ctx, methodLedger, nil, &upstreams[i]); err != nil {
			return ledger.Report{}, nil, err
		}
	}
	return ledger.Merge(callers, upstreams), broken, nil
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

func printReport(r *ledger.Report) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w)
	row := func(name string, v any) { fmt.Fprintf(w, "%s\t%v\t\n", name, v) }
	row("requests", r.Requests)
	row("answered", r.Answered)
	row("refused, not run", r.Refused)
	row("unknown outcome", r.Unknown)
	row("no answer", r.TimedOut)
	row("flows", r.Flows)
	row("broken flows", r.BrokenFlows)
	row("wrong answers", r.WrongAnswers)
	row("wrong service", r.WrongService)
	row("run twice", r.DoubleRuns)
	row("run after refusal", r.RanAfterRefusal)
	row("imbalance", fmt.Sprintf("%.3f", r.Imbalance))
	_ = w.Flush()
}
