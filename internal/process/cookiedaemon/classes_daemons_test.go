package cookiedaemon_test

import (
	"context"
	"net"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/process/settings"
	"github.com/fescueshed/fescueshed/internal/process/status"
	"github.com/fescueshed/fescueshed/internal/standin/flows"
	"github.com/fescueshed/fescueshed/internal/standin/metadata"
	"github.com/fescueshed/fescueshed/internal/standin/world"
	"github.com/fescueshed/fescueshed/platform/wire"
)

// classesProtocol is the first byte of a datagram with a peer.ClassReport.
const classesProtocol = 5

// sendClasses sends a balancer the counts of another one.
func sendClasses(to, from *node, list []peer.ClassLoad) {
	GinkgoHelper()
	codec, err := peer.NewSequencedCodec[peer.ClassReport](peer.Keys{Seal: to.cfg.Secret}, peer.DomainClasses)
	Expect(err).NotTo(HaveOccurred())
	b, err := codec.Encode(&peer.ClassReport{From: peer.IDOf(from.cfg.Name), Zone: from.cfg.Zone, Classes: list})
	Expect(err).NotTo(HaveOccurred())
	sendControl(to, classesProtocol, b)
}

// feedAdmission returns what a balancer knows about the load of the feed service.
func (n *node) feedAdmission() status.AdmissionStatus {
	for _, a := range n.Status().Admission {
		if a.Service == world.ServiceFeed {
			return a
		}
	}
	return status.AdmissionStatus{}
}

// refuses sends a balancer the first packet of a flow to the feed service, from the i-th of 250 callers, and reports
// whether the balancer answers with a reset.
func (n *node) refuses(w *world.World, i int) bool {
	GinkgoHelper()
	at := w.DataAddress(n.host)
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 200, byte(1 + i%250)}), at.Port())
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(caller))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	var codec metadata.SegmentCodec
	first := &flows.Segment{
		From: netip.AddrPortFrom(caller.Addr(), uint16(2000+i)), To: netip.MustParseAddrPort("198.18.0.1:443"), Flags: cookie.FlagSYN,
	}
	_, err = conn.WriteToUDPAddrPort(codec.Encode(first), at)
	Expect(err).NotTo(HaveOccurred())
	Expect(conn.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
	b := make([]byte, 2048)
	k, err := conn.Read(b)
	if err != nil {
		return false
	}
	s, err := codec.Decode(b[:k])
	Expect(err).NotTo(HaveOccurred())
	return s.Flags.Has(cookie.FlagRST)
}

