package peer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/standin/links"
)

var _ = Describe("Membership", func() {
	It("finds all members from a list that names a few", func() {
		w := links.New(9, 1)
		Expect(w.Until(5*time.Second, w.Agreed)).To(BeNumerically("<", 5*time.Second))
	})

	// A caller waits longer than for one retransmission. A balancer dies without
	// notice and the others go on sending to it.
	It("finds a dead member within two seconds at nine members", func() {
		for seed := range uint64(20) {
			w := links.New(9, seed)
			w.Until(10*time.Second, w.Agreed)
			w.Run(time.Second)
			w.Members[4].Up = false
			Expect(w.Until(5*time.Second, w.Agreed)).To(BeNumerically("<", 2*time.Second), "seed %d", seed)
		}
	})

	// Sessions move about for nothing. Datagrams are lost and processes are
	// paused for a moment, and members that live are taken for dead.
	It("takes no member for dead in an hour of loss and short pauses", func() {
		w := links.New(9, 3)
		w.Until(10*time.Second, w.Agreed)
		w.Run(2 * time.Second)
		w.Loss = 0.01
		for range 3600 {
			w.Members[w.Rng.IntN(9)].PausedUntil = w.Now.Add(100 * time.Millisecond)
			w.Run(time.Second)
			for _, m := range w.Members {
				Expect(m.View().Members).To(HaveLen(9))
				Expect(m.View().Lost).To(BeEmpty())
			}
		}
	})

	// A flow is placed twice. A host is killed and is back before a probe failed;
	// the others must learn that its records are lost.
	It("tells a restarted host from its predecessor", func() {
		w := links.New(9, 4)
		w.Until(10*time.Second, w.Agreed)
		w.Boot(w.Members[2])
		w.Run(3 * time.Second)
		for i, m := range w.Members {
			if i != 2 {
				Expect(m.View().Members).To(HaveLen(9))
				Expect(m.View().Lost).To(HaveLen(1), "member %d", i)
			}
		}
	})

	// A host that was told to stop is killed before it ended and starts again, and its
	// time of day has jumped back meanwhile. Its new incarnation is lower than the one
	// that others know, so they would take it for leaving for as long as it runs: it
	// would never read the store or report for its zone, however large it is.
	It("isn't taken for leaving after a restart with a clock that jumped back", func() {
		w := links.New(9, 8)
		w.Until(10*time.Second, w.Agreed)
		m := w.Members[3]
		w.Send(m, m.AnnounceLeaving(w.Now))
		w.Run(5 * time.Second) // Until nobody passes it on any more.
		m.Clock = -time.Hour
		w.Boot(m)
		w.Run(5 * time.Second)
		for i, o := range w.Members {
			Expect(o.View().Member(m.Host.ID).State).To(Equal(peer.StateAlive), "as member %d sees it", i)
			Expect(o.View().Member(m.Host.ID).Boot).To(Equal(m.Host.Boot), "as member %d sees it", i)
		}
	})

	It("serves on in each zone of a cut, and finds itself whole after it", func() {
		w := links.New(9, 5)
		w.Until(10*time.Second, w.Agreed)
		w.Cut = func(a, b *links.Member) bool { return a.Host.Zone != b.Host.Zone }
		w.Run(10 * time.Second)
		for _, m := range w.Members {
			Expect(m.View().Members).To(HaveLen(3))
			Expect(m.View().UnreachableZones).To(HaveLen(2))
		}
		w.Cut = nil
		Expect(w.Until(20*time.Second, w.Agreed)).To(BeNumerically("<", 20*time.Second))
		w.Run(time.Second)
		for _, m := range w.Members {
			Expect(m.View().Lost).To(BeEmpty(), "nobody restarted, so nothing was lost")
			Expect(m.View().UnreachableZones).To(BeEmpty())
		}
	})

	It("shows a leaving member as leaving everywhere, and then as gone without loss", func() {
		w := links.New(9, 6)
		w.Until(10*time.Second, w.Agreed)
		m := w.Members[3]
		w.Send(m, m.AnnounceLeaving(w.Now))
		w.Run(time.Second)
		for _, o := range w.Members {
			Expect(o.View().Member(m.Host.ID).State).To(Equal(peer.StateLeaving))
		}
		w.Send(m, m.AnnounceLeft(w.Now))
		w.Run(100 * time.Millisecond)
		m.Up = false
		w.Run(5 * time.Second)
		for _, o := range w.Members {
			if o != m {
				Expect(o.View().Members).To(HaveLen(8))
				Expect(o.View().Lost).To(BeEmpty())
			}
		}
	})

	It("costs each member less than 3 KB/s at any size", func() {
		for _, n := range []int{9, 32, 100} {
			w := links.New(n, 7)
			w.Until(30*time.Second, w.Agreed)
			w.Run(5 * time.Second)
			for _, m := range w.Members {
				m.Bytes = 0
			}
			w.Measured = true
			w.Run(20 * time.Second)
			for _, m := range w.Members {
				Expect(m.Bytes/20).To(BeNumerically("<", 3000), "%d members", n)
			}
		}
	})
})

var _ = Describe("Codec", func() {
	message := func() *peer.Message {
		w := links.New(1, 1)
		return &peer.Message{Kind: peer.KindPing, From: w.Members[0].Self()}
	}
	changed := map[string]func(b []byte) []byte{
		"one bit":   func(b []byte) []byte { b[3] ^= 1; return b },
		"shortened": func(b []byte) []byte { return b[:len(b)-1] },
		"empty":     func([]byte) []byte { return nil },
		"another key": func([]byte) []byte {
			c, err := peer.NewCodec[peer.Message]([]byte("another"), peer.DomainMembership)
			Expect(err).NotTo(HaveOccurred())
			b, err := c.Encode(message())
			Expect(err).NotTo(HaveOccurred())
			return b
		},
	}
	for name, change := range changed {
		It("refuses a message that was changed: "+name, func() {
			c, err := peer.NewCodec[peer.Message]([]byte("secret"), peer.DomainMembership)
			Expect(err).NotTo(HaveOccurred())
			b, err := c.Encode(message())
			Expect(err).NotTo(HaveOccurred())
			_, err = c.Decode(b)
			Expect(err).NotTo(HaveOccurred())
			_, err = c.Decode(change(b))
			Expect(err).To(MatchError(peer.ErrMAC))
		})
	}
})
