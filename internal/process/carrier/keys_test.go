package carrier_test

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/process/settings"
)

// dropped returns how many messages of others a balancer dropped.
func (n *node) dropped() int {
	GinkgoHelper()
	return n.metric(GinkgoT(), "fescueshed_control_dropped_total")
}

// sendNews sends a balancer news of one that doesn't exist.
func sendNews(n *node, k peer.Keys) {
	GinkgoHelper()
	forger, err := peer.NewSequencedCodec[peer.Advertisement](k, peer.DomainAdvertisement)
	Expect(err).NotTo(HaveOccurred())
	b, err := forger.Encode(&peer.Advertisement{From: 9, Bundle: 1 << 40})
	Expect(err).NotTo(HaveOccurred())
	conn, err := net.Dial("udp4", n.cfg.ControlAddress.String())
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(append([]byte{newsProtocol}, b...))
	Expect(err).NotTo(HaveOccurred())
}

// newsProtocol is the first byte of a datagram with news.
const newsProtocol = 2

var _ = Describe("The secret of balancers", func() {
	next := settings.Secret("the next secret of the world")

	// Operators replace the secret host by host while the balancers serve. One that can't read
	// the others' messages takes them for dead, reads the store itself, and is taken for
	// dead by them.
	It("is replaced while they run without a message that is lost", func() {
		w := newWorld(3)
		nodes := startAll(w)
		first := settings.Secret(nodes[0].cfg.Secret)
		for _, step := range []struct {
			seal   settings.Secret
			accept []settings.Secret
		}{
			{first, []settings.Secret{next}}, {next, []settings.Secret{first}}, {next, nil},
		} {
			for _, n := range nodes {
				cfg := *n.cfg
				cfg.Secret, cfg.AcceptedSecrets = step.seal, step.accept
				n.Reload(&cfg)
				time.Sleep(300 * time.Millisecond) // Messages go between those that are a step apart.
			}
			v := w.Roll()
			Eventually(inForce(nodes, v), patience).Should(BeTrue())
		}
		for _, n := range nodes {
			Expect(n.Members()).To(Equal(3))
			Expect(n.dropped()).To(BeZero())
		}
		sendNews(nodes[0], peer.Keys{Seal: first})
		Eventually(nodes[0].dropped, patience).Should(Equal(1), "the old secret is worth nothing any more")
	})

	// Somebody on the control network sends news of a balancer that doesn't exist, sealed
	// with a secret of their own.
	It("keeps strangers' messages out", func() {
		w := newWorld(3)
		nodes := startAll(w)
		sendNews(nodes[0], peer.Keys{Seal: []byte("a secret of their own")})
		Eventually(nodes[0].dropped, patience).Should(Equal(1))
		Expect(nodes[0].Members()).To(Equal(3))
	})
})
