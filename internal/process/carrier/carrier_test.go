package carrier_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/process/carrier"
	"github.com/fescueshed/fescueshed/internal/process/settings"
	"github.com/fescueshed/fescueshed/internal/standin/flows"
	"github.com/fescueshed/fescueshed/internal/standin/metadata"
	"github.com/fescueshed/fescueshed/internal/standin/world"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/platform"
	"github.com/fescueshed/fescueshed/platform/wire"
)

// patience bounds what is awaited. It is far more than a test takes; how long it
// took isn't judged.
const patience = 30 * time.Second

// node is a balancer in this process.
type node struct {
	*carrier.Carrier
	host *world.Host
	cfg  *settings.Cookie
}

// scope is what a test of either framework offers.
type scope interface {
	Helper()
	Fatal(args ...any)
	Cleanup(f func())
}

// openWorld starts stand-ins that end with the test.
func openWorld(t scope, o world.Options) *world.World {
	t.Helper()
	w, stop, err := world.New(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return w
}

// openNode starts a balancer that ends with the test.
func openNode(t scope, w *world.World, h *world.Host) *node {
	t.Helper()
	cfg, err := settings.DecodeCookie(h.Name, []byte(w.Settings(h)))
	if err != nil {
		t.Fatal(err)
	}
	store, closeStore := objects.NewClient(cfg.Store)
	t.Cleanup(closeStore)
	c, stop, err := carrier.New(context.Background(), cfg, platform.Connect(store))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return &node{Carrier: c, host: h, cfg: cfg}
}

func newWorld(hosts int) *world.World {
	GinkgoHelper()
	return openWorld(GinkgoT(), world.Options{Seed: 1, Hosts: hosts, Upstreams: 12, Callers: 12})
}

func startNode(w *world.World, h *world.Host) *node {
	GinkgoHelper()
	return openNode(GinkgoT(), w, h)
}

func startAll(w *world.World) []*node {
	GinkgoHelper()
	nodes := make([]*node, 0, len(w.Hosts))
	for _, h := range w.Hosts {
		nodes = append(nodes, startNode(w, h))
	}
	for _, n := range nodes {
		Eventually(n.Ready, patience).Should(BeTrue())
		Eventually(n.Members, patience).Should(Equal(len(nodes)))
	}
	return nodes
}

func inForce(nodes []*node, v bundle.Version) func() bool {
	return func() bool {
		for _, n := range nodes {
			if n.Version() != v {
				return false
			}
		}
		return true
	}
}

var _ = Describe("Balancers by cookie", func() {
	It("carry callers' flows, each answer to its own request", func() {
		w := newWorld(3)
		startAll(w)
		Eventually(w.Router.InRotation, patience).Should(Equal(3))
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		tallies, err := w.Work(ctx)
		Expect(err).NotTo(HaveOccurred())
		answered := 0
		for _, t := range tallies {
			Expect(t.Violations).To(BeEmpty())
			answered += t.Answered
		}
		Expect(answered).To(BeNumerically(">", 0))
		Expect(w.Finish()).To(BeEmpty())
	})

	// The daemon that reads the store for all loses its way there, without an
	// error: its connection goes silent. A bundle that drops a service's route would
	// reach the others only when the connection is back.
	It("put a bundle in force though the reader is cut off from the store", func() {
		w := newWorld(6)
		nodes := startAll(w)
		// Right after the start every daemon still reads; if all of them were cut off,
		// nobody could know of the bundle. Then one reads for all zones.
		Eventually(func() int { return readers(nodes) }, patience).Should(Equal(1))
		for _, n := range nodes {
			if n.Reads() {
				n.host.Proxy.Set(world.LinkSilent)
			}
		}
		Eventually(inForce(nodes, w.Roll()), patience).Should(BeTrue())
	})

	// All daemons of a zone lose the store at once, as when its switch fails towards
	// the platform. They still hear the other zones.
	It("put a bundle in force though a whole zone is cut off from the store", func() {
		w := newWorld(6)
		nodes := startAll(w)
		cut := 0
		for _, n := range nodes {
			if n.host.Zone == w.Hosts[0].Zone {
				n.host.Proxy.Set(world.LinkSilent)
				cut++
			}
		}
		Expect(cut).To(Equal(2))
		// What daemons fetch once after their start must not help.
		time.Sleep(carrier.JoinedAfter)
		Eventually(inForce(nodes, w.Roll()), patience).Should(BeTrue())
	})

	// All hosts come back from a loss of power at once, and the store refuses what is
	// over its rate. A host that lists anew after each refusal is never ready.
	It("start though the store refuses most calls", func() {
		w := newWorld(3)
		w.Store.SetTrouble(metadata.Trouble{ServeOneOf: 4})
		for _, h := range w.Hosts {
			n := startNode(w, h)
			Eventually(n.Ready, patience).Should(BeTrue())
			Expect(n.Upstreams()).To(Equal(12))
		}
	})

	// The store drops its history while it refuses what is over its rate. Who watches
	// must list again; one that begins anew after each refusal would route by an old
	// list for as long as that goes on.
	It("list to the end though the store refuses most calls", func() {
		w := newWorld(3)
		nodes := startAll(w)
		w.Store.SetTrouble(metadata.Trouble{ServeOneOf: 4, Deaf: true})
		Expect(w.AddServer(world.ServiceFeed, w.Hosts[0].Zone, netip.AddrPort{})).To(Succeed())
		w.Store.Forget()
		for _, n := range nodes {
			Eventually(n.Upstreams, patience).Should(Equal(13))
		}
	})

	// A host starts and reads a copy of the store that lags. An upstream has left
	// meanwhile and another has joined; flows to the first are never answered.
	It("know what a lagging copy of the store lacks before they are ready", func() {
		w := newWorld(3)
		w.Store.Lag()
		Expect(w.AddServer(world.ServiceFeed, w.Hosts[0].Zone, netip.AddrPort{})).To(Succeed())
		n := startNode(w, w.Hosts[0])
		Eventually(n.Ready, patience).Should(BeTrue())
		Expect(n.Upstreams()).To(Equal(13))
	})

	// The copy lags by more than the history that the store keeps. A host that listed
	// from the copy again and again would never be ready.
	It("start though the store dropped the history since its copy", func() {
		w := newWorld(3)
		w.Store.Lag()
		Expect(w.AddServer(world.ServiceFeed, w.Hosts[0].Zone, netip.AddrPort{})).To(Succeed())
		w.Store.Forget()
		n := startNode(w, w.Hosts[0])
		Eventually(n.Ready, patience).Should(BeTrue())
		Expect(n.Upstreams()).To(Equal(13))
	})

	// One upstream registers itself with an entry that can't be used. If the whole list
	// were refused, no flow of any service would be placed.
	It("pass over an entry that can't be used", func() {
		w := newWorld(3)
		w.Store.Put(wire.KindServers, "i-0000000001", &wire.Server{Service: world.ServiceFeed})
		n := startNode(w, w.Hosts[0])
		Eventually(n.Ready, patience).Should(BeTrue())
		Expect(n.Upstreams()).To(Equal(12))
		w.Store.Put(wire.KindServers, "i-0000000002", "neither can this")
		Expect(w.AddServer(world.ServiceFeed, w.Hosts[0].Zone, netip.AddrPort{})).To(Succeed())
		Eventually(n.Upstreams, patience).Should(Equal(13))
	})

	// Another writer replaces upstreams' entries while the balancers run. Those that don't
	// read the store hear of it from the one that does, and so does one that starts later.
	It("place no new flow at an upstream whose entry was replaced, until it is back", func() {
		w := newWorld(3)
		nodes := startAll(w)
		names, restore := w.ReplaceEntries(11)
		Expect(names).To(HaveLen(11))
		takes := func(n *node) func() int {
			return func() int { return n.Takes() }
		}
		for _, n := range nodes {
			Eventually(takes(n), patience).Should(Equal(1))
			Expect(n.Upstreams()).To(Equal(12), "open flows go on")
		}
		h, err := w.AddHost(context.Background())
		Expect(err).NotTo(HaveOccurred())
		late := startNode(w, h)
		Eventually(late.Ready, patience).Should(BeTrue())
		Expect(late.Takes()).To(Equal(1))
		Eventually(late.Upstreams, patience).Should(Equal(12), "others tell it what was known before")
		restore()
		for _, n := range append(nodes, late) {
			Eventually(takes(n), patience).Should(Equal(12))
		}
	})

	// Another writer left its own object under the name of the contacts. If nobody replaced
	// it, a host whose seeds are gone would never find the others.
	It("replace contacts that can't be used", func() {
		w := newWorld(3)
		startAll(w)
		const kind, name = "fescueshed-contacts", "main"
		w.Store.Put(kind, name, "not contacts")
		Eventually(func() string { return w.Store.Content(kind, name) }, patience).Should(ContainSubstring("host-1"))
	})

	// All hosts of the settings' time were replaced, so the seeds of a new host name
	// nobody. It would serve alone: read the store itself, know nobody's load, and hear
	// of nothing while the store is away.
	It("find each other though no seed is there any more", func() {
		w := newWorld(3)
		startAll(w)
		time.Sleep(carrier.JoinedAfter) // Then the reader keeps the contacts.
		h, err := w.AddHost(context.Background())
		Expect(err).NotTo(HaveOccurred())
		h.Seeds = []netip.AddrPort{netip.MustParseAddrPort("127.0.9.9:9")}
		n := startNode(w, h)
		Eventually(n.Members, patience).Should(Equal(4))
	})

	// A host starts while the store is away. When it is ready, it forwards first
	// packets that waited in its socket, though their callers have opened the flows
	// through other hosts meanwhile: a second upstream answers, and the flows break.
	It("drop first packets that waited for long", func() {
		w := newWorld(3)
		h := w.Hosts[0]
		h.Proxy.Set(world.LinkReset)
		n := startNode(w, h)
		first := metadata.Segments{}.Encode(&flows.Segment{
			From: netip.MustParseAddrPort("127.1.9.9:1024"), To: netip.MustParseAddrPort("198.18.0.1:443"), Flags: cookie.FlagSYN,
		})
		conn, err := net.Dial("udp4", w.DataAddress(h).String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = conn.Write(first)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(500 * time.Millisecond)
		h.Proxy.Set(world.LinkGood)
		Eventually(func() string { return metricsOf(n) }, patience).Should(
			ContainSubstring(`fescueshed_packets_dropped_total{cause="StaleOpen"} 1`))
	})

	// The store stops telling changes and then drops its history. Whoever waits on
	// would keep the old bundle for as long as the watch waits.
	It("put a bundle in force though the store's watches heard nothing of it", func() {
		w := newWorld(3)
		nodes := startAll(w)
		w.Store.SetTrouble(metadata.Trouble{Deaf: true})
		v := w.Roll()
		w.Store.Forget()
		w.Store.SetTrouble(metadata.Trouble{})
		Eventually(inForce(nodes, v), patience).Should(BeTrue())
	})

	// A new host's keys were taken away at the store: it never gets an answer there,
	// and routers would wait for it forever.
	It("start from others if the store turns them away", func() {
		w := newWorld(4)
		w.Hosts[3].Proxy.Set(world.LinkReset)
		nodes := make([]*node, 0, 3)
		for _, h := range w.Hosts[:3] {
			nodes = append(nodes, startNode(w, h))
		}
		for _, n := range nodes {
			Eventually(n.Ready, patience).Should(BeTrue())
		}
		turnedAway := startNode(w, w.Hosts[3])
		Eventually(turnedAway.Ready, patience).Should(BeTrue())
		Expect(turnedAway.Upstreams()).To(Equal(nodes[0].Upstreams()))
		Eventually(inForce([]*node{turnedAway}, w.Roll()), patience).Should(BeTrue())
	})

	It("call the store no more often when there are more of them", func() {
		callsWith := func(hosts int) int {
			w := newWorld(hosts)
			nodes := startAll(w)
			Eventually(func() int { return readers(nodes) }, patience).Should(Equal(1))
			before := w.Store.Calls()
			time.Sleep(2 * time.Second)
			return w.Store.Calls() - before
		}
		// A watch of each of three kinds that waits 800 ms: at most three of each begin in two seconds. A slower
		// machine makes fewer calls, not more.
		const most = 3 * 3
		Expect(callsWith(15)).To(BeNumerically("<=", most))
	})

	It("aren't ready once they leave, and refuse settings that need a restart", func() {
		w := newWorld(3)
		nodes := startAll(w)
		n := nodes[0]
		changed := *n.cfg
		changed.Store = "http://127.0.0.9:1"
		changed.Zone = "elsewhere"
		n.Reload(&changed)
		Eventually(inForce(nodes, w.Roll()), patience).Should(BeTrue(), "the old settings are in force")
		done := make(chan struct{})
		go func() {
			defer close(done)
			n.Leave()
		}()
		Eventually(n.Ready, patience).Should(BeFalse())
		Eventually(done, patience).Should(BeClosed())
	})

	It("serve metrics", func() {
		w := newWorld(3)
		n := startAll(w)[0]
		text := metricsOf(n)
		Expect(text).To(ContainSubstring("fescueshed_bundle_version"))
		Expect(text).To(ContainSubstring("fescueshed_store_call_seconds_count"))
		Expect(text).To(ContainSubstring(`fescueshed_packets_reset_total{cause="NoRoute"}`))
	})
})

func metricsOf(n *node) string {
	GinkgoHelper()
	resp, err := http.Get("http://" + n.cfg.MetricsAddress.String() + "/metrics")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(b)
}

func readers(nodes []*node) int {
	n := 0
	for _, o := range nodes {
		if o.Reads() {
			n++
		}
	}
	return n
}
