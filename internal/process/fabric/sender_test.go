package fabric

import (
	"net"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/caller"
	"github.com/fescueshed/fescueshed/internal/connection/geneve"
)

// Guards against a feed that stays silent permanently while new feeds work. A middlebox
// between two hosts has lost its state for one pair of ports, and drops all packets from a
// balancer's source port without any notice.
var _ = Describe("Sender", func() {
	for name, loopback := range map[string]string{"IPv4": "127.0.0.1", "IPv6": "::1"} {
		It("sends from a new port when the lifetime of the old one has passed: "+name, func() {
			sink, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(loopback), 0)))
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = sink.Close() }()
			to := sink.LocalAddr().(*net.UDPAddr).AddrPort()
			f := &Fabric{opts: Options{
				Address: netip.AddrPortFrom(netip.MustParseAddr(loopback), 0), Batch: 4, BufferBytes: 1 << 16,
				Key: geneve.NewKey(nil),
			}}
			s, stop, err := newSender(f)
			Expect(err).NotTo(HaveOccurred())
			defer stop()

			usedPorts := make(map[uint16]bool)
			out := caller.Output{To: to, Header: geneve.Header{VNI: 1, EtherType: geneve.EtherTypeIPv4}}
			buf := make([]byte, 100)
			for range 3 {
				for range 2 {
					s.add(&out)
					s.flush()
				}
				_, from, err := sink.ReadFromUDPAddrPort(buf)
				Expect(err).NotTo(HaveOccurred())
				_, again, err := sink.ReadFromUDPAddrPort(buf)
				Expect(err).NotTo(HaveOccurred())
				Expect(again).To(Equal(from), "a port is kept during its lifetime")
				Expect(usedPorts[from.Port()]).To(BeFalse())
				usedPorts[from.Port()] = true
				s.opened = time.Now().Add(-2 * portLifetime)
			}
			Expect(f.Counters.Sent.Load()).To(BeEquivalentTo(6))
		})
	}
})
