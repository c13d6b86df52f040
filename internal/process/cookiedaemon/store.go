package cookiedaemon

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

func (c *Daemon) startStore(ctx context.Context) (func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){
		newFollower(c, kindBundles, c.platform.Bundles, objectHandler[bundle.Accepted]{
			list: c.listBundles, changes: c.changeBundles, position: c.bundlesPosition,
		}).run,
		newFollower(c, kindUpstreams, c.platform.Registrations, objectHandler[registry.Registration]{
			list: c.listUpstreams, changes: c.changeUpstreams, position: c.upstreamsPosition, multiPage: true,
		}).run,
		newFollower(c, kindEvacuations, c.platform.Evacuations, objectHandler[bundle.Zone]{
			list: c.listEvacuations, changes: c.changeEvacuations, position: c.evacuationsPosition,
		}).run,
	} {
		wg.Go(func() { run(ctx) })
	}
	return func() {
		cancel()
		wg.Wait()
	}, nil
}

// shouldReadStore reports whether this daemon should read the store now. Until it can place flows,
// peer.Startup decides, afterwards peer.ReaderElection.
func (c *Daemon) shouldReadStore(now time.Time) bool {
	v := c.members.view.Load()
	rank := v.ReaderRank()
	if !c.start.ready.isSet() {
		return c.start.ShouldRead(peer.StartupState{
			CallersWaiting: c.start.callersWaiting.isSet(), ServingMemberSeen: c.members.servingMemberSeen(),
			Rank: rank, Others: len(v.Members) - 1,
		}, now)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.followsStore(rank, now)
}

// followsStore reports whether this daemon, which has the given rank in its view, follows the
// store. One that can't place flows yet doesn't, and must not consult c.election: having received
// nothing, it would become a store reader and stay one for a second after others have sent it
// everything, on every host of a fleet that starts together. c.mu must be held.
func (c *Daemon) followsStore(rank int, now time.Time) bool {
	if !c.canPlaceFlowsLocked() {
		return false
	}
	return c.election.ShouldRead(c.start.ReaderRank(rank, now), now)
}

func (c *Daemon) listUpstreams(s objects.Snapshot[registry.Registration], now time.Time) {
	list := make([]registry.Registration, 0, len(s.Objects))
	for i := range s.Objects {
		if r := registrationOf(&s.Objects[i]); r.ID != 0 {
			list = append(list, r)
		}
	}
	c.applyStoredUpstreams(s.AsOf, now, func() bool { return c.state.catalog.Replace(list, s.AsOf, now) })
}

// noteOwnRead records that this daemon itself has read the store. It needn't read again unless it
// receives nothing newer from others in time. c.mu must be held.
func (c *Daemon) noteOwnRead() { c.election.Received(c.state.confirmedAll(), false) }

// noteStoreFailure records a failed call of the store. The first time, it announces the failure
// immediately: the others receive no advertisements meanwhile, and would read the store themselves.
func (c *Daemon) noteStoreFailure(now time.Time) {
	c.mu.Lock()
	first := c.state.failedAt.IsZero()
	c.state.failedAt = now
	c.mu.Unlock()
	if first {
		c.members.sendLoads(now)
	}
}

// noteStoreLost records that a store reader gets no answer from the store. It reports whether that
// is new.
func (c *Daemon) noteStoreLost(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	reported := c.election.StoreReportedLost(now)
	c.election.ReportStoreLost(now)
	return !reported
}

// storeLost reports whether this daemon's own calls of the store fail, and whether it has no recent
// content of the store from any source. A call that hangs is detected only after a second and a
// half, when the whole zone would have turned to the store.
func (c *Daemon) storeLost(now time.Time) (own, any bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.canPlaceFlowsLocked() {
		return false, false
	}
	own = !c.state.failedAt.IsZero() && now.Sub(c.state.failedAt) < storeFailureTTL
	return own, own || c.election.StoreReportedLost(now) || now.Sub(c.state.confirmedAll()) > maxAdvertisedAge
}

// storeFailureTTL is how long a failed call counts: longer than the pause of the first-ranked
// reader before its next call, plus a call that hangs.
const storeFailureTTL = 3 * time.Second

// upstreamsPosition returns the position as of which the list of upstreams is known as a whole, or
// zero if it isn't.
func (c *Daemon) upstreamsPosition() objects.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.canPlaceFlowsLocked() || c.state.needsWholeList {
		return 0
	}
	return c.state.catalog.AsOf
}

// updateEngine passes the catalog's changes to the engine. It returns resets for the flows that end
// by them, to be sent after c.mu is released. c.mu must be held.
func (c *Daemon) updateEngine(now time.Time) []cookie.Reset {
	changes := c.state.catalog.TakeChanges()
	before := c.engine.Counters.Restarts
	resets := c.engine.Update(changes, now)
	unusable := 0
	for i := range changes {
		if changes[i].Unusable {
			unusable++
		}
	}
	if restarts := c.engine.Counters.Restarts - before; restarts > 0 || unusable > 0 {
		klog.InfoS("Upstreams changed", "StartedAgain", restarts, "EntryUnusable", unusable, "FlowsReset", len(resets))
	}
	return resets
}

// registrationOf returns the registration of an upstream that an object of the store holds. Its
// identifier is zero if the object represents no upstream.
func registrationOf(o *objects.Object[registry.Registration]) registry.Registration {
	if o.Err == nil {
		return o.Value
	}
	return registry.Registration{ID: o.Value.ID, Created: o.Created, Revision: o.Revision, Unusable: true}
}

func (c *Daemon) changeUpstreams(ch objects.Changes[registry.Registration], now time.Time) {
	changes := make([]registry.Change, 0, len(ch.List))
	for i := range ch.List {
		if r := registrationOf(&ch.List[i].Object); r.ID != 0 {
			changes = append(changes, registry.Change{Registration: r, Removed: ch.List[i].Deleted})
		}
	}
	c.applyStoredUpstreams(ch.AsOf, now, func() bool { return c.state.catalog.Apply(changes, ch.AsOf, now) })
}

// applyStoredUpstreams applies what this daemon itself has read of the list of upstreams. apply
// changes the catalog and reports whether it did. What the catalog refuses, since an advertisement
// of a later position arrived first, doesn't count as confirmed.
func (c *Daemon) applyStoredUpstreams(asOf objects.Position, now time.Time, apply func() bool) {
	c.mu.Lock()
	var resets []cookie.Reset
	if c.changeCatalog(apply) {
		resets = c.updateEngine(now)
	}
	if asOf >= c.state.catalog.AsOf {
		c.confirmList(now)
	}
	c.noteOwnRead()
	c.mu.Unlock()
	c.data.resets(resets)
}

// confirmList records the time as of which the list of upstreams is known. c.mu must be held.
func (c *Daemon) confirmList(at time.Time) {
	c.state.confirm(kindUpstreams, at)
	c.engine.ConfirmRegistrations(at)
	c.signalIfReady()
}
