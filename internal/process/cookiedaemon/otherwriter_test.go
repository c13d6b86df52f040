package cookiedaemon_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/standin/metadata"
	"github.com/fescueshed/fescueshed/internal/standin/world"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/evacuation"
	"github.com/fescueshed/fescueshed/platform/wire"
)

// otherContents are contents that no parser takes.
var otherContents = map[string]string{
	"nested as deeply as the store takes it": `{"service":` + nested(9997) + `}`,
	"nested more deeply than any parser":     nested(300_000),
	"a text without end":                     `{"service":"fe`,
	"brackets that don't match":              `[{]`,
	"nothing":                                ``,
}

func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// kindContacts is the kind of the object with the daemons' contacts.
const kindContacts = "fescueshed-contacts"

// requireChangesReach drains an upstream, rolls a bundle and evacuates a zone, and requires that all of it reaches the given
// daemons of a world with twelve upstreams, and one that joins on a host that prepare changes.
func requireChangesReach(t *testing.T, w *world.World, nodes []*node, prepare func(joining *world.Host)) {
	t.Helper()
	g := NewWithT(t)
	g.Expect(w.DrainUpstream()).To(BeTrue())
	v := w.Roll()
	w.Store.Put(wire.KindEvacuations, "zone-2", struct{}{})
	h, err := w.AddHost(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	prepare(h)
	nodes = append(nodes, openNode(t, w, h))
	g.Eventually(inForce(nodes, v), maxWait).Should(BeTrue())
	for _, n := range nodes {
		g.Eventually(n.Ready, maxWait).Should(BeTrue())
		g.Eventually(n.AvailableUpstreams, maxWait).Should(Equal(11))
		g.Eventually(n.Evacuated, maxWait).Should(ContainElement(bundle.Zone("zone-2")))
	}
}

// Guards against a drain, a bundle or an evacuation that daemons never learn of because another writer's entry stands in
// the same answer of the store, and against daemons that don't become ready because of it.
func TestOtherWritersEntryDoesNotHideChanges(t *testing.T) {
	for name, spec := range otherContents {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := openWorld(t, world.Options{Seed: 1, Hosts: 3, Upstreams: 12, Callers: 12})
			nodes := openAll(t, w)
			for _, kind := range []string{wire.KindServers, wire.KindConfig, wire.KindEvacuations, kindContacts} {
				w.Store.PutSpec(kind, "a-report", spec)
				w.Store.PutSpec(kind, "z-report", spec)
			}
			// The daemon that joins learns everything from the store.
			requireChangesReach(t, w, nodes, func(joining *world.Host) { joining.Seeds = nil })
		})
	}
}

// Guards against an upstream that gets new flows by its former entry because the entry that replaces it, which no parser
// takes, isn't recognized as its own.
func TestOtherWritersEntryInPlaceOfUpstreams(t *testing.T) {
	for name, spec := range otherContents {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			w := openWorld(t, world.Options{Seed: 1, Hosts: 3, Upstreams: 12, Callers: 12})
			nodes := openAll(t, w)
			w.Store.PutSpec(wire.KindServers, w.EntryNames()[0], spec)
			for _, n := range nodes {
				g.Eventually(n.AvailableUpstreams, maxWait).Should(Equal(11))
				g.Expect(n.Upstreams()).To(Equal(12), "open flows go on")
			}
		})
	}
}

// Guards against hosts that never find the others because nobody can replace contacts that no parser takes.
func TestOtherWritersContactsAreReplaced(t *testing.T) {
	for name, spec := range otherContents {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			w := openWorld(t, world.Options{Seed: 1, Hosts: 3, Upstreams: 12, Callers: 12})
			w.Store.PutSpec(kindContacts, "main", spec)
			openAll(t, w)
			g.Eventually(func() string { return w.Store.Content(kindContacts, "main") }, maxWait).Should(ContainSubstring("host-1"))
		})
	}
}

// Guards against contacts that can't be decoded at all and are read again and again without a sign of it.
func TestUnreadableContactsAreCounted(t *testing.T) {
	g := NewWithT(t)
	w := openWorld(t, world.Options{Seed: 1, Hosts: 2, Upstreams: 12, Callers: 12})
	w.Store.PutRaw(kindContacts, "main", func(uint64) string { return `{"meta"` })
	nodes := openAll(t, w)
	unusable := func() int {
		n := 0
		for _, o := range nodes {
			n += o.metric(t, "fescueshed_store_objects_unusable_total")
		}
		return n
	}
	g.Eventually(unusable, maxWait).Should(Equal(1))
	g.Consistently(unusable, 5*time.Second).Should(Equal(1))
}

