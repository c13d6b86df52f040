package fabric

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"

	"github.com/fescueshed/fescueshed/internal/connection/caller"
	"github.com/fescueshed/fescueshed/internal/connection/geneve"
)

// sender collects packets and sends them in batches from a port of its own, so
// that the network spreads what different workers send (RFC 8926, section 3.3).
// It isn't safe for concurrent use.
type sender struct {
	f    *Fabric
	conn *ipv4.PacketConn
	msgs []ipv4.Message
	n    int
	// addrs caches the form that the socket wants, one per peer and upstream.
	addrs map[netip.AddrPort]*net.UDPAddr
}

// maxAddrs bounds the cache: bundles come and go while the process runs.
const maxAddrs = 1 << 16

func newSender(f *Fabric) (*sender, func(), error) {
	udp, err := listen(netip.AddrPortFrom(f.opts.Address.Addr(), 0), f.opts.BufferBytes)
	if err != nil {
		return nil, nil, err
	}
	s := &sender{
		f:     f,
		conn:  ipv4.NewPacketConn(udp),
		msgs:  make([]ipv4.Message, f.opts.Batch),
		addrs: make(map[netip.AddrPort]*net.UDPAddr),
	}
	for i := range s.msgs {
		s.msgs[i].Buffers = [][]byte{make([]byte, 0, maxPacketBytes)}
	}
	return s, func() { _ = udp.Close() }, nil
}

func (s *sender) add(o *caller.Output) {
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
	for sent := 0; sent < s.n; {
		n, err := s.conn.WriteBatch(s.msgs[sent:s.n], 0)
		s.f.Counters.Out.Add(uint64(n))
		sent += n
		if err != nil {
			s.f.Counters.Failed.Add(1)
			sent++
		}
	}
	s.n = 0
}
