package cookiedaemon

import (
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// bundlesPosition returns the position from which to watch the store's bundles, or zero if they
// must be listed. A daemon that takes over from a failed reader holds the bundle already: on a slow
// link, listing it takes longer than the take-over may.
func (c *Daemon) bundlesPosition() objects.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.canPlaceFlowsLocked() {
		return 0
	}
	return c.state.bundleAsOf
}

func (c *Daemon) listBundles(s objects.Snapshot[bundle.Accepted], now time.Time) {
	for i := range s.Objects {
		if s.Objects[i].Err == nil {
			c.applyStoredBundle(&s.Objects[i])
		}
	}
	c.confirmBundle(now, s.AsOf)
}

func (c *Daemon) changeBundles(ch objects.Changes[bundle.Accepted], now time.Time) {
	for i := range ch.List {
		if !ch.List[i].Deleted && ch.List[i].Object.Err == nil {
			c.applyStoredBundle(&ch.List[i].Object)
		}
	}
	c.confirmBundle(now, ch.AsOf)
}

func (c *Daemon) applyStoredBundle(o *objects.Object[bundle.Accepted]) {
	from := contentSource{source: "Store", name: o.Name}
	c.applyBundle(o.Value.Version, from, func(now bundle.Accepted) (bundle.Accepted, *bundle.Update, error) {
		return o.Value, updateFrom(now, o.Value), nil
	})
}

// applyUpdate puts a bundle in force that another daemon sent as an update from an earlier bundle.
func (c *Daemon) applyUpdate(u *bundle.Update, from contentSource) {
	c.applyBundle(u.To, from, func(now bundle.Accepted) (bundle.Accepted, *bundle.Update, error) {
		a, err := u.Apply(now)
		if err != nil || u.From != 0 {
			return a, u, err
		}
		return a, updateFrom(now, a), nil
	})
}

// updateFrom returns the update from the bundle in force to one received as a whole, or nil if
// there is none in force.
func updateFrom(now, to bundle.Accepted) *bundle.Update {
	if now.Bundle == nil {
		return nil
	}
	return bundle.Diff(now, to)
}

// contentSource describes where a bundle or a set of evacuations came from, for the log.
type contentSource struct {
	source, name string
	age          time.Duration
}

// applyBundle puts a bundle in force if it is newer than the present one. next builds it from the
// present one, and returns with it the update that leads there, or nil if there was no bundle.
func (c *Daemon) applyBundle(
	v bundle.Version, from contentSource, next func(now bundle.Accepted) (bundle.Accepted, *bundle.Update, error),
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
		c.state.history.Add(a, step)
		resets := c.engine.SetRouting(routing, time.Now())
		c.signalIfReady()
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
	c.setNeedsWholeBundle(false) // The received bundle or a newer one is in force.
	if taken {
		klog.InfoS("Bundle in force", "Version", v, "Source", from.source, "Name", from.name, "Age", from.age,
			"Routes", routes, "Changed", changed)
	}
}

// refuseBundle handles a bundle that can't be put in force. If the update doesn't apply to the
// bundle in force, the whole bundle is requested next: this daemon then holds a different bundle
// under the version number that the update starts from, as after the store was restored from a
// copy, and no later update would ever apply.
func (c *Daemon) refuseBundle(v bundle.Version, from contentSource, err error) {
	klog.ErrorS(err, "Bundle refused", "Version", v, "Source", from.source, "Name", from.name)
	if eris.Is(err, bundle.ErrUpdateMismatch) {
		c.setNeedsWholeBundle(true)
	}
}

func (c *Daemon) setNeedsWholeBundle(needed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.needsWholeBundle = needed
}

// bundleInForce returns the bundle in force, or the zero value if there is none.
func (c *Daemon) bundleInForce() bundle.Accepted {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.history.Current()
}

// confirmBundle records that this daemon itself has read which bundle is the newest, as of a
// position.
func (c *Daemon) confirmBundle(at time.Time, asOf objects.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if asOf >= c.state.bundleAsOf {
		c.confirmBundleAt(at, asOf)
	}
	c.noteOwnRead()
}

// confirmBundleAt records the time and position as of which the bundle in force is known to be the
// newest. c.mu must be held.
func (c *Daemon) confirmBundleAt(at time.Time, asOf objects.Position) {
	c.state.confirm(kindBundles, at)
	c.state.bundleAsOf = max(c.state.bundleAsOf, asOf)
}
