package carrier_test

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

// openAll starts a balancer on each host, and waits until all know each other.
func openAll(t *testing.T, w *world.World) []*node {
	t.Helper()
	g := NewWithT(t)
	nodes := make([]*node, 0, len(w.Hosts))
	for _, h := range w.Hosts {
		nodes = append(nodes, openNode(t, w, h))
	}
	for _, n := range nodes {
		g.Eventually(n.Ready, waitTimeout).Should(BeTrue())
		g.Eventually(n.Members, waitTimeout).Should(Equal(len(nodes)))
	}
	return nodes
}

// lostWrites is how many changes a store loses that is restored from a snapshot. What is written then has revisions
// that the balancers have seen.
const lostWrites = 5

// restoreStore restores the store from a snapshot, once all balancers know the changes that it loses.
func restoreStore(t *testing.T, w *world.World, nodes []*node) {
	t.Helper()
	g := NewWithT(t)
	restore := w.Store.Snapshot()
	for range lostWrites {
		w.Rewrite()
	}
	for _, n := range nodes {
		for _, kind := range []string{"Bundles", "Registrations"} {
			name := fmt.Sprintf("fescueshed_store_revision{kind=%q}", kind)
			g.Eventually(func() int { return n.metric(t, name) }, waitTimeout).Should(BeEquivalentTo(w.Store.Revision()))
		}
	}
	restore()
}

// Guards against draining upstreams that go unheard after the store was restored from a snapshot: the drain is written
// under a revision that was given out before.
func TestDrainUnderAReusedRevisionIsHeard(t *testing.T) {
	g := NewWithT(t)
	w := openWorld(t, world.Options{Seed: 1, Hosts: 3, Upstreams: 12})
	nodes := openAll(t, w)
	restoreStore(t, w, nodes)
	g.Expect(w.DrainServer()).To(BeTrue())
	for _, n := range nodes {
		g.Eventually(n.AvailableUpstreams, waitTimeout).Should(Equal(11))
	}
}

// Guards against zones that go on getting flows after the store was restored from a snapshot: their evacuation is written
// under a revision that was given out before.
func TestEvacuationUnderAReusedRevisionIsHeard(t *testing.T) {
	g := NewWithT(t)
	w := openWorld(t, world.Options{Seed: 1, Hosts: 3, Upstreams: 12})
	nodes := openAll(t, w)
	restoreStore(t, w, nodes)
	w.Evacuate("zone-2")
	g.Eventually(evacuatedAt(nodes, "zone-2"), waitTimeout).Should(BeTrue())
}

