package carrier

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// probes looks whether doubted upstreams live.
type probes struct {
	c    *Carrier
	ctx  context.Context
	wg   sync.WaitGroup
	sent atomic.Uint64
}

// answerTimeout bounds the health answer once a connection is accepted. A busy
// upstream may take long; that it accepted already shows that it lives.
const answerTimeout = 500 * time.Millisecond

func (c *Carrier) startProbes(ctx context.Context) (func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	c.probes = &probes{c: c, ctx: ctx}
	return func() {
		cancel()
		c.probes.wg.Wait()
	}, nil
}

func (p *probes) send(due []cookie.Probe) {
	for _, probe := range due {
		p.wg.Go(func() { p.probe(probe) })
	}
}

func (p *probes) probe(pr cookie.Probe) {
	sent := time.Now()
	p.sent.Add(1)
	r := p.ask(pr)
	now := time.Now()
	p.c.probed.Update(now.Sub(sent).Seconds())
	c := p.c
	c.mu.Lock()
	before := c.engine.Health(pr.Upstream.ID)
	resets := c.engine.Probed(pr.Upstream.ID, r, sent, now)
	after := c.engine.Health(pr.Upstream.ID)
	c.mu.Unlock()
	c.data.resets(resets)
	if after == cookie.HealthDead && before != after && pr.Listed {
		c.members.tellFound(pr.Upstream.ID)
	}
	if before != after {
		klog.InfoS("Upstream probed", "Upstream", pr.Upstream.Address, "ID", pr.Upstream.ID, "Listed", pr.Listed,
			"Before", before, "After", after, "Result", r, "Took", now.Sub(sent), "FlowsReset", len(resets))
	}
}

// ask connects to the upstream and asks for its health. The connection alone shows
// that something listens there; the answer shows which upstream it is.
func (p *probes) ask(pr cookie.Probe) cookie.ProbeResult {
	reference := make(chan bool, 1)
	go func() { reference <- p.quick(pr.Reference) }()
	conn, err := p.dial(pr.Upstream)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return cookie.ProbeRefused
	case err != nil && <-reference:
		return cookie.ProbeTimeout
	case err != nil:
		return cookie.ProbeUnsure
	}
	return p.identify(conn, pr)
}

func (p *probes) dial(u *bundle.UpstreamRoute) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(p.ctx, time.Duration(p.c.cfg.Load().ProbeTimeout))
	defer cancel()
	var nd net.Dialer
	return nd.DialContext(ctx, "tcp4", u.Address.String())
}

// quick reports whether an upstream accepts a connection in a fifth of the time
// that a doubted one is given.
func (p *probes) quick(u *bundle.UpstreamRoute) bool {
	if u == nil {
		return false
	}
	began := time.Now()
	conn, err := p.dial(u)
	if err != nil {
		return false
	}
	_ = conn.Close() // Nothing was sent.
	return time.Since(began) < time.Duration(p.c.cfg.Load().ProbeTimeout)/quickPart
}

// quickPart is the part of the time-out in which a healthy upstream accepts.
const quickPart = 5

func (p *probes) identify(conn net.Conn, pr cookie.Probe) cookie.ProbeResult {
	t := &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(context.Context, string, string) (net.Conn, error) { return conn, nil },
	}
	defer t.CloseIdleConnections()
	defer func() { _ = conn.Close() }() // The answer was read or isn't waited for.
	ctx, cancel := context.WithTimeout(p.ctx, answerTimeout)
	defer cancel()
	at := "http://" + pr.Upstream.Address.String() + pr.Upstream.Service.HealthPath
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, at, http.NoBody)
	if err != nil {
		return cookie.ProbeAlive // The path isn't usable, but the connection was accepted.
	}
	resp, err := t.RoundTrip(r)
	if err != nil {
		return cookie.ProbeAlive // Accepted, but too busy to answer: it may be the same.
	}
	_ = resp.Body.Close()
	id := p.c.platform.HealthID(resp.Header)
	if id != 0 && id != pr.Upstream.ID {
		return cookie.ProbeOther
	}
	return cookie.ProbeAlive
}
