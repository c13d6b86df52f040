package cookiedaemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// probes sends health probes to suspected upstreams.
type probes struct {
	daemon *Daemon
	ctx    context.Context
	wg     sync.WaitGroup
	sent   atomic.Uint64
}

// healthTimeout bounds the wait for the health answer once a connection is accepted. A busy
// upstream may take long; that it accepted shows already that it is alive.
const healthTimeout = 500 * time.Millisecond

func (d *Daemon) startProbes(ctx context.Context) (func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	d.probes = &probes{daemon: d, ctx: ctx}
	return func() {
		cancel()
		d.probes.wg.Wait()
	}, nil
}

// send starts the given probes, each in a goroutine of its own.
func (p *probes) send(due []cookie.Probe) {
	for _, probe := range due {
		p.wg.Go(func() { p.probe(probe) })
	}
}

// probe sends one probe and passes its result to the engine.
func (p *probes) probe(pr cookie.Probe) {
	sent := time.Now()
	p.sent.Add(1)
	if pr.Check {
		p.checkReachability(pr.Upstream)
		return
	}
	r := p.connect(pr, sent)
	now := time.Now()
	p.daemon.probeSeconds.Update(now.Sub(sent).Seconds())
	d := p.daemon
	d.mu.Lock()
	before := d.engine.Health(pr.Upstream.ID)
	resets := d.engine.ProbeDone(pr.Upstream.ID, r, sent, now)
	after := d.engine.Health(pr.Upstream.ID)
	d.mu.Unlock()
	d.data.resets(resets)
	if after == cookie.HealthDead && before != after && pr.Registered {
		d.members.announceDead([]bundle.UpstreamID{pr.Upstream.ID})
	}
	if before != after {
		klog.InfoS("Upstream probed", "Upstream", pr.Upstream.Address, "ID", pr.Upstream.ID, "Listed", pr.Registered,
			"Before", before, "After", after, "Result", r, "Took", now.Sub(sent), "FlowsReset", len(resets))
	}
}

// checkReachability checks whether this host reaches an upstream.
func (p *probes) checkReachability(u *bundle.UpstreamRoute) {
	accepted := p.acceptsQuickly(u)
	now := time.Now()
	p.daemon.mu.Lock()
	p.daemon.engine.CheckDone(accepted, now)
	due := p.daemon.engine.DueProbes(now)
	p.daemon.mu.Unlock()
	klog.InfoS("Nobody was heard, an upstream of another zone was asked",
		"Upstream", u.Address, "Zone", u.Zone, "Accepted", accepted, "ProbedNext", len(due))
	p.send(due)
}

// connect connects to the upstream and requests its health. The connection alone shows that
// something listens there; the answer shows which upstream it is.
func (p *probes) connect(pr cookie.Probe, sent time.Time) cookie.ProbeResult {
	a := &attempt{p: p, pr: pr, sent: sent, referenceDone: make(chan struct{})}
	conn, err := p.dial(pr.Upstream, a.scheduleUnacceptedCheck)
	switch outcome := outcomeOf(err); {
	case err == nil:
		return p.identify(conn, pr)
	case outcome == dialAccepted:
		return cookie.ProbeAlive
	case outcome == dialRefused:
		return cookie.ProbeRefused
	case outcome == dialSilent && a.referenceAccepts():
		return cookie.ProbeTimeout
	}
	return cookie.ProbeUnsure
}

// attempt is one connection to a suspected upstream. If it isn't accepted for a while, a connection
// to another upstream, the reference, shows whether the fault is on this host.
type attempt struct {
	p    *probes
	pr   cookie.Probe
	sent time.Time
	// referenceDone is closed once referenceAccepted is set, see referenceAccepts.
	referenceDone     chan struct{}
	referenceAccepted bool
	once              sync.Once
}

// unacceptedDivisor divides the probe's timeout. If a connection isn't accepted within that part
// of the timeout, the reference is connected to.
const unacceptedDivisor = 4

// scheduleUnacceptedCheck is called just before the attempt's first packet is sent. If the
// connection isn't accepted within its part of the timeout, though the reference accepts, the
// upstream is reported as unaccepted.
func (a *attempt) scheduleUnacceptedCheck(conn syscall.RawConn) {
	timeout := time.Duration(a.p.daemon.cfg.Load().ProbeTimeout)
	time.AfterFunc(timeout/unacceptedDivisor, func() {
		if a.p.ctx.Err() == nil && unaccepted(conn) && a.referenceAccepts() && unaccepted(conn) {
			a.p.reportUnaccepted(a.pr, a.sent)
		}
	})
}

