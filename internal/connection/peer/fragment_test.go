package peer_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

var fragmentSender = netip.MustParseAddrPort("10.0.0.1:6082")

// incompressible returns n bytes that don't get shorter when they are compressed.
func incompressible(n int) []byte {
	rng := rand.New(rand.NewPCG(uint64(n), 1))
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(rng.Uint32())
	}
	return out
}

func TestFragmentsInAnyOrderGiveTheMessage(t *testing.T) {
	g := NewWithT(t)
	r := peer.NewReassembler()
	message := incompressible(20_000)
	parts, err := peer.Fragment(7, message)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(parts)).To(BeNumerically(">", 10))
	now := time.Unix(1000, 0)
	for _, i := range rand.New(rand.NewPCG(2, 1)).Perm(len(parts)) {
		g.Expect(len(parts[i])).To(BeNumerically("<=", peer.MaxMessageBytes))
		got, complete := r.Add(fragmentSender, parts[i], now)
		if complete {
			g.Expect(got).To(Equal(message))
			return
		}
		_, again := r.Add(fragmentSender, parts[i], now)
		g.Expect(again).To(BeFalse(), "a duplicate")
	}
	t.Fatal("the message isn't complete")
}

// Guards against messages put together from fragments of different messages or senders.
func TestFragmentsOfDifferentMessagesAreNotMixed(t *testing.T) {
	g := NewWithT(t)
	r := peer.NewReassembler()
	now := time.Unix(1000, 0)
	a, err := peer.Fragment(1, incompressible(2000))
	g.Expect(err).NotTo(HaveOccurred())
	b, err := peer.Fragment(2, incompressible(2001))
	g.Expect(err).NotTo(HaveOccurred())
	for _, part := range [][]byte{a[0], b[0]} {
		_, complete := r.Add(fragmentSender, part, now)
		g.Expect(complete).To(BeFalse())
	}
	_, complete := r.Add(netip.MustParseAddrPort("10.0.0.2:6082"), a[1], now)
	g.Expect(complete).To(BeFalse(), "another sender")
}

// Guards against memory that grows with lost fragments, and with senders that never complete one.
func TestIncompleteMessagesAreDropped(t *testing.T) {
	g := NewWithT(t)
	r := peer.NewReassembler()
	now := time.Unix(1000, 0)
	for n := range uint64(1000) {
		parts, err := peer.Fragment(n, incompressible(2000))
		g.Expect(err).NotTo(HaveOccurred())
		_, complete := r.Add(fragmentSender, parts[0], now)
		g.Expect(complete).To(BeFalse())
	}
	later := now.Add(2 * time.Second)
	parts, err := peer.Fragment(5000, incompressible(2000))
	g.Expect(err).NotTo(HaveOccurred())
	r.Add(fragmentSender, parts[0], later)
	_, complete := r.Add(fragmentSender, parts[1], later)
	g.Expect(complete).To(BeTrue(), "old ones make room")
}

func TestMessageOfTooManyFragmentsIsRefused(t *testing.T) {
	g := NewWithT(t)
	_, err := peer.Fragment(1, incompressible(100_000))
	g.Expect(err).To(MatchError(peer.ErrMessage))
}

func FuzzReassembler(f *testing.F) {
	parts, err := peer.Fragment(3, []byte("a message"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(parts[0])
	f.Fuzz(func(_ *testing.T, b []byte) {
		r := peer.NewReassembler()
		r.Add(fragmentSender, b, time.Unix(1000, 0))
		r.Add(fragmentSender, b, time.Unix(1005, 0))
	})
}

// Guards against an advertisement that can't be sent at all because of the names in its changes. Its receivers would take
// the sender for lost.
func TestAdvertisedChangesFitIntoFragments(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 2))
	name := func() string {
		b := make([]byte, 253)
		for i := range b {
			b[i] = byte('!' + rng.IntN('~'-'!'))
		}
		return string(b)
	}
	a := &peer.Advertisement{From: 1 << 60, Age: time.Second, AsOf: 1 << 50, Digest: 1 << 60}
	for i := range peer.MaxAdvertisedChanges {
		change := registry.Change{Registration: registry.Registration{
			ID: bundle.UpstreamID(rng.Uint64()), Service: name(), Zone: bundle.Zone(name()), Slots: 1 << 30, Warmup: time.Hour,
			Address: netip.MustParseAddrPort("10.128.100.100:50000"), Created: 1 << 50, Revision: objects.Position(1<<50 + i),
			StartTime: 1_764_720_000_000, Sequence: rng.Uint64(),
		}}
		if !peer.CanAdvertise(append(a.Changes, change)) {
			break
		}
		a.Changes = append(a.Changes, change)
	}
	g.Expect(len(a.Changes)).To(BeNumerically(">", peer.MaxRepeatedChanges))
	g.Expect(peer.CanAdvertise(make([]registry.Change, peer.MaxAdvertisedChanges))).To(BeTrue())
	c, err := peer.NewCodec[peer.Advertisement]([]byte("secret"), peer.DomainAdvertisement)
	g.Expect(err).NotTo(HaveOccurred())
	b, err := c.Encode(a)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = peer.Fragment(1, b)
	g.Expect(err).NotTo(HaveOccurred())
}
