package flows

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
)

// CallerOptions are the settings of a Caller.
type CallerOptions struct {
	IP netip.Addr
	// Port is the port at which all callers take datagrams.
	Port       uint16
	Service    netip.AddrPort
	Idempotent bool
	Period     time.Duration
	Deadline   time.Duration
	Retries    int
	Router     *Router
	Codec      Codec
	Rng        *rand.Rand
	// FlowPerRequest makes a flow for each request.
	FlowPerRequest bool
	// MayAnswer says whether a service may answer a flow that was opened at a time.
	MayAnswer func(service string, opened time.Time) bool
	// ResetAllowed says whether a reset of an open flow is allowed. The cookie is the one
	// that the flow opened with.
	ResetAllowed func(at cookie.Cookie, caller netip.AddrPort) (allowed bool)
}

// CallerStats is what a caller saw.
type CallerStats struct {
	Requests, Answered, Unanswered int
	Opened, FailedOpens, Reset     int
	// Violations tells of each broken promise.
	Violations []string
	// Outcomes has the time and success of each request, for availability over time.
	Outcomes []Outcome
}

// Outcome is the end of one request.
type Outcome struct {
	At       time.Time
	Answered bool
}

// Caller is a stand-in caller with one flow at a time.
type Caller struct {
	CallerOptions
	conn  *net.UDPConn
	port  uint16
	in    chan *Segment
	tally CallerStats

	open     bool
	opened   time.Time
	at       cookie.Cookie
	cookie   cookie.Cookie
	seq, ack uint32
}

// NewCaller opens the caller's socket. The clean-up function closes it.
func NewCaller(o CallerOptions) (*Caller, func(), error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(o.IP, o.Port)))
	if err != nil {
		return nil, nil, eris.Wrap(err, "stand-in caller")
	}
	c := &Caller{CallerOptions: o, conn: conn, port: uint16(1024 + o.Rng.IntN(1000)), in: make(chan *Segment, 64)}
	go c.read()
	return c, func() { _ = conn.Close() }, nil
}

func (c *Caller) read() {
	buf := make([]byte, maxDatagram)
	for {
		n, err := c.conn.Read(buf)
		if eris.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if s, err := c.Codec.Decode(buf[:n]); err == nil {
			select {
			case c.in <- s:
			default: // The caller is busy; what is lost is repeated.
			}
		}
	}
}

// Run makes requests until ctx ends and returns what the caller saw.
func (c *Caller) Run(ctx context.Context) CallerStats {
	for ctx.Err() == nil {
		c.pause(ctx)
		if ctx.Err() != nil {
			break
		}
		c.request()
	}
	return c.tally
}

// pause waits for the next request's time and takes in what comes meanwhile.
func (c *Caller) pause(ctx context.Context) {
	t := time.NewTimer(c.Period/2 + time.Duration(c.Rng.Int64N(int64(c.Period))))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			return
		case s := <-c.in:
			c.idle(s)
		}
	}
}

// idle takes in a segment between requests.
func (c *Caller) idle(s *Segment) {
	if !c.mine(s) || !c.open {
		return
	}
	c.cookie = s.Cookie
	switch {
	case s.Flags.Has(cookie.FlagRST):
		c.wasReset(s)
	case s.Flags.Has(cookie.FlagFIN):
		c.close(s)
	case len(s.Data) > 0:
		c.send(&Segment{Flags: cookie.FlagACK, Seq: c.seq, Ack: c.ack})
	}
}

func (c *Caller) mine(s *Segment) bool { return s.To.Port() == c.port && s.From == c.Service }

func (c *Caller) close(s *Segment) {
	c.ack = s.Seq + uint32(len(s.Data)) + 1
	c.send(&Segment{Flags: cookie.FlagACK | cookie.FlagFIN, Seq: c.seq, Ack: c.ack})
	c.open = false
}

func (c *Caller) wasReset(s *Segment) {
	if int32(s.Seq-c.ack) > resetWindow || int32(c.ack-s.Seq) > resetWindow {
		return
	}
	c.open = false
	c.tally.Reset++
	if !c.ResetAllowed(c.at, c.end()) {
		c.broke("open flow %v with cookie %x was reset", c.end(), c.at)
	}
}

// resetWindow is how far from the caller's number a reset may be.
const resetWindow = 76_800

func (c *Caller) broke(format string, args ...any) {
	c.tally.Violations = append(c.tally.Violations, fmt.Sprintf("%s: ", time.Now().Format("15:04:05.000"))+fmt.Sprintf(format, args...))
}

