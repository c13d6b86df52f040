// Package udpport manages the UDP sockets for the control traffic between daemons.
package udpport

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
)

// Ports are the UDP sockets of the control traffic: one at the address that other daemons
// know, and one that is replaced when responses fail to arrive. It is safe for concurrent
// use.
type Ports struct {
	primary *net.UDPConn
	// handle is called with each datagram. It is set before the first one is read.
	handle func(from netip.AddrPort, b []byte)
	wg     sync.WaitGroup

	// mu guards ephemeral and closed.
	mu        sync.Mutex
	ephemeral []*net.UDPConn
	closed    bool

	// Renewed counts the ephemeral sockets opened so far.
	Renewed atomic.Uint64
}

// maxEphemeral is the maximum number of ephemeral sockets that are open at a time. The older
// ones still receive responses that are in transit.
const maxEphemeral = 4

// New opens the primary socket at address a.
func New(a netip.AddrPort) (*Ports, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, eris.Wrapf(err, "control: listen on %s", a)
	}
	return &Ports{primary: c}, nil
}

// Start reads datagrams until Close is called and passes each to handle, which must
// not retain it. Calls of handle for different sockets may be concurrent.
func (p *Ports) Start(handle func(from netip.AddrPort, b []byte)) {
	p.handle = handle
	p.wg.Go(func() { p.read(p.primary) })
}

// Close closes the sockets and waits for calls of handle to return.
func (p *Ports) Close() {
	p.mu.Lock()
	p.closed = true
	for _, c := range p.ephemeral {
		_ = c.Close()
	}
	p.mu.Unlock()
	_ = p.primary.Close()
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

// Send sends b from the primary socket or, if newPort is set, from a new ephemeral socket with another
// port. If no new socket can be opened, it uses the primary one. It reports whether b was sent.
func (p *Ports) Send(b []byte, to netip.AddrPort, newPort bool) bool {
	c := p.primary
	if newPort {
		if f := p.renew(); f != nil {
			c = f
		}
	}
	_, err := c.WriteToUDPAddrPort(b, to)
	return err == nil
}

// renew opens an ephemeral socket with a new port, and closes the oldest one if there
// are more than maxEphemeral. It returns nil if no socket can be opened or p is closed.
func (p *Ports) renew() *net.UDPConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	at := p.primary.LocalAddr().(*net.UDPAddr)
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: at.IP})
	if err != nil {
		return nil
	}
	p.Renewed.Add(1)
	p.ephemeral = append(p.ephemeral, c)
	if len(p.ephemeral) > maxEphemeral {
		_ = p.ephemeral[0].Close()
		p.ephemeral = p.ephemeral[1:]
	}
	p.wg.Go(func() { p.read(c) })
	return c
}
