package peer_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

func manyMembers(n int) []peer.Member {
	out := make([]peer.Member, 0, n)
	for i := range n {
		name := fmt.Sprintf("edge-col-hall-%c-%d", 'a'+i%5, i)
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % 5), byte(i >> 8), byte(i)}), 8166)
		out = append(out, peer.Member{
			ID: peer.IDOf(name), Name: name, Zone: bundle.Zone(fmt.Sprintf("zone-%d", i%5)), Data: at, Control: at, RPC: at,
			Incarnation: 1, Boot: uint64(i + 1), Size: uint32(61 + 739*(i%13/12)),
		})
	}
	return out
}

// BenchmarkLearn is what a daemon that starts takes to know a fleet and to make its view.
func BenchmarkLearn(b *testing.B) {
	for _, n := range []int{195, 1000, 16000} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			all := manyMembers(n)
			b.ReportAllocs()
			for b.Loop() {
				m := peer.NewMembership(peer.Config{}, all[0], rand.New(rand.NewPCG(1, 1)))
				m.Merge(time.Unix(1_000_000, 0), all)
				if v := m.View(); len(v.Members) != n {
					b.Fatal(len(v.Members))
				}
			}
		})
	}
}

// BenchmarkCatalogDecode is what a list costs a daemon that another one tells.
func BenchmarkCatalogDecode(b *testing.B) {
	for _, n := range []int{18, 293, 3000, 30000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			c, err := peer.NewCodec[peer.Catalog]([]byte("0123456789abcdef"), peer.DomainCatalog)
			if err != nil {
				b.Fatal(err)
			}
			told := &peer.Catalog{Complete: true, HasRegistrations: true}
			for i := range n {
				told.Registrations = append(told.Registrations, registry.Registration{
					ID: bundle.UpstreamID(1 + i*7919), Service: "huvo11a", Zone: "col-hall-a", Slots: 2, StartTime: 1765000000000,
					Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128, byte(i >> 8), byte(i)}), 8080), Created: 1, Revision: 2,
				})
			}
			body, err := c.Encode(told)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(body)), "bytes")
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Decode(body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
