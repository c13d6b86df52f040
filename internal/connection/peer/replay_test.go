package peer_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
)

func sequenced(k peer.Keys) *peer.SequencedCodec[peer.Advertisement, *peer.Advertisement] {
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

	// Somebody on the control network records an advertisement of the store reader and sends it
	// again after that daemon has died. If members accepted it, they would think that the reader is
	// alive, nobody would read the store, and an old bundle would stay in force.
	It("is refused if it comes a second time", func() {
		from, to := sequenced(first), sequenced(first)
		b := sealed(from)
		_, err := to.Decode(b)
		Expect(err).NotTo(HaveOccurred())
		_, err = to.Decode(b)
		Expect(err).To(MatchError(peer.ErrReplayed))
		_, err = to.Decode(sealed(from))
		Expect(err).NotTo(HaveOccurred())
	})

	It("is refused if it is much older than the last one", func() {
		from, to := sequenced(first), sequenced(first)
		old := sealed(from)
		for range 1100 {
			sealed(from)
		}
		_, err := to.Decode(sealed(from))
		Expect(err).NotTo(HaveOccurred())
		_, err = to.Decode(old)
		Expect(err).To(MatchError(peer.ErrReplayed))
	})

	// Datagrams are reordered in transit. The earlier one is no replay. This test's title is also
	// the name of a folder in testdata/rapid.
	It("is taken once in any order, as by one that remembers all numbers", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			from, to := sequenced(first), sequenced(first)
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

	It("is accepted late, although an earlier number at its position in the window was received long before", func() {
		from, to := sequenced(first), sequenced(first)
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

	It("of a restarted daemon isn't taken for one of its earlier run", func() {
		to := sequenced(first)
		for range 3 {
			_, err := to.Decode(sealed(sequenced(first)))
			Expect(err).NotTo(HaveOccurred())
		}
	})

	// Somebody who knows the protocol but not the secret writes an advertisement, or changes a bit
	// of a daemon's message.
	It("that is forged is refused", func() {
		to := sequenced(first)
		_, err := to.Decode(sealed(sequenced(second)))
		Expect(err).To(MatchError(peer.ErrMAC))
		b := sealed(sequenced(first))
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

	// Operators replace the secret while daemons run. At each step some daemons have the new
	// settings and others don't. If one can't read another's messages, members are declared dead.
	It("is read by daemons that are one step apart when the secret is replaced", func() {
		steps := []peer.Keys{
			first,
			{Seal: first.Seal, Accept: [][]byte{second.Seal}},
			{Seal: second.Seal, Accept: [][]byte{first.Seal}},
			second,
		}
		for i := range steps {
			for _, j := range []int{max(0, i-1), i, min(len(steps)-1, i+1)} {
				_, err := sequenced(steps[j]).Decode(sealed(sequenced(steps[i])))
				Expect(err).NotTo(HaveOccurred(), "from step %d to %d", i, j)
			}
		}
		_, err := sequenced(steps[3]).Decode(sealed(sequenced(steps[1])))
		Expect(err).To(MatchError(peer.ErrMAC), "the old secret is no longer accepted")
	})

	It("is read by a running daemon whose secrets change", func() {
		from, to := sequenced(first), sequenced(first)
		to.SetKeys(peer.Keys{Seal: first.Seal, Accept: [][]byte{second.Seal}})
		from.SetKeys(peer.Keys{Seal: second.Seal, Accept: [][]byte{first.Seal}})
		_, err := to.Decode(sealed(from))
		Expect(err).NotTo(HaveOccurred())
	})
})
