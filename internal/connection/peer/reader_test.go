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

var _ = Describe("Reader election", func() {
	member := func(name string, zone bundle.Zone, size uint32) peer.Member {
		return peer.Member{ID: peer.IDOf(name), Name: name, Zone: zone, Size: size, State: peer.StateAlive}
	}

	It("elects the largest host of the zone that isn't leaving", func() {
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

	It("elects one daemon of all zones, and the readers of the other zones rank behind it", func() {
		members := []peer.Member{
			member("a1", "a", 80), member("a2", "a", 60),
			member("b1", "b", 70), member("c1", "c", 60),
		}
		rank := func(name string) int { return peer.NewView(peer.IDOf(name), members, peer.Changes{}).ReaderRank() }
		Expect([]int{rank("a1"), rank("b1"), rank("c1"), rank("a2")}).To(Equal([]int{0, 1, 2, 1}))
	})

	now := time.Unix(1_000_000, 0)

	// Guards against a whole bundle read from the store by each host that is slow to fetch the update to
	// it, and against hosts that wait for a fetch that brings nothing or for a store reader that has failed.
	DescribeTable("keeps a daemon from reading the store while it fetches what the store reader advertises",
		func(afterOffer func(r *peer.ReaderElection, at time.Time), reads bool) {
			var r peer.ReaderElection
			r.Received(now, true)
			at := now
			for range 6 { // Advertisements of content that is fetched meanwhile.
				at = at.Add(500 * time.Millisecond)
				r.Offered(at)
				Expect(r.ShouldRead(1, at)).To(BeFalse())
			}
			afterOffer(&r, at)
			Expect(r.ShouldRead(1, at.Add(400*time.Millisecond))).To(Equal(reads))
		},
		Entry("while the fetch lasts", func(*peer.ReaderElection, time.Time) {}, false),
		Entry("not if the fetch fails", func(r *peer.ReaderElection, _ time.Time) { r.Fetched(now) }, true),
		Entry("if the next one fails after one that succeeded",
			func(r *peer.ReaderElection, at time.Time) {
				r.Fetched(at)
				r.Offered(at.Add(100 * time.Millisecond))
				r.Fetched(at)
			}, false),
	)

	// Guards against hosts that all read a large bundle since the store reader takes long to receive it, and
	// against a later takeover from a reader that is frozen or has lost the store.
	DescribeTable("waits longer for a store reader that is heard",
		func(heard, lost time.Duration, takesOver time.Duration) {
			var r peer.ReaderElection
			r.Received(now, true)
			if heard > 0 {
				r.ReaderHeard(now.Add(heard))
			}
			if lost > 0 {
				r.ReportStoreLost(now.Add(lost))
			}
			Expect(r.ShouldRead(1, now.Add(takesOver))).To(BeFalse())
			Expect(r.ShouldRead(1, now.Add(takesOver+time.Millisecond))).To(BeTrue())
		},
		Entry("that was heard before the takeover", 1900*time.Millisecond, time.Duration(0), 2800*time.Millisecond),
		Entry("not if it is silent", time.Duration(0), time.Duration(0), 2*time.Second),
		Entry("not if it was frozen after its last advertisement", 100*time.Millisecond, time.Duration(0), 2*time.Second),
		Entry("not if it has lost the store", 1900*time.Millisecond, 1500*time.Millisecond, 2*time.Second),
	)

	It("lets a daemon read the store if the reader fails during a fetch", func() {
		var r peer.ReaderElection
		r.Received(now, true)
		r.Offered(now.Add(500 * time.Millisecond))
		Expect(r.ShouldRead(1, now.Add(2400*time.Millisecond))).To(BeFalse())
		Expect(r.ShouldRead(1, now.Add(2600*time.Millisecond))).To(BeTrue())
	})

	// The store refuses all calls for 6.5 s. If every daemon called it after 2.4 s without an
	// advertisement and kept doing so, 195 daemons would make 1,500 additional calls, each refused
	// and paid for, on an overloaded store. The first few readers report that it doesn't answer
	// them.
	It("lets few daemons take over while the first report that the store doesn't answer", func() {
		const zone, outage = 43, 6500 * time.Millisecond
		readers := func(reported bool) int {
			n := 0
			for rank := 1; rank < zone; rank++ {
				var r peer.ReaderElection
				r.Received(now, true)
				for at := now; at.Before(now.Add(outage)); at = at.Add(100 * time.Millisecond) {
					if reported && at.Sub(now) > time.Second {
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
		Expect(readers(false)).To(Equal(42))
		Expect(readers(true)).To(Equal(6))
	})

	// The store serves only daemons far back in rank and refuses those before them permanently. If
	// those far back never tried, a bundle would never reach the zone.
	It("lets daemons far back in rank take over eventually while the first have no answer", func() {
		var r peer.ReaderElection
		r.Received(now, true)
		r.ReportStoreLost(now.Add(10 * time.Second))
		Expect(r.ShouldRead(42, now.Add(10*time.Second))).To(BeFalse())
		r.ReportStoreLost(now.Add(10500 * time.Millisecond))
		Expect(r.ShouldRead(42, now.Add(10500*time.Millisecond))).To(BeTrue())
	})

	// The daemon that reported so dies. Its last report must not hold the others back.
	It("lets others take over immediately when nobody reports any more that the store doesn't answer", func() {
		var r peer.ReaderElection
		r.Received(now, true)
		r.ReportStoreLost(now.Add(1500 * time.Millisecond))
		Expect(r.ShouldRead(42, now.Add(2600*time.Millisecond))).To(BeFalse())
		Expect(r.ShouldRead(42, now.Add(2800*time.Millisecond))).To(BeTrue())
	})

	// The reader freezes, is partitioned, or is refused by the store. The others see no error, and
	// a bundle would reach the zone only after the reader has recovered.
	It("lets the next in rank take over when no recent advertisement is received", func() {
		for rank, after := range map[int]time.Duration{1: 2 * time.Second, 2: 2200 * time.Millisecond, 20: 2400 * time.Millisecond} {
			var r peer.ReaderElection
			r.Received(now, true)
			Expect(r.ShouldRead(rank, now.Add(after))).To(BeFalse())
			Expect(r.ShouldRead(rank, now.Add(after+time.Millisecond))).To(BeTrue())
		}
	})

	It("stops a reader when one that ranks before it advertises again, not when one that ranks behind does", func() {
		var r peer.ReaderElection
		Expect(r.ShouldRead(2, now)).To(BeTrue())
		r.Received(now.Add(time.Second), false)
		Expect(r.ShouldRead(2, now.Add(time.Second))).To(BeTrue())
		r.Received(now.Add(time.Second), true)
		Expect(r.ShouldRead(2, now.Add(time.Second))).To(BeFalse())
		Expect(r.ShouldRead(0, now.Add(time.Second))).To(BeTrue(), "the first always reads")
	})

	It("decides before the users' smallest bound of three seconds at every rank", func() {
		var r peer.ReaderElection
		r.Received(now, true)
		Expect(r.ShouldRead(1_000_000, now.Add(2500*time.Millisecond))).To(BeTrue())
	})
})

var _ = Describe("Calls to an unavailable store", func() {
	// The store is unavailable for half a minute and all daemons of a zone call it. Each call is
	// paid for, and a store that is available again refuses most of them for exceeding its rate.
	// The first in rank notice its return just as soon, and send the content to the others.
	It("grow with the logarithm of the number of daemons, and the first in rank still call often", func() {
		perSecond := func(members int) float64 {
			sum := 0.0
			for rank := range members {
				sum += 1 / peer.RetryPause(rank, 100, 0.5).Seconds()
			}
			return sum
		}
		Expect(perSecond(26)).To(BeNumerically("<", 9))
		Expect(perSecond(60)).To(BeNumerically("<", 10))
		Expect(perSecond(1600)-perSecond(60)).To(BeNumerically("<", 80), "each of the rest calls about every 20 s")
		for rank := range 3 {
			Expect(peer.RetryPause(rank, 100, 1)).To(BeNumerically("<=", 2500*time.Millisecond))
		}
	})

	It("are retried soon at any rank, with jitter, and never without a pause", func() {
		Expect(peer.RetryPause(40, 0, 0)).To(Equal(100 * time.Millisecond))
		Expect(peer.RetryPause(40, 0, 1)).To(Equal(300 * time.Millisecond))
		for failures := range 200 {
			Expect(peer.RetryPause(0, failures, 0)).To(BeNumerically(">=", 100*time.Millisecond))
		}
	})
})

var _ = Describe("Advertisement", func() {
	// A member receives recent advertisements of a bundle that it can't fetch. If they counted as
	// received, it would keep routing by the old bundle permanently.
	It("reports what is missing from a member that doesn't hold the advertised content", func() {
		n := peer.Advertisement{Bundle: 7, AsOf: 100, Digest: 5}
		missing := func(v bundle.Version, asOf objects.Position, digest uint64) [2]bool {
			b, l := n.MissingFrom(v, asOf, digest)
			return [2]bool{b, l}
		}
		Expect(missing(7, 100, 5)).To(Equal([2]bool{false, false}))
		Expect(missing(6, 100, 5)).To(Equal([2]bool{true, false}))
		Expect(missing(8, 101, 6)).To(Equal([2]bool{false, false}), "the member is newer")
		Expect(missing(7, 100, 6)).To(Equal([2]bool{false, true}))
		Expect(missing(7, 99, 6)).To(Equal([2]bool{false, true}))
	})
})

var _ = Describe("A daemon that joins", func() {
	It("immediately knows all members that another daemon knows", func() {
		known := newMembership("known")
		for i := range 70 {
			m := newMembership(string(rune('A' + i))).Self()
			known.Merge(time.Unix(1, 0), []peer.Member{m})
		}
		joining := newMembership("joining")
		Expect(joining.Digest()).NotTo(Equal(known.Digest()))
		joining.Merge(time.Unix(2, 0), known.Members())
		Expect(joining.View().Members).To(HaveLen(72))
		known.Merge(time.Unix(2, 0), joining.Members())
		Expect(joining.Digest()).To(Equal(known.Digest()), "with equal digests nothing more is sent")
	})
})

func newMembership(name string) *peer.Membership {
	at := netip.MustParseAddrPort("127.0.0.1:1")
	return peer.NewMembership(peer.Config{}, peer.Member{
		ID: peer.IDOf(name), Name: name, Zone: "a", Data: at, Control: at, RPC: at, Incarnation: 1,
	}, rand.New(rand.NewPCG(1, 2)))
}
