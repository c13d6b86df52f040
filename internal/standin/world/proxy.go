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

// LinkFault is a fault that a Proxy applies to its connections.
type LinkFault uint8

// The faults of a link. LinkOK is none.
const (
	LinkOK LinkFault = iota
	// LinkReset closes all connections and refuses new ones.
	LinkReset
	// LinkBlackhole drops all bytes in both directions, without closing connections.
	LinkBlackhole
	// LinkNoAnswers passes requests but drops the answers, so that requests still take effect.
	LinkNoAnswers
	// LinkSlow delays all bytes by slowLinkDelay, in both directions.
	LinkSlow
	// LinkFaultCount is the number of values above.
	LinkFaultCount
)

var linkFaultNames = [...]string{"good", "reset", "silent", "deaf", "slow"}

// String returns the name of the fault.
func (f LinkFault) String() string { return linkFaultNames[f] }

const (
	slowLinkDelay    = 150 * time.Millisecond
	proxyBufferBytes = 32 << 10
)

// Proxy forwards TCP connections to another address and can apply faults to them. It is safe for concurrent use.
type Proxy struct {
	l  net.Listener
	to netip.AddrPort
	// blocked reports whether clients at an address are cut off at present; it may be nil. Bytes sent
	// during a cut are lost, so a connection that met one stays silent permanently.
	blocked func(from netip.Addr) bool

	mu    sync.Mutex
	fault LinkFault
	rate  *RateLimit
	conns map[net.Conn]struct{}
}

// NewProxy listens at one address and forwards connections to another. blocked reports whether clients at
// an address are cut off at present; it may be nil. The clean-up function closes the listener and all connections.
func NewProxy(
	ctx context.Context, at, to netip.AddrPort, blocked func(from netip.Addr) bool,
) (*Proxy, func(), error) {
	l, err := listen(ctx, at)
	if err != nil {
		return nil, nil, eris.Wrap(err, "proxy")
	}
	p := &Proxy{l: l, to: to, blocked: blocked, conns: make(map[net.Conn]struct{})}
	go p.acceptLoop()
	return p, func() {
		_ = l.Close()
		p.closeConns()
	}, nil
}

func listen(ctx context.Context, at netip.AddrPort) (net.Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp4", at.String())
	return l, eris.Wrap(err, "world")
}

// SetFault replaces the fault in force. LinkReset also closes all open connections.
func (p *Proxy) SetFault(f LinkFault) {
	p.mu.Lock()
	p.fault = f
	p.mu.Unlock()
	if f == LinkReset {
		p.closeConns()
	}
}

// SetRateLimit bounds the rate at which answers pass. Proxies with the same RateLimit share one link. Nil means no
// bound.
func (p *Proxy) SetRateLimit(r *RateLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = r
}

// waitForRate waits until the link has carried n more bytes of an answer.
func (p *Proxy) waitForRate(n int) {
	p.mu.Lock()
	r := p.rate
	p.mu.Unlock()
	if r != nil {
		r.wait(n)
	}
}

// closeConns closes all open connections.
func (p *Proxy) closeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

// faultFor returns the fault for connections of a client. A cut acts as LinkBlackhole.
func (p *Proxy) faultFor(from netip.Addr) LinkFault {
	if p.blocked != nil && p.blocked(from) {
		return LinkBlackhole
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// remoteAddr returns the address of the client that opened a connection.
func remoteAddr(c net.Conn) netip.Addr {
	at, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return at.AddrPort().Addr().Unmap()
}

func (p *Proxy) acceptLoop() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return // The proxy was closed.
		}
		if p.faultFor(remoteAddr(c)) == LinkReset {
			_ = c.Close()
			continue
		}
		go p.forward(c)
	}
}

// forward copies bytes between a client's connection and a new one to the target until either ends.
func (p *Proxy) forward(c net.Conn) {
	defer p.track(c)()
	var d net.Dialer
	target, err := d.DialContext(context.Background(), "tcp4", p.to.String())
	if err != nil {
		return // The target doesn't listen any more.
	}
	defer p.track(target)()
	done := make(chan struct{}, 2)
	go p.copyBytes(target, c, remoteAddr(c), false, done)
	go p.copyBytes(c, target, remoteAddr(c), true, done)
	<-done
}

// track records an open connection and returns the function that closes it.
func (p *Proxy) track(c net.Conn) func() {
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

// copyBytes copies bytes from src to dst with the fault in force. Once bytes were dropped, it drops all later bytes of
// this direction too, as a device on the path does that has lost the state of a connection.
func (p *Proxy) copyBytes(dst io.Writer, src io.Reader, from netip.Addr, responses bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, proxyBufferBytes)
	silent := false
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		f := p.faultFor(from)
		silent = silent || f == LinkBlackhole || f == LinkNoAnswers && responses
		if silent {
			continue
		}
		if f == LinkSlow {
			time.Sleep(slowLinkDelay)
		}
		if responses {
			p.waitForRate(n)
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}
