package cookie_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/standin/seeds"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// routedCluster is a cluster whose route comes and goes. Each engine receives some of the versions, late.
type routedCluster struct {
	*cluster
	// routed says of each version, from 1 on, whether it has the route.
	routed  []bool
	version map[*cookie.Engine]int
}

func (c *routedCluster) newest() int { return len(c.routed) }

// toggleRoute writes a version that drops the route or adds it again. A drop ends the flows.
func (c *routedCluster) toggleRoute() {
	was := c.routed[c.newest()-1]
	c.routed = append(c.routed, !was)
	if was {
		clear(c.model)
	}
}

// addVersion writes a version with the same route.
func (c *routedCluster) addVersion() { c.routed = append(c.routed, c.routed[c.newest()-1]) }

// receive hands an engine a later version, and perhaps tells it which version another engine has.
func (c *routedCluster) receive() {
	e := c.anyEngine()
	if rapid.Bool().Draw(c.t, "told") {
		e.NoteNewerVersion(bundle.Version(c.version[c.anyEngine()]), c.now)
	}
	c.set(e, rapid.IntRange(c.version[e], c.newest()).Draw(c.t, "version"))
}

func (c *routedCluster) set(e *cookie.Engine, v int) {
	if v > c.version[e] {
		c.version[e] = v
		c.check(e.SetRouting(c.table(v), c.now))
	}
	if v == c.newest() {
		e.ConfirmRouting(c.now)
	}
	c.check(e.EndUnrouted())
}

func (c *routedCluster) table(v int) *bundle.Routing {
	if c.routed[v-1] {
		return routing(bundle.Version(v))
	}
	return routing(bundle.Version(v), feedAt)
}

// check compares resets to the model.
func (c *routedCluster) check(resets []cookie.Reset) {
	for i := range resets {
		for f := range c.model {
			if f.key == resets[i].Key {
				c.t.Fatalf("open flow reset by a version: %v", resets[i].Cause)
			}
		}
	}
}

// openFlow opens a flow through an engine that has received the last drop of the route: what others place is still to end.
func (c *routedCluster) openFlow() {
	e := c.anyEngine()
	f := newCaller(len(c.flows), feedAt)
	c.flows = append(c.flows, f)
	v := e.Decide(f.first(0), c.now)
	if v.Action != cookie.ActionForward {
		return
	}
	f.receiveAnswer(v.Upstream)
	e.Decide(f.ackPacket(1), c.now)
	for _, routed := range c.routed[c.version[e]:] {
		if !routed {
			return
		}
	}
	c.model[f] = v.Upstream.Route.ID
}

// restart replaces an engine by one that starts with any of the last versions.
func (c *routedCluster) restart() {
	i := rapid.IntRange(0, len(c.engines)-1).Draw(c.t, "restarted")
	delete(c.version, c.engines[i])
	e := newEngineOf(content(feedAt), c.list())
	c.engines[i] = e
	c.set(e, rapid.IntRange(max(1, c.newest()-3), c.newest()).Draw(c.t, "version"))
}

// TestDifferentialRoutes draws sequences of versions that engines receive late, in part or never, and compares the destination
// of every packet, and every reset, to that of a model with one table.
func TestDifferentialRoutes(t *testing.T) {
	gomega.RegisterTestingT(t)
	seeds.Fix()
	rapid.Check(t, func(t *rapid.T) {
		c := &routedCluster{cluster: newCluster(t), routed: []bool{true}, version: make(map[*cookie.Engine]int)}
		for _, e := range c.engines {
			c.version[e] = 1
		}
		steps := map[string]func(){
			"open": c.openFlow, "packet": c.sendPacket, "toggle": c.toggleRoute, "version": c.addVersion, "receive": c.receive,
			"restart": c.restart,
		}
		order := []string{"open", "open", "packet", "packet", "packet", "packet", "toggle", "version", "receive", "receive", "restart"}
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			steps[rapid.SampledFrom(order).Draw(t, "step")]()
			c.now = c.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 19).Draw(t, "quiet") == 0 {
				c.now = c.now.Add(7 * time.Second)
			}
		}
	})
}
