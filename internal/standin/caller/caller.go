// Package caller stands in for callers. Callers are real CoAP clients that keep a feed open,
// send requests on the same flow, and check the answers.
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
	// FeedSilence is the longest allowed time without a notification. A flow whose feed is silent for longer at the
	// end of the run counts as broken.
	FeedSilence time.Duration
	// RequestTimeout is how long a caller waits for an answer, retransmissions included.
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

// New starts the callers, spread over one period. The clean-up function ends them.
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

// Finish ends the callers once their open requests are answered or timed out, and returns what
// they recorded.
func (g *Group) Finish() ledger.Caller {
	g.stop()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger
}

// Ledger returns what the callers have recorded so far, without the identifiers of refused requests.
func (g *Group) Ledger() ledger.Caller {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.ledger
	l.RefusedIDs = nil
	return l
}

// update changes the ledger under the lock.
func (g *Group) update(f func(l *ledger.Caller)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.ledger)
}

// caller is one CoAP client with one flow.
type caller struct {
	g    *Group
	name string
	rng  *rand.Rand
	conn *client.Conn
	// n numbers the requests.
	n int

	mu sync.Mutex
	// upstream is the name of the upstream that answered first.
	upstream string
	// broken is the first reason why the flow is broken, empty if it isn't.
	broken string
	// lastNotified and lastSeq are the time and number of the last notification of the feed.
	lastNotified time.Time
	lastSeq      uint32
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
		c.g.update(func(l *ledger.Caller) { l.Broken = append(l.Broken, c.name+": "+err.Error()) })
		return
	}
	c.conn = conn
	defer func() { _ = conn.Close() }()
	opened := c.openFeed(ctx)
	if opened {
		c.g.update(func(l *ledger.Caller) { l.Flows++ })
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
		c.checkFlow()
	}
}

// openFeed requests the feed until it is open or ctx ends, and reports whether it is open. A refusal asks for a later
// retry, so openFeed pauses for one second after each failure.
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
	_, err = c.conn.DoObserve(req, func(m *pool.Message) { c.handleNotification(id, m) })
	return eris.Wrap(err, "observe")
}

func (c *caller) handleNotification(id ledger.RequestID, m *pool.Message) {
	if m.Code() != codes.Content {
		c.markBroken("the feed ended with " + m.Code().String())
		return
	}
	a, ok := c.checkAnswer(id, m)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNotified = time.Now()
	c.lastSeq = a.Seq
}

// checkAnswer decodes an answer and reports whether it belongs to the request and comes from the right service. It
// marks the flow as broken if another upstream than before answered.
func (c *caller) checkAnswer(id ledger.RequestID, m *pool.Message) (ledger.Answer, bool) {
	var a ledger.Answer
	body, err := m.ReadBody()
	if err != nil || json.Unmarshal(body, &a) != nil || a.ID != id {
		c.g.update(func(l *ledger.Caller) { l.WrongAnswers++ })
		return a, false
	}
	if a.Service != c.g.cfg.Service {
		c.g.update(func(l *ledger.Caller) { l.WrongService++ })
		return a, false
	}
	c.mu.Lock()
	if c.upstream == "" {
		c.upstream = a.Upstream
	}
	first := c.upstream
	c.mu.Unlock()
	if first != a.Upstream {
		c.markBroken("answers came from " + first + " and from " + a.Upstream)
	}
	return a, true
}

// markBroken records the first reason why the flow is broken.
func (c *caller) markBroken(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken == "" {
		c.broken = reason
	}
}

func (c *caller) nextID() ledger.RequestID {
	c.n++
	return ledger.RequestID(fmt.Sprintf("%s-%d", c.name, c.n))
}

// request sends a POST or a GET and records the outcome. The end of the run doesn't cancel it.
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
	c.g.update(func(l *ledger.Caller) { l.Requests++ })
	if err != nil {
		c.g.update(func(l *ledger.Caller) { l.TimedOut++ })
		return
	}
	defer c.conn.ReleaseMessage(m)
	c.recordOutcome(id, m)
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

func (c *caller) recordOutcome(id ledger.RequestID, m *pool.Message) {
	switch m.Code() {
	case codes.Content:
		if _, ok := c.checkAnswer(id, m); ok {
			c.g.update(func(l *ledger.Caller) { l.Answered++ })
		}
	case codes.ServiceUnavailable:
		c.g.update(func(l *ledger.Caller) {
			l.Refused++
			l.RefusedIDs = append(l.RefusedIDs, id)
		})
	case codes.GatewayTimeout:
		c.g.update(func(l *ledger.Caller) { l.Unknown++ })
	default:
		c.g.update(func(l *ledger.Caller) { l.WrongAnswers++ })
	}
}

// checkFlow records at the end of the run whether the flow was broken.
func (c *caller) checkFlow() {
	c.mu.Lock()
	reason := c.broken
	if silent := time.Since(c.lastNotified); reason == "" && silent > c.g.cfg.FeedSilence {
		reason = fmt.Sprintf("the feed was silent for %v after notification %d of %s", silent, c.lastSeq, c.upstream)
	}
	c.mu.Unlock()
	if reason == "" {
		return
	}
	c.g.update(func(l *ledger.Caller) {
		l.BrokenFlows++
		l.Broken = append(l.Broken, c.name+": "+reason)
	})
}
