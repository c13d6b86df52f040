package capacity

import (
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/caller"
	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/request/ip"
	"github.com/fescueshed/fescueshed/internal/standin/links"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

const (
	warmUp       = 30 * time.Second
	controlTime  = 10 * time.Second
	timedRounds  = 200_000
	upstreamZone = 3
	secret       = "secret of the measurement"
)

// control measures what membership costs each member, by the size of its cell:
// bytes sent, and processor time with encoding, decoding and views.
func control(sizes []int) (bytes, cpu Slope) {
	bytes = Slope{Name: "control-bytes", SizeUnit: "members of a cell", CostUnit: "B/s sent per daemon"}
	cpu = Slope{Name: "control-cpu", SizeUnit: "members of a cell", CostUnit: "µs/s per daemon"}
	for _, n := range sizes {
		w := links.New(n, 1)
		w.RunUntil(warmUp, w.Converged)
		w.Run(warmUp / 3)
		for _, m := range w.Members {
			m.SetFlows(flowCounts())
		}
		w.CountBytes = true
		began := time.Now()
		w.Run(controlTime)
		took := time.Since(began)
		sum := 0
		for _, m := range w.Members {
			sum += m.SentBytes
		}
		perMember := float64(n) * controlTime.Seconds()
		bytes.Points = append(bytes.Points, Point{float64(n), float64(sum) / perMember})
		// Encoding is measured; decoding costs about as much again.
		cpu.Points = append(cpu.Points, Point{float64(n), 2 * float64(took.Microseconds()) / perMember})
	}
	return bytes, cpu
}

// flowCounts are as many and as large as a daemon's are at the size to design for.
func flowCounts() []uint32 {
	perHome := float64(flowsPerCell) / upstreamsPerCell / cellMembers
	counts := make([]uint32, upstreamsPerCell)
	for i := range counts {
		counts[i] = uint32(perHome)
	}
	return counts
}

// rank measures finding a flow's home.
func rank(sizes []int) Slope {
	s := Slope{Name: "rank", SizeUnit: "members of a cell", CostUnit: "ns"}
	for _, n := range sizes {
		v := viewOf(n)
		began := time.Now()
		for i := range timedRounds {
			v.Owner(peer.FlowHash(i * 7919))
		}
		s.Points = append(s.Points, Point{float64(n), float64(time.Since(began).Nanoseconds()) / timedRounds})
	}
	return s
}

func viewOf(n int) *peer.View {
	members := make([]peer.Member, n)
	for i := range members {
		members[i] = peer.Member{
			ID: peer.IDOf(fmt.Sprint("host-", i)), Zone: bundle.Zone(fmt.Sprint(i % upstreamZone)),
			Data: netip.AddrPortFrom(links.ControlAddress(i).Addr(), 6081),
		}
	}
	return peer.NewView(members[0].ID, members, peer.Changes{})
}

// table measures the memory of flow records.
func table(sizes []int) Slope {
	s := Slope{Name: "flow-memory", SizeUnit: "flows", CostUnit: "bytes of heap"}
	for _, n := range sizes {
		before := heap()
		t := caller.NewTable()
		for i := range uint32(n) {
			k := caller.Key{CallerPort: uint16(i), ServicePort: uint16(i >> 16), VNIProtocol: 1}
			t.Update(&k, k.Hash(), func(r *caller.Record, _ bool) bool {
				r.Upstream = 1
				return true
			})
		}
		s.Points = append(s.Points, Point{float64(n), float64(heap() - before)})
		runtime.KeepAlive(t)
	}
	return s
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// decide measures a packet of a known flow at its home, by the number of flows.
func decide(sizes []int) Slope {
	s := Slope{Name: "decide", SizeUnit: "flows", CostUnit: "ns"}
	for _, n := range sizes {
		e, key, from := loneEngine()
		b := newPacket()
		now := time.Now()
		var d caller.Decoder
		var out []caller.Output
		one := func(i int) {
			p, _ := d.Decode(e, key, from, b.flow(i%n))
			out, _ = e.Handle(now, p, out[:0])
		}
		for i := range n {
			one(i)
		}
		began := time.Now()
		for i := range timedRounds {
			one(i * 7919)
		}
		s.Points = append(s.Points, Point{float64(n), float64(time.Since(began).Nanoseconds()) / timedRounds})
	}
	return s
}

var (
	fabricAt  = netip.MustParseAddrPort("192.0.2.1:6081")
	serviceAt = netip.MustParseAddrPort("198.51.100.1:5683")
)

func loneEngine() (*caller.Engine, *geneve.Key, netip.Addr) {
	e := caller.NewEngine(caller.Options{Self: 1, Fabrics: []netip.AddrPort{fabricAt}, Start: time.Now().Add(-time.Second)})
	e.SetRouting(bundle.NewRouting(1, bundleOf(1, 1, 14), nil))
	return e, geneve.NewKey([]byte(secret)), fabricAt.Addr()
}

// packet is an empty CoAP acknowledgement of any flow.
type packet struct{ b []byte }

func newPacket() *packet {
	inner, err := ip.BuildUDP(netip.MustParseAddrPort("10.0.0.0:1000"), serviceAt, []byte{0x60, 0, 0, 1})
	if err != nil {
		panic(err) // Both addresses are IPv4.
	}
	h := geneve.Header{VNI: 1, EtherType: geneve.EtherTypeIPv4}
	return &packet{b: geneve.Append(nil, &h, nil, inner)}
}

func (p *packet) flow(i int) []byte {
	const sourceAddress = geneve.HeaderBytes + 12
	copy(p.b[sourceAddress:], []byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
	return p.b
}

// place measures the choice of an upstream.
func place(sizes []int) Slope {
	s := Slope{Name: "place", SizeUnit: "upstreams of a service", CostUnit: "ns"}
	for _, n := range sizes {
		t := bundle.NewRouting(1, bundleOf(1, 1, n), nil)
		board := upstream.NewLoadTable()
		candidates := make([]upstream.Candidate, 0, n)
		for _, u := range t.Upstreams() {
			candidates = append(candidates, upstream.Candidate{Route: u, Load: board.Load(u.ID)})
		}
		const rounds = timedRounds / 10
		began := time.Now()
		for i := range rounds {
			upstream.LeastLoaded{}.Choose(candidates, uint64(i))
		}
		s.Points = append(s.Points, Point{float64(n), float64(time.Since(began).Nanoseconds()) / rounds})
	}
	return s
}

// load measures decoding, checking and routing a bundle: time, memory, size.
func load(sizes []int) (took, memory, size Slope) {
	took = Slope{Name: "bundle-time", SizeUnit: "upstreams", CostUnit: "ms"}
	memory = Slope{Name: "bundle-memory", SizeUnit: "upstreams", CostUnit: "bytes of heap"}
	size = Slope{Name: "bundle-size", SizeUnit: "upstreams", CostUnit: "bytes"}
	for _, n := range sizes {
		before := heap()
		t, elapsed, bytes := loadOne(n)
		after := heap()
		runtime.KeepAlive(t)
		took.Points = append(took.Points, Point{float64(n), float64(elapsed.Microseconds()) / 1000})
		memory.Points = append(memory.Points, Point{float64(n), float64(after - before)})
		size.Points = append(size.Points, Point{float64(n), float64(bytes)})
	}
	return took, memory, size
}

// loadOne makes a bundle of n upstreams and puts it through all that a daemon
// does with it.
func loadOne(n int) (t *bundle.Routing, took time.Duration, bytes int) {
	const perService = 14
	services := max(1, n/perService)
	addresses := max(1, n*serviceAddresses/fleetUpstreams/services)
	src := encode(bundleOf(services, addresses, perService))
	began := time.Now()
	b, err := bundle.Decode("bundle", src)
	if err != nil {
		panic(err) // It was made here.
	}
	t = bundle.NewRouting(1, b, nil)
	return t, time.Since(began), len(src)
}
