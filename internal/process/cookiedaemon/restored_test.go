package cookiedaemon_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/standin/metadata"
	"github.com/fescueshed/fescueshed/internal/standin/world"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// openAll starts a balancer on each host and waits until all know each other.
func openAll(t *testing.T, w *world.World) []*node {
	t.Helper()
	g := NewWithT(t)
	nodes := make([]*node, 0, len(w.Hosts))
	for _, h := range w.Hosts {
		nodes = append(nodes, openNode(t, w, h))
	}
	for _, n := range nodes {
		g.Eventually(n.Ready, maxWait).Should(BeTrue())
		g.Eventually(n.Members, maxWait).Should(Equal(len(nodes)))
	}
	return nodes
}

// lostWrites is the number of writes that a store loses by a restore from a snapshot. Later writes
// get revisions that the balancers have seen already.
const lostWrites = 5

// restoreStore restores the store from a snapshot after all balancers have received the writes that
// it loses.
func restoreStore(t *testing.T, w *world.World, nodes []*node) {
	t.Helper()
	g := NewWithT(t)
	restore := w.Store.Snapshot()
	for range lostWrites {
		w.RewriteBundle()
	}
	for _, n := range nodes {
		for _, kind := range []string{"Bundles", "Registrations"} {
			name := fmt.Sprintf("fescueshed_store_revision{kind=%q}", kind)
			g.Eventually(func() int { return n.metric(t, name) }, maxWait).Should(BeEquivalentTo(w.Store.Revision()))
		}
	}
	restore()
}

// Guards against missing a drain after the store was restored from a snapshot: the drain is written
// with a revision that was used before.
func TestDrainWithReusedRevisionIsApplied(t *testing.T) {
	g := NewWithT(t)
	w := openWorld(t, world.Options{Seed: 1, Hosts: 3, Upstreams: 12})
	nodes := openAll(t, w)
	restoreStore(t, w, nodes)
	g.Expect(w.DrainUpstream()).To(BeTrue())
	for _, n := range nodes {
		g.Eventually(n.AvailableUpstreams, maxWait).Should(Equal(11))
	}
}

// Guards against missing an evacuation after the store was restored from a snapshot, so that the
// zone goes on getting flows: the evacuation is written with a revision that was used before.
func TestEvacuationWithReusedRevisionIsApplied(t *testing.T) {
	g := NewWithT(t)
	w := openWorld(t, world.Options{Seed: 1, Hosts: 3, Upstreams: 12})
	nodes := openAll(t, w)
	restoreStore(t, w, nodes)
	w.Evacuate("zone-2")
	g.Eventually(evacuatedAt(nodes, "zone-2"), maxWait).Should(BeTrue())
}

