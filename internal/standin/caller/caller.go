// Package caller stands in for callers: real CoAP clients that keep a feed open
// and send requests on the same flow, and judge what comes back.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/message/pool"
	"github.com/plgd-dev/go-coap/v3/options"
	"github.com/plgd-dev/go-coap/v3/udp"
	"github.com/plgd-dev/go-coap/v3/udp/client"
	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/standin/ledger"
)

// Config describes a group of callers of one service.
type Config struct {
	Name    string
	Service string
	Address netip.AddrPort
	Callers int
	// Period is the mean time between two requests of one caller.
	Period time.Duration
	// FeedSilence is how long a feed may be silent before its flow is broken.
	FeedSilence time.Duration
	// RequestTimeout is how long a caller waits for an answer, repeats included.
	RequestTimeout time.Duration
	Seed           uint64
}

// The callers' transmission parameters (RFC 7252, section 4.8).
const (
	maxStarted     = 4
	ackTimeout     = time.Second
	maxRetransmits = 4
)

// Group is a running group of callers.
type Group struct {
	cfg    Config
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	ledger ledger.Caller
}

// New starts the callers, spread over one period.
func New(cfg Config) (*Group, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{cfg: cfg, cancel: cancel}
	for i := range cfg.Callers {
		rng := rand.New(rand.NewPCG(cfg.Seed, uint64(i)))
		c := &caller{g: g, name: fmt.Sprintf("%s-%d", cfg.Name, i), rng: rng}
		g.wg.Go(func() { c.run(ctx) })
	}
	return g, g.stop
}

func (g *Group) stop() {
	g.cancel()
	g.wg.Wait()
}

// Finish ends the callers once their requests are answered and returns what
// they saw.
func (g *Group) Finish() ledger.Caller {
	g.stop()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger
}

// Ledger returns what the callers saw until now.
func (g *Group) Ledger() ledger.Caller {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.ledger
	l.RefusedIDs = nil
	return l
}

func (g *Group) count(f func(l *ledger.Caller)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.ledger)
}

// caller is one client with one flow.
type caller struct {
	g    *Group
	name string
	rng  *rand.Rand
	conn *client.Conn
	n    int

	mu       sync.Mutex
	upstream string
	broken   string
	notified time.Time
	seq      uint32
}

func (c *caller) run(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Duration(c.rng.Int64N(int64(c.g.cfg.Period)))):
	}
	conn, err := udp.Dial(c.g.cfg.Address.String(),
		options.WithTransmission(maxStarted, ackTimeout, maxRetransmits),
		options.WithErrors(func(error) {}))
	if err != nil {
		c.g.count(func(l *ledger.Caller) { l.Broken = append(l.Broken, c.name+": "+err.Error()) })
		return
	}
	c.conn = conn
	defer func() { _ = conn.Close() }()
	opened := c.openFeed(ctx)
	if opened {
		c.g.count(func(l *ledger.Caller) { l.Flows++ })
	}
	for ctx.Err() == nil {
		c.request()
		wait := c.g.cfg.Period/2 + time.Duration(c.rng.Int64N(int64(c.g.cfg.Period)))
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	if opened {
		c.judge()
	}
}

