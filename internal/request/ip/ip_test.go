package ip_test

import (
	"net/netip"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/request/ip"
)

var (
	src4 = netip.MustParseAddrPort("192.0.2.1:1000")
	dst4 = netip.MustParseAddrPort("198.51.100.1:5683")
	src6 = netip.MustParseAddrPort("[2001:db8::1]:1000")
	dst6 = netip.MustParseAddrPort("[2001:db8::2]:5683")
)

func udp(src, dst netip.AddrPort) []byte {
	b, err := ip.BuildUDP(src, dst, []byte("payload"))
	Expect(err).NotTo(HaveOccurred())
	return b
}

var _ = Describe("Decoder", func() {
	for name, endpoints := range map[string][2]netip.AddrPort{"IPv4": {src4, dst4}, "IPv6": {src6, dst6}} {
		It("decodes a packet that BuildUDP returned: "+name, func() {
			var d ip.Decoder
			var p ip.Packet
			Expect(d.Decode(udp(endpoints[0], endpoints[1]), &p)).To(Succeed())
			Expect(p.Src).To(Equal(endpoints[0]))
			Expect(p.Dst).To(Equal(endpoints[1]))
			Expect(string(p.Payload)).To(Equal("payload"))
		})
	}

	for name, tc := range map[string]struct {
		modify func(b []byte) []byte
		want   error
	}{
		"empty":          {func([]byte) []byte { return nil }, ip.ErrTruncated},
		"truncated":      {func(b []byte) []byte { return b[:len(b)-1] }, ip.ErrTruncated},
		"version 5":      {func(b []byte) []byte { b[0] = 0x55; return b }, ip.ErrHeader},
		"more fragments": {func(b []byte) []byte { b[6] = 0x20; return b }, ip.ErrFragment},
		"later fragment": {func(b []byte) []byte { b[7] = 9; return b }, ip.ErrFragment},
		"ICMP":           {func(b []byte) []byte { b[9] = 1; return b }, ip.ErrProtocol},
	} {
		It("refuses a packet: "+name, func() {
			var d ip.Decoder
			var p ip.Packet
			Expect(d.Decode(tc.modify(udp(src4, dst4)), &p)).To(MatchError(tc.want))
		})
	}

	It("decodes headers without the payload", func() {
		var d ip.Decoder
		var p ip.Packet
		Expect(d.DecodeHeaders(ip.TruncateToHeaders(udp(src4, dst4))[:28], &p)).To(Succeed())
		Expect(p.Dst).To(Equal(dst4))
	})

	It("builds a reset that acknowledges the SYN", func() {
		b, err := ip.BuildReset(&ip.Packet{Src: src4, Dst: dst4, TCPFlags: ip.TCPSyn, Seq: 41})
		Expect(err).NotTo(HaveOccurred())
		var d ip.Decoder
		var p ip.Packet
		Expect(d.Decode(b, &p)).To(Succeed())
		Expect(p.Src).To(Equal(dst4))
		Expect(p.Ack).To(BeEquivalentTo(42))
		Expect(p.TCPFlags).To(Equal(ip.TCPRst | ip.TCPAck))
	})
})

func FuzzDecode(f *testing.F) {
	b, err := ip.BuildUDP(src4, dst4, []byte("payload"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	b, err = ip.BuildHeaders(src6, dst6, ip.ProtocolTCP)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		var d ip.Decoder
		var p ip.Packet
		if d.Decode(b, &p) != nil {
			return
		}
		if !p.Src.IsValid() || !p.Dst.IsValid() || len(p.Payload) > len(b) {
			t.Fatalf("accepted %v", p)
		}
	})
}
