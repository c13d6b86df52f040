package cookiedaemon_test

import (
	"context"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/standin/world"
	"github.com/fescueshed/fescueshed/platform/wire"
)

// unusedSeeds has the address of a seed at which no daemon runs.
var unusedSeeds = []netip.AddrPort{netip.MustParseAddrPort("127.0.9.9:9")}

// makeListLarge adds an entry that makes the list of upstreams large. It is another writer's and
// names no upstream.
func makeListLarge(w *world.World) {
	w.Store.Put(wire.KindServers, "long", strings.Repeat("x", 128<<10))
}

var _ = Describe("A balancer that starts", func() {
	addHost := func(w *world.World) *world.Host {
		GinkgoHelper()
		h, err := w.AddHost(context.Background())
		Expect(err).NotTo(HaveOccurred())
		return h
	}

	// The whole system starts for the first time, and the operator's first bundle is written
	// seconds later. Guards against a daemon that has listed no bundle and waits to be ready before
	// it checks again, though only a bundle makes it ready: no host would ever forward.
	It("is ready once the first bundle is written", func() {
		w := newWorld(1)
		w.Store.Delete(wire.KindConfig, wire.NameConfig)
		w.Hosts[0].FirstStart = true
		n := startNode(w, w.Hosts[0])
		Eventually(n.Upstreams, maxWait).Should(Equal(12))
		Consistently(n.Ready, 500*time.Millisecond).Should(BeFalse())
		w.Roll()
		Eventually(n.Ready, maxWait).Should(BeTrue())
	})

	// A host is added to a running system. Guards against new hosts that each read the store: 37
	// added hosts would make 330 calls.
	It("gets its state from others and doesn't call the store", func() {
		w := newWorld(3)
		startAll(w)
		h := addHost(w)
		h.StoreProxy.SetFault(world.LinkBlackhole)
		n := startNode(w, h)
		Eventually(n.Ready, maxWait).Should(BeTrue())
		Expect(n.Upstreams()).To(Equal(12))
		Eventually(n.Members, maxWait).Should(Equal(4))
	})

	// All hosts lost power. A host starts whose seeds are all down, and it has received no caller's
	// packet yet: it must wait neither for one nor for the seeds.
	It("reads the store immediately if no seed answers", func() {
		w := newWorld(1)
		w.Hosts[0].Seeds = unusedSeeds
		Eventually(startNode(w, w.Hosts[0]).Ready, maxWait).Should(BeTrue())
	})

	// All hosts lost power, and the list of upstreams is large. A small host reads the contacts
	// from the store; the large host that they name has started earlier and sends its catalog.
	It("gets a large list from a larger member", func() {
		w := newWorld(3)
		startAll(w)
		const kind, name = "fescueshed-contacts", "main"
		Eventually(func() string { return w.Store.Content(kind, name) }, maxWait).Should(ContainSubstring("host-1"))
		makeListLarge(w)
		h := addHost(w)
		h.Seeds, h.CPUShare = unusedSeeds, 0.1
		n := startNode(w, h)
		Eventually(n.Ready, maxWait).Should(BeTrue())
		Expect(n.AvailableUpstreams()).To(Equal(12))
		Expect(metricsOf(n)).NotTo(ContainSubstring("fescueshed_catalogs_fetched_total 0\n"))
	})

	// The larger member that the contacts name is still down after the power loss, or was replaced.
	// Guards against a host that waits for it and doesn't forward.
	It("reads a large list itself if the larger member doesn't answer", func() {
		w := newWorld(1)
		w.Store.Put("fescueshed-contacts", "main", map[string]any{"Members": []map[string]any{
			{"Name": "gone", "Zone": w.Hosts[0].Zone, "Control": unusedSeeds[0].String(), "Size": 8000},
		}})
		makeListLarge(w)
		w.Hosts[0].Seeds = unusedSeeds
		n := startNode(w, w.Hosts[0])
		Eventually(n.Ready, maxWait).Should(BeTrue())
		Expect(n.AvailableUpstreams()).To(Equal(12))
	})

	// No contacts have been written yet, and all hosts lose power.
	It("reads a large list itself if there are no contacts", func() {
		w := newWorld(1)
		makeListLarge(w)
		w.Hosts[0].Seeds = unusedSeeds
		n := startNode(w, w.Hosts[0])
		Eventually(n.Ready, maxWait).Should(BeTrue())
		Expect(n.AvailableUpstreams()).To(Equal(12))
	})

	// A whole zone starts for the first time. The first-ranked daemon reads for all; every other
	// one gets its list from a member, also in other zones.
	It("becomes ready with all others at the first start of the system", func() {
		w := newWorld(9)
		nodes := make([]*node, 0, len(w.Hosts))
		for _, h := range w.Hosts {
			h.FirstStart = true
			nodes = append(nodes, startNode(w, h))
		}
		for _, n := range nodes {
			Eventually(n.Ready, maxWait).Should(BeTrue())
			Expect(n.Upstreams()).To(Equal(12))
		}
		Eventually(func() int { return readers(nodes) }, maxWait).Should(Equal(1))
	})

	// The store reader fails. The daemon that takes over holds the list as of the last
	// advertisement, and needn't read it again: a list of 3000 upstreams is six calls.
	It("continues from its received state when it takes over as store reader", func() {
		w := newWorld(3)
		nodes := startAll(w)
		Eventually(func() int { return readers(nodes) }, maxWait).Should(Equal(1))
		for _, n := range nodes {
			if n.ReadsStore() {
				n.host.StoreProxy.SetFault(world.LinkBlackhole)
			}
		}
		Expect(w.AddUpstream(world.ServiceFeed, w.Hosts[0].Zone, netip.AddrPort{})).To(Succeed())
		for _, n := range nodes {
			Eventually(n.Upstreams, maxWait).Should(Equal(13))
		}
	})
})