// openFeed tries until the feed is open: a refusal says to come back.
func (c *caller) openFeed(ctx context.Context) bool {
	for ctx.Err() == nil {
		reqCtx, cancel := context.WithTimeout(ctx, c.g.cfg.RequestTimeout)
		id := c.nextID()
		err := c.observe(reqCtx, id)
		cancel()
		if err == nil {
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
	return false
}

func (c *caller) observe(ctx context.Context, id ledger.RequestID) error {
	req, err := c.conn.NewObserveRequest(ctx, "/feed")
	if err != nil {
		return eris.Wrap(err, "observe")
	}
	req.SetBody(bytes.NewReader([]byte(id)))
	req.SetContentFormat(message.TextPlain)
	_, err = c.conn.DoObserve(req, func(m *pool.Message) { c.notification(id, m) })
	return eris.Wrap(err, "observe")
}

func (c *caller) notification(id ledger.RequestID, m *pool.Message) {
	if m.Code() != codes.Content {
		c.breakFlow("the feed ended with " + m.Code().String())
		return
	}
	a, ok := c.check(id, m)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notified = time.Now()
	c.seq = a.Seq
}

// check judges whether an answer is the one to a request of this flow.
func (c *caller) check(id ledger.RequestID, m *pool.Message) (ledger.Answer, bool) {
	var a ledger.Answer
	body, err := m.ReadBody()
	if err != nil || json.Unmarshal(body, &a) != nil || a.ID != id {
		c.g.count(func(l *ledger.Caller) { l.WrongAnswers++ })
		return a, false
	}
	if a.Service != c.g.cfg.Service {
		c.g.count(func(l *ledger.Caller) { l.WrongService++ })
		return a, false
	}
	c.mu.Lock()
	if c.upstream == "" {
		c.upstream = a.Upstream
	}
	holder := c.upstream
	c.mu.Unlock()
	if holder != a.Upstream {
		c.breakFlow("answers came from " + holder + " and from " + a.Upstream)
	}
	return a, true
}

func (c *caller) breakFlow(why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken == "" {
		c.broken = why
	}
}

func (c *caller) nextID() ledger.RequestID {
	c.n++
	return ledger.RequestID(fmt.Sprintf("%s-%d", c.name, c.n))
}

// request sends a POST or a GET. It isn't cut off by the end of the run.
func (c *caller) request() {
	ctx, cancel := context.WithTimeout(context.Background(), c.g.cfg.RequestTimeout)
	defer cancel()
	id := c.nextID()
	body := bytes.NewReader([]byte(id))
	var m *pool.Message
	var err error
	if c.rng.IntN(2) == 0 {
		m, err = c.conn.Post(ctx, "/order", message.TextPlain, body)
	} else {
		m, err = c.get(ctx, body)
	}
	c.g.count(func(l *ledger.Caller) { l.Requests++ })
	if err != nil {
		c.g.count(func(l *ledger.Caller) { l.TimedOut++ })
		return
	}
	defer c.conn.ReleaseMessage(m)
	c.outcome(id, m)
}

func (c *caller) get(ctx context.Context, body *bytes.Reader) (*pool.Message, error) {
	req, err := c.conn.NewGetRequest(ctx, "/document")
	if err != nil {
		return nil, eris.Wrap(err, "get")
	}
	defer c.conn.ReleaseMessage(req)
	req.SetContentFormat(message.TextPlain)
	req.SetBody(body)
	m, err := c.conn.Do(req)
	return m, eris.Wrap(err, "get")
}

func (c *caller) outcome(id ledger.RequestID, m *pool.Message) {
	switch m.Code() {
	case codes.Content:
		if _, ok := c.check(id, m); ok {
			c.g.count(func(l *ledger.Caller) { l.Answered++ })
		}
	case codes.ServiceUnavailable:
		c.g.count(func(l *ledger.Caller) {
			l.Refused++
			l.RefusedIDs = append(l.RefusedIDs, id)
		})
	case codes.GatewayTimeout:
		c.g.count(func(l *ledger.Caller) { l.Unknown++ })
	default:
		c.g.count(func(l *ledger.Caller) { l.WrongAnswers++ })
	}
}

// judge decides at the end whether the flow held.
func (c *caller) judge() {
	c.mu.Lock()
	why := c.broken
	if silent := time.Since(c.notified); why == "" && silent > c.g.cfg.FeedSilence {
		why = fmt.Sprintf("the feed was silent for %v after notification %d of %s", silent, c.seq, c.upstream)
	}
	c.mu.Unlock()
	if why == "" {
		return
	}
	c.g.count(func(l *ledger.Caller) {
		l.BrokenFlows++
		l.Broken = append(l.Broken, c.name+": "+why)
	})
}
