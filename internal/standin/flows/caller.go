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
	// Port is the UDP port on which all callers receive datagrams.
	Port    uint16
	Service netip.AddrPort
	// PickService returns the address for each new flow in place of Service, if it is set.
	PickService func() netip.AddrPort
	Idempotent  bool
	Period      time.Duration
	Deadline    time.Duration
	Retries     int
	Router      *Router
	Codec       Codec
	Rng         *rand.Rand
	// FlowPerRequest opens a new flow for each request.
	FlowPerRequest bool
	// MayAnswer reports whether a service may answer on a flow that was opened at a time.
	MayAnswer func(service string, opened time.Time) bool
	// ResetAllowed reports whether a reset of an open flow is allowed. openedCookie is the cookie
	// with which the flow opened, caller the caller's address.
	ResetAllowed func(openedCookie cookie.Cookie, caller netip.AddrPort) (allowed bool)
}

// CallerStats is what a caller saw.
type CallerStats struct {
	Requests, Answered, Unanswered int
	Opened, FailedOpens, Reset     int
	// Violations describes each violation of a guarantee, with its time of day.
	Violations []string
	// Outcomes holds the time and success of each request, for computing availability over time.
	Outcomes []Outcome
	// Opens holds each attempt to open a flow.
	Opens []Open
}

// Open is an attempt to open a flow.
type Open struct {
	// At is when its first packet was sent.
	At time.Time
	// Refused says that it was answered by a reset.
	Refused bool
}

// Outcome is the result of one request.
type Outcome struct {
	// At is when the request started.
	At       time.Time
	Answered bool
}

// Caller is a stand-in caller with one flow at a time. It isn't safe for concurrent use.
type Caller struct {
	CallerOptions
	conn     *net.UDPConn
	port     uint16
	incoming chan *Segment
	stats    CallerStats

	open         bool
	opened       time.Time
	openedCookie cookie.Cookie
	cookie       cookie.Cookie
	seq, ack     uint32
}

// NewCaller opens the caller's socket and starts to receive. The returned function closes the
// socket.
func NewCaller(o CallerOptions) (*Caller, func(), error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(o.IP, o.Port)))
	if err != nil {
		return nil, nil, eris.Wrap(err, "stand-in caller: open socket")
	}
	c := &Caller{CallerOptions: o, conn: conn, port: uint16(1024 + o.Rng.IntN(1000)), incoming: make(chan *Segment, 64)}
	go c.read()
	return c, func() { _ = conn.Close() }, nil
}

func (c *Caller) read() {
	buf := make([]byte, maxDatagramBytes)
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
			case c.incoming <- s:
			default: // The caller is busy. The sender retransmits the dropped segment.
			}
		}
	}
}

// Run sends requests until ctx ends and returns what the caller saw.
func (c *Caller) Run(ctx context.Context) CallerStats {
	for ctx.Err() == nil {
		c.awaitNextRequest(ctx)
		if ctx.Err() != nil {
			break
		}
		c.request()
	}
	return c.stats
}

// awaitNextRequest waits a random time of 0.5 to 1.5 periods and handles the segments that arrive
// meanwhile.
func (c *Caller) awaitNextRequest(ctx context.Context) {
	t := time.NewTimer(c.Period/2 + time.Duration(c.Rng.Int64N(int64(c.Period))))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			return
		case s := <-c.incoming:
			c.handleIdle(s)
		}
	}
}

// handleIdle handles a segment that arrives between requests.
func (c *Caller) handleIdle(s *Segment) {
	if !c.isForFlow(s) || !c.open {
		return
	}
	c.cookie = s.Cookie
	switch {
	case s.Flags.Has(cookie.FlagRST):
		c.handleReset(s)
	case s.Flags.Has(cookie.FlagFIN):
		c.close(s)
	case len(s.Data) > 0:
		c.send(&Segment{Flags: cookie.FlagACK, Seq: c.seq, Ack: c.ack})
	}
}

func (c *Caller) isForFlow(s *Segment) bool { return s.To.Port() == c.port && s.From == c.Service }

func (c *Caller) close(s *Segment) {
	c.ack = s.Seq + uint32(len(s.Data)) + 1
	c.send(&Segment{Flags: cookie.FlagACK | cookie.FlagFIN, Seq: c.seq, Ack: c.ack})
	c.open = false
}

func (c *Caller) handleReset(s *Segment) {
	if int32(s.Seq-c.ack) > resetWindow || int32(c.ack-s.Seq) > resetWindow {
		return
	}
	c.open = false
	c.stats.Reset++
	if !c.ResetAllowed(c.openedCookie, c.localAddress()) {
		c.addViolation("open flow %v with cookie %x was reset without an allowed cause", c.localAddress(), c.openedCookie)
	}
}

