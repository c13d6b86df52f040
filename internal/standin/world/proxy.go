package world

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// LinkFault is what a Proxy does to the connections that pass it.
type LinkFault uint8

// The faults of a link.
const (
	LinkOK LinkFault = iota
	// LinkReset cuts connections and refuses new ones.
	LinkReset
	// LinkBlackhole passes nothing, either way, without a word.
	LinkBlackhole
	// LinkNoAnswers passes requests but no answers: what is asked happens.
	LinkNoAnswers
	// LinkSlow holds everything back by slowLink.
	LinkSlow
	// LinkFaultCount is the number of faults.
	LinkFaultCount
)

var linkNames = [...]string{"good", "reset", "silent", "deaf", "slow"}

// String names the fault.
func (f LinkFault) String() string { return linkNames[f] }

const (
	slowLink    = 150 * time.Millisecond
	proxyBuffer = 32 << 10
)

// Proxy passes TCP connections on, with faults. It is safe for concurrent use.
type Proxy struct {
	l  net.Listener
	to netip.AddrPort
	// blocked says which callers are cut off now; it may be nil. What passes a cut is
	// lost, so such a connection stays silent for good.
	blocked func(from netip.Addr) bool

	mu    sync.Mutex
	fault LinkFault
	rate  *RateLimit
	conns map[net.Conn]struct{}
}

// NewProxy listens at an address and passes connections on to another. blocked says
// which callers are cut off now; it may be nil. The clean-up function ends all.
func NewProxy(
	ctx context.Context, at, to netip.AddrPort, blocked func(from netip.Addr) bool,
) (*Proxy, func(), error) {
	l, err := listen(ctx, at)
	if err != nil {
		return nil, nil, eris.Wrap(err, "proxy")
	}
	p := &Proxy{l: l, to: to, blocked: blocked, conns: make(map[net.Conn]struct{})}
	go p.run()
	return p, func() {
		_ = l.Close()
		p.cut()
	}, nil
}

func listen(ctx context.Context, at netip.AddrPort) (net.Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp4", at.String())
	return l, eris.Wrap(err, "world")
}

// SetFault changes the fault. A reset cuts what is open.
func (p *Proxy) SetFault(f LinkFault) {
	p.mu.Lock()
	p.fault = f
	p.mu.Unlock()
	if f == LinkReset {
		p.cut()
	}
}

// SetRateLimit bounds how fast answers pass. Proxies that share a rate share a link. Nil is no bound.
func (p *Proxy) SetRateLimit(r *RateLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = r
}

// await waits until the link can carry so many more bytes of an answer.
func (p *Proxy) await(n int) {
	p.mu.Lock()
	r := p.rate
	p.mu.Unlock()
	if r != nil {
		r.await(n)
	}
}

func (p *Proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *Proxy) get(from netip.Addr) LinkFault {
	if p.blocked != nil && p.blocked(from) {
		return LinkBlackhole
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// caller returns the address of who opened a connection.
func caller(c net.Conn) netip.Addr {
	at, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return at.AddrPort().Addr().Unmap()
}

func (p *Proxy) run() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return // The proxy was closed.
		}
		if p.get(caller(c)) == LinkReset {
			_ = c.Close()
			continue
		}
		go p.pass(c)
	}
}

func (p *Proxy) pass(c net.Conn) {
	defer p.keep(c)()
	var d net.Dialer
	up, err := d.DialContext(context.Background(), "tcp4", p.to.String())
	if err != nil {
		return // The target ended.
	}
	defer p.keep(up)()
	done := make(chan struct{}, 2)
	go p.copy(up, c, caller(c), false, done)
	go p.copy(c, up, caller(c), true, done)
	<-done
}

// keep notes a connection and returns the function that closes it.
func (p *Proxy) keep(c net.Conn) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	return func() {
		_ = c.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
	}
}

// copy passes bytes on. A connection that met silence stays silent for good, as one
// does that something on the way lost track of.
func (p *Proxy) copy(dst io.Writer, src io.Reader, from netip.Addr, answers bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, proxyBuffer)
	silent := false
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		f := p.get(from)
		silent = silent || f == LinkBlackhole || f == LinkNoAnswers && answers
		if silent {
			continue
		}
		if f == LinkSlow {
			time.Sleep(slowLink)
		}
		if answers {
			p.await(n)
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}
