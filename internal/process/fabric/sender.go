package fabric

import (
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/ipv4"

	"github.com/fescueshed/fescueshed/internal/connection/caller"
	"github.com/fescueshed/fescueshed/internal/connection/geneve"
)

// sender collects packets and sends them in batches. Each sender has its own source
// port, so that the network distributes the packets of different workers over its paths
// (RFC 8926, section 3.3). It isn't safe for concurrent use.
type sender struct {
	fabric *Fabric
	conn   batchConn
	udp    *net.UDPConn
	msgs   []ipv4.Message
	n      int
	// opened is when the current source port was opened.
	opened time.Time
	// addrCache holds the addresses of peers and upstreams in the form that the socket
	// needs.
	addrCache map[netip.AddrPort]*net.UDPAddr
}

const (
	// maxCachedAddrs bounds addrCache, since the upstreams change with each bundle while
	// the process runs.
	maxCachedAddrs = 1 << 16
	// portLifetime is how long a sender keeps its source port. A middlebox between two
	// hosts may lose its state for a pair of ports and silently drop all packets between
	// them, while new pairs work. A flow then loses packets for at most this long, which
	// is less than the time until a caller's first retransmission, and the broken pair
	// doesn't have to be detected.
	portLifetime = time.Second
)

func newSender(f *Fabric) (*sender, func(), error) {
	s := &sender{fabric: f, msgs: make([]ipv4.Message, f.opts.Batch), addrCache: make(map[netip.AddrPort]*net.UDPAddr)}
	if err := s.open(); err != nil {
		return nil, nil, err
	}
	for i := range s.msgs {
		s.msgs[i].Buffers = [][]byte{make([]byte, 0, maxPacketBytes)}
	}
	return s, func() { _ = s.udp.Close() }, nil
}

func (s *sender) open() error {
	udp, err := listen(netip.AddrPortFrom(s.fabric.opts.Address.Addr(), 0), s.fabric.opts.BufferBytes)
	if err != nil {
		return err
	}
	s.udp, s.conn, s.opened = udp, newBatchConn(udp), time.Now()
	return nil
}

// renewPort opens a new source port and closes the old one. If it can't open one, it
// keeps the old one for another lifetime.
func (s *sender) renewPort() {
	old := s.udp
	if err := s.open(); err != nil {
		s.fabric.Counters.SendErrors.Add(1)
		s.opened = time.Now()
		return
	}
	_ = old.Close()
}

// add adds a packet to the batch. If the batch is full, it is sent first.
func (s *sender) add(o *caller.Output) {
	if s.fabric.opts.Blocked.Blocks(o.To.Addr()) {
		return
	}
	if s.n == len(s.msgs) {
		s.flush()
	}
	m := &s.msgs[s.n]
	m.Buffers[0] = geneve.Append(m.Buffers[0][:0], &o.Header, s.fabric.opts.Key, o.Inner)
	m.Addr = s.addr(o.To)
	s.n++
}

func (s *sender) addr(a netip.AddrPort) *net.UDPAddr {
	if u, ok := s.addrCache[a]; ok {
		return u
	}
	if len(s.addrCache) == maxCachedAddrs {
		clear(s.addrCache)
	}
	u := net.UDPAddrFromAddrPort(a)
	s.addrCache[a] = u
	return u
}

// flush sends the collected packets. A packet that can't be sent is skipped and not
// tried again, since its caller retransmits it.
func (s *sender) flush() {
	if s.n > 0 && time.Since(s.opened) > portLifetime {
		s.renewPort()
	}
	for sent := 0; sent < s.n; {
		n, err := s.conn.WriteBatch(s.msgs[sent:s.n], 0)
		s.fabric.Counters.Sent.Add(uint64(n))
		sent += n
		if err != nil {
			s.fabric.Counters.SendErrors.Add(1)
			sent++
		}
	}
	s.n = 0
}
