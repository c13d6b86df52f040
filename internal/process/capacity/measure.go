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
	// warmUpTime bounds the time until all members agree, in the network's own time. Before messages
	// are counted, the members then run for a part or a multiple of it.
	warmUpTime = 30 * time.Second
	// measuredTime is how long messages are counted, in the network's own time.
	measuredTime = 10 * time.Second
	// timedRounds is how often a short operation is repeated.
	timedRounds = 200_000
	zoneCount   = 3
	secret      = "secret of the measurement"
)

// measureControl measures the cost of the membership protocol for each member, by the size of
// its cell: bytes sent, and processor time including encoding, decoding and building views.
func measureControl(sizes []int) (bytes, cpu Slope) {
	bytes = Slope{Name: "control-bytes", SizeUnit: "members of a cell", CostUnit: "B/s sent per daemon"}
	cpu = Slope{Name: "control-cpu", SizeUnit: "members of a cell", CostUnit: "µs/s per daemon"}
	for _, n := range sizes {
		w := links.New(n, 1)
		w.RunUntil(warmUpTime, w.Converged)
		w.Run(warmUpTime / 3)
		for _, m := range w.Members {
			m.SetFlows(flowCounts())
		}
		w.CountBytes = true
		began := time.Now()
		w.Run(measuredTime)
		took := time.Since(began)
		sum := 0
		for _, m := range w.Members {
			sum += m.SentBytes
		}
		perMember := float64(n) * measuredTime.Seconds()
		bytes.Points = append(bytes.Points, Point{float64(n), float64(sum) / perMember})
		// The network encodes messages only to count their bytes and never decodes them.
		// Decoding costs about as much as encoding, so the time is doubled.
		cpu.Points = append(cpu.Points, Point{float64(n), 2 * float64(took.Microseconds()) / perMember})
	}
	return bytes, cpu
}

// flowCounts returns flow counts, as many and as large as those of a daemon at the design size.
func flowCounts() []uint32 {
	flowsPerOwner := float64(flowsPerCell) / upstreamsPerCell / cellMembers
	counts := make([]uint32, upstreamsPerCell)
	for i := range counts {
		counts[i] = uint32(flowsPerOwner)
	}
	return counts
}

// measureRank measures the time to determine a flow's owner.
func measureRank(sizes []int) Slope {
	s := Slope{Name: "rank", SizeUnit: "members of a cell", CostUnit: "ns"}
	for _, n := range sizes {
		v := newView(n)
		began := time.Now()
		for i := range timedRounds {
			v.Owner(peer.FlowHash(i * 7919))
		}
		s.Points = append(s.Points, Point{float64(n), float64(time.Since(began).Nanoseconds()) / timedRounds})
	}
	return s
}

// newView returns a view of n members.
func newView(n int) *peer.View {
	members := make([]peer.Member, n)
	for i := range members {
		members[i] = peer.Member{
			ID: peer.IDOf(fmt.Sprint("host-", i)), Zone: bundle.Zone(fmt.Sprint(i % zoneCount)),
			Data: netip.AddrPortFrom(links.ControlAddress(i).Addr(), 6081),
		}
	}
	return peer.NewView(members[0].ID, members, peer.Changes{})
}

