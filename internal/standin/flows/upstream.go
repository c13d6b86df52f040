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
	// CallerPort is the port at which callers take datagrams.
	CallerPort uint16
	WorkTime   time.Duration
	Slots      int
	Codec      Codec
	// Health answers health requests.
	Health http.Handler
}

// Answer is what an upstream answers a request with.
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
	flows    map[netip.AddrPort]*served
	runs     map[RequestID]int
	resets   map[netip.AddrPort]bool
	opened   map[netip.AddrPort]time.Time
	dark     bool
	closed   bool
	draining bool
}

// served is one flow at its upstream.
type served struct {
	caller, service netip.AddrPort
	open            bool
	cookie          cookie.Cookie
	next, expected  uint32
	unacked         []*Segment
	repeats         int
}

// NewUpstream opens the sockets of an upstream. The clean-up function ends it as a
// crash does: without a word to its callers.
func NewUpstream(o UpstreamOptions) (*Upstream, func(), error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Address))
	if err != nil {
		return nil, nil, eris.Wrap(err, "stand-in upstream")
	}
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(o.Address))
	if err != nil {
		_ = conn.Close()
		return nil, nil, eris.Wrap(err, "stand-in upstream")
	}
	u := &Upstream{
		UpstreamOptions: o, conn: conn, slots: make(chan struct{}, o.Slots),
		http:   &http.Server{Handler: o.Health, ReadHeaderTimeout: time.Second},
		flows:  make(map[netip.AddrPort]*served),
		runs:   make(map[RequestID]int),
		resets: make(map[netip.AddrPort]bool),
		opened: make(map[netip.AddrPort]time.Time),
	}
	go func() { _ = u.http.Serve(l) }()
	go u.read()
	go u.repeat()
	return u, u.close, nil
}

func (u *Upstream) close() {
	u.mu.Lock()
	u.closed = true
	u.mu.Unlock()
	_ = u.conn.Close()
	_ = u.http.Close()
}

// SetSilent makes the upstream drop all it gets, or ends that. Its health port still
// accepts, as that of a host whose process hangs.
func (u *Upstream) SetSilent(dark bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dark = dark
}

// Drain makes the upstream close each flow after its next answer.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = true
}

// Alive reports whether the upstream serves.
func (u *Upstream) Alive() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.dark && !u.closed
}

// HasReset reports whether the upstream itself reset the flow of a caller's end.
func (u *Upstream) HasReset(caller netip.AddrPort) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.resets[caller]
}

// Runs returns how often each request ran.
func (u *Upstream) Runs() map[RequestID]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[RequestID]int, len(u.runs))
	for id, n := range u.runs {
		out[id] = n
	}
	return out
}

// Opened reports whether a flow of a caller's end opened here.
func (u *Upstream) Opened(caller netip.AddrPort) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, ok := u.opened[caller]
	return ok
}

// OpenedAfter returns how many flows opened by a first packet that came after a time.
func (u *Upstream) OpenedAfter(t time.Time) int { return u.OpenedBetween(t, time.Now()) }

// OpenedBetween returns how many flows opened by a first packet that came between two times.
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
	buf := make([]byte, maxDatagram)
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
		if !u.dark {
			u.take(s)
		}
		u.mu.Unlock()
	}
}

// take handles a segment. u.mu is held.
func (u *Upstream) take(s *Segment) {
	f := u.flows[s.From]
	switch {
	case s.Flags == cookie.FlagSYN:
		u.accept(s, f)
		return
	case s.Flags.Has(cookie.FlagRST):
		delete(u.flows, s.From)
		return
	case f == nil || !f.open && s.Ack != f.next:
		u.refuse(s)
		return
	}
	if !f.open {
		f.open = true
		u.opened[s.From] = time.Now()
	}
	f.cookie = s.Cookie
	f.acknowledge(s.Ack)
	if len(s.Data) > 0 {
		u.data(f, s)
	}
	if s.Flags.Has(cookie.FlagFIN) {
		u.send(f, &Segment{Flags: cookie.FlagACK, Seq: f.next, Ack: f.expected + 1})
		delete(u.flows, s.From)
	}
}

func (u *Upstream) accept(s *Segment, f *served) {
	if f == nil || f.expected != s.Seq+1 {
		f = &served{caller: s.From, service: s.To, expected: s.Seq + 1, next: rand.Uint32()}
		u.flows[s.From] = f
	}
	if f.open {
		return // A copy that came late.
	}
	f.cookie = s.Cookie
	u.send(f, &Segment{Flags: cookie.FlagSYN | cookie.FlagACK, Seq: f.next - 1, Ack: f.expected})
}

func (u *Upstream) refuse(s *Segment) {
	u.resets[s.From] = true
	u.write(s.From, &Segment{From: s.To, To: s.From, Flags: cookie.FlagRST, Seq: s.Ack})
}

func (u *Upstream) data(f *served, s *Segment) {
	if s.Seq != f.expected {
		u.send(f, &Segment{Flags: cookie.FlagACK, Seq: f.next, Ack: f.expected})
		return
	}
	f.expected += uint32(len(s.Data))
	id := RequestID(binary.BigEndian.Uint64(s.Data))
	go u.work(f, id)
}

func (u *Upstream) work(f *served, id RequestID) {
	u.slots <- struct{}{}
	u.mu.Lock()
	u.runs[id]++
	u.mu.Unlock()
	time.Sleep(u.WorkTime)
	<-u.slots
	b, err := json.Marshal(Answer{ID: id, Upstream: u.ID, Service: u.Service})
	if err != nil {
		panic(err) // An Answer can be encoded.
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	s := &Segment{Flags: cookie.FlagACK, Seq: f.next, Ack: f.expected, Data: b}
	if u.draining {
		s.Flags |= cookie.FlagFIN
	}
	f.next += uint32(len(b))
	f.unacked = append(f.unacked, s)
	if !u.dark {
		u.send(f, s)
	}
}

func (f *served) acknowledge(ack uint32) {
	for len(f.unacked) > 0 && int32(ack-f.unacked[0].Seq) > 0 {
		f.unacked = f.unacked[1:]
		f.repeats = 0
	}
}

// repeat sends again what isn't acknowledged.
func (u *Upstream) repeat() {
	t := time.NewTicker(repeatAfterMs * time.Millisecond)
	defer t.Stop()
	for range t.C {
		u.mu.Lock()
		if u.closed {
			u.mu.Unlock()
			return
		}
		for _, f := range u.flows {
			if len(f.unacked) == 0 || u.dark {
				continue
			}
			if f.repeats++; f.repeats <= maxRepeats {
				u.send(f, f.unacked[0])
			}
		}
		u.mu.Unlock()
	}
}

func (u *Upstream) send(f *served, s *Segment) {
	s.From, s.To, s.Cookie = f.service, f.caller, f.cookie
	u.write(f.caller, s)
}

func (u *Upstream) write(to netip.AddrPort, s *Segment) {
	b := u.Codec.Encode(s)
	// What is lost is repeated.
	_, _ = u.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(to.Addr(), u.CallerPort))
}
