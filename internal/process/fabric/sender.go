package fabric

import (
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/ipv4"

	"github.com/fescueshed/fescueshed/internal/connection/caller"
	"github.com/fescueshed/fescueshed/internal/connection/geneve"
)

// sender collects packets and sends them in batches from a port of its own, so
// that the network spreads what different workers send (RFC 8926, section 3.3).
// It isn't safe for concurrent use.
type sender struct {
	f    *Fabric
	conn batchConn
	udp  *net.UDPConn
	msgs []ipv4.Message
	n    int
	// opened is when the port was taken.
	opened time.Time
	// addrs caches the form that the socket wants, one per peer and upstream.
	addrs map[netip.AddrPort]*net.UDPAddr
}

const (
	// maxAddrs bounds the cache: bundles come and go while the process runs.
	maxAddrs = 1 << 16
	// portLifetime is how long a sender keeps its source port. Something between
	// two hosts may lose track of a pair of ports and drop all that it carries,
	// silently, while new pairs work. A flow then misses packets for this long,
	// which is less than a caller's first retransmission, and nobody has to find
	// out which pair it was.
	portLifetime = time.Second
)

func newSender(f *Fabric) (*sender, func(), error) {
	s := &sender{f: f, msgs: make([]ipv4.Message, f.opts.Batch), addrs: make(map[netip.AddrPort]*net.UDPAddr)}
	if err := s.open(); err != nil {
		return nil, nil, err
	}
	for i := range s.msgs {
		s.msgs[i].Buffers = [][]byte{make([]byte, 0, maxPacketBytes)}
	}
	return s, func() { _ = s.udp.Close() }, nil
}

func (s *sender) open() error {
	udp, err := listen(netip.AddrPortFrom(s.f.opts.Address.Addr(), 0), s.f.opts.BufferBytes)
	if err != nil {
		return err
	}
	s.udp, s.conn, s.opened = udp, newBatchConn(udp), time.Now()
	return nil
}

// renew takes a new source port. If there is none, the old one goes on.
func (s *sender) renew() {
	old := s.udp
	if err := s.open(); err != nil {
		s.f.Counters.SendErrors.Add(1)
		s.opened = time.Now()
		return
	}
	_ = old.Close()
}

func (s *sender) add(o *caller.Output) {
	if s.f.opts.Blocked.Blocks(o.To.Addr()) {
		return
	}
	if s.n == len(s.msgs) {
		s.flush()
	}
	m := &s.msgs[s.n]
	m.Buffers[0] = geneve.Append(m.Buffers[0][:0], &o.Header, s.f.opts.Key, o.Inner)
	m.Addr = s.addr(o.To)
	s.n++
}

func (s *sender) addr(a netip.AddrPort) *net.UDPAddr {
	if u, ok := s.addrs[a]; ok {
		return u
	}
	if len(s.addrs) == maxAddrs {
		clear(s.addrs)
	}
	u := net.UDPAddrFromAddrPort(a)
	s.addrs[a] = u
	return u
}

// flush sends what was collected. A packet that can't be sent is skipped, not
// tried again: its caller repeats it.
func (s *sender) flush() {
	if s.n > 0 && time.Since(s.opened) > portLifetime {
		s.renew()
	}
	for sent := 0; sent < s.n; {
		n, err := s.conn.WriteBatch(s.msgs[sent:s.n], 0)
		s.f.Counters.Sent.Add(uint64(n))
		sent += n
		if err != nil {
			s.f.Counters.SendErrors.Add(1)
			sent++
		}
	}
	s.n = 0
}
