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

// cluster is several balancers behind routers that hand any packet to any of them, with upstreams
// that are added, drain, end and restart, entries that another writer overwrites, and registrations
// that arrive late. The model to which it is compared is one map of flows to upstreams, which is
// always up to date.
type cluster struct {
	t       *rapid.T
	now     time.Time
	engines []*cookie.Engine
	// stored holds the registrations in the store; each engine receives them late.
	stored   map[bundle.UpstreamID]registry.Registration
	ended    map[bundle.UpstreamID]bool
	revision objects.Position
	model    map[*caller]bundle.UpstreamID
	// delayed are entries on their way to the store.
	delayed []delayedEntry
	// storeDownUntil is until when the store is unavailable.
	storeDownUntil time.Time
	flows          []*caller
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{
		t: t, now: start,
		stored: make(map[bundle.UpstreamID]registry.Registration),
		ended:  make(map[bundle.UpstreamID]bool),
		model:  make(map[*caller]bundle.UpstreamID),
	}
	for range 4 {
		c.addUpstream()
	}
	for range 3 {
		c.engines = append(c.engines, newEngine(c.list()))
	}
	return c
}

func (c *cluster) list() []registry.Registration {
	out := make([]registry.Registration, 0, len(c.stored))
	for _, r := range c.stored {
		out = append(out, r)
	}
	return out
}

func (c *cluster) anyEngine() *cookie.Engine {
	return c.engines[rapid.IntRange(0, len(c.engines)-1).Draw(c.t, "engine")]
}

func (c *cluster) addUpstream() {
	c.revision++
	r := registration(int(c.revision%200) + 1)
	r.ID = bundle.UpstreamID(0xabc000 + c.revision)
	r.Created, r.Revision = c.revision, c.revision
	c.stored[r.ID] = r
}

// pickUpstream returns a random upstream that is or isn't draining, if more than one qualifies.
func (c *cluster) pickUpstream(draining bool) (registry.Registration, bool) {
	var fits []registry.Registration
	for id := bundle.UpstreamID(0); id <= bundle.UpstreamID(0xabc000+c.revision); id++ {
		if id == 1 {
			id = 0xabc000
		}
		if r, ok := c.stored[id]; ok && r.Draining == draining {
			fits = append(fits, r)
		}
	}
	if len(fits) < 2 {
		return registry.Registration{}, false
	}
	return fits[rapid.IntRange(0, len(fits)-1).Draw(c.t, "upstream")], true
}

func (c *cluster) drainUpstream() {
	if r, ok := c.pickUpstream(false); ok {
		c.revision++
		r.Draining, r.Revision = true, c.revision
		c.stored[r.ID] = r
	}
}

// endDrained ends a draining upstream, and with it the flows that it still has.
func (c *cluster) endDrained() {
	r, ok := c.pickUpstream(true)
	if !ok {
		return
	}
	delete(c.stored, r.ID)
	c.ended[r.ID] = true
	for f, u := range c.model {
		if u == r.ID {
			delete(c.model, f)
		}
	}
}

// restartUpstream restarts an upstream under its identifier. Its flows end; its new entry is in the
// store immediately or some seconds later.
func (c *cluster) restartUpstream() {
	r, ok := c.pickUpstream(false)
	if !ok {
		return
	}
	for f, u := range c.model {
		if u == r.ID {
			delete(c.model, f)
		}
	}
	c.revision++
	r.StartTime, r.Sequence, r.Revision = registry.UnixMilli(c.now.UnixMilli()), 1, c.revision
	delay := time.Duration(rapid.IntRange(0, 4000).Draw(c.t, "registered after"))
	c.delayed = append(c.delayed, delayedEntry{at: c.writeTime(c.now.Add(delay * time.Millisecond)), entry: r})
}

// delayedEntry is an entry that reaches the store at a time.
type delayedEntry struct {
	at    time.Time
	entry registry.Registration
}

// stopStore makes the store unavailable for some seconds. Upstreams that restarted meanwhile can
// write their entries only within two seconds after its return; it holds the former ones until
// then.
func (c *cluster) stopStore() {
	c.storeDownUntil = c.now.Add(time.Duration(rapid.IntRange(3000, 12000).Draw(c.t, "away")) * time.Millisecond)
	for i := range c.delayed {
		c.delayed[i].at = c.writeTime(c.delayed[i].at)
	}
}

