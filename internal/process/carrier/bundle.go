package carrier

import (
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// knownBundle returns the position from which the store's bundles are to be watched, zero if they
// must be listed. A daemon that takes over from one that died holds the bundle already: on a thin
// link a list of it takes longer than the take-over may.
func (c *Carrier) knownBundle() objects.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ready() {
		return 0
	}
	return c.known.bundleAsOf
}

func (c *Carrier) listBundles(s objects.Snapshot[bundle.Accepted], now time.Time) {
	for i := range s.Objects {
		if s.Objects[i].Err == nil {
			c.takeStored(&s.Objects[i])
		}
	}
	c.confirmBundle(now, s.AsOf)
}

func (c *Carrier) changeBundles(ch objects.Changes[bundle.Accepted], now time.Time) {
	for i := range ch.List {
		if !ch.List[i].Deleted && ch.List[i].Object.Err == nil {
			c.takeStored(&ch.List[i].Object)
		}
	}
	c.confirmBundle(now, ch.AsOf)
}

func (c *Carrier) takeStored(o *objects.Object[bundle.Accepted]) {
	from := bundleSource{source: "Store", name: o.Name}
	c.takeBundle(o.Value.Version, from, func(now bundle.Accepted) (bundle.Accepted, *bundle.Update, error) {
		return o.Value, stepFrom(now, o.Value), nil
	})
}

// takeUpdate takes a bundle that another daemon told by what leads there.
func (c *Carrier) takeUpdate(u *bundle.Update, from bundleSource) {
	c.takeBundle(u.To, from, func(now bundle.Accepted) (bundle.Accepted, *bundle.Update, error) {
		a, err := u.Apply(now)
		if err != nil || u.From != 0 {
			return a, u, err
		}
		return a, stepFrom(now, a), nil
	})
}

// stepFrom returns what leads from the bundle in force to one that came as a whole, nil if there is
// none in force.
func stepFrom(now, to bundle.Accepted) *bundle.Update {
	if now.Bundle == nil {
		return nil
	}
	return bundle.Diff(now, to)
}

// bundleSource says where a bundle came from, for the log.
type bundleSource struct {
	source, name string
	age          time.Duration
}

// takeBundle puts a bundle in force if it is newer than the present one. next makes it from that one,
// with what leads from there, nil if there was none.
func (c *Carrier) takeBundle(
	v bundle.Version, from bundleSource, next func(now bundle.Accepted) (bundle.Accepted, *bundle.Update, error),
) {
	routes, changed := 0, 0
	taken, err := c.inForce.ApplyIfNewer(v, func() error {
		a, step, err := next(c.bundleInForce())
		if err != nil {
			return err
		}
		if err := a.Bundle.CheckRegions(c.cfg.Load().KnownRegions()); err != nil {
			return err
		}
		routing := bundle.NewRouting(a.Version, a.Bundle, nil)
		c.mu.Lock()
		c.known.history.Add(a, step)
		resets := c.engine.SetRouting(routing, time.Now())
		c.noteReady()
		c.mu.Unlock()
		c.data.resets(resets)
		routes = len(a.Bundle.Routes)
		if step != nil {
			changed = step.Size()
		}
		return nil
	})
	if err != nil {
		c.refuseBundle(v, from, err)
		return
	}
	c.setLacksWholeBundle(false) // What was told is in force, or something newer is.
	if taken {
		klog.InfoS("Bundle in force", "Version", v, "Source", from.source, "Name", from.name, "Age", from.age,
			"Routes", routes, "Changed", changed)
	}
}

// refuseBundle notes that a bundle can't be taken. If that is since changes don't lead to it, the
// whole is asked for next: this daemon holds another bundle under the number that they lead on from,
// as after the store was restored from a copy, and no change would ever lead on from that.
func (c *Carrier) refuseBundle(v bundle.Version, from bundleSource, err error) {
	klog.ErrorS(err, "Bundle refused", "Version", v, "Source", from.source, "Name", from.name)
	if eris.Is(err, bundle.ErrUpdateMismatch) {
		c.setLacksWholeBundle(true)
	}
}

func (c *Carrier) setLacksWholeBundle(lacks bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known.lacksWholeBundle = lacks
}

// bundleInForce returns the bundle in force, the zero value if there is none.
func (c *Carrier) bundleInForce() bundle.Accepted {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known.history.Current()
}

// confirmBundle notes that this daemon itself has read which bundle is the newest, as of a position.
func (c *Carrier) confirmBundle(at time.Time, asOf objects.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if asOf >= c.known.bundleAsOf {
		c.confirmBundleAt(at, asOf)
	}
	c.readHere()
}

// confirmBundleAt notes as of when, and as of which position, the bundle in force is the newest.
// c.mu is held.
func (c *Carrier) confirmBundleAt(at time.Time, asOf objects.Position) {
	c.known.confirm(kindBundles, at)
	c.known.bundleAsOf = max(c.known.bundleAsOf, asOf)
}