// measureTable measures the memory of flow records by their number.
func measureTable(sizes []int) Slope {
	s := Slope{Name: "flow-memory", SizeUnit: "flows", CostUnit: "bytes of heap"}
	for _, n := range sizes {
		before := heapBytes()
		t := caller.NewTable()
		for i := range uint32(n) {
			k := caller.Key{CallerPort: uint16(i), ServicePort: uint16(i >> 16), VNIProtocol: 1}
			t.Update(&k, k.Hash(), func(r *caller.Record, _ bool) bool {
				r.Upstream = 1
				return true
			})
		}
		s.Points = append(s.Points, Point{float64(n), float64(heapBytes() - before)})
		runtime.KeepAlive(t)
	}
	return s
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// measureDecide measures the time to handle a packet of a known flow at its owner, by the number
// of flows.
func measureDecide(sizes []int) Slope {
	s := Slope{Name: "decide", SizeUnit: "flows", CostUnit: "ns"}
	for _, n := range sizes {
		e, key, from := newEngine()
		b := newPacket()
		now := time.Now()
		var d caller.Decoder
		var out []caller.Output
		handle := func(i int) {
			p, _ := d.Decode(e, key, from, b.flow(i%n))
			out, _ = e.Handle(now, p, out[:0])
		}
		for i := range n {
			handle(i)
		}
		began := time.Now()
		for i := range timedRounds {
			handle(i * 7919)
		}
		s.Points = append(s.Points, Point{float64(n), float64(time.Since(began).Nanoseconds()) / timedRounds})
	}
	return s
}

var (
	fabricAddr = netip.MustParseAddrPort("192.0.2.1:6081")
	serviceVIP = netip.MustParseAddrPort("198.51.100.1:5683")
)

// newEngine returns the engine of a daemon without other members, its key, and the fabric's address.
func newEngine() (*caller.Engine, *geneve.Key, netip.Addr) {
	e := caller.NewEngine(caller.Options{Self: 1, Fabrics: []netip.AddrPort{fabricAddr}, Start: time.Now().Add(-time.Second)})
	e.SetRouting(bundle.NewRouting(1, newBundle(1, 1, 14), nil))
	return e, geneve.NewKey([]byte(secret)), fabricAddr.Addr()
}

// packet is an empty CoAP acknowledgement whose flow can be set.
type packet struct{ b []byte }

func newPacket() *packet {
	inner, err := ip.BuildUDP(netip.MustParseAddrPort("10.0.0.0:1000"), serviceVIP, []byte{0x60, 0, 0, 1})
	if err != nil {
		panic(err) // Both addresses are IPv4.
	}
	h := geneve.Header{VNI: 1, EtherType: geneve.EtherTypeIPv4}
	return &packet{b: geneve.Append(nil, &h, nil, inner)}
}

// flow sets the source address by the number of a flow and returns the packet. It overwrites the
// bytes that an earlier call returned.
func (p *packet) flow(i int) []byte {
	const sourceAddress = geneve.HeaderBytes + 12
	copy(p.b[sourceAddress:], []byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
	return p.b
}

// measurePlacement measures the time to choose an upstream, by the number of upstreams.
func measurePlacement(sizes []int) Slope {
	s := Slope{Name: "place", SizeUnit: "upstreams of a service", CostUnit: "ns"}
	for _, n := range sizes {
		t := bundle.NewRouting(1, newBundle(1, 1, n), nil)
		loads := upstream.NewLoadTable()
		candidates := make([]upstream.Candidate, 0, n)
		for _, u := range t.Upstreams() {
			candidates = append(candidates, upstream.Candidate{Route: u, Load: loads.Load(u.ID)})
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

// measureBundle measures, by the number of upstreams, the time to decode and check a bundle and
// to build its routing, the memory of the result, and the encoded size.
func measureBundle(sizes []int) (duration, memory, size Slope) {
	duration = Slope{Name: "bundle-time", SizeUnit: "upstreams", CostUnit: "ms"}
	memory = Slope{Name: "bundle-memory", SizeUnit: "upstreams", CostUnit: "bytes of heap"}
	size = Slope{Name: "bundle-size", SizeUnit: "upstreams", CostUnit: "bytes"}
	for _, n := range sizes {
		before := heapBytes()
		t, elapsed, bytes := loadBundle(n)
		after := heapBytes()
		runtime.KeepAlive(t)
		duration.Points = append(duration.Points, Point{float64(n), float64(elapsed.Microseconds()) / 1000})
		memory.Points = append(memory.Points, Point{float64(n), float64(after - before)})
		size.Points = append(size.Points, Point{float64(n), float64(bytes)})
	}
	return duration, memory, size
}

// loadBundle builds a bundle of n upstreams and processes it as a daemon does. It returns the
// routing, the time for processing, and the encoded size.
func loadBundle(n int) (t *bundle.Routing, duration time.Duration, bytes int) {
	const perService = 14
	services := max(1, n/perService)
	addresses := max(1, n*serviceAddresses/fleetUpstreams/services)
	src := encodeBundle(newBundle(services, addresses, perService))
	began := time.Now()
	b, err := bundle.Decode("bundle", src)
	if err != nil {
		panic(err) // The bundle was built by this package.
	}
	t = bundle.NewRouting(1, b, nil)
	return t, time.Since(began), len(src)
}
