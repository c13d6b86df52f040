package cookiedaemon_test

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/process/cookiedaemon"
	"github.com/fescueshed/fescueshed/internal/standin/metadata"
	"github.com/fescueshed/fescueshed/internal/standin/world"
)

const (
	// manyRoutes make a bundle of some 600 KB in the store's form, as large as users have it.
	manyRoutes = 4000
	// slowLink carries that in three seconds. The users' smallest hosts have a link that carries
	// six times as much, but callers' packets and other transfers use it too.
	slowLink world.BytesPerSecond = 200_000
)

func largeWorld(t *testing.T, hosts int) *world.World {
	t.Helper()
	return openWorld(t, world.Options{Seed: 1, Hosts: hosts, Upstreams: 3})
}

// incompressibleWorld is a largeWorld whose bundle is as large between daemons as it is in the
// store.
func incompressibleWorld(t *testing.T, hosts int) *world.World {
	t.Helper()
	return openWorld(t, world.Options{Seed: 1, Hosts: hosts, Upstreams: 3, IncompressibleRoutes: true})
}

// largePair starts two daemons, of which the second is small and relies on the first, and waits
// until the fetches that follow a start are over.
func largePair(t *testing.T, w *world.World) (large, small *node) {
	t.Helper()
	g := NewWithT(t)
	w.Hosts[1].CPUShare = 0.1
	large, small = openNode(t, w, w.Hosts[0]), openNode(t, w, w.Hosts[1])
	for _, n := range []*node{large, small} {
		g.Eventually(n.Ready, maxWait).Should(BeTrue())
		g.Eventually(n.Members, maxWait).Should(Equal(2))
	}
	time.Sleep(cookiedaemon.JoinDuration)
	g.Eventually(small.ReadsStore, maxWait).Should(BeFalse())
	return large, small
}

