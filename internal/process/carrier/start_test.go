package carrier_test

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

// unusedSeeds is a seed where no daemon is.
var unusedSeeds = []netip.AddrPort{netip.MustParseAddrPort("127.0.9.9:9")}

// makeListLarge adds an entry that makes the list of upstreams long: another writer's, which names
// no upstream.
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
	// seconds later. The daemon that has listed no bundle waits to be ready before it looks
	// again, and is ready only with one: no host ever serves.
	It("is ready once the first bundle is written", func() {
		w := newWorld(1)
		w.Store.Delete(wire.KindConfig, wire.NameConfig)
		w.Hosts[0].FirstStart = true
		n := startNode(w, w.Hosts[0])
		Eventually(n.Upstreams, waitTimeout).Should(Equal(12))
		Consistently(n.Ready, 500*time.Millisecond).Should(BeFalse())
		w.Roll()
		Eventually(n.Ready, waitTimeout).Should(BeTrue())
	})

	// A host is added to a system that runs. If it read the store as each did before, 37 hosts
	// that are added would make 330 calls.
	It("is told by others and leaves the store alone", func() {
		w := newWorld(3)
		startAll(w)
		h := addHost(w)
		h.Proxy.Set(world.LinkSilent)
		n := startNode(w, h)
		Eventually(n.Ready, waitTimeout).Should(BeTrue())
		Expect(n.Upstreams()).To(Equal(12))
		Eventually(n.Members, waitTimeout).Should(Equal(4))
	})

	// All power was lost. A host comes back whose seeds are all dark, and no caller has found it
	// yet: it mustn't wait for one, or for the seeds.
	It("reads the store at once if no seed answers", func() {
		w := newWorld(1)
		w.Hosts[0].Seeds = unusedSeeds
		Eventually(startNode(w, w.Hosts[0]).Ready, waitTimeout).Should(BeTrue())
	})

	// All power was lost, and the list of upstreams is long. A small host has the contacts from
	// the store; the large one that they name came back before it and tells the list.
	It("is told a long list by a larger member", func() {
		w := newWorld(3)
		startAll(w)
		const kind, name = "fescueshed-contacts", "main"
		Eventually(func() string { return w.Store.Content(kind, name) }, waitTimeout).Should(ContainSubstring("host-1"))
		makeListLarge(w)
		h := addHost(w)
		h.Seeds, h.CPUShare = unusedSeeds, 0.1
		n := startNode(w, h)
		Eventually(n.Ready, waitTimeout).Should(BeTrue())
		Expect(n.AvailableUpstreams()).To(Equal(12))
		Expect(metricsOf(n)).NotTo(ContainSubstring("fescueshed_catalogs_fetched_total 0\n"))
	})

	// The larger member that the contacts name lost its power with the others and is still dark,
	// or was replaced. Who waits for it serves nobody.
	It("reads a long list itself if the larger member doesn't tell", func() {
		w := newWorld(1)
		w.Store.Put("fescueshed-contacts", "main", map[string]any{"Members": []map[string]any{
			{"Name": "gone", "Zone": w.Hosts[0].Zone, "Control": unusedSeeds[0].String(), "Size": 8000},
		}})
		makeListLarge(w)
		w.Hosts[0].Seeds = unusedSeeds
		n := startNode(w, w.Hosts[0])
		Eventually(n.Ready, waitTimeout).Should(BeTrue())
		Expect(n.AvailableUpstreams()).To(Equal(12))
	})

	// Nobody wrote contacts yet, and all hosts lose power.
	It("reads a long list itself if there are no contacts", func() {
		w := newWorld(1)
		makeListLarge(w)
		w.Hosts[0].Seeds = unusedSeeds
		n := startNode(w, w.Hosts[0])
		Eventually(n.Ready, waitTimeout).Should(BeTrue())
		Expect(n.AvailableUpstreams()).To(Equal(12))
	})

	// A whole zone starts for the first time. The first in rank reads for all; every other one
	// has its list from a member, also in other zones.
	It("is ready with all others at the first start of the system", func() {
		w := newWorld(9)
		nodes := make([]*node, 0, len(w.Hosts))
		for _, h := range w.Hosts {
			h.FirstStart = true
			nodes = append(nodes, startNode(w, h))
		}
		for _, n := range nodes {
			Eventually(n.Ready, waitTimeout).Should(BeTrue())
			Expect(n.Upstreams()).To(Equal(12))
		}
		Eventually(func() int { return readers(nodes) }, waitTimeout).Should(Equal(1))
	})

	// The reader dies. Who takes over knows the list as of the last news, and needn't read it
	// again: a list of 3000 upstreams is six calls.
	It("goes on from what it was told when it takes over the reading", func() {
		w := newWorld(3)
		nodes := startAll(w)
		Eventually(func() int { return readers(nodes) }, waitTimeout).Should(Equal(1))
		for _, n := range nodes {
			if n.ReadsStore() {
				n.host.Proxy.Set(world.LinkSilent)
			}
		}
		Expect(w.AddServer(world.ServiceFeed, w.Hosts[0].Zone, netip.AddrPort{})).To(Succeed())
		for _, n := range nodes {
			Eventually(n.Upstreams, waitTimeout).Should(Equal(13))
		}
	})
})