// resetWindow is the maximum distance between the sequence number of a reset and the one that the
// caller expects.
const resetWindow = 76_800

func (c *Caller) addViolation(format string, args ...any) {
	c.stats.Violations = append(c.stats.Violations,
		fmt.Sprintf("%s: ", time.Now().Format("15:04:05.000"))+fmt.Sprintf(format, args...))
}

func (c *Caller) localAddress() netip.AddrPort { return netip.AddrPortFrom(c.IP, c.port) }

// request makes one request. It retries after a failure if the request is idempotent or the flow
// couldn't be opened.
func (c *Caller) request() {
	c.stats.Requests++
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
		c.stats.Answered++
	} else {
		c.stats.Unanswered++
	}
	c.stats.Outcomes = append(c.stats.Outcomes, Outcome{At: began, Answered: answered})
}

// connect opens a flow from a new port and reports whether it succeeded.
func (c *Caller) connect() bool {
	c.port++
	if c.PickService != nil {
		c.Service = c.PickService()
	}
	c.seq, c.cookie = c.Rng.Uint32(), 0
	c.opened = time.Now()
	first := &Segment{Flags: cookie.FlagSYN, Seq: c.seq}
	waits := []time.Duration{
		retransmitMs * time.Millisecond, secondRetransmitMs * time.Millisecond, openTimeoutMs * time.Millisecond,
	}
	began := time.Now()
	c.stats.Opens = append(c.stats.Opens, Open{At: began})
	c.send(first)
	for n, at := range waits {
		s := c.receive(at - time.Since(began))
		switch {
		case s == nil:
			first.Copy = uint32(n + 1)
			if n < len(waits)-1 {
				c.send(first)
			}
		case s.Flags.Has(cookie.FlagRST):
			c.stats.FailedOpens++
			c.stats.Opens[len(c.stats.Opens)-1].Refused = true
			return false
		default:
			c.seq++
			c.ack, c.cookie, c.openedCookie, c.open = s.Seq+1, s.Cookie, s.Cookie, true
			c.stats.Opened++
			c.send(&Segment{Flags: cookie.FlagACK, Seq: c.seq, Ack: c.ack})
			return true
		}
	}
	c.stats.FailedOpens++
	return false
}

// receive returns the next segment of this flow, or nil if none arrives within the wait.
func (c *Caller) receive(wait time.Duration) *Segment {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			return nil
		case s := <-c.incoming:
			if c.isForFlow(s) {
				return s
			}
		}
	}
}

// exchange sends a request on the open flow, retransmits it until the deadline, and reports
// whether it was answered. If the deadline passes without an answer, the caller resets the flow.
func (c *Caller) exchange(began time.Time) bool {
	id := RequestID(c.Rng.Uint64())
	data := binary.BigEndian.AppendUint64(nil, uint64(id))
	req := &Segment{Flags: cookie.FlagACK, Seq: c.seq, Ack: c.ack, Data: data}
	c.seq += uint32(len(data))
	wait := retransmitMs * time.Millisecond
	for c.open && time.Since(began) < c.Deadline {
		req.Ack = c.ack
		c.send(req)
		for s := c.receive(wait); s != nil; s = c.receive(wait) {
			if answered, done := c.handleAnswer(s, id); done {
				return answered
			}
		}
		wait = min(2*wait, maxRetransmits*retransmitMs*time.Millisecond)
	}
	if c.open {
		c.send(&Segment{Flags: cookie.FlagRST, Seq: c.seq, Ack: c.ack})
		c.open = false
	}
	return false
}

// handleAnswer handles a segment that arrives during a request. It reports whether the segment
// answers the request, and whether the request is done.
func (c *Caller) handleAnswer(s *Segment, id RequestID) (answered, done bool) {
	if s.Flags.Has(cookie.FlagRST) {
		c.handleReset(s)
		return false, !c.open
	}
	c.cookie = s.Cookie
	if len(s.Data) == 0 || s.Seq != c.ack {
		return false, false
	}
	var a Answer
	if err := json.Unmarshal(s.Data, &a); err != nil || a.ID != id || !c.MayAnswer(a.Service, c.opened) {
		c.addViolation("wrong answer %+v to request %x on the flow opened at %v", a, id, c.opened.Format("15:04:05.000"))
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
	s.From, s.To, s.Cookie = c.localAddress(), c.Service, c.cookie
	if at, ok := c.Router.Pick(s.From, s.To); ok {
		// Lost segments are retransmitted, so errors are ignored.
		_, _ = c.conn.WriteToUDPAddrPort(c.Codec.Encode(s), at)
	}
}
