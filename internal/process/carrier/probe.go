package carrier

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
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
	c := p.c
	c.mu.Lock()
	before := c.engine.Health(pr.Upstream.ID)
	resets := c.engine.Probed(pr.Upstream.ID, r, sent, now)
	after := c.engine.Health(pr.Upstream.ID)
	c.mu.Unlock()
	c.data.resets(resets)
	if before != after {
		klog.InfoS("Upstream probed", "Upstream", pr.Upstream.Address, "ID", pr.Upstream.ID, "Listed", pr.Listed,
			"Before", before, "After", after, "Result", r, "Took", now.Sub(sent), "FlowsReset", len(resets))
	}
}

// ask connects to the upstream and asks for its health. The connection alone shows
// that something listens there; the answer shows which upstream it is.
func (p *probes) ask(pr cookie.Probe) cookie.ProbeResult {
	ctx, cancel := context.WithTimeout(p.ctx, time.Duration(p.c.cfg.Load().ProbeTimeout))
	defer cancel()
	var nd net.Dialer
	conn, err := nd.DialContext(ctx, "tcp4", pr.Upstream.Address.String())
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return cookie.ProbeRefused
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return cookie.ProbeTimeout
	case err != nil:
		klog.V(1).InfoS("Probe failed", "Upstream", pr.Upstream.Address, "Error", err)
		return cookie.ProbeTimeout
	}
	return p.identify(conn, pr)
}

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