// Guards against counts that don't reach all balancers with admission control, which would then
// admit different callers, and against a balancer without it that sends or drops these messages.
var _ = Describe("Balancers with admission control", func() {
	It("receive the counts by class of their zone and of others, and those without send none", func() {
		w := newWorld(4)
		start := func(i int, change func(cfg *settings.Cookie)) *node {
			return openNode(GinkgoT(), w, w.Hosts[i], func(cfg *settings.Cookie) { cfg.Zone = "zone-1" }, change)
		}
		reader := start(0, func(cfg *settings.Cookie) { cfg.CPUShare, cfg.Admission = 2, true })
		member := start(1, func(cfg *settings.Cookie) { cfg.PlatformTerms = []string{"other", wire.ContractPressure} })
		far := start(2, func(cfg *settings.Cookie) { cfg.Zone, cfg.Admission = "zone-2", true })
		off := start(3, func(*settings.Cookie) {})
		holds := func(n, from *node) func() bool {
			return func() bool { return n.HoldsClasses(peer.IDOf(from.cfg.Name)) }
		}
		Eventually(holds(reader, member), maxWait).Should(BeTrue())
		Eventually(holds(reader, far), maxWait).Should(BeTrue())
		Eventually(holds(far, reader), maxWait).Should(BeTrue())
		Eventually(holds(member, reader), maxWait).Should(BeTrue(), "the sum")
		// Meanwhile, the reader sends its sums to the balancer without admission control as well.
		Consistently(holds(reader, off), 2*time.Second).Should(BeFalse())

		// What the balancer without admission control would count stands in for the counts of a member.
		list := []peer.ClassLoad{{Service: "feed", Priority: 2, Offered: 9, Admitted: 8, Answered: 1, BusyMillis: 70}}
		Eventually(func() []peer.ClassLoad {
			sendClasses(reader, off, list)
			return far.OtherZonesClasses()
		}, maxWait, 100*time.Millisecond).Should(Equal(list))
		Expect(off.dropped()).To(BeZero())
	})

	// The settings that switch admission control on reach the zone reader last. Guards against members that decide by what
	// they count themselves until then, and against other zones that don't know of their callers.
	It("receive the counts by class through a zone reader without admission control", func() {
		w := newWorld(4)
		start := func(i int, change func(cfg *settings.Cookie)) *node {
			return openNode(GinkgoT(), w, w.Hosts[i], func(cfg *settings.Cookie) { cfg.Zone = "zone-1" }, change)
		}
		reader := start(0, func(cfg *settings.Cookie) { cfg.CPUShare = 2 })
		member := start(1, func(cfg *settings.Cookie) { cfg.Admission = true })
		other := start(2, func(cfg *settings.Cookie) { cfg.Admission = true })
		far := start(3, func(cfg *settings.Cookie) { cfg.Zone, cfg.Admission = "zone-2", true })
		for _, n := range []*node{reader, member, other, far} {
			Eventually(n.Members, maxWait).Should(Equal(4))
		}
		list := []peer.ClassLoad{{Service: "feed", Priority: 2, Offered: 9, Admitted: 8, Answered: 1, BusyMillis: 70}}
		Eventually(func() []peer.ClassLoad {
			sendClasses(reader, member, list)
			return far.OtherZonesClasses()
		}, maxWait, 100*time.Millisecond).Should(Equal(list))
		Eventually(func() bool {
			sendClasses(reader, member, list)
			return other.HoldsClasses(peer.IDOf(reader.cfg.Name))
		}, maxWait, 100*time.Millisecond).Should(BeTrue(), "the total")
		Expect(reader.dropped()).To(BeZero())
	})

	// All callers send to one member of zone-1 that isn't its store reader. Guards against a balancer that decides by
	// what it counts itself, against flows that are counted under another class or not at all, and against a balancer
	// that starts in a shortage and admits everyone until its first sum.
	It("refuse flows of a service that others found short of capacity", func() {
		w := openWorld(GinkgoT(), world.Options{Seed: 1, Hosts: 1, Upstreams: 6, Callers: 40, Admission: true})
		start := func(h *world.Host, change func(cfg *settings.Cookie)) *node { return openNode(GinkgoT(), w, h, change) }
		add := func() *world.Host {
			h, err := w.AddHost(context.Background())
			Expect(err).NotTo(HaveOccurred())
			return h
		}
		start(w.Hosts[0], func(*settings.Cookie) {})
		others := []*node{
			start(add(), func(cfg *settings.Cookie) { cfg.Zone, cfg.CPUShare = "zone-1", 2 }),
			start(add(), func(cfg *settings.Cookie) { cfg.Zone = "zone-2" }),
		}
		Eventually(w.Router.InRotation, maxWait).Should(Equal(1))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := make(chan []flows.CallerStats, 1)
		go func() {
			defer GinkgoRecover()
			stats, err := w.RunCallers(ctx)
			Expect(err).NotTo(HaveOccurred())
			done <- stats
		}()
		for _, n := range others {
			Eventually(func() float64 { return n.feedAdmission().Utilization }, maxWait).Should(BeNumerically(">", 0))
			Expect(n.feedAdmission().Short).To(BeFalse())
		}
		Expect(w.BeginShortage()).To(Equal(3))
		for _, n := range others {
			Eventually(func() bool { return n.feedAdmission().Short }, maxWait).Should(BeTrue())
			for _, c := range n.feedAdmission().Classes {
				Expect(c.Offered).To(BeZero(), "it has got no packet of a flow")
			}
			i := 0
			Eventually(func() bool {
				i++
				return n.refuses(w, i)
			}, maxWait).Should(BeTrue())
		}
		late := start(add(), func(cfg *settings.Cookie) { cfg.Zone = "zone-1" })
		received := func() int { return late.metric(GinkgoT(), "fescueshed_admission_states_received_total") }
		Eventually(late.Ready, maxWait).Should(BeTrue())
		Eventually(received, maxWait).Should(BeNumerically(">", 0), "it starts without what others know")
		for _, n := range others {
			Eventually(func() bool { return n.feedAdmission().Short }, maxWait).Should(BeFalse())
		}
		cancel()
		var stats []flows.CallerStats
		Eventually(done, maxWait).Should(Receive(&stats))
		for i := range stats {
			Expect(stats[i].Violations).To(BeEmpty())
		}
	})
})
