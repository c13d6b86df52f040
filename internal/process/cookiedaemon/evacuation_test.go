package cookiedaemon_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/process/cookiedaemon"
	"github.com/fescueshed/fescueshed/internal/standin/metadata"
	"github.com/fescueshed/fescueshed/internal/standin/world"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/platform/wire"
)

// evacuatedAt returns a condition: all given balancers hold exactly the given zones as evacuated.
func evacuatedAt(nodes []*node, zones ...bundle.Zone) func() bool {
	return func() bool {
		for _, n := range nodes {
			if fmt.Sprint(n.Evacuated()) != fmt.Sprint(zones) {
				return false
			}
		}
		return true
	}
}

// An operator requests the evacuation of a zone. Guards against a balancer that misses the request
// and goes on sending callers there: their flows break when the zone is switched off.
var _ = Describe("Balancers of a system with evacuated zones", func() {
	It("all stop sending new flows there, and resume when the evacuation ends", func() {
		w := newWorld(6)
		nodes := startAll(w)
		w.Evacuate("zone-2")
		Eventually(evacuatedAt(nodes, "zone-2"), maxWait).Should(BeTrue())
		w.Evacuate("zone-1")
		w.EndEvacuation("zone-2")
		Eventually(evacuatedAt(nodes, "zone-1"), maxWait).Should(BeTrue())
		Eventually(w.Router.InRotation, maxWait).Should(Equal(6))
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		tallies, err := w.RunCallers(ctx)
		Expect(err).NotTo(HaveOccurred())
		for _, t := range tallies {
			Expect(t.Violations).To(BeEmpty())
			Expect(t.Answered).To(BeNumerically(">", 0))
		}
		for _, n := range nodes {
			Expect(n.Status().Evacuated).To(HaveLen(1))
			Expect(n.Status().Evacuated[0].Flows).To(BeZero())
			Expect(n.Status().Evacuated[0].Since.IsZero()).To(BeFalse())
			Expect(metricsOf(n)).To(ContainSubstring(`fescueshed_zone_evacuated{zone="zone-1"} 1`))
		}
		w.EndEvacuation("zone-1")
		Eventually(evacuatedAt(nodes), maxWait).Should(BeTrue())
	})

	// All upstreams of a small host are in the evacuated zone, and the store doesn't answer that
	// host.
	It("know the evacuation before they are ready, from other balancers alone", func() {
		w := newWorld(3)
		startAll(w)
		w.Evacuate("zone-3")
		h, err := w.AddHost(context.Background())
		Expect(err).NotTo(HaveOccurred())
		h.StoreProxy.SetFault(world.LinkBlackhole)
		n := startNode(w, h)
		Eventually(n.Ready, maxWait).Should(BeTrue())
		Eventually(n.Evacuated, maxWait).Should(Equal([]bundle.Zone{"zone-3"}))
	})

	It("know the evacuation before they are ready, from the store alone", func() {
		w := newWorld(1)
		w.Evacuate("zone-3")
		w.Hosts[0].Seeds = unusedSeeds
		n := startNode(w, w.Hosts[0])
		Eventually(n.Ready, maxWait).Should(BeTrue())
		Expect(n.Evacuated()).To(Equal([]bundle.Zone{"zone-3"}))
	})

	It("receive the evacuation while the store reader is cut off from the store", func() {
		w := newWorld(6)
		nodes := startAll(w)
		Eventually(func() int { return readers(nodes) }, maxWait).Should(Equal(1))
		for _, n := range nodes {
			if n.ReadsStore() {
				n.host.StoreProxy.SetFault(world.LinkBlackhole)
			}
		}
		w.Evacuate("zone-1")
		Eventually(evacuatedAt(nodes, "zone-1"), maxWait).Should(BeTrue())
	})

	It("receive the evacuation while a whole zone is cut off from the others", func() {
		w := newWorld(6)
		nodes := startAll(w)
		w.CutZone("zone-3", time.Minute)
		w.Evacuate("zone-1")
		Eventually(evacuatedAt(nodes, "zone-1"), maxWait).Should(BeTrue())
	})

	It("receive the evacuation when the store's watches missed it and its history is dropped", func() {
		w := newWorld(3)
		nodes := startAll(w)
		w.Store.SetFaults(metadata.Faults{HideEvents: true})
		w.Evacuate("zone-1")
		w.Store.DropHistory()
		w.Store.SetFaults(metadata.Faults{})
		Eventually(evacuatedAt(nodes, "zone-1"), maxWait).Should(BeTrue())
	})

	It("keep the evacuation while the store is down, and send it to starting balancers", func() {
		w := newWorld(4)
		nodes := startAll(w)
		w.Evacuate("zone-1")
		Eventually(evacuatedAt(nodes, "zone-1"), maxWait).Should(BeTrue())
		w.Store.SetFaults(metadata.Faults{Status: http.StatusServiceUnavailable})
		h, err := w.AddHost(context.Background())
		Expect(err).NotTo(HaveOccurred())
		late := startNode(w, h)
		Eventually(late.Ready, maxWait).Should(BeTrue())
		Consistently(evacuatedAt(append(nodes, late), "zone-1"), time.Second).Should(BeTrue())
	})

	// Another writer leaves an entry with arbitrary content. Its name counts: a zone that somebody
	// is about to switch off must not get flows because a tool wrote the request in another format.
	It("use an entry's name, whatever its content", func() {
		w := newWorld(1)
		n := startNode(w, w.Hosts[0])
		Eventually(n.Ready, maxWait).Should(BeTrue())
		w.Store.Put(wire.KindEvacuations, "zone-2", []int{17})
		w.Store.Put(wire.KindEvacuations, "no zone of ours", nil)
		Eventually(n.Evacuated, maxWait).Should(Equal([]bundle.Zone{"no zone of ours", "zone-2"}))
	})

	// There are more zones than fit beside the changes in one datagram.
	It("receive more zones than an advertisement holds", func() {
		w := newWorld(3)
		nodes := startAll(w)
		time.Sleep(cookiedaemon.JoinDuration) // From then on one balancer reads for all, and the others receive its advertisements.
		Eventually(func() int { return readers(nodes) }, maxWait).Should(Equal(1))
		const many = 20
		zones := make([]bundle.Zone, 0, many)
		for i := range many {
			zones = append(zones, bundle.Zone(fmt.Sprintf("far-%02d", i)))
			w.Store.Put(wire.KindEvacuations, string(zones[i]), struct{}{})
		}
		Eventually(evacuatedAt(nodes, zones...), maxWait).Should(BeTrue())
	})
})
