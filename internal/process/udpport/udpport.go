// Package udpport holds the UDP sockets of the traffic between daemons.
package udpport

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
)

// Ports are the UDP sockets of the control traffic: one that others know, and
// one that is replaced when answers fail to come. It is safe for concurrent use.
type Ports struct {
	known *net.UDPConn
	// handle takes each datagram. It is set before the first is read.
	handle func(from netip.AddrPort, b []byte)
	wg     sync.WaitGroup

	// mu guards fresh and closed.
	mu     sync.Mutex
	fresh  []*net.UDPConn
	closed bool

	// Renewed counts fresh sockets.
	Renewed atomic.Uint64
}

// maxFresh is how many fresh sockets are open at once; the older ones still take
// answers that are under way.
const maxFresh = 4

// New opens the known port.
func New(a netip.AddrPort) (*Ports, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, eris.Wrapf(err, "control: listen on %s", a)
	}
	return &Ports{known: c}, nil
}

// Start reads datagrams until Close is called and passes each to handle, which
// must not keep it.
func (p *Ports) Start(handle func(from netip.AddrPort, b []byte)) {
	p.handle = handle
	p.wg.Go(func() { p.read(p.known) })
}

// Close closes the sockets and waits for calls of handle to end.
func (p *Ports) Close() {
	p.mu.Lock()
	p.closed = true
	for _, c := range p.fresh {
		_ = c.Close()
	}
	p.mu.Unlock()
	_ = p.known.Close()
	p.wg.Wait()
}

func (p *Ports) read(c *net.UDPConn) {
	buf := make([]byte, peer.MaxMessageBytes+1)
	for {
		n, from, err := c.ReadFromUDPAddrPort(buf)
		if eris.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
	}
}

// Send sends b from the known port, or from one that wasn't used before.
func (p *Ports) Send(b []byte, to netip.AddrPort, fresh bool) bool {
	c := p.known
	if fresh {
		if f := p.renew(); f != nil {
			c = f
		}
	}
	_, err := c.WriteToUDPAddrPort(b, to)
	return err == nil
}

// renew opens a fresh socket and closes the oldest if there are too many. It
// returns nil if none can be had.
func (p *Ports) renew() *net.UDPConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	at := p.known.LocalAddr().(*net.UDPAddr)
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: at.IP})
	if err != nil {
		return nil
	}
	p.Renewed.Add(1)
	p.fresh = append(p.fresh, c)
	if len(p.fresh) > maxFresh {
		_ = p.fresh[0].Close()
		p.fresh = p.fresh[1:]
	}
	p.wg.Go(func() { p.read(c) })
	return c
}
