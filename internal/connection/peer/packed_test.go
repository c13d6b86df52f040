package peer_test

import (
	"bytes"
	"compress/flate"
	"fmt"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

func wholeOf(v bundle.Version, routes int) *bundle.Update {
	b := &bundle.Bundle{Services: []bundle.Service{{Name: "orders", Registered: true, Connections: 10}}}
	for i := range routes {
		b.Routes = append(b.Routes, bundle.Route{
			Name:    fmt.Sprint("route-", i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
			Targets: []bundle.Target{{Service: "orders", Weight: 1}},
		})
	}
	if err := b.Check(); err != nil {
		panic(err) // All that tests make is good.
	}
	return bundle.FullUpdate(bundle.Accepted{Version: v, Bundle: b})
}

func TestPackedUpdateIsReadAsItWasWritten(t *testing.T) {
	g := NewWithT(t)
	u := wholeOf(7, 3000)
	p, err := peer.PackUpdate(u)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(p)).To(BeNumerically("<", 100_000), "all daemons that start together are told it by a few")
	got, err := p.Unpack()
	g.Expect(err).NotTo(HaveOccurred())
	a, err := got.Apply(bundle.Accepted{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Version).To(BeEquivalentTo(7))
	g.Expect(a.Bundle.Routes).To(Equal(u.Routes))
}

// A member that another release or a fault made write nonsense must not take a daemon's memory.
func TestPackedUpdateIsBounded(t *testing.T) {
	g := NewWithT(t)
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	g.Expect(err).NotTo(HaveOccurred())
	for range 10 {
		_, err = w.Write(make([]byte, 1<<20))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(w.Close()).To(Succeed())
	_, err = peer.PackedUpdate(b.Bytes()).Unpack()
	g.Expect(err).To(MatchError(peer.ErrMessage))
}

// Many members ask for the same at the same moment, and the one that tells them would pack it for each
// while its packets wait.
func TestPackerPacksOnce(t *testing.T) {
	g := NewWithT(t)
	var p peer.Packer
	first, err := p.Pack(wholeOf(7, 10))
	g.Expect(err).NotTo(HaveOccurred())
	again, err := p.Pack(wholeOf(7, 10))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(&again[0]).To(BeIdenticalTo(&first[0]))
	later, err := p.Pack(wholeOf(8, 10))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(later).NotTo(Equal(first))
}

func FuzzUnpack(f *testing.F) {
	p, err := peer.PackUpdate(wholeOf(7, 3))
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(p))
	f.Fuzz(func(t *testing.T, src []byte) {
		u, err := peer.PackedUpdate(src).Unpack()
		if err != nil {
			return
		}
		if a, err := u.Apply(bundle.Accepted{}); err == nil && a.Bundle.Digest() != u.Digest {
			t.Fatal("took a bundle that isn't the one that was told")
		}
	})
}
