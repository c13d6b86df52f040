package cookie_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/standin/seeds"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// cluster is several balancers behind routers that hand any packet to any of them,
// with upstreams that come, drain, leave and start again, entries that another writer
// replaces, and lists that lag. The naive version
// it is compared with is one map of flows to upstreams that knows everything.
type cluster struct {
	t       *rapid.T
	now     time.Time
	engines []*cookie.Engine
	// truth is the store's list; each engine is told it late.
	truth    map[bundle.UpstreamID]registry.Registration
	left     map[bundle.UpstreamID]bool
	revision objects.Position
	naive    map[*caller]bundle.UpstreamID
	// late are entries on their way to the store.
	late []lateEntry
	// away is until when the store is away.
	away  time.Time
	flows []*caller
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{
		t: t, now: start,
		truth: make(map[bundle.UpstreamID]registry.Registration),
		left:  make(map[bundle.UpstreamID]bool),
		naive: make(map[*caller]bundle.UpstreamID),
	}
	for range 4 {
		c.join()
	}
	for range 3 {
		c.engines = append(c.engines, newEngine(c.list()))
	}
	return c
}

func (c *cluster) list() []registry.Registration {
	out := make([]registry.Registration, 0, len(c.truth))
	for _, r := range c.truth {
		out = append(out, r)
	}
	return out
}

func (c *cluster) any() *cookie.Engine {
	return c.engines[rapid.IntRange(0, len(c.engines)-1).Draw(c.t, "engine")]
}

func (c *cluster) join() {
	c.revision++
	r := registration(int(c.revision%200) + 1)
	r.ID = bundle.UpstreamID(0xabc000 + c.revision)
	r.Created, r.Revision = c.revision, c.revision
	c.truth[r.ID] = r
}

// pick returns an upstream that isn't draining, if more than one is.
func (c *cluster) pick(draining bool) (registry.Registration, bool) {
	var fits []registry.Registration
	for id := bundle.UpstreamID(0); id <= bundle.UpstreamID(0xabc000+c.revision); id++ {
		if id == 1 {
			id = 0xabc000
		}
		if r, ok := c.truth[id]; ok && r.Draining == draining {
			fits = append(fits, r)
		}
	}
	if len(fits) < 2 {
		return registry.Registration{}, false
	}
	return fits[rapid.IntRange(0, len(fits)-1).Draw(c.t, "upstream")], true
}

func (c *cluster) drain() {
	if r, ok := c.pick(false); ok {
		c.revision++
		r.Draining, r.Revision = true, c.revision
		c.truth[r.ID] = r
	}
}

// leave ends a draining upstream whose flows have ended.
func (c *cluster) leave() {
	r, ok := c.pick(true)
	if !ok {
		return
	}
	delete(c.truth, r.ID)
	c.left[r.ID] = true
	for f, u := range c.naive {
		if u == r.ID {
			delete(c.naive, f)
		}
	}
}

// reborn lets an upstream start again under its identifier. Its flows end; its new entry is
// in the store at once or some seconds later.
func (c *cluster) reborn() {
	r, ok := c.pick(false)
	if !ok {
		return
	}
	for f, u := range c.naive {
		if u == r.ID {
			delete(c.naive, f)
		}
	}
	c.revision++
	r.StartTime, r.Sequence, r.Revision = registry.UnixMilli(c.now.UnixMilli()), 1, c.revision
	delay := time.Duration(rapid.IntRange(0, 4000).Draw(c.t, "registered after"))
	c.late = append(c.late, lateEntry{at: c.reaches(c.now.Add(delay * time.Millisecond)), entry: r})
}

// lateEntry is an entry that reaches the store at a time.
type lateEntry struct {
	at    time.Time
	entry registry.Registration
}

// outage lets the store be away for some seconds. Upstreams that started again meanwhile can
// write their entries only within two seconds of its return; the list has the former ones
// until then.
func (c *cluster) outage() {
	c.away = c.now.Add(time.Duration(rapid.IntRange(3000, 12000).Draw(c.t, "away")) * time.Millisecond)
	for i := range c.late {
		c.late[i].at = c.reaches(c.late[i].at)
	}
}

