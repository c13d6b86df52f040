package world

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"
)

// Relay passes datagrams on to an address, and what is answered back, unless the path
// from their sender is cut. Each sender gets a port of its own, as behind address
// translation. It is safe for concurrent use.
type Relay struct {
	conn    *net.UDPConn
	to      netip.AddrPort
	blocked func(from netip.Addr) bool

	mu       sync.Mutex
	sessions map[netip.AddrPort]*net.UDPConn
	closed   bool
}

// maxRelayed is more than any datagram of a world.
const maxRelayed = 4096

// NewRelay takes datagrams at an address and passes them on to another. blocked says
// which senders are cut off now. The clean-up function ends it.
func NewRelay(at, to netip.AddrPort, blocked func(from netip.Addr) bool) (*Relay, func(), error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, nil, eris.Wrap(err, "relay")
	}
	r := &Relay{conn: conn, to: to, blocked: blocked, sessions: make(map[netip.AddrPort]*net.UDPConn)}
	go r.run()
	return r, r.close, nil
}

func (r *Relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.conn.Close()
	for _, s := range r.sessions {
		_ = s.Close()
	}
}

func (r *Relay) run() {
	buf := make([]byte, maxRelayed)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buf)
		if eris.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || r.blocked(from.Addr()) {
			continue
		}
		if s := r.session(from); s != nil {
			_, _ = s.Write(buf[:n]) // A datagram may be lost.
		}
	}
}

// session returns the socket that stands for a sender.
func (r *Relay) session(from netip.AddrPort) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.sessions[from]
	if s != nil || r.closed {
		return s
	}
	var d net.Dialer
	c, err := d.DialContext(context.Background(), "udp4", r.to.String())
	if err != nil {
		return nil // No port is free; the datagram is lost.
	}
	s = c.(*net.UDPConn)
	r.sessions[from] = s
	go r.answers(s, from)
	return s
}

func (r *Relay) answers(s *net.UDPConn, to netip.AddrPort) {
	buf := make([]byte, maxRelayed)
	for {
		n, err := s.Read(buf)
		if eris.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || r.blocked(to.Addr()) {
			continue // Such as a port that nobody listens at for a moment.
		}
		_, _ = r.conn.WriteToUDPAddrPort(buf[:n], to) // A datagram may be lost.
	}
}