// Guards against a host that says nothing of an answer of the store that it can't decode and asks for again and again.
func TestUnreadableAnswersAreCounted(t *testing.T) {
	g := NewWithT(t)
	w := openWorld(t, world.Options{Seed: 1, Hosts: 1, Upstreams: 12, Callers: 12})
	n := openAll(t, w)[0]
	w.Store.PutRaw(wire.KindServers, "z-report", func(uint64) string { return `{"meta"` })
	g.Eventually(func() int { return n.metric(t, `fescueshed_store_answers_unreadable_total{kind="Registrations"}`) }, maxWait).
		Should(BeNumerically(">", 1))
	g.Eventually(func() int { return n.metric(t, `fescueshed_store_kind_age_seconds{kind="Registrations"}`) }, maxWait).
		Should(BeNumerically(">", 2))
	g.Expect(n.Ready()).To(BeTrue(), "it serves on with what it knows")
	w.Store.Delete(wire.KindServers, "z-report")
	g.Expect(w.DrainUpstream()).To(BeTrue())
	g.Eventually(n.AvailableUpstreams, maxWait).Should(Equal(11))
}

// Guards against changes that reach no host because the one that reads the store can't decode its answers.
func TestAnotherHostReadsIfAnswersAreUnreadable(t *testing.T) {
	g := NewWithT(t)
	w := openWorld(t, world.Options{Seed: 1, Hosts: 3, Upstreams: 12, Callers: 12})
	nodes := openAll(t, w)
	g.Eventually(func() int { return readers(nodes) }, maxWait).Should(Equal(1))
	garbage := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "<html>")
	}))
	defer garbage.Close()
	for _, n := range nodes {
		if n.ReadsStore() {
			changed := *n.cfg
			changed.Store = garbage.URL
			n.Reload(&changed)
		}
	}
	g.Expect(w.DrainUpstream()).To(BeTrue())
	v := w.Roll()
	g.Eventually(inForce(nodes, v), maxWait).Should(BeTrue())
	for _, n := range nodes {
		g.Eventually(n.AvailableUpstreams, maxWait).Should(Equal(11))
	}
}

// Guards against hosts that refuse all that a reader of the store sends them because of what other writers have left there
// in great number or size: those without the store get nothing then, and all others read it.
func TestManyEntriesOfOtherWritersReachOtherHosts(t *testing.T) {
	w := openWorld(t, world.Options{Seed: 1, Hosts: 4, Upstreams: 12, Callers: 12})
	const regions = `"zone-1":"r","zone-2":"r","zone-3":"r"`
	for _, h := range w.Hosts {
		h.Regions = regions
	}
	w.Hosts[3].StoreProxy.SetFault(world.LinkReset)
	nodes := openAll(t, w)
	for i := range 2 * evacuation.MaxZones {
		w.Store.PutSpec(wire.KindEvacuations, fmt.Sprintf("a-report-%d", i), "{}")
	}
	w.Store.PutSpec(wire.KindEvacuations, strings.Repeat("z", 100_000), "{}")
	for i := range 12 {
		entry := metadata.EncodeSpec(&wire.Server{
			Service: strings.Repeat(string(rune('a'+i)), 1<<20), Address: netip.MustParseAddrPort("127.0.0.9:9"), Zone: "zone-1",
			Version: "v1", ConcurrencyLimit: 1, State: wire.StateReady,
		})
		w.Store.PutSpec(wire.KindServers, metadata.EntryName(bundle.UpstreamID(i+1)), entry)
	}
	requireChangesReach(t, w, nodes, func(joining *world.Host) {
		joining.Regions = regions
		joining.StoreProxy.SetFault(world.LinkReset)
	})
}

// Guards against a copy of an upstream's entry under another name that takes the place of the entry itself: the upstream
// would get no flow, or flows though it drains, and would be gone once the copy is deleted.
func TestCopiesOfEntriesUnderOtherNames(t *testing.T) {
	for name, state := range map[string]string{
		"in a state that isn't known": "archived", "in the state of the original": wire.StateReady,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			w := openWorld(t, world.Options{Seed: 1, Hosts: 3, Upstreams: 12, Callers: 12})
			nodes := openAll(t, w)
			g.Expect(w.DrainUpstream()).To(BeTrue())
			remove := w.CopyEntries(state)
			h, err := w.AddHost(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			nodes = append(nodes, openNode(t, w, h))
			for _, n := range nodes {
				g.Eventually(n.Ready, maxWait).Should(BeTrue())
				g.Eventually(n.Members, maxWait).Should(Equal(len(nodes)))
			}
			for added, change := range []func(){func() {}, remove} {
				change()
				g.Expect(w.AddUpstream(world.ServiceFeed, w.Hosts[0].Zone, netip.AddrPort{})).To(Succeed())
				for _, n := range nodes {
					g.Eventually(n.AvailableUpstreams, maxWait).Should(Equal(12 + added))
					g.Consistently(n.AvailableUpstreams, time.Second).Should(Equal(12+added), "one drains, %d joined", 1+added)
				}
			}
		})
	}
}
