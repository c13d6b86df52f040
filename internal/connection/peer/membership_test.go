package peer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
)

var _ = Describe("Membership", func() {
	It("finds all members from a list that names a few", func() {
		w := newNetwork(9, 1)
		Expect(w.until(5*time.Second, w.agreed)).To(BeNumerically("<", 5*time.Second))
	})

	// A caller waits longer than for one retransmission. A balancer dies without
	// notice and the others go on sending to it.
	It("finds a dead member within two seconds at nine members", func() {
		for seed := range uint64(20) {
			w := newNetwork(9, seed)
			w.until(10*time.Second, w.agreed)
			w.run(time.Second)
			w.members[4].up = false
			Expect(w.until(5*time.Second, w.agreed)).To(BeNumerically("<", 2*time.Second), "seed %d", seed)
		}
	})

	// Sessions move about for nothing. Datagrams are lost and processes are
	// paused for a moment, and members that live are taken for dead.
	It("takes no member for dead in an hour of loss and short pauses", func() {
		w := newNetwork(9, 3)
		w.until(10*time.Second, w.agreed)
		w.run(2 * time.Second)
		w.loss = 0.01
		for range 3600 {
			w.members[w.rng.IntN(9)].pausedUntil = w.now.Add(100 * time.Millisecond)
			w.run(time.Second)
			for _, m := range w.members {
				Expect(m.View().Members).To(HaveLen(9))
				Expect(m.View().Lost).To(BeEmpty())
			}
		}
	})

	// A flow is placed twice. A host is killed and is back before a probe failed;
	// the others must learn that its records are lost.
	It("tells a restarted host from its predecessor", func() {
		w := newNetwork(9, 4)
		w.until(10*time.Second, w.agreed)
		w.boot(w.members[2])
		w.run(3 * time.Second)
		for i, m := range w.members {
			if i != 2 {
				Expect(m.View().Members).To(HaveLen(9))
				Expect(m.View().Lost).To(HaveLen(1), "member %d", i)
			}
		}
	})

	It("serves on in each zone of a cut, and finds itself whole after it", func() {
		w := newNetwork(9, 5)
		w.until(10*time.Second, w.agreed)
		w.cut = func(a, b *member) bool { return a.self.Zone != b.self.Zone }
		w.run(10 * time.Second)
		for _, m := range w.members {
			Expect(m.View().Members).To(HaveLen(3))
			Expect(m.View().CutZones).To(HaveLen(2))
		}
		w.cut = nil
		Expect(w.until(20*time.Second, w.agreed)).To(BeNumerically("<", 20*time.Second))
		w.run(time.Second)
		for _, m := range w.members {
			Expect(m.View().Lost).To(BeEmpty(), "nobody restarted, so nothing was lost")
			Expect(m.View().CutZones).To(BeEmpty())
		}
	})

	It("shows a leaving member as leaving everywhere, and then as gone without loss", func() {
		w := newNetwork(9, 6)
		w.until(10*time.Second, w.agreed)
		m := w.members[3]
		w.send(m, m.Leave(w.now))
		w.run(time.Second)
		for _, o := range w.members {
			Expect(o.View().Member(m.self.ID).State).To(Equal(peer.StateLeaving))
		}
		w.send(m, m.Left(w.now))
		w.run(100 * time.Millisecond)
		m.up = false
		w.run(5 * time.Second)
		for _, o := range w.members {
			if o != m {
				Expect(o.View().Members).To(HaveLen(8))
				Expect(o.View().Lost).To(BeEmpty())
			}
		}
	})

	It("costs each member less than 3 KB/s at any size", func() {
		for _, n := range []int{9, 32, 100} {
			w := newNetwork(n, 7)
			w.until(30*time.Second, w.agreed)
			w.run(5 * time.Second)
			for _, m := range w.members {
				m.bytes = 0
			}
			w.measured = true
			w.run(20 * time.Second)
			for _, m := range w.members {
				Expect(m.bytes/20).To(BeNumerically("<", 3000), "%d members", n)
			}
		}
	})
})

var _ = Describe("Codec", func() {
	message := func() *peer.Message {
		w := newNetwork(1, 1)
		return &peer.Message{Kind: peer.KindPing, From: w.members[0].Self()}
	}
	changed := map[string]func(b []byte) []byte{
		"one bit":   func(b []byte) []byte { b[3] ^= 1; return b },
		"shortened": func(b []byte) []byte { return b[:len(b)-1] },
		"empty":     func([]byte) []byte { return nil },
		"another key": func([]byte) []byte {
			c, err := peer.NewCodec([]byte("another"))
			Expect(err).NotTo(HaveOccurred())
			b, err := c.Encode(message())
			Expect(err).NotTo(HaveOccurred())
			return b
		},
	}
	for name, change := range changed {
		It("refuses a message that was changed: "+name, func() {
			c, err := peer.NewCodec([]byte("secret"))
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
