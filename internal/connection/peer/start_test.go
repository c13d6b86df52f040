package peer_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

var _ = Describe("A daemon that starts", func() {
	began := time.Unix(1_000_000, 0)
	first := peer.Startup{StartedAt: began, FirstStart: true}
	later := peer.Startup{StartedAt: began}

	// All hosts of a fleet start together and nobody asks anything of them yet. If each read
	// the store, 195 of them would make 1,750 calls, where one that tells the others makes 9.
	It("reads the store only if it must", func() {
		for name, c := range map[string]struct {
			start peer.Startup
			n     peer.StartupState
			after time.Duration
		}{
			"callers wait":                  {first, peer.StartupState{CallersWaiting: true, Rank: 9, Others: 40}, 0},
			"first of all":                  {first, peer.StartupState{Rank: 0, Others: 40}, time.Second},
			"knows no other one":            {first, peer.StartupState{}, 1200 * time.Millisecond},
			"second in rank, nobody tells":  {first, peer.StartupState{Rank: 1, Others: 40}, 2550 * time.Millisecond},
			"fortieth, nobody tells":        {first, peer.StartupState{Rank: 40, Others: 40}, 4500 * time.Millisecond},
			"thousandth, nobody tells":      {first, peer.StartupState{Rank: 1000, Others: 1000}, 5500 * time.Millisecond},
			"all come back, nobody serves":  {later, peer.StartupState{Rank: 9, Others: 40}, 20 * time.Millisecond},
			"all come back, alone":          {later, peer.StartupState{}, 20 * time.Millisecond},
			"one of many, others serve":     {later, peer.StartupState{ServingMemberSeen: true, Rank: 40, Others: 40}, 4500 * time.Millisecond},
			"one of many, first of all":     {later, peer.StartupState{ServingMemberSeen: true, Others: 40}, time.Second},
			"one of many, but callers wait": {later, peer.StartupState{CallersWaiting: true, ServingMemberSeen: true, Others: 40}, 0},
		} {
			if c.after > 0 {
				Expect(c.start.ShouldRead(c.n, began.Add(c.after-time.Millisecond))).To(BeFalse(), name)
			}
			Expect(c.start.ShouldRead(c.n, began.Add(c.after))).To(BeTrue(), name)
		}
	})

	It("asks only larger members for a long list while callers wait", func() {
		Expect(peer.IsLargerSource(800, 61)).To(BeTrue())
		Expect(peer.IsLargerSource(61, 61)).To(BeFalse())
		Expect(peer.IsLargerSource(100, 61)).To(BeFalse())
		Expect(peer.IsLargerSource(0, 61)).To(BeFalse(), "a contact of an older daemon doesn't tell its size")
	})
})

var _ = Describe("Introductions", func() {
	now := time.Unix(1_000_000, 0)
	member := func(name string, zone bundle.Zone, size uint32, n byte) peer.Member {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 7000)
		return peer.Member{
			ID: peer.IDOf(name), Name: name, Zone: zone, Data: at, Control: at, RPC: at,
			Incarnation: 1, Boot: uint64(n), Size: size,
		}
	}
	membership := func(self peer.Member, updates int) *peer.Membership {
		return peer.NewMembership(peer.Config{Updates: updates}, self, rand.New(rand.NewPCG(1, 1)))
	}
	names := func(list []peer.Member) []string {
		out := make([]string, 0, len(list))
		for i := range list {
			out = append(out, list[i].Name)
		}
		return out
	}

	// A host is restarted. It knows three seeds, all in other zones. Until gossip has told it of
	// its own zone, which takes seconds, it would read the store for itself.
	It("name the first readers of the newcomer's zone in the answer to its first ping", func() {
		seed := membership(member("seed", "b", 60, 1), peer.MaxUpdates)
		all := make([]peer.Member, 0, 23)
		for i := range 20 {
			all = append(all, member(fmt.Sprintf("small-%d", i), "a", 60, byte(10+i)))
		}
		all = append(all, member("large", "a", 800, 50), member("middle", "a", 400, 51), member("first", "c", 800, 52))
		seed.Merge(now, all)
		newcomer := member("new", "a", 60, 99)
		out := seed.Receive(now, newcomer.Control, &peer.Message{Kind: peer.KindPing, Seq: 7, From: newcomer})
		Expect(out).To(HaveLen(1))
		Expect(out[0].Message.Kind).To(Equal(peer.KindAck))
		told := names(out[0].Message.Updates)
		Expect(told[:2]).To(Equal([]string{"large", "middle"}))
		Expect(told[3]).To(Equal("first"))
		Expect(told[:4]).NotTo(ContainElement("new"))
		Expect(len(told)).To(BeNumerically("<=", peer.MaxUpdates))
	})

	It("stay within what one message carries", func() {
		seed := membership(member("seed", "a", 60, 1), 2)
		seed.Merge(now, []peer.Member{
			member("a1", "a", 60, 2), member("a2", "a", 60, 3), member("a3", "a", 60, 4), member("b1", "b", 60, 5),
		})
		newcomer := member("new", "a", 60, 99)
		out := seed.Receive(now, newcomer.Control, &peer.Message{Kind: peer.KindPing, From: newcomer})
		Expect(out[0].Message.Updates).To(HaveLen(2))
	})

	It("end once the newcomer has had time to ask", func() {
		seed := membership(member("seed", "a", 60, 1), peer.MaxUpdates)
		newcomer := member("new", "a", 60, 99)
		ping := &peer.Message{Kind: peer.KindPing, From: newcomer}
		seed.Receive(now, newcomer.Control, ping)
		seed.Merge(now, []peer.Member{member("a1", "a", 60, 2)})
		Expect(seed.Receive(now.Add(2*time.Second), newcomer.Control, ping)[0].Message.Updates).NotTo(BeEmpty())
		later := now.Add(4 * time.Second)
		for range 20 { // Gossip about the newcomer itself runs out.
			seed.Receive(later, newcomer.Control, ping)
		}
		Expect(seed.Receive(later, newcomer.Control, ping)[0].Message.Updates).To(BeEmpty())
	})

	// 195 hosts start and each is told of all others. If each passed that on, every one would
	// send and take in some hundred full messages of what all know.
	It("and whole lists aren't passed on by gossip", func() {
		m := membership(member("self", "a", 60, 1), peer.MaxUpdates)
		all := make([]peer.Member, 0, 30)
		for i := range 30 {
			all = append(all, member(fmt.Sprintf("m-%d", i), "a", 60, byte(10+i)))
		}
		m.Merge(now, all)
		Expect(m.Members()).To(HaveLen(31))
		Expect(m.PingAddress(all[0].Control)[0].Message.Updates).To(BeEmpty())
	})
})
