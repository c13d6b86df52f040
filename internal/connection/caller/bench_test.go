package caller_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/fescueshed/fescueshed/internal/connection/caller"
	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/request/ip"
)

const (
	benchFlows = 1 << 16
	benchStep  = 7919
)

// benchPacket is a call in a buffer that is in the processor's cache, like a packet
// that was just received. An empty CoAP acknowledgement is the most common packet of an
// observation; it opens no request.
type benchPacket struct {
	b []byte
}

func newBenchPacket() *benchPacket {
	b, err := ip.BuildUDP(callerAt(1), ordersAt, []byte{0x60, 0, 0, 1})
	if err != nil {
		panic(err)
	}
	h := geneve.Header{VNI: vniOrders, EtherType: geneve.EtherTypeIPv4}
	return &benchPacket{b: geneve.Append(nil, &h, nil, b)}
}

// flow turns the packet into one of flow i and returns its bytes.
func (p *benchPacket) flow(i int) []byte {
	const sourceAddress = geneve.HeaderBytes + 12
	i %= benchFlows
	binary.BigEndian.PutUint32(p.b[sourceAddress:], uint32(10<<24|i))
	return p.b
}

func benchEngine(members int) (*caller.Engine, *geneve.Key) {
	c := newCluster(members)
	e := c.nodes[0].engine
	for _, u := range c.routing.Upstreams() {
		u.Connections = 1 << 30
	}
	return e, c.key
}

// BenchmarkDecide decodes a packet, finds its record and decides on it, on all cores.
func BenchmarkDecide(b *testing.B) {
	e, key := benchEngine(1)
	now := clusterT0.Add(time.Second)
	var d caller.Decoder
	var out []caller.Output
	packet := newBenchPacket()
	for i := range benchFlows {
		m, _ := d.Decode(e, key, fabricAt.Addr(), packet.flow(i))
		out, _ = e.Handle(now, m, out[:0])
	}
	if len(out) != 1 || e.Flows.Len() != benchFlows {
		b.Fatalf("%d outputs, %d flows", len(out), e.Flows.Len())
	}
	var worker atomic.Uint32
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		var d caller.Decoder
		out := make([]caller.Output, 0, 4)
		packet := newBenchPacket()
		i := int(worker.Add(1)) * benchStep
		for pb.Next() {
			i += benchStep
			m, cause := d.Decode(e, key, fabricAt.Addr(), packet.flow(i))
			if cause != caller.CauseNone {
				panic(cause)
			}
			if out, cause = e.Handle(now, m, out[:0]); cause != caller.CauseNone {
				panic(cause)
			}
		}
	})
}

// BenchmarkDecideForward does the same at a member that forwards the packet to its
// owner, one of nine members.
func BenchmarkDecideForward(b *testing.B) {
	e, key := benchEngine(9)
	now := clusterT0.Add(time.Second)
	var worker atomic.Uint32
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		var d caller.Decoder
		out := make([]caller.Output, 0, 4)
		buf := make([]byte, 0, 2048)
		packet := newBenchPacket()
		i := int(worker.Add(1)) * benchStep
		for pb.Next() {
			i += benchStep
			m, _ := d.Decode(e, key, fabricAt.Addr(), packet.flow(i))
			out, _ = e.Handle(now, m, out[:0])
			buf = geneve.Append(buf[:0], &out[0].Header, key, out[0].Inner)
		}
	})
}

// BenchmarkDecideNaive is a simple implementation for comparison: gopacket.NewPacket,
// hash modulo n, and one map under one mutex.
func BenchmarkDecideNaive(b *testing.B) {
	var mu sync.Mutex
	flows := make(map[string]string)
	upstreams := []string{"a", "b", "c", "d", "e", "f"}
	var worker atomic.Uint32
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		packet := newBenchPacket()
		i := int(worker.Add(1)) * benchStep
		for pb.Next() {
			i += benchStep
			p := gopacket.NewPacket(packet.flow(i), layers.LayerTypeGeneve, gopacket.Default)
			vni := p.Layer(layers.LayerTypeGeneve).(*layers.Geneve).VNI
			key := fmt.Sprint(vni, p.NetworkLayer().NetworkFlow(), p.TransportLayer().TransportFlow())
			mu.Lock()
			if _, ok := flows[key]; !ok {
				flows[key] = upstreams[xxhash.Sum64String(key)%uint64(len(upstreams))]
			}
			mu.Unlock()
		}
	})
}

// BenchmarkPlace decides on the first packet of a flow.
func BenchmarkPlace(b *testing.B) {
	e, key := benchEngine(1)
	now := clusterT0.Add(time.Second)
	var d caller.Decoder
	var out []caller.Output
	packet := newBenchPacket()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%benchFlows == 0 {
			e.Flows = caller.NewTable()
		}
		m, _ := d.Decode(e, key, fabricAt.Addr(), packet.flow(i))
		out, _ = e.Handle(now, m, out[:0])
	}
}

// BenchmarkRank finds the owner of a flow among members in three zones.
func BenchmarkRank(b *testing.B) {
	for _, n := range []int{9, 32, 100, 1600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			members := make([]peer.Member, n)
			for i := range members {
				members[i] = peer.Member{ID: peer.IDOf(fmt.Sprint(i)), Zone: zones[i%3]}
			}
			v := peer.NewView(members[0].ID, members, peer.Changes{})
			for i := 0; b.Loop(); i++ {
				v.Owner(peer.FlowHash(i * benchStep))
			}
		})
	}
}

// BenchmarkTableMemory stores half a million records and reports the bytes per flow.
func BenchmarkTableMemory(b *testing.B) {
	const flows = 500_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		t := caller.NewTable()
		for i := range uint32(flows) {
			k := caller.Key{CallerPort: uint16(i), ServicePort: uint16(i >> 16), VNIProtocol: 1}
			t.Update(&k, k.Hash(), func(r *caller.Record, _ bool) bool {
				r.Upstream = 1
				return true
			})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "B/flow")
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
		runtime.KeepAlive(t)
	}
}

// BenchmarkRequest decides on a request and its answer.
func BenchmarkRequest(b *testing.B) {
	e, key := benchEngine(1)
	now := clusterT0.Add(time.Second)
	r := request{vni: vniOrders, flow: 4001, code: codes.GET, id: 1, token: 1}
	call, err := ip.BuildUDP(callerAt(r.flow), ordersAt, r.payload())
	if err != nil {
		b.Fatal(err)
	}
	answer, err := ip.BuildUDP(ordersAt, callerAt(r.flow), []byte{0x61, 0x45, 0, 1, 1})
	if err != nil {
		b.Fatal(err)
	}
	h := geneve.Header{VNI: vniOrders, EtherType: geneve.EtherTypeIPv4}
	callBytes, answerBytes := geneve.Append(nil, &h, nil, call), geneve.Append(nil, &h, nil, answer)
	var d caller.Decoder
	m, _ := d.Decode(e, key, fabricAt.Addr(), callBytes)
	out, _ := e.Handle(now, m, nil)
	from := out[0].To.Addr()
	b.ReportAllocs()
	for b.Loop() {
		m, _ := d.Decode(e, key, fabricAt.Addr(), callBytes)
		out, _ = e.Handle(now, m, out[:0])
		m, _ = d.Decode(e, key, from, answerBytes)
		out, _ = e.Handle(now, m, out[:0])
	}
}
