package daemon

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
)

// ports are the UDP sockets of the control traffic: one that others know, and
// one that is replaced when answers fail to come. It is safe for concurrent use.
type ports struct {
	known *net.UDPConn
	// handle takes each datagram. It is set before the first is read.
	handle func(from netip.AddrPort, b []byte)
	wg     sync.WaitGroup

	// mu guards fresh and closed.
	mu     sync.Mutex
	fresh  []*net.UDPConn
	closed bool

	renewed atomic.Uint64
}

// maxFresh is how many fresh sockets are open at once; the older ones still take
// answers that are under way.
const maxFresh = 4

func newPorts(a netip.AddrPort) (*ports, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, eris.Wrapf(err, "control: listen on %s", a)
	}
	return &ports{known: c}, nil
}

func (p *ports) start(handle func(from netip.AddrPort, b []byte)) {
	p.handle = handle
	p.wg.Go(func() { p.read(p.known) })
}

func (p *ports) close() {
	p.mu.Lock()
	p.closed = true
	for _, c := range p.fresh {
		_ = c.Close()
	}
	p.mu.Unlock()
	_ = p.known.Close()
	p.wg.Wait()
}

func (p *ports) read(c *net.UDPConn) {
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

// send sends b from the known port, or from one that wasn't used before.
func (p *ports) send(b []byte, to netip.AddrPort, fresh bool) bool {
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
func (p *ports) renew() *net.UDPConn {
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
	p.renewed.Add(1)
	p.fresh = append(p.fresh, c)
	if len(p.fresh) > maxFresh {
		_ = p.fresh[0].Close()
		p.fresh = p.fresh[1:]
	}
	p.wg.Go(func() { p.read(c) })
	return c
}
