package peer_test

import (
	"math/rand/v2"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

var _ = Describe("Reading the store for a zone", func() {
	member := func(name string, zone bundle.Zone, size uint32) peer.Member {
		return peer.Member{ID: peer.IDOf(name), Name: name, Zone: zone, Size: size, State: peer.StateAlive}
	}

	It("falls to the largest host of the zone that stays", func() {
		members := []peer.Member{
			member("small", "a", 60),
			member("large", "a", 800),
			member("other", "b", 800),
		}
		view := func(name string) *peer.View { return peer.NewView(peer.IDOf(name), members, peer.Changes{}) }
		Expect(view("large").IsZoneReader()).To(BeTrue())
		Expect(view("small").IsZoneReader()).To(BeFalse())
		Expect(view("other").IsZoneReader()).To(BeTrue())
		Expect(view("small").ReaderRank()).To(Equal(1))
		Expect(view("small").RanksBefore(peer.IDOf("large"))).To(BeTrue())
		Expect(view("large").RanksBefore(peer.IDOf("small"))).To(BeFalse())
		members[1].State = peer.StateLeaving
		Expect(view("small").IsZoneReader()).To(BeTrue())
		Expect(view("large").ReaderRank()).To(Equal(1))
	})

	It("falls to one daemon of all zones, and the readers of the others follow it", func() {
		members := []peer.Member{
			member("a1", "a", 80), member("a2", "a", 60),
			member("b1", "b", 70), member("c1", "c", 60),
		}
		rank := func(name string) int { return peer.NewView(peer.IDOf(name), members, peer.Changes{}).ReaderRank() }
		Expect([]int{rank("a1"), rank("b1"), rank("c1"), rank("a2")}).To(Equal([]int{0, 1, 2, 1}))
	})

	now := time.Unix(1_000_000, 0)

	// The store refuses all calls for 6.5 s. After 2.4 s without news every daemon would ask it,
	// and go on asking: 195 daemons make 1,500 calls more, each refused and each paid for, and add
	// to what the store is short of. The first few say that they live and get no answer.
	It("is taken over by few while the first say that the store doesn't answer", func() {
		const zone, outage = 43, 6500 * time.Millisecond
		reading := func(told bool) int {
			n := 0
			for rank := 1; rank < zone; rank++ {
				var r peer.ReaderElection
				r.Received(now, true)
				for at := now; at.Before(now.Add(outage)); at = at.Add(100 * time.Millisecond) {
					if told && at.Sub(now) > time.Second {
						r.ReportStoreLost(at)
					}
					if r.ShouldRead(rank, at) {
						n++
						break
					}
				}
			}
			return n
		}
		Expect(reading(false)).To(Equal(42))
		Expect(reading(true)).To(Equal(6))
	})

	// The store serves only daemons that are far back, and turns those before them away for good.
	// A bundle would never reach the zone.
	It("is taken over in the end though the first have no answer", func() {
		var r peer.ReaderElection
		r.Received(now, true)
		r.ReportStoreLost(now.Add(10 * time.Second))
		Expect(r.ShouldRead(42, now.Add(10*time.Second))).To(BeFalse())
		r.ReportStoreLost(now.Add(10500 * time.Millisecond))
		Expect(r.ShouldRead(42, now.Add(10500*time.Millisecond))).To(BeTrue())
	})

	// The daemon that said so dies. Its word must not hold the others back.
	It("is taken over at once when nobody says any more that the store doesn't answer", func() {
		var r peer.ReaderElection
		r.Received(now, true)
		r.ReportStoreLost(now.Add(1500 * time.Millisecond))
		Expect(r.ShouldRead(42, now.Add(2600*time.Millisecond))).To(BeFalse())
		Expect(r.ShouldRead(42, now.Add(2800*time.Millisecond))).To(BeTrue())
	})

	// The reader freezes, is cut off, or is turned away by the store. No error shows
	// it to the others; a bundle would reach the zone only when it is back.
	It("is taken over by the next in rank when no fresh news are heard", func() {
		for rank, after := range map[int]time.Duration{1: 2 * time.Second, 2: 2200 * time.Millisecond, 20: 2400 * time.Millisecond} {
			var r peer.ReaderElection
			r.Received(now, true)
			Expect(r.ShouldRead(rank, now.Add(after))).To(BeFalse())
			Expect(r.ShouldRead(rank, now.Add(after+time.Millisecond))).To(BeTrue())
		}
	})

	It("ends when one before in rank tells fresh news again, not when one behind does", func() {
		var r peer.ReaderElection
		Expect(r.ShouldRead(2, now)).To(BeTrue())
		r.Received(now.Add(time.Second), false)
		Expect(r.ShouldRead(2, now.Add(time.Second))).To(BeTrue())
		r.Received(now.Add(time.Second), true)
		Expect(r.ShouldRead(2, now.Add(time.Second))).To(BeFalse())
		Expect(r.ShouldRead(0, now.Add(time.Second))).To(BeTrue(), "the first always reads")
	})

	It("is decided before the users' smallest bound of three seconds by every rank", func() {
		var r peer.ReaderElection
		r.Received(now, true)
		Expect(r.ShouldRead(1_000_000, now.Add(2500*time.Millisecond))).To(BeTrue())
	})
})

var _ = Describe("Calls of a store that fails", func() {
	// The store is away for half a minute and all daemons of a zone look for it. Each
	// call is paid for, and when it comes back it refuses most for want of a rate. The
	// first in rank find it just as soon, and tell the others.
	It("grow with the logarithm of the daemons, and the first still make them often", func() {
		perSecond := func(members int) float64 {
			sum := 0.0
			for rank := range members {
				sum += 1 / peer.RetryPause(rank, 100, 0.5).Seconds()
			}
			return sum
		}
		Expect(perSecond(26)).To(BeNumerically("<", 9))
		Expect(perSecond(60)).To(BeNumerically("<", 10))
		Expect(perSecond(1600)-perSecond(60)).To(BeNumerically("<", 80), "each of the rest asks every 20 s or so")
		for rank := range 3 {
			Expect(peer.RetryPause(rank, 100, 1)).To(BeNumerically("<=", 2500*time.Millisecond))
		}
	})

	It("begin soon at any rank, are spread, and never come without a pause", func() {
		Expect(peer.RetryPause(40, 0, 0)).To(Equal(100 * time.Millisecond))
		Expect(peer.RetryPause(40, 0, 1)).To(Equal(300 * time.Millisecond))
		for failures := range 200 {
			Expect(peer.RetryPause(0, failures, 0)).To(BeNumerically(">=", 100*time.Millisecond))
		}
	})
})

var _ = Describe("News", func() {
	// A member hears fresh news of a bundle that it can't fetch, takes them for its
	// zone's word, and routes by the old bundle for good.
	It("lack what they announce and the member doesn't hold", func() {
		n := peer.Advertisement{Bundle: 7, AsOf: 100, Digest: 5}
		lacks := func(v bundle.Version, asOf objects.Position, digest uint64) [2]bool {
			b, l := n.MissingFrom(v, asOf, digest)
			return [2]bool{b, l}
		}
		Expect(lacks(7, 100, 5)).To(Equal([2]bool{false, false}))
		Expect(lacks(6, 100, 5)).To(Equal([2]bool{true, false}))
		Expect(lacks(8, 101, 6)).To(Equal([2]bool{false, false}), "the member is ahead")
		Expect(lacks(7, 100, 6)).To(Equal([2]bool{false, true}))
		Expect(lacks(7, 99, 6)).To(Equal([2]bool{false, true}))
	})
})

var _ = Describe("A daemon that joins", func() {
	It("knows at once whom another knows", func() {
		known := newGroup("known")
		for i := range 70 {
			m := newGroup(string(rune('A' + i))).Self()
			known.Merge(time.Unix(1, 0), []peer.Member{m})
		}
		joining := newGroup("joining")
		Expect(joining.Digest()).NotTo(Equal(known.Digest()))
		joining.Merge(time.Unix(2, 0), known.Members())
		Expect(joining.View().Members).To(HaveLen(72))
		known.Merge(time.Unix(2, 0), joining.Members())
		Expect(joining.Digest()).To(Equal(known.Digest()), "then nothing more is sent")
	})
})

func newGroup(name string) *peer.Membership {
	at := netip.MustParseAddrPort("127.0.0.1:1")
	return peer.NewMembership(peer.Config{}, peer.Member{
		ID: peer.IDOf(name), Name: name, Zone: "a", Data: at, Control: at, RPC: at, Incarnation: 1,
	}, rand.New(rand.NewPCG(1, 2)))
}
