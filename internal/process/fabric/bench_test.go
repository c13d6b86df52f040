package fabric

import (
	"net"
	"net/netip"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/ipv4"

	"github.com/fescueshed/fescueshed/internal/connection/caller"
	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/request/ip"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// The addresses of the benchmark on loopback: a sender, the relay or balancer, a sink, and the service.
var (
	benchRelay = netip.MustParseAddrPort("127.119.0.1:6081")
	benchFrom  = netip.MustParseAddrPort("127.119.0.2:6081")
	benchSink  = netip.MustParseAddrPort("127.119.0.3:6081")
	benchVIP   = netip.MustParseAddrPort("127.119.0.4:5683")
)

const (
	benchBatch    = 64
	benchBuffer   = 4 << 20
	benchFlows    = 1024
	benchSenders  = 2
	benchDuration = 2 * time.Second
)

// startBalancer runs a balancer's workers.
func startBalancer(b *testing.B, workers int) {
	e := caller.NewEngine(caller.Options{Self: 1, Fabrics: []netip.AddrPort{benchFrom}, Start: time.Now(), Lease: time.Hour})
	e.SetRouting(bundle.NewRouting(1, &bundle.Bundle{Services: []bundle.Service{{
		Name: "s", VNI: 7, Protocol: bundle.ProtocolCoAP, Addresses: []netip.AddrPort{benchVIP},
		IdleTimeout: bundle.DefaultIdleTimeout, Deadline: bundle.DefaultDeadline,
		Upstreams: []bundle.Upstream{{Name: "u", Address: benchSink, Zone: "a", Slots: 1, Connections: 1 << 30}},
	}}}, nil))
	_, stop, err := New(Options{
		Address: benchRelay, Workers: workers, Batch: benchBatch, BufferBytes: benchBuffer,
		Engine: e, Key: geneve.NewKey(nil),
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(stop)
}

// startRelay runs workers that forward each packet unchanged.
func startRelay(b *testing.B, workers int) {
	to := net.UDPAddrFromAddrPort(benchSink)
	for range workers {
		c, err := listen(benchRelay, benchBuffer)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = c.Close() })
		out, err := listen(netip.AddrPortFrom(benchRelay.Addr(), 0), benchBuffer)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = out.Close() })
		go relay(ipv4.NewPacketConn(c), ipv4.NewPacketConn(out), to)
	}
}

func relay(in, out *ipv4.PacketConn, to *net.UDPAddr) {
	msgs := make([]ipv4.Message, benchBatch)
	outs := make([]ipv4.Message, benchBatch)
	for i := range msgs {
		msgs[i].Buffers = [][]byte{make([]byte, maxPacketBytes)}
	}
	for {
		n, err := in.ReadBatch(msgs, 0)
		if err != nil {
			return
		}
		for i := range msgs[:n] {
			outs[i] = ipv4.Message{Buffers: [][]byte{msgs[i].Buffers[0][:msgs[i].N]}, Addr: to}
		}
		for sent := 0; sent < n; {
			k, err := out.WriteBatch(outs[sent:n], 0)
			if err != nil {
				return
			}
			sent += k
		}
	}
}

func benchPacket(b *testing.B, flow int) []byte {
	src := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(flow >> 8), byte(flow)}), 1000)
	payload := append([]byte{0x60, 0, 0, 1}, make([]byte, 0, 8)...)
	inner, err := ip.BuildUDP(src, benchVIP, payload)
	if err != nil {
		b.Fatal(err)
	}
	h := geneve.Header{VNI: 7, EtherType: geneve.EtherTypeIPv4}
	return geneve.Append(nil, &h, nil, inner)
}

// startSink counts the packets that arrive, until the benchmark ends.
func startSink(b *testing.B) *atomic.Int64 {
	c, err := listen(benchSink, benchBuffer)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = c.Close() })
	var received atomic.Int64
	p := ipv4.NewPacketConn(c)
	go func() {
		msgs := make([]ipv4.Message, benchBatch)
		for i := range msgs {
			msgs[i].Buffers = [][]byte{make([]byte, maxPacketBytes)}
		}
		for {
			n, err := p.ReadBatch(msgs, 0)
			if err != nil {
				return
			}
			received.Add(int64(n))
		}
	}()
	return &received
}

// flood sends packets as fast as possible for the time d.
func flood(b *testing.B, d time.Duration) {
	var wg sync.WaitGroup
	for s := range benchSenders {
		c, err := listen(netip.AddrPortFrom(benchFrom.Addr(), 0), benchBuffer)
		if err != nil {
			b.Fatal(err)
		}
		p := ipv4.NewPacketConn(c)
		msgs := make([]ipv4.Message, benchBatch)
		for i := range msgs {
			packet := benchPacket(b, (s*benchBatch+i)%benchFlows)
			msgs[i] = ipv4.Message{Buffers: [][]byte{packet}, Addr: net.UDPAddrFromAddrPort(benchRelay)}
		}
		wg.Go(func() {
			defer func() { _ = c.Close() }()
			for end := time.Now().Add(d); time.Now().Before(end); {
				_, _ = p.WriteBatch(msgs, 0)
			}
		})
	}
	wg.Wait()
}

// BenchmarkThroughput compares the packets per second through one balancer with those through a bare relay with the
// same batching. Only figures of the same run are comparable.
func BenchmarkThroughput(b *testing.B) {
	for name, start := range map[string]func(*testing.B, int){"Balancer": startBalancer, "BareRelay": startRelay} {
		b.Run(name, func(b *testing.B) {
			received := startSink(b)
			start(b, 1)
			flood(b, benchDuration/10)
			for b.Loop() {
				before := received.Load()
				began := time.Now()
				flood(b, benchDuration)
				b.ReportMetric(float64(received.Load()-before)/time.Since(began).Seconds(), "packets/s")
			}
		})
	}
}

// BenchmarkDelay reports the delay of single packets at a moderate load.
func BenchmarkDelay(b *testing.B) {
	const period = 20 * time.Microsecond
	for name, start := range map[string]func(*testing.B, int){"Balancer": startBalancer, "BareRelay": startRelay} {
		b.Run(name, func(b *testing.B) {
			start(b, 1)
			sink, err := listen(benchSink, benchBuffer)
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { _ = sink.Close() })
			src, err := listen(netip.AddrPortFrom(benchFrom.Addr(), 0), benchBuffer)
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { _ = src.Close() })
			to := net.UDPAddrFromAddrPort(benchRelay)
			packet := benchPacket(b, 1)
			buf := make([]byte, maxPacketBytes)
			var delays []time.Duration
			for b.Loop() {
				began := time.Now()
				if _, err := src.WriteToUDP(packet, to); err != nil {
					b.Fatal(err)
				}
				if _, _, err := sink.ReadFromUDPAddrPort(buf); err != nil {
					b.Fatal(err)
				}
				delays = append(delays, time.Since(began))
				for time.Since(began) < period {
				}
			}
			sort.Slice(delays, func(i, j int) bool { return delays[i] < delays[j] })
			b.ReportMetric(float64(delays[len(delays)/2].Microseconds()), "p50-µs")
			b.ReportMetric(float64(delays[len(delays)*99/100].Microseconds()), "p99-µs")
		})
	}
}