func (c *Caller) end() netip.AddrPort { return netip.AddrPortFrom(c.IP, c.port) }

// request makes one request, with retries if it may be repeated.
func (c *Caller) request() {
	c.tally.Requests++
	began := time.Now()
	answered := false
	for try := 0; try <= c.Retries && !answered && time.Since(began) < c.Deadline; try++ {
		if !c.open && !c.connect() {
			continue
		}
		answered = c.exchange(began)
		if !answered && !c.Idempotent {
			break
		}
	}
	if answered {
		c.tally.Answered++
	} else {
		c.tally.Unanswered++
	}
	c.tally.Outcomes = append(c.tally.Outcomes, Outcome{At: began, Answered: answered})
}

// connect opens a flow from a new port.
func (c *Caller) connect() bool {
	c.port++
	c.seq, c.cookie = c.Rng.Uint32(), 0
	c.opened = time.Now()
	first := &Segment{Flags: cookie.FlagSYN, Seq: c.seq}
	copies := []time.Duration{repeatAfterMs * time.Millisecond, secondCopyMs * time.Millisecond, giveUpOpenMs * time.Millisecond}
	began := time.Now()
	c.send(first)
	for n, at := range copies {
		s := c.await(at - time.Since(began))
		switch {
		case s == nil:
			first.Copy = uint32(n + 1)
			if n < len(copies)-1 {
				c.send(first)
			}
		case s.Flags.Has(cookie.FlagRST):
			c.tally.FailedOpens++
			return false
		default:
			c.seq++
			c.ack, c.cookie, c.at, c.open = s.Seq+1, s.Cookie, s.Cookie, true
			c.tally.Opened++
			c.send(&Segment{Flags: cookie.FlagACK, Seq: c.seq, Ack: c.ack})
			return true
		}
	}
	c.tally.FailedOpens++
	return false
}

// await returns the next segment of this flow, or nil after the wait.
func (c *Caller) await(wait time.Duration) *Segment {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			return nil
		case s := <-c.in:
			if c.mine(s) {
				return s
			}
		}
	}
}

// exchange sends a request over the open flow and waits for its answer.
func (c *Caller) exchange(began time.Time) bool {
	id := RequestID(c.Rng.Uint64())
	data := binary.BigEndian.AppendUint64(nil, uint64(id))
	req := &Segment{Flags: cookie.FlagACK, Seq: c.seq, Ack: c.ack, Data: data}
	c.seq += uint32(len(data))
	wait := repeatAfterMs * time.Millisecond
	for c.open && time.Since(began) < c.Deadline {
		req.Ack = c.ack
		c.send(req)
		for s := c.await(wait); s != nil; s = c.await(wait) {
			if answered, done := c.takeAnswer(s, id); done {
				return answered
			}
		}
		wait = min(2*wait, maxRepeats*repeatAfterMs*time.Millisecond)
	}
	if c.open {
		c.send(&Segment{Flags: cookie.FlagRST, Seq: c.seq, Ack: c.ack})
		c.open = false
	}
	return false
}

// takeAnswer reports whether a segment answers the request, and whether it ends it.
func (c *Caller) takeAnswer(s *Segment, id RequestID) (answered, done bool) {
	if s.Flags.Has(cookie.FlagRST) {
		c.wasReset(s)
		return false, !c.open
	}
	c.cookie = s.Cookie
	if len(s.Data) == 0 || s.Seq != c.ack {
		return false, false
	}
	var a Answer
	if err := json.Unmarshal(s.Data, &a); err != nil || a.ID != id || !c.MayAnswer(a.Service, c.opened) {
		c.broke("answer %+v to request %x, flow of %v", a, id, c.opened.Format("15:04:05.000"))
		return false, true
	}
	if s.Flags.Has(cookie.FlagFIN) || c.FlowPerRequest {
		c.close(s)
		return true, true
	}
	c.ack += uint32(len(s.Data))
	c.send(&Segment{Flags: cookie.FlagACK, Seq: c.seq, Ack: c.ack})
	return true, true
}

func (c *Caller) send(s *Segment) {
	s.From, s.To, s.Cookie = c.end(), c.Service, c.cookie
	if at, ok := c.Router.Pick(s.From, s.To); ok {
		// What is lost is repeated.
		_, _ = c.conn.WriteToUDPAddrPort(c.Codec.Encode(s), at)
	}
}