// reaches returns when an entry that an upstream writes at a time is in the store.
func (c *cluster) reaches(at time.Time) time.Time {
	if !at.Before(c.away) {
		return at
	}
	return c.away.Add(time.Duration(rapid.IntRange(0, 2000).Draw(c.t, "registered after")) * time.Millisecond)
}

// foreign lets another writer replace an upstream's entry, or the upstream replace it again.
func (c *cluster) foreign() {
	r, ok := c.pick(false)
	if !ok {
		return
	}
	c.revision++
	r.Unusable, r.Revision = !r.Unusable, c.revision
	c.truth[r.ID] = r
}

// write puts into the store what is due.
func (c *cluster) write() {
	for i, l := range c.late {
		if l.entry.ID != 0 && !l.at.After(c.now) {
			if now, ok := c.truth[l.entry.ID]; ok {
				c.revision++
				l.entry.Revision, l.entry.Draining = c.revision, now.Draining
				c.truth[l.entry.ID] = l.entry
			}
			c.late[i].entry.ID = 0
		}
	}
}

func (c *cluster) tell() {
	if c.now.Before(c.away) {
		return
	}
	c.write()
	e := c.any()
	setUpstreams(e, c.list(), c.now)
	e.ConfirmRegistrations(c.now)
}

func (c *cluster) restart() {
	i := rapid.IntRange(0, len(c.engines)-1).Draw(c.t, "restarted")
	c.engines[i] = newEngine(c.list())
}

func (c *cluster) openFlow() {
	f := newCaller(len(c.flows), feedAt)
	c.flows = append(c.flows, f)
	v := c.any().Decide(f.first(0), c.now)
	if v.Action != cookie.ActionForward || c.left[v.Upstream.Route.ID] {
		return // The upstream went and this balancer doesn't know yet: nobody answers.
	}
	f.answered(v.Upstream)
	c.naive[f] = v.Upstream.Route.ID
	c.send(f, f.ackPacket(1))
}

func (c *cluster) packet() {
	if len(c.flows) == 0 {
		return
	}
	f := c.flows[rapid.IntRange(0, len(c.flows)-1).Draw(c.t, "flow")]
	if _, ok := c.naive[f]; !ok {
		return
	}
	if rapid.Bool().Draw(c.t, "request") {
		c.send(f, f.request(100))
		return
	}
	c.send(f, f.ackPacket(500))
}

// send compares where a packet of an open flow goes with the naive version. A
// balancer may not know the upstream yet and drop the packet; it must never reset
// the flow or send it elsewhere.
func (c *cluster) send(f *caller, p *cookie.Packet) {
	v := c.any().Decide(p, c.now)
	switch v.Action {
	case cookie.ActionReset:
		c.t.Fatalf("open flow reset: %v", v.Cause)
	case cookie.ActionForward:
		if got, want := v.Upstream.Route.ID, c.naive[f]; got != want {
			c.t.Fatalf("sent to %x, want %x", got, want)
		}
	case cookie.ActionDrop:
		if v.Cause != cookie.CauseUnknownCookie {
			c.t.Fatalf("dropped: %v", v.Cause)
		}
	}
}

// TestDifferential draws sequences of planned change and compares every packet's
// way with that of the naive version.
func TestDifferential(t *testing.T) {
	gomega.RegisterTestingT(t)
	seeds.Fix()
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		steps := map[string]func(){
			"join": c.join, "drain": c.drain, "leave": c.leave, "tell": c.tell, "restart": c.restart,
			"open": c.openFlow, "packet": c.packet, "reborn": c.reborn, "foreign": c.foreign,
			"outage": c.outage,
		}
		order := []string{
			"join", "drain", "leave", "tell", "tell", "restart", "open", "open", "packet", "packet", "packet", "packet",
			"reborn", "reborn", "foreign", "outage",
		}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			steps[rapid.SampledFrom(order).Draw(t, "step")]()
			c.now = c.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 19).Draw(t, "quiet") == 0 {
				c.now = c.now.Add(7 * time.Second)
			}
		}
	})
}