// Guards against ending a drain and an evacuation because the store was restored from a snapshot
// without them, before somebody has written them again.
func TestDrainAndEvacuationSurviveRestoreUntilRewritten(t *testing.T) {
	g := NewWithT(t)
	w := openWorld(t, world.Options{Seed: 1, Hosts: 3, Upstreams: 12})
	nodes := openAll(t, w)
	restore := w.Store.Snapshot()
	g.Expect(w.DrainUpstream()).To(BeTrue())
	w.Evacuate("zone-2")
	kept := func() bool {
		for _, n := range nodes {
			if n.AvailableUpstreams() != 11 {
				return false
			}
		}
		return evacuatedAt(nodes, "zone-2")()
	}
	g.Eventually(kept, maxWait).Should(BeTrue())
	restore()
	for _, n := range nodes {
		g.Eventually(func() int { return n.metric(t, "fescueshed_store_epoch") }, maxWait).Should(Equal(1))
		g.Eventually(n.AvailableUpstreams).Should(Equal(11))
	}
	g.Consistently(kept, time.Second).Should(BeTrue())
	for _, n := range nodes {
		s := n.Status().Store
		g.Expect(s.Epoch).To(BeEquivalentTo(1))
		g.Expect(s.EpochSince.IsZero()).To(BeFalse())
		g.Expect(s.HeldOverOlder).To(Equal(1))
		g.Expect(s.Kinds).To(HaveLen(3))
	}
	h, err := w.AddHost(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	nodes = append(nodes, openNode(t, w, h))
	g.Eventually(kept, maxWait).Should(BeTrue(), "the others send them to a starting balancer")
	w.RewriteAll(time.Second)
	time.Sleep(objects.RestoreGrace)
	g.Consistently(kept, time.Second).Should(BeTrue(), "the store has them again")
}

// Guards against accepting the answers of a lagging member of the store: it answers as of the time
// before the restore, and later changes would be missed.
func TestAnswersOfEarlierEpochConfirmNothing(t *testing.T) {
	g := NewWithT(t)
	w := openWorld(t, world.Options{Seed: 1, Hosts: 3, Upstreams: 12})
	nodes := openAll(t, w)
	restoreStore(t, w, nodes)
	for _, n := range nodes {
		g.Eventually(func() int { return n.metric(t, "fescueshed_store_epoch") }, maxWait).Should(Equal(1))
	}
	w.Store.SetFaults(metadata.Faults{ServePreRestore: true})
	g.Expect(w.DrainUpstream()).To(BeTrue())
	outdated := func() int {
		sum := 0
		for _, n := range nodes {
			sum += n.metric(t, `fescueshed_store_answers_outdated_total{kind="Registrations"}`)
		}
		return sum
	}
	g.Eventually(outdated, maxWait).Should(BeNumerically(">", 0))
	for _, n := range nodes {
		age := func() int { return n.metric(t, `fescueshed_store_kind_age_seconds{kind="Registrations"}`) }
		g.Eventually(age, maxWait).Should(BeNumerically(">", 3), "seconds since the list was known")
	}
	w.Store.SetFaults(metadata.Faults{})
	for _, n := range nodes {
		g.Eventually(n.AvailableUpstreams, maxWait).Should(Equal(11))
	}
}

// Guards against missing a drain when the store is restored and another fault occurs: the store
// reader is cut off, the store is restored twice in a row, or a zone that was cut off still holds
// the earlier epoch.
func TestDrainIsAppliedDespiteFaultsDuringRestore(t *testing.T) {
	for name, inject := range map[string]func(w *world.World, reader *node){
		"the reader is cut off":       func(_ *world.World, reader *node) { reader.host.StoreProxy.SetFault(world.LinkBlackhole) },
		"the store is restored twice": func(w *world.World, _ *node) { w.Store.Snapshot()() },
		"a zone is cut off from the others and the store": func(w *world.World, _ *node) {
			h := w.Hosts[2]
			h.StoreProxy.SetFault(world.LinkBlackhole)
			w.CutZone(h.Zone, 2*time.Second)
			time.AfterFunc(2*time.Second, func() { h.StoreProxy.SetFault(world.LinkOK) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := openWorld(t, world.Options{Seed: 1, Hosts: 3, Upstreams: 12})
			nodes := openAll(t, w)
			g.Eventually(func() int { return readers(nodes) }, maxWait).Should(Equal(1))
			reader := nodes[slices.IndexFunc(nodes, func(n *node) bool { return n.ReadsStore() })]
			restoreStore(t, w, nodes)
			inject(w, reader)
			g.Expect(w.DrainUpstream()).To(BeTrue())
			for _, n := range nodes {
				g.Eventually(n.AvailableUpstreams, maxWait).Should(Equal(11))
			}
		})
	}
}

// Guards against missing a bundle version that is written with a revision that was used before, and
// against undoing a version because the snapshot is older.
func TestBundleWithReusedRevisionTakesEffect(t *testing.T) {
	g := NewWithT(t)
	w := openWorld(t, world.Options{Seed: 1, Hosts: 3, Upstreams: 12})
	nodes := openAll(t, w)
	restore := w.Store.Snapshot()
	lost := w.Roll()
	g.Eventually(inForce(nodes, lost), maxWait).Should(BeTrue())
	restore()
	for _, n := range nodes {
		g.Eventually(func() int { return n.metric(t, "fescueshed_store_epoch") }, maxWait).Should(Equal(1))
	}
	g.Expect(inForce(nodes, lost)()).To(BeTrue(), "no balancer reverts to the earlier version")
	g.Eventually(inForce(nodes, w.Roll()), maxWait).Should(BeTrue())
}

// Guards against hosts that others can't find after the store was restored from a snapshot without
// contacts, when their seeds are out of date.
func TestContactsAreRewrittenAfterRestore(t *testing.T) {
	g := NewWithT(t)
	const (
		kind, name = "fescueshed-contacts", "main"
		readBack   = 5 * time.Second
	)
	w := openWorld(t, world.Options{Seed: 1, Hosts: 3, Upstreams: 3})
	restore := w.Store.Snapshot()
	openAll(t, w)
	written := func() string { return w.Store.Content(kind, name) }
	g.Eventually(written, maxWait).ShouldNot(BeEmpty())
	time.Sleep(readBack) // From then on the store reader reads the contacts rarely.
	restore()
	g.Expect(written()).To(BeEmpty())
	g.Eventually(written, maxWait).ShouldNot(BeEmpty())
}
