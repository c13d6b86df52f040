package carrier_test

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/process/carrier"
	"github.com/fescueshed/fescueshed/internal/standin/metadata"
	"github.com/fescueshed/fescueshed/internal/standin/world"
)

const (
	// manyRoutes make a bundle of some 600 KB in the store's form, as large as users have it.
	manyRoutes = 4000
	// slowLink carries that in three seconds. The users' smallest hosts have a link that carries six
	// times as much, and callers' packets and other transfers on it.
	slowLink world.BytesPerSecond = 200_000
)

func largeWorld(t *testing.T, hosts int) *world.World {
	t.Helper()
	return openWorld(t, world.Options{Seed: 1, Hosts: hosts, Upstreams: 3})
}

// incompressibleWorld is a largeWorld whose bundle is as large between daemons as it is in the store.
func incompressibleWorld(t *testing.T, hosts int) *world.World {
	t.Helper()
	return openWorld(t, world.Options{Seed: 1, Hosts: hosts, Upstreams: 3, UnlikeRoutes: true})
}

// largePair starts two daemons, of which the second is small and relies on the first, and waits
// until what daemons fetch after their start is over.
func largePair(t *testing.T, w *world.World) (large, small *node) {
	t.Helper()
	g := NewWithT(t)
	w.Hosts[1].CPUShare = 0.1
	large, small = openNode(t, w, w.Hosts[0]), openNode(t, w, w.Hosts[1])
	for _, n := range []*node{large, small} {
		g.Eventually(n.Ready, waitTimeout).Should(BeTrue())
		g.Eventually(n.Members, waitTimeout).Should(Equal(2))
	}
	time.Sleep(carrier.JoinDuration)
	g.Eventually(small.ReadsStore, waitTimeout).Should(BeFalse())
	return large, small
}

// metric returns a counter of a daemon.
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

// Callers on small hosts are led by routes that an operator dropped ten seconds ago, and new routes
// aren't served. The bundle has grown so that a thin link carries it in more time than a transfer was
// given. Each transfer was given up shortly before its end and begun anew, from another daemon and
// from the store at once, so that the two took the link from each other. The daemons' counts proved
// it: they took in ten times the bundle, and nearly all of it was thrown away.
func TestLargeBundleComesIntoForceBehindAThinLink(t *testing.T) {
	g := NewWithT(t)
	w := incompressibleWorld(t, 2)
	large, small := largePair(t, w)
	w.ThinLink(w.Hosts[1], slowLink)
	w.Grow(manyRoutes)
	v := w.Roll()
	g.Eventually(large.Version, waitTimeout).Should(Equal(v))
	g.Eventually(small.Version, waitTimeout).Should(Equal(v))
}

// All power was lost, and a small host that comes back finds nobody. It lists the large bundle,
// gives the list up before it is there, and begins anew: it never serves again.
func TestLargeBundleIsReadAtAStartBehindAThinLink(t *testing.T) {
	g := NewWithT(t)
	w := largeWorld(t, 1)
	w.Grow(manyRoutes)
	w.Roll()
	w.Hosts[0].Seeds = unusedSeeds
	w.ThinLink(w.Hosts[0], slowLink)
	n := openNode(t, w, w.Hosts[0])
	g.Eventually(n.Ready, waitTimeout).Should(BeTrue())
}

// A host is restarted while the others serve. What they tell takes its link longer than a member's
// answer is waited for, and the store has no word for it: it stays out of service.
func TestLargeBundleIsToldAtAStartBehindAThinLink(t *testing.T) {
	g := NewWithT(t)
	w := incompressibleWorld(t, 2)
	w.Grow(manyRoutes)
	v := w.Roll()
	large := openNode(t, w, w.Hosts[0])
	g.Eventually(large.Ready, waitTimeout).Should(BeTrue())
	w.ThinLink(w.Hosts[1], slowLink)
	w.Hosts[1].Proxy.Set(world.LinkSilent)
	small := openNode(t, w, w.Hosts[1])
	g.Eventually(small.Ready, waitTimeout).Should(BeTrue())
	g.Expect(small.Version()).To(Equal(v))
}

// The store was away for a while, and operators went on changing a large bundle. Its watch then
// brings every version since, which is more than an answer may have. The same watch is asked for again
// and again, and no bundle comes into force until the store forgets that history.
// Where it isn't too much yet, a thin link carries versions that nobody needs.
func TestLargeBundleComesIntoForceThoughAWatchWouldBringTooMany(t *testing.T) {
	g := NewWithT(t)
	w := largeWorld(t, 1)
	w.Grow(manyRoutes)
	w.Roll()
	n := openNode(t, w, w.Hosts[0])
	g.Eventually(n.Ready, waitTimeout).Should(BeTrue())
	const answers = "fescueshed_store_answers_bytes_total"
	once := n.metric(t, answers)
	// A daemon that has just started lists, whatever it knows; by then it follows by watches.
	g.Eventually(func() int { return n.metric(t, "fescueshed_store_calls_total") }, waitTimeout).Should(BeNumerically(">=", 10))
	w.Store.SetTrouble(metadata.Trouble{Status: http.StatusServiceUnavailable})
	g.Eventually(func() int { return n.metric(t, "fescueshed_store_calls_refused_total") }, waitTimeout).Should(BeNumerically(">=", 2))
	v := w.Roll()
	for range 10 {
		v = w.Roll()
	}
	before := n.metric(t, answers)
	w.Store.SetTrouble(metadata.Trouble{})
	g.Eventually(n.Version, waitTimeout).Should(Equal(v))
	g.Expect(n.metric(t, answers)-before).To(BeNumerically("<=", 2*once), "a list brings the bundle once")
}