// writeTime returns when an entry that an upstream writes at a time is in the store.
func (c *cluster) writeTime(at time.Time) time.Time {
	if !at.Before(c.storeDownUntil) {
		return at
	}
	return c.storeDownUntil.Add(time.Duration(rapid.IntRange(0, 2000).Draw(c.t, "registered after")) * time.Millisecond)
}

// overwrite makes an upstream's entry unusable, as another writer does, or usable again, as the
// upstream does.
func (c *cluster) overwrite() {
	r, ok := c.pickUpstream(false)
	if !ok {
		return
	}
	c.revision++
	r.Unusable, r.Revision = !r.Unusable, c.revision
	c.stored[r.ID] = r
}

// writeDelayed writes delayed entries that are due to the store.
func (c *cluster) writeDelayed() {
	for i, l := range c.delayed {
		if l.entry.ID != 0 && !l.at.After(c.now) {
			if now, ok := c.stored[l.entry.ID]; ok {
				c.revision++
				l.entry.Revision, l.entry.Draining = c.revision, now.Draining
				c.stored[l.entry.ID] = l.entry
			}
			c.delayed[i].entry.ID = 0
		}
	}
}

func (c *cluster) synchronize() {
	if c.now.Before(c.storeDownUntil) {
		return
	}
	c.writeDelayed()
	e := c.anyEngine()
	setUpstreams(e, c.list(), c.now)
	e.ConfirmRegistrations(c.now)
}

func (c *cluster) restartBalancer() {
	i := rapid.IntRange(0, len(c.engines)-1).Draw(c.t, "restarted")
	c.engines[i] = newEngine(c.list())
}

func (c *cluster) openFlow() {
	f := newCaller(len(c.flows), feedAt)
	c.flows = append(c.flows, f)
	v := c.anyEngine().Decide(f.first(0), c.now)
	if v.Action != cookie.ActionForward || c.ended[v.Upstream.Route.ID] {
		return // The upstream has ended and this balancer hasn't received that yet: it gets no answer.
	}
	f.receiveAnswer(v.Upstream)
	c.model[f] = v.Upstream.Route.ID
	c.send(f, f.ackPacket(1))
}

func (c *cluster) sendPacket() {
	if len(c.flows) == 0 {
		return
	}
	f := c.flows[rapid.IntRange(0, len(c.flows)-1).Draw(c.t, "flow")]
	if _, ok := c.model[f]; !ok {
		return
	}
	if rapid.Bool().Draw(c.t, "request") {
		c.send(f, f.request(100))
		return
	}
	c.send(f, f.ackPacket(500))
}

// send compares the destination of a packet of an open flow to the model. A balancer that doesn't
// know the upstream yet may drop the packet; it must never reset the flow or send it elsewhere.
func (c *cluster) send(f *caller, p *cookie.Packet) {
	v := c.anyEngine().Decide(p, c.now)
	switch v.Action {
	case cookie.ActionReset:
		c.t.Fatalf("open flow reset: %v", v.Cause)
	case cookie.ActionForward:
		if got, want := v.Upstream.Route.ID, c.model[f]; got != want {
			c.t.Fatalf("sent to %x, want %x", got, want)
		}
	case cookie.ActionDrop:
		if v.Cause != cookie.CauseUnknownCookie {
			c.t.Fatalf("dropped: %v", v.Cause)
		}
	}
}

// TestDifferential draws sequences of planned changes and compares the destination of every packet
// to that of the model.
func TestDifferential(t *testing.T) {
	gomega.RegisterTestingT(t)
	seeds.Fix()
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		steps := map[string]func(){
			"join": c.addUpstream, "drain": c.drainUpstream, "end": c.endDrained, "sync": c.synchronize,
			"restart balancer": c.restartBalancer, "open": c.openFlow, "packet": c.sendPacket,
			"restart upstream": c.restartUpstream, "overwrite": c.overwrite, "outage": c.stopStore,
		}
		order := []string{
			"join", "drain", "end", "sync", "sync", "restart balancer", "open", "open", "packet", "packet", "packet", "packet",
			"restart upstream", "restart upstream", "overwrite", "outage",
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