// unaccepted reports whether a connection was never accepted, as far as the operating system knows: on a
// host that is short of CPU time, the process may not yet have handled a connection that was
// accepted long ago, although it has already handled the later answer of a reference.
func unaccepted(conn syscall.RawConn) bool {
	pending := false
	err := conn.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		// A connection that was accepted and then reset is closed too, but its round trip is known.
		pending = info.State == unix.BPF_TCP_SYN_SENT || info.State == unix.BPF_TCP_CLOSE && info.Rtt == 0
	})
	return err == nil && pending // After an error the connection is closed: the attempt is over.
}

// referenceAccepts reports whether the reference accepts a connection quickly. It connects only
// once.
func (a *attempt) referenceAccepts() bool {
	a.once.Do(func() {
		a.referenceAccepted = a.p.acceptsQuickly(a.pr.Reference)
		close(a.referenceDone)
	})
	<-a.referenceDone
	return a.referenceAccepted
}

// reportUnaccepted reports to the engine that a probe isn't accepted although its reference was.
func (p *probes) reportUnaccepted(pr cookie.Probe, sent time.Time) {
	now := time.Now()
	d := p.daemon
	d.mu.Lock()
	found, resets := d.engine.ProbePending(pr.Upstream.ID, sent, now)
	due := d.engine.DueProbes(now)
	d.mu.Unlock()
	d.data.resets(resets)
	p.send(due)
	if len(found) > 0 {
		d.members.announceDead(found)
		klog.InfoS("Upstreams of a zone are silent", "Zone", pr.Upstream.Zone, "Upstreams", len(found), "FlowsReset", len(resets),
			"ProbedNext", len(due))
	}
}

// dial connects to an upstream. begins is called just before and may be nil.
func (p *probes) dial(u *bundle.UpstreamRoute, begins func(syscall.RawConn)) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(p.ctx, time.Duration(p.daemon.cfg.Load().ProbeTimeout))
	defer cancel()
	nd := net.Dialer{Control: func(_, _ string, conn syscall.RawConn) error {
		if begins != nil {
			begins(conn)
		}
		return nil
	}}
	return nd.DialContext(ctx, "tcp4", u.Address.String())
}

// acceptsQuickly reports whether an upstream accepts a connection, and perhaps resets it then, in a fifth of the time that a
// suspected one is given.
func (p *probes) acceptsQuickly(u *bundle.UpstreamRoute) bool {
	if u == nil {
		return false
	}
	began := time.Now()
	conn, err := p.dial(u, nil)
	if outcomeOf(err) != dialAccepted {
		return false
	}
	if conn != nil {
		_ = conn.Close() // No data was sent.
	}
	return time.Since(began) < time.Duration(p.daemon.cfg.Load().ProbeTimeout)/quickDivisor
}

// quickDivisor divides the probe's timeout. A healthy upstream accepts within that part of it.
const quickDivisor = 5

// identify requests the upstream's health over an accepted connection, to detect another upstream at
// its address. It closes the connection.
func (p *probes) identify(conn net.Conn, pr cookie.Probe) cookie.ProbeResult {
	t := &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(context.Context, string, string) (net.Conn, error) { return conn, nil },
	}
	defer t.CloseIdleConnections()
	defer func() { _ = conn.Close() }() // The answer was read, or is no longer needed.
	ctx, cancel := context.WithTimeout(p.ctx, healthTimeout)
	defer cancel()
	at := "http://" + pr.Upstream.Address.String() + pr.Upstream.Service.HealthPath
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, at, http.NoBody)
	if err != nil {
		return cookie.ProbeAlive // The path is invalid, but the connection was accepted.
	}
	resp, err := t.RoundTrip(r)
	if err != nil {
		return cookie.ProbeAlive // Accepted, but too busy to answer: it may be the same upstream.
	}
	_ = resp.Body.Close()
	id := p.daemon.platform.HealthID(resp.Header)
	if id != 0 && id != pr.Upstream.ID {
		return cookie.ProbeOther
	}
	return cookie.ProbeAlive
}
