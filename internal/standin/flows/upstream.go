package flows

import (
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// UpstreamOptions are the settings of an Upstream.
type UpstreamOptions struct {
	ID      bundle.UpstreamID
	Service string
	Zone    bundle.Zone
	Address netip.AddrPort
	// CallerPort is the UDP port on which callers receive datagrams.
	CallerPort uint16
	// WorkTime is the processing time of a request, Slots the number of requests processed
	// concurrently.
	WorkTime time.Duration
	Slots    int
	Codec    Codec
	// Health handles health requests.
	Health http.Handler
}

// Answer is the body of an upstream's answer to a request.
type Answer struct {
	ID       RequestID
	Upstream bundle.UpstreamID
	Service  string
}

// Upstream is a stand-in upstream. It is safe for concurrent use.
type Upstream struct {
	UpstreamOptions
	conn  *net.UDPConn
	http  *http.Server
	slots chan struct{}

	mu       sync.Mutex
	flows    map[netip.AddrPort]*upstreamFlow
	runs     map[RequestID]int
	resets   map[netip.AddrPort]bool
	opened   map[netip.AddrPort]time.Time
	silent   bool
	closed   bool
	draining bool
}

// upstreamFlow is the upstream's side of a flow.
type upstreamFlow struct {
	caller, service      netip.AddrPort
	open                 bool
	cookie               cookie.Cookie
	nextSeq, expectedSeq uint32
	unacked              []*Segment
	retransmits          int
}

// NewUpstream opens the sockets of an upstream and starts to serve. The returned function stops
// it as a crash does: without notifying its callers.
func NewUpstream(o UpstreamOptions) (*Upstream, func(), error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Address))
	if err != nil {
		return nil, nil, eris.Wrap(err, "stand-in upstream: open UDP socket")
	}
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(o.Address))
	if err != nil {
		_ = conn.Close()
		return nil, nil, eris.Wrap(err, "stand-in upstream: open TCP socket")
	}
	u := &Upstream{
		UpstreamOptions: o, conn: conn, slots: make(chan struct{}, o.Slots),
		http:   &http.Server{Handler: o.Health, ReadHeaderTimeout: time.Second},
		flows:  make(map[netip.AddrPort]*upstreamFlow),
		runs:   make(map[RequestID]int),
		resets: make(map[netip.AddrPort]bool),
		opened: make(map[netip.AddrPort]time.Time),
	}
	go func() { _ = u.http.Serve(l) }()
	go u.read()
	go u.retransmit()
	return u, u.close, nil
}

func (u *Upstream) close() {
	u.mu.Lock()
	u.closed = true
	u.mu.Unlock()
	_ = u.conn.Close()
	_ = u.http.Close()
}

// SetSilent starts or stops dropping all received datagrams. The health port still accepts
// connections meanwhile, as on a host whose process hangs.
func (u *Upstream) SetSilent(silent bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.silent = silent
}

// Drain makes the upstream close each flow with its next answer.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = true
}

// Alive reports whether the upstream serves: it is neither silent nor closed.
func (u *Upstream) Alive() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.silent && !u.closed
}

// HasReset reports whether the upstream itself reset a flow of a caller's address.
func (u *Upstream) HasReset(caller netip.AddrPort) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.resets[caller]
}

// Runs returns how often each request was processed.
func (u *Upstream) Runs() map[RequestID]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[RequestID]int, len(u.runs))
	for id, n := range u.runs {
		out[id] = n
	}
	return out
}

// Opened reports whether a flow from a caller's address was opened at this upstream.
func (u *Upstream) Opened(caller netip.AddrPort) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, ok := u.opened[caller]
	return ok
}

// OpenedAfter returns how many flows were opened after a time.
func (u *Upstream) OpenedAfter(t time.Time) int { return u.OpenedBetween(t, time.Now()) }

// OpenedBetween returns how many flows were opened after one time and not after another. A flow is
// opened when its caller's first valid segment after the SYN arrives.
func (u *Upstream) OpenedBetween(from, until time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, at := range u.opened {
		if at.After(from) && !at.After(until) {
			n++
		}
	}
	return n
}

func (u *Upstream) read() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, err := u.conn.Read(buf)
		if eris.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		id, s, err := u.Codec.DecodeAtUpstream(buf[:n])
		if err != nil || id != 0 && id != u.ID {
			continue
		}
		u.mu.Lock()
		if !u.silent {
			u.handle(s)
		}
		u.mu.Unlock()
	}
}