// Guards against a drain and an evacuation that are undone for as long as nobody has written them again to a store
// that was restored from a snapshot without them.
func TestWhatASnapshotLacksStaysInForceUntilItIsWrittenAgain(t *testing.T) {
	g := NewWithT(t)
	w := openWorld(t, world.Options{Seed: 1, Hosts: 3, Upstreams: 12})
	nodes := openAll(t, w)
	restore := w.Store.Snapshot()
	g.Expect(w.DrainServer()).To(BeTrue())
	w.Evacuate("zone-2")
	kept := func() bool {
		for _, n := range nodes {
			if n.AvailableUpstreams() != 11 {
				return false
			}
		}
		return evacuatedAt(nodes, "zone-2")()
	}
	g.Eventually(kept, waitTimeout).Should(BeTrue())
	restore()
	for _, n := range nodes {
		g.Eventually(func() int { return n.metric(t, "fescueshed_store_epoch") }, waitTimeout).Should(Equal(1))
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
	g.Eventually(kept, waitTimeout).Should(BeTrue(), "the others tell one that starts")
	w.WriteAgain(time.Second)
	time.Sleep(objects.RestoreGrace)
	g.Consistently(kept, time.Second).Should(BeTrue(), "the store tells it again")
}

// Guards against daemons that take a lagging member of the store at its word: it answers as of the time before the
// return, and nothing that came after would be heard.
func TestAnswersOfAFormerEpochDoNotCountAsHeard(t *testing.T) {
	g := NewWithT(t)
	w := openWorld(t, world.Options{Seed: 1, Hosts: 3, Upstreams: 12})
	nodes := openAll(t, w)
	restoreStore(t, w, nodes)
	for _, n := range nodes {
		g.Eventually(func() int { return n.metric(t, "fescueshed_store_epoch") }, waitTimeout).Should(Equal(1))
	}
	w.Store.SetTrouble(metadata.Trouble{Former: true})
	g.Expect(w.DrainServer()).To(BeTrue())
	outdated := func() int {
		sum := 0
		for _, n := range nodes {
			sum += n.metric(t, `fescueshed_store_answers_outdated_total{kind="Registrations"}`)
		}
		return sum
	}
	g.Eventually(outdated, waitTimeout).Should(BeNumerically(">", 0))
	for _, n := range nodes {
		age := func() int { return n.metric(t, `fescueshed_store_kind_age_seconds{kind="Registrations"}`) }
		g.Eventually(age, waitTimeout).Should(BeNumerically(">", 3), "seconds since the list was known")
	}
	w.Store.SetTrouble(metadata.Trouble{})
	for _, n := range nodes {
		g.Eventually(n.AvailableUpstreams, waitTimeout).Should(Equal(11))
	}
}

// Guards against a drain that goes unheard since the daemon that reads the store for all is lost as the store is
// restored, or since it is restored twice in a row, or since a zone that was cut off still holds the epoch before.
func TestDrainIsHeardThoughTroublesMeetTheRestore(t *testing.T) {
	for name, meet := range map[string]func(w *world.World, reader *node){
		"the reader is cut off":   func(_ *world.World, reader *node) { reader.host.Proxy.Set(world.LinkSilent) },
		"the store returns twice": func(w *world.World, _ *node) { w.Store.Snapshot()() },
		"a zone is cut off from the others and the store": func(w *world.World, _ *node) {
			h := w.Hosts[2]
			h.Proxy.Set(world.LinkSilent)
			w.CutZone(h.Zone, 2*time.Second)
			time.AfterFunc(2*time.Second, func() { h.Proxy.Set(world.LinkGood) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := openWorld(t, world.Options{Seed: 1, Hosts: 3, Upstreams: 12})
			nodes := openAll(t, w)
			g.Eventually(func() int { return readers(nodes) }, waitTimeout).Should(Equal(1))
			reader := nodes[slices.IndexFunc(nodes, func(n *node) bool { return n.ReadsStore() })]
			restoreStore(t, w, nodes)
			meet(w, reader)
			g.Expect(w.DrainServer()).To(BeTrue())
			for _, n := range nodes {
				g.Eventually(n.AvailableUpstreams, waitTimeout).Should(Equal(11))
			}
		})
	}
}

// Guards against a version that goes unheard since it is written under a revision that was given out before, or that is
// undone since the snapshot is older.
func TestBundleUnderAReusedRevisionIsInForce(t *testing.T) {
	g := NewWithT(t)
	w := openWorld(t, world.Options{Seed: 1, Hosts: 3, Upstreams: 12})
	nodes := openAll(t, w)
	restore := w.Store.Snapshot()
	lost := w.Roll()
	g.Eventually(inForce(nodes, lost), waitTimeout).Should(BeTrue())
	restore()
	for _, n := range nodes {
		g.Eventually(func() int { return n.metric(t, "fescueshed_store_epoch") }, waitTimeout).Should(Equal(1))
	}
	g.Expect(inForce(nodes, lost)()).To(BeTrue(), "nobody goes back")
	g.Eventually(inForce(nodes, w.Roll()), waitTimeout).Should(BeTrue())
}

// Guards against hosts that nobody finds any more after the store was restored from a snapshot without contacts: their
// seeds are out of date.
func TestContactsAreWrittenAgainToARestoredStore(t *testing.T) {
	g := NewWithT(t)
	const (
		kind, name = "fescueshed-contacts", "main"
		readBack   = 5 * time.Second
	)
	w := openWorld(t, world.Options{Seed: 1, Hosts: 3, Upstreams: 3})
	restore := w.Store.Snapshot()
	openAll(t, w)
	written := func() string { return w.Store.Content(kind, name) }
	g.Eventually(written, waitTimeout).ShouldNot(BeEmpty())
	time.Sleep(readBack) // Then the keeper looks only rarely what the store has.
	restore()
	g.Expect(written()).To(BeEmpty())
	g.Eventually(written, waitTimeout).ShouldNot(BeEmpty())
}
