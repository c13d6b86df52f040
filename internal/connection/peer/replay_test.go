package peer_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
)

func numbered(k peer.Keys) *peer.SequencedCodec[peer.Advertisement, *peer.Advertisement] {
	GinkgoHelper()
	c, err := peer.NewSequencedCodec[peer.Advertisement](k, peer.DomainAdvertisement)
	Expect(err).NotTo(HaveOccurred())
	return c
}

func sealed(c *peer.SequencedCodec[peer.Advertisement, *peer.Advertisement]) []byte {
	GinkgoHelper()
	b, err := c.Encode(&peer.Advertisement{From: 1})
	Expect(err).NotTo(HaveOccurred())
	return b
}

var _ = Describe("A message between daemons", func() {
	first, second := peer.Keys{Seal: []byte("first secret here")}, peer.Keys{Seal: []byte("second secret here")}

	// Somebody on the control network records the word of the reader of the store and sends it
	// again after that daemon has died. Members think that the reader lives, nobody reads the
	// store, and an old bundle stays in force.
	It("is refused if it comes a second time", func() {
		from, to := numbered(first), numbered(first)
		b := sealed(from)
		_, err := to.Decode(b)
		Expect(err).NotTo(HaveOccurred())
		_, err = to.Decode(b)
		Expect(err).To(MatchError(peer.ErrReplayed))
		_, err = to.Decode(sealed(from))
		Expect(err).NotTo(HaveOccurred())
	})

	It("is refused if it is much older than the last one", func() {
		from, to := numbered(first), numbered(first)
		old := sealed(from)
		for range 1100 {
			sealed(from)
		}
		_, err := to.Decode(sealed(from))
		Expect(err).NotTo(HaveOccurred())
		_, err = to.Decode(old)
		Expect(err).To(MatchError(peer.ErrReplayed))
	})

	// Datagrams pass each other on the way. The earlier one is no replay.
	It("is taken once in any order, as by one that remembers all numbers", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			from, to := numbered(first), numbered(first)
			var sent [][]byte
			taken := make(map[int]bool)
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				if len(sent) == 0 || rapid.Bool().Draw(t, "new") {
					sent = append(sent, sealed(from))
					continue
				}
				i := rapid.IntRange(0, len(sent)-1).Draw(t, "which")
				_, err := to.Decode(sent[i])
				if (err == nil) == taken[i] {
					t.Fatalf("message %d of %d, taken before: %v, got: %v", i, len(sent), taken[i], err)
				}
				taken[i] = true
			}
		})
	})

	It("is taken late, though one of its place in the window came long before", func() {
		from, to := numbered(first), numbered(first)
		var late []byte
		for i := range 1100 {
			b := sealed(from)
			if i == 1090 {
				late = b
				continue
			}
			_, err := to.Decode(b)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := to.Decode(late)
		Expect(err).NotTo(HaveOccurred())
	})

	It("of a daemon that started again isn't taken for one of before", func() {
		to := numbered(first)
		for range 3 {
			_, err := to.Decode(sealed(numbered(first)))
			Expect(err).NotTo(HaveOccurred())
		}
	})

	// Somebody who knows the protocol but not the secret writes news of their own, or changes
	// a bit of a daemon's.
	It("by a forger is refused", func() {
		to := numbered(first)
		_, err := to.Decode(sealed(numbered(second)))
		Expect(err).To(MatchError(peer.ErrMAC))
		b := sealed(numbered(first))
		for i := range b {
			forged := append([]byte(nil), b...)
			forged[i] ^= 1
			_, err := to.Decode(forged)
			Expect(err).To(MatchError(peer.ErrMAC))
		}
		for n := range b {
			_, err := to.Decode(b[:n])
			Expect(err).To(HaveOccurred())
		}
	})

	// Operators replace the secret while daemons run. At each step some have the new settings
	// and others don't; if one can't read another, members are taken for dead.
	It("is read by daemons that are one step apart when the secret is replaced", func() {
		steps := []peer.Keys{
			first,
			{Seal: first.Seal, Accept: [][]byte{second.Seal}},
			{Seal: second.Seal, Accept: [][]byte{first.Seal}},
			second,
		}
		for i := range steps {
			for _, j := range []int{max(0, i-1), i, min(len(steps)-1, i+1)} {
				_, err := numbered(steps[j]).Decode(sealed(numbered(steps[i])))
				Expect(err).NotTo(HaveOccurred(), "from step %d to %d", i, j)
			}
		}
		_, err := numbered(steps[3]).Decode(sealed(numbered(steps[1])))
		Expect(err).To(MatchError(peer.ErrMAC), "the old secret is worth nothing any more")
	})

	It("is read by a running daemon whose secrets change", func() {
		from, to := numbered(first), numbered(first)
		to.SetKeys(peer.Keys{Seal: first.Seal, Accept: [][]byte{second.Seal}})
		from.SetKeys(peer.Keys{Seal: second.Seal, Accept: [][]byte{first.Seal}})
		_, err := to.Decode(sealed(from))
		Expect(err).NotTo(HaveOccurred())
	})
})