// changeBytes is what a change may cost a daemon: 3 KB a second of control traffic and 23,000 changes
// a day are the size to design for, which leaves 11 KB for one.
const changeBytes = 11_000

// A change of one route is told to every daemon with all the routes that didn't change. At the size to
// design for that alone is a hundred times the control traffic that a daemon may have.
func TestLargeBundleIsToldByWhatChanged(t *testing.T) {
	g := NewWithT(t)
	w := largeWorld(t, 2)
	w.Grow(manyRoutes)
	w.Roll()
	_, small := largePair(t, w)
	before := small.metric(t, "fescueshed_catalogs_bytes_total") + small.metric(t, "fescueshed_store_answers_bytes_total")
	g.Expect(before).To(BeNumerically(">", 0))
	v := w.Roll()
	g.Eventually(small.Version, waitTimeout).Should(Equal(v))
	after := small.metric(t, "fescueshed_catalogs_bytes_total") + small.metric(t, "fescueshed_store_answers_bytes_total")
	g.Expect(after - before).To(BeNumerically("<=", changeBytes))
}

// The daemon that reads the store dies, and all that take over list the large bundle that they have in
// force, for no more than the revision to go on from. On thin links that takes longer than the
// take-over may.
func TestLargeBundleIsNotListedAgainByWhoTakesOver(t *testing.T) {
	g := NewWithT(t)
	w := largeWorld(t, 2)
	w.Grow(manyRoutes)
	w.Roll()
	_, small := largePair(t, w)
	before := small.metric(t, "fescueshed_store_answers_bytes_total")
	w.Hosts[0].Proxy.Set(world.LinkSilent)
	calls := small.metric(t, "fescueshed_store_calls_total")
	g.Eventually(small.ReadsStore, waitTimeout).Should(BeTrue())
	made := func() int { return small.metric(t, "fescueshed_store_calls_total") - calls }
	g.Eventually(made, waitTimeout).Should(BeNumerically(">=", 4))
	g.Expect(small.metric(t, "fescueshed_store_answers_bytes_total") - before).To(BeNumerically("<=", changeBytes))
}

// The store was restored from a copy, and operators use a version's number a second time for another
// bundle. A daemon that holds the first is told what changed since the second, which makes a mixture of
// both: it serves routes that nobody wrote together, or refuses each later version.
func TestBundleUnderANumberThatIsUsedTwiceIsToldAsAWhole(t *testing.T) {
	g := NewWithT(t)
	w := largeWorld(t, 2)
	w.Grow(manyRoutes)
	w.Roll()
	w.Hosts[1].CPUShare = 0.1
	small := openNode(t, w, w.Hosts[1])
	g.Eventually(small.Ready, waitTimeout).Should(BeTrue())
	w.Hosts[1].Proxy.Set(world.LinkSilent)
	w.Grow(5)
	w.Rewrite()
	w.Hosts[0].Seeds = unusedSeeds // It reads the store before it meets the other.
	large := openNode(t, w, w.Hosts[0])
	g.Eventually(large.Ready, waitTimeout).Should(BeTrue())
	g.Expect(large.Version()).To(Equal(small.Version()))
	g.Eventually(small.Members, waitTimeout).Should(Equal(2))
	v := w.Roll()
	g.Eventually(large.Version, waitTimeout).Should(Equal(v))
	g.Eventually(small.Version, waitTimeout).Should(Equal(v))

	time.Sleep(carrier.JoinDuration)
	before := small.metric(t, "fescueshed_catalogs_bytes_total")
	v = w.Roll()
	g.Eventually(small.Version, waitTimeout).Should(Equal(v))
	told := small.metric(t, "fescueshed_catalogs_bytes_total") - before
	g.Expect(told).To(BeNumerically("<=", changeBytes), "then it is told by changes again")
}

// The store takes two seconds to put the answer of a watch together, as it may for many large versions. A
// watch is given up after its wait and 0.7 s, and the same is asked for again, which takes as long: no
// later bundle comes into force until the store forgets that history. A list would be answered.
func TestLargeBundleComesIntoForceThoughAWatchIsAnsweredLate(t *testing.T) {
	g := NewWithT(t)
	w := largeWorld(t, 1)
	n := openNode(t, w, w.Hosts[0])
	g.Eventually(n.Ready, waitTimeout).Should(BeTrue())
	g.Eventually(func() int { return n.metric(t, "fescueshed_store_calls_total") }, waitTimeout).Should(BeNumerically(">=", 10))
	w.Store.SetTrouble(metadata.Trouble{SlowEvents: 2 * time.Second})
	v := w.Roll()
	g.Eventually(n.Version, waitTimeout).Should(Equal(v))
}