// metric returns the value of a counter of a daemon.
func (n *node) metric(t scope, name string) int {
	t.Helper()
	resp, err := http.Get("http://" + n.cfg.MetricsAddress.String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(fmt.Sprintf(`(?m)^%s (\d+)`, regexp.QuoteMeta(name))).FindSubmatch(b)
	if m == nil {
		t.Fatal("no metric is named", name)
	}
	v, err := strconv.Atoi(string(m[1]))
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// Guards against a large bundle that never takes effect because a slow link carries it in more time
// than a transfer is given. Each transfer was given up shortly before its end and started again,
// from another daemon and from the store at the same time, so that the two shared the link. The
// daemons received ten times the bundle's size and discarded nearly all of it; callers were routed
// by routes dropped ten seconds ago, and new routes weren't served.
func TestLargeBundleTakesEffectOverSlowLink(t *testing.T) {
	g := NewWithT(t)
	w := incompressibleWorld(t, 2)
	large, small := largePair(t, w)
	w.LimitLink(w.Hosts[1], slowLink)
	w.AddIdleRoutes(manyRoutes)
	v := w.Roll()
	g.Eventually(large.Version, maxWait).Should(Equal(v))
	g.Eventually(small.Version, maxWait).Should(Equal(v))
}

// Guards against a small host that, after a power loss of all hosts, lists the large bundle, gives
// up before the list is complete, and starts again: it never becomes ready.
func TestLargeBundleIsReadFromStoreAtStartOverSlowLink(t *testing.T) {
	g := NewWithT(t)
	w := largeWorld(t, 1)
	w.AddIdleRoutes(manyRoutes)
	w.Roll()
	w.Hosts[0].Seeds = unusedSeeds
	w.LimitLink(w.Hosts[0], slowLink)
	n := openNode(t, w, w.Hosts[0])
	g.Eventually(n.Ready, maxWait).Should(BeTrue())
}

// A host is restarted while the others run. Guards against a host that stays out of service because
// the catalog takes its link longer than the time-out for a member's answer, and the store doesn't
// answer it.
func TestLargeBundleIsFetchedFromMemberAtStartOverSlowLink(t *testing.T) {
	g := NewWithT(t)
	w := incompressibleWorld(t, 2)
	w.AddIdleRoutes(manyRoutes)
	v := w.Roll()
	large := openNode(t, w, w.Hosts[0])
	g.Eventually(large.Ready, maxWait).Should(BeTrue())
	w.LimitLink(w.Hosts[1], slowLink)
	w.Hosts[1].StoreProxy.SetFault(world.LinkBlackhole)
	small := openNode(t, w, w.Hosts[1])
	g.Eventually(small.Ready, maxWait).Should(BeTrue())
	g.Expect(small.Version()).To(Equal(v))
}

// The store was down for a while, and operators went on changing a large bundle. A watch then
// returns every version since, which exceeds the limit of an answer. Guards against repeating the
// same watch, so that no bundle takes effect until the store drops that history. Below the limit, a
// slow link would carry versions that nobody needs.
func TestLargeBundleTakesEffectWhenWatchAnswerIsTooLarge(t *testing.T) {
	g := NewWithT(t)
	w := largeWorld(t, 1)
	w.AddIdleRoutes(manyRoutes)
	w.Roll()
	n := openNode(t, w, w.Hosts[0])
	g.Eventually(n.Ready, maxWait).Should(BeTrue())
	const answers = "fescueshed_store_answers_bytes_total"
	once := n.metric(t, answers)
	// A daemon that has just started lists, whatever it holds. After these calls it follows by
	// watches.
	g.Eventually(func() int { return n.metric(t, "fescueshed_store_calls_total") }, maxWait).Should(BeNumerically(">=", 10))
	w.Store.SetFaults(metadata.Faults{Status: http.StatusServiceUnavailable})
	g.Eventually(func() int { return n.metric(t, "fescueshed_store_calls_refused_total") }, maxWait).Should(BeNumerically(">=", 2))
	v := w.Roll()
	for range 10 {
		v = w.Roll()
	}
	before := n.metric(t, answers)
	w.Store.SetFaults(metadata.Faults{})
	g.Eventually(n.Version, maxWait).Should(Equal(v))
	g.Expect(n.metric(t, answers)-before).To(BeNumerically("<=", 2*once), "a list returns the bundle once")
}

// changeBytes bounds the bytes of one change for a daemon: the design limit is 3 KB a second of
// control traffic and 23,000 changes a day, which leaves 11 KB for each.
const changeBytes = 11_000

// Guards against sending every daemon all unchanged routes with a change of one route. At the
// design size that alone is a hundred times the control traffic that a daemon may have.
func TestLargeBundleIsSentAsUpdate(t *testing.T) {
	g := NewWithT(t)
	w := largeWorld(t, 2)
	w.AddIdleRoutes(manyRoutes)
	w.Roll()
	_, small := largePair(t, w)
	before := small.metric(t, "fescueshed_catalogs_bytes_total") + small.metric(t, "fescueshed_store_answers_bytes_total")
	g.Expect(before).To(BeNumerically(">", 0))
	v := w.Roll()
	g.Eventually(small.Version, maxWait).Should(Equal(v))
	after := small.metric(t, "fescueshed_catalogs_bytes_total") + small.metric(t, "fescueshed_store_answers_bytes_total")
	g.Expect(after - before).To(BeNumerically("<=", changeBytes))
}

// Guards against a host that takes as long for a large update as others wait for a failed store reader,
// and then reads the whole bundle from the store as well, although the reader is alive: the two share
// the host's link.
func TestLargeUpdateIsNotReadFromStoreWhileItIsFetched(t *testing.T) {
	g := NewWithT(t)
	w := incompressibleWorld(t, 2)
	_, small := largePair(t, w)
	w.LimitLink(w.Hosts[1], slowLink)
	w.AddIdleRoutes(manyRoutes)
	before := small.metric(t, "fescueshed_store_answers_bytes_total")
	v := w.Roll()
	g.Eventually(small.Version, maxWait).Should(Equal(v))
	g.Expect(small.metric(t, "fescueshed_store_answers_bytes_total") - before).To(BeNumerically("<=", changeBytes))
}

// The store reader fails. Guards against daemons that take over and list the large bundle that they
// have in force, only to get the revision to watch from. On slow links that takes longer than the
// take-over may.
func TestLargeBundleIsNotRelistedOnReaderTakeover(t *testing.T) {
	g := NewWithT(t)
	w := largeWorld(t, 2)
	w.AddIdleRoutes(manyRoutes)
	w.Roll()
	_, small := largePair(t, w)
	before := small.metric(t, "fescueshed_store_answers_bytes_total")
	w.Hosts[0].StoreProxy.SetFault(world.LinkBlackhole)
	calls := small.metric(t, "fescueshed_store_calls_total")
	g.Eventually(small.ReadsStore, maxWait).Should(BeTrue())
	made := func() int { return small.metric(t, "fescueshed_store_calls_total") - calls }
	g.Eventually(made, maxWait).Should(BeNumerically(">=", 4))
	g.Expect(small.metric(t, "fescueshed_store_answers_bytes_total") - before).To(BeNumerically("<=", changeBytes))
}

// The store was restored from a copy, and operators use a version number a second time for another
// bundle. Guards against sending a daemon that holds the first one the changes since the second:
// the result is a mixture of both, so the daemon serves routes that nobody wrote together, or it
// refuses each later version.
func TestBundleWithReusedVersionIsSentWhole(t *testing.T) {
	g := NewWithT(t)
	w := largeWorld(t, 2)
	w.AddIdleRoutes(manyRoutes)
	w.Roll()
	w.Hosts[1].CPUShare = 0.1
	small := openNode(t, w, w.Hosts[1])
	g.Eventually(small.Ready, maxWait).Should(BeTrue())
	w.Hosts[1].StoreProxy.SetFault(world.LinkBlackhole)
	w.AddIdleRoutes(5)
	w.RewriteBundle()
	w.Hosts[0].Seeds = unusedSeeds // It reads the store before it knows the other daemon.
	large := openNode(t, w, w.Hosts[0])
	g.Eventually(large.Ready, maxWait).Should(BeTrue())
	g.Expect(large.Version()).To(Equal(small.Version()))
	g.Eventually(small.Members, maxWait).Should(Equal(2))
	v := w.Roll()
	g.Eventually(large.Version, maxWait).Should(Equal(v))
	g.Eventually(small.Version, maxWait).Should(Equal(v))

	time.Sleep(cookiedaemon.JoinDuration)
	before := small.metric(t, "fescueshed_catalogs_bytes_total")
	v = w.Roll()
	g.Eventually(small.Version, maxWait).Should(Equal(v))
	received := small.metric(t, "fescueshed_catalogs_bytes_total") - before
	g.Expect(received).To(BeNumerically("<=", changeBytes), "later bundles are sent as updates again")
}

// The store takes two seconds to assemble the answer of a watch, as it may for many large versions.
// A watch is given up after its wait and 0.7 s. Guards against repeating it, which takes as long:
// no later bundle would take effect until the store drops that history. A list would be answered.
func TestLargeBundleTakesEffectWhenWatchAnswersLate(t *testing.T) {
	g := NewWithT(t)
	w := largeWorld(t, 1)
	n := openNode(t, w, w.Hosts[0])
	g.Eventually(n.Ready, maxWait).Should(BeTrue())
	g.Eventually(func() int { return n.metric(t, "fescueshed_store_calls_total") }, maxWait).Should(BeNumerically(">=", 10))
	w.Store.SetFaults(metadata.Faults{SlowEvents: 2 * time.Second})
	v := w.Roll()
	g.Eventually(n.Version, maxWait).Should(Equal(v))
}
