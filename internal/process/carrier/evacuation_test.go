package carrier_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/process/carrier"
	"github.com/fescueshed/fescueshed/internal/standin/metadata"
	"github.com/fescueshed/fescueshed/internal/standin/world"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/platform/wire"
)

// evacuatedAt returns a condition: all these balancers hold exactly these zones as evacuated.
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

// An operator asks that a zone be emptied. One balancer that doesn't hear of it goes on to send callers
// there, and their flows break when the zone is switched off.
var _ = Describe("Balancers of a system whose zones are evacuated", func() {
	It("all stop sending new flows there, and begin again when it is taken back", func() {
		w := newWorld(6)
		nodes := startAll(w)
		w.Evacuate("zone-2")
		Eventually(evacuatedAt(nodes, "zone-2"), patience).Should(BeTrue())
		w.Evacuate("zone-1")
		w.TakeBack("zone-2")
		Eventually(evacuatedAt(nodes, "zone-1"), patience).Should(BeTrue())
		Eventually(w.Router.InRotation, patience).Should(Equal(6))
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		tallies, err := w.Work(ctx)
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
		w.TakeBack("zone-1")
		Eventually(evacuatedAt(nodes), patience).Should(BeTrue())
	})

	// All of a small host's upstreams are in the zone, and the store doesn't tell it anything.
	It("know it before they serve, though they can't ask the store", func() {
		w := newWorld(3)
		startAll(w)
		w.Evacuate("zone-3")
		h, err := w.AddHost(context.Background())
		Expect(err).NotTo(HaveOccurred())
		h.Proxy.Set(world.LinkSilent)
		n := startNode(w, h)
		Eventually(n.Ready, patience).Should(BeTrue())
		Eventually(n.Evacuated, patience).Should(Equal([]bundle.Zone{"zone-3"}))
	})

	It("know it before they serve, by the store alone", func() {
		w := newWorld(1)
		w.Evacuate("zone-3")
		w.Hosts[0].Seeds = nobody
		n := startNode(w, w.Hosts[0])
		Eventually(n.Ready, patience).Should(BeTrue())
		Expect(n.Evacuated()).To(Equal([]bundle.Zone{"zone-3"}))
	})

	It("learn it though the reader is cut off from the store", func() {
		w := newWorld(6)
		nodes := startAll(w)
		Eventually(func() int { return readers(nodes) }, patience).Should(Equal(1))
		for _, n := range nodes {
			if n.Reads() {
				n.host.Proxy.Set(world.LinkSilent)
			}
		}
		w.Evacuate("zone-1")
		Eventually(evacuatedAt(nodes, "zone-1"), patience).Should(BeTrue())
	})

	It("learn it though a whole zone is cut off from the others", func() {
		w := newWorld(6)
		nodes := startAll(w)
		w.CutZone("zone-3", time.Minute)
		w.Evacuate("zone-1")
		Eventually(evacuatedAt(nodes, "zone-1"), patience).Should(BeTrue())
	})

	It("learn it though the store's watches heard nothing of it and its history is gone", func() {
		w := newWorld(3)
		nodes := startAll(w)
		w.Store.SetTrouble(metadata.Trouble{Deaf: true})
		w.Evacuate("zone-1")
		w.Store.Forget()
		w.Store.SetTrouble(metadata.Trouble{})
		Eventually(evacuatedAt(nodes, "zone-1"), patience).Should(BeTrue())
	})

	It("keep it while the store is away, and tell it to those that start", func() {
		w := newWorld(4)
		nodes := startAll(w)
		w.Evacuate("zone-1")
		Eventually(evacuatedAt(nodes, "zone-1"), patience).Should(BeTrue())
		w.Store.SetTrouble(metadata.Trouble{Status: http.StatusServiceUnavailable})
		h, err := w.AddHost(context.Background())
		Expect(err).NotTo(HaveOccurred())
		late := startNode(w, h)
		Eventually(late.Ready, patience).Should(BeTrue())
		Consistently(evacuatedAt(append(nodes, late), "zone-1"), time.Second).Should(BeTrue())
	})

	// Another writer leaves an entry that holds anything. Its name is what counts: a zone that somebody means
	// to switch off mustn't get flows since a tool wrote the request in a form of its own.
	It("go by an entry's name, whatever it holds", func() {
		w := newWorld(1)
		n := startNode(w, w.Hosts[0])
		Eventually(n.Ready, patience).Should(BeTrue())
		w.Store.Put(wire.KindEvacuations, "zone-2", []int{17})
		w.Store.Put(wire.KindEvacuations, "no zone of ours", nil)
		Eventually(n.Evacuated, patience).Should(Equal([]bundle.Zone{"no zone of ours", "zone-2"}))
	})

	// More zones than fit beside the changes in one datagram.
	It("learn of more zones than news hold", func() {
		w := newWorld(3)
		nodes := startAll(w)
		time.Sleep(carrier.JoinedAfter) // Then one reads for all, and the others only hear of it.
		Eventually(func() int { return readers(nodes) }, patience).Should(Equal(1))
		const many = 20
		zones := make([]bundle.Zone, 0, many)
		for i := range many {
			zones = append(zones, bundle.Zone(fmt.Sprintf("far-%02d", i)))
			w.Store.Put(wire.KindEvacuations, string(zones[i]), struct{}{})
		}
		Eventually(evacuatedAt(nodes, zones...), patience).Should(BeTrue())
	})
})
