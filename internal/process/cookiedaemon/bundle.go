package cookiedaemon

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/hujson"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// bundlesPosition returns the position from which to watch the store's bundles, or zero if they
// must be listed. A daemon that takes over from a failed reader holds the bundle already: on a slow
// link, listing it takes longer than the takeover may.
func (d *Daemon) bundlesPosition() objects.Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.canPlaceFlowsLocked() {
		return 0
	}
	return d.state.bundleAsOf
}

func (d *Daemon) listBundles(s objects.Snapshot[bundle.Accepted], now time.Time) {
	for i := range s.Objects {
		d.applyStoredBundle(&s.Objects[i])
	}
	d.confirmBundle(now, s.AsOf)
}

func (d *Daemon) changeBundles(ch objects.Changes[bundle.Accepted], now time.Time) {
	for i := range ch.List {
		if !ch.List[i].Deleted {
			d.applyStoredBundle(&ch.List[i].Object)
		}
	}
	d.confirmBundle(now, ch.AsOf)
}

func (d *Daemon) applyStoredBundle(o *objects.Object[bundle.Accepted]) {
	if o.Err != nil {
		d.setUnusableBundle()
		return
	}
	from := contentSource{source: "Store", name: o.Name}
	d.applyBundle(o.Value.Version, from, func(now bundle.Accepted) (bundle.Accepted, *bundle.Update, error) {
		return o.Value, updateFrom(now, o.Value), nil
	})
}

// applyUpdate puts a bundle in force that another daemon sent as an update from an earlier bundle.
func (d *Daemon) applyUpdate(u *bundle.Update, from contentSource) {
	d.applyBundle(u.To, from, func(now bundle.Accepted) (bundle.Accepted, *bundle.Update, error) {
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
func (d *Daemon) applyBundle(
	v bundle.Version, from contentSource, next func(now bundle.Accepted) (bundle.Accepted, *bundle.Update, error),
) {
	routes, changed := 0, 0
	taken, err := d.inForce.ApplyIfNewer(v, func() error {
		a, step, err := next(d.bundleInForce())
		if err != nil {
			return err
		}
		d.logFindings(&a)
		routing := bundle.NewRouting(a.Version, a.Bundle, nil)
		d.mu.Lock()
		d.state.history.Add(a, step)
		d.state.unusableBundle = false
		resets := d.engine.SetRouting(routing, time.Now())
		d.signalIfReady()
		d.mu.Unlock()
		d.data.resets(resets)
		routes = len(a.Bundle.Routes)
		if step != nil {
			changed = step.Size()
		}
		return nil
	})
	if err != nil {
		d.refuseBundle(v, from, err)
		return
	}
	d.setNeedsWholeBundle(false) // The received bundle or a newer one is in force.
	if taken {
		klog.InfoS("Bundle in force", "Version", v, "Source", from.source, "Name", from.name, "Age", from.age,
			"Routes", routes, "Changed", changed)
	}
}

// logFindings logs the parts of a bundle that can't be used as written, and counts them. They don't keep the rest from
// coming into force: what the platform has accepted counts.
func (d *Daemon) logFindings(a *bundle.Accepted) {
	list := a.Findings
	var unknown *hujson.FindingsError
	if err := a.Bundle.CheckRegions(d.cfg.Load().KnownRegions()); eris.As(err, &unknown) {
		list = append(slices.Clone(list), unknown.List...)
	}
	d.bundleFindings.Store(int64(len(list)))
	for i := range list[:min(len(list), maxFindingLines)] {
		klog.ErrorS(nil, "Part of the bundle can't be used", "Version", a.Version, "Field", list[i].Field, "Problem", list[i].Problem,
			"Findings", len(list))
	}
}

// maxFindingLines bounds the lines about one version of the bundle.
const maxFindingLines = 10

// refuseBundle handles a bundle that can't be put in force. If the update doesn't apply to the
// bundle in force, the whole bundle is requested next: this daemon then holds a different bundle
// under the version number that the update starts from, as after the store was restored from a
// copy, and no later update would ever apply.
func (d *Daemon) refuseBundle(v bundle.Version, from contentSource, err error) {
	klog.ErrorS(err, "Bundle refused", "Version", v, "Source", from.source, "Name", from.name)
	d.setUnusableBundle()
	if eris.Is(err, bundle.ErrUpdateMismatch) {
		d.setNeedsWholeBundle(true)
	}
}

// setUnusableBundle records that a bundle that may be newer than the one in force can't be used.
func (d *Daemon) setUnusableBundle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.unusableBundle = true
}

// noteNewerBundle records that another daemon has a bundle in force that this one has yet to receive.
func (d *Daemon) noteNewerBundle(v bundle.Version, now time.Time) {
	if v <= d.inForce.Version() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engine.NoteNewerVersion(v, now)
}

func (d *Daemon) setNeedsWholeBundle(needed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.needsWholeBundle = needed
}

// bundleInForce returns the bundle in force, or the zero value if there is none.
func (d *Daemon) bundleInForce() bundle.Accepted {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.history.Current()
}

// confirmBundle records that this daemon itself has read which bundle is the newest, as of a
// position.
func (d *Daemon) confirmBundle(at time.Time, asOf objects.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if asOf >= d.state.bundleAsOf {
		d.confirmBundleAt(at, asOf)
	}
	d.noteOwnRead()
}

// confirmBundleAt records the time and position as of which the bundle in force is known to be the
// newest. d.mu must be held.
func (d *Daemon) confirmBundleAt(at time.Time, asOf objects.Position) {
	d.state.confirm(kindBundles, at)
	if !d.state.unusableBundle {
		d.engine.ConfirmRouting(at)
	}
	d.state.bundleAsOf = max(d.state.bundleAsOf, asOf)
}
