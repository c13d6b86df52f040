package world

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"
)

// Relay forwards UDP datagrams to an address, and the replies back to their senders, unless the path
// from the sender is cut. Each sender gets a port of its own, as with network address
// translation. It is safe for concurrent use.
type Relay struct {
	conn    *net.UDPConn
	to      netip.AddrPort
	blocked func(from netip.Addr) bool

	mu       sync.Mutex
	sessions map[netip.AddrPort]*net.UDPConn
	closed   bool
}

// maxDatagramBytes is larger than any datagram in a world.
const maxDatagramBytes = 4096

// NewRelay receives datagrams at one address and forwards them to another. blocked reports
// whether senders at an address are cut off at present. The clean-up function closes all sockets.
func NewRelay(at, to netip.AddrPort, blocked func(from netip.Addr) bool) (*Relay, func(), error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, nil, eris.Wrap(err, "relay")
	}
	r := &Relay{conn: conn, to: to, blocked: blocked, sessions: make(map[netip.AddrPort]*net.UDPConn)}
	go r.forwardRequests()
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

func (r *Relay) forwardRequests() {
	buf := make([]byte, maxDatagramBytes)
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

// session returns the socket for a sender's datagrams, opening it if needed. It returns nil if there is none.
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
	go r.forwardReplies(s, from)
	return s
}

func (r *Relay) forwardReplies(s *net.UDPConn, to netip.AddrPort) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, err := s.Read(buf)
		if eris.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || r.blocked(to.Addr()) {
			continue // For example, nobody listens at the target port at present.
		}
		_, _ = r.conn.WriteToUDPAddrPort(buf[:n], to) // A datagram may be lost.
	}
}