// handle handles a received segment. u.mu is held.
func (u *Upstream) handle(s *Segment) {
	f := u.flows[s.From]
	switch {
	case s.Flags == cookie.FlagSYN:
		u.accept(s, f)
		return
	case s.Flags.Has(cookie.FlagRST):
		delete(u.flows, s.From)
		return
	case f == nil || !f.open && s.Ack != f.nextSeq:
		u.reject(s)
		return
	}
	if !f.open {
		f.open = true
		u.opened[s.From] = time.Now()
	}
	f.cookie = s.Cookie
	f.acknowledge(s.Ack)
	if len(s.Data) > 0 {
		u.handleData(f, s)
	}
	if s.Flags.Has(cookie.FlagFIN) {
		u.send(f, &Segment{Flags: cookie.FlagACK, Seq: f.nextSeq, Ack: f.expectedSeq + 1})
		delete(u.flows, s.From)
	}
}

func (u *Upstream) accept(s *Segment, f *upstreamFlow) {
	if f == nil || f.expectedSeq != s.Seq+1 {
		f = &upstreamFlow{caller: s.From, service: s.To, expectedSeq: s.Seq + 1, nextSeq: rand.Uint32()}
		f.unacked = []*Segment{{Flags: cookie.FlagSYN | cookie.FlagACK, Seq: f.nextSeq - 1, Ack: f.expectedSeq}}
		u.flows[s.From] = f
	}
	if f.open {
		return // A late retransmission.
	}
	f.cookie = s.Cookie
	u.send(f, f.unacked[0])
}

func (u *Upstream) reject(s *Segment) {
	u.resets[s.From] = true
	u.write(s.From, &Segment{From: s.To, To: s.From, Flags: cookie.FlagRST, Seq: s.Ack})
}

func (u *Upstream) handleData(f *upstreamFlow, s *Segment) {
	if s.Seq != f.expectedSeq {
		u.send(f, &Segment{Flags: cookie.FlagACK, Seq: f.nextSeq, Ack: f.expectedSeq})
		return
	}
	f.expectedSeq += uint32(len(s.Data))
	id := RequestID(binary.BigEndian.Uint64(s.Data))
	go u.serve(f, id)
}

func (u *Upstream) serve(f *upstreamFlow, id RequestID) {
	u.slots <- struct{}{}
	u.mu.Lock()
	u.runs[id]++
	u.mu.Unlock()
	time.Sleep(u.WorkTime)
	<-u.slots
	b, err := json.Marshal(Answer{ID: id, Upstream: u.ID, Service: u.Service})
	if err != nil {
		panic(err) // Encoding an Answer never fails.
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	s := &Segment{Flags: cookie.FlagACK, Seq: f.nextSeq, Ack: f.expectedSeq, Data: b}
	if u.draining {
		s.Flags |= cookie.FlagFIN
	}
	f.nextSeq += uint32(len(b))
	f.unacked = append(f.unacked, s)
	if !u.silent {
		u.send(f, s)
	}
}

func (f *upstreamFlow) acknowledge(ack uint32) {
	for len(f.unacked) > 0 && int32(ack-f.unacked[0].Seq) > 0 {
		f.unacked = f.unacked[1:]
		f.retransmits = 0
	}
}

// retransmit periodically retransmits the oldest unacknowledged segment of each flow until the
// upstream is closed.
func (u *Upstream) retransmit() {
	t := time.NewTicker(retransmitMs * time.Millisecond)
	defer t.Stop()
	for range t.C {
		u.mu.Lock()
		if u.closed {
			u.mu.Unlock()
			return
		}
		for _, f := range u.flows {
			if len(f.unacked) == 0 || u.silent {
				continue
			}
			if f.retransmits++; f.retransmits <= maxRetransmits {
				u.send(f, f.unacked[0])
			} else if !f.open {
				delete(u.flows, f.caller)
			}
		}
		u.mu.Unlock()
	}
}

func (u *Upstream) send(f *upstreamFlow, s *Segment) {
	s.From, s.To, s.Cookie = f.service, f.caller, f.cookie
	u.write(f.caller, s)
}

func (u *Upstream) write(to netip.AddrPort, s *Segment) {
	b := u.Codec.Encode(s)
	// Lost segments are retransmitted, so errors are ignored.
	_, _ = u.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(to.Addr(), u.CallerPort))
}
