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

func (d *Daemon) startStore(ctx context.Context) (func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){
		newFollower(d, kindBundles, d.platform.Bundles, objectHandler[bundle.Accepted]{
			list: d.listBundles, changes: d.changeBundles, position: d.bundlesPosition,
		}).run,
		newFollower(d, kindUpstreams, d.platform.Registrations, objectHandler[registry.Registration]{
			list: d.listUpstreams, changes: d.changeUpstreams, position: d.upstreamsPosition, multiPage: true,
		}).run,
		newFollower(d, kindEvacuations, d.platform.Evacuations, objectHandler[bundle.Zone]{
			list: d.listEvacuations, changes: d.changeEvacuations, position: d.evacuationsPosition,
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
func (d *Daemon) shouldReadStore(now time.Time) bool {
	v := d.members.view.Load()
	rank := v.ReaderRank()
	if !d.start.ready.isSet() {
		return d.start.ShouldRead(peer.StartupState{
			CallersWaiting: d.start.callersWaiting.isSet(), ServingMemberSeen: d.members.servingMemberSeen(),
			Rank: rank, Others: len(v.Members) - 1,
		}, now)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.followsStore(rank, now)
}

// followsStore reports whether this daemon, which has the given rank in its view, follows the
// store. One that can't place flows yet doesn't, and must not consult d.election: having received
// nothing, it would become a store reader and stay one for a second after others have sent it
// everything, on every host of a fleet that starts together. d.mu must be held.
func (d *Daemon) followsStore(rank int, now time.Time) bool {
	if !d.canPlaceFlowsLocked() {
		return false
	}
	before, age := d.election.Reads(), d.election.Age(now)
	reads := d.election.ShouldRead(d.start.ReaderRank(rank, now), now)
	if reads != before {
		klog.InfoS("Store reading changed", "Reads", reads, "Rank", rank, "ContentAge", age.Round(time.Millisecond))
	}
	return reads
}

func (d *Daemon) listUpstreams(s objects.Snapshot[registry.Registration], now time.Time) {
	list := make([]registry.Registration, 0, len(s.Objects))
	for i := range s.Objects {
		if r := registrationOf(&s.Objects[i]); r.ID != 0 {
			list = append(list, r)
		}
	}
	d.applyStoredUpstreams(s.AsOf, now, func() bool { return d.state.catalog.Replace(list, s.AsOf, now) })
}

// noteOwnRead records that this daemon itself has read the store. It needn't read again unless it
// receives nothing newer from others in time. d.mu must be held.
func (d *Daemon) noteOwnRead() { d.election.Received(d.state.confirmedAll(), false) }

// noteStoreFailure records a failed call of the store. The first time, it announces the failure
// immediately: the others receive no advertisements meanwhile, and would read the store themselves.
func (d *Daemon) noteStoreFailure(now time.Time) {
	d.mu.Lock()
	first := d.state.failedAt.IsZero()
	d.state.failedAt = now
	d.mu.Unlock()
	if first {
		d.members.sendLoads(now)
	}
}

// noteStoreLost records that a store reader gets no answer from the store. It reports whether that
// is new.
func (d *Daemon) noteStoreLost(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	reported := d.election.StoreReportedLost(now)
	d.election.ReportStoreLost(now)
	return !reported
}

// noteReaderHeard records that a daemon that ranks before this one doesn't miss the store's answers.
func (d *Daemon) noteReaderHeard(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.election.ReaderHeard(now)
}

// storeLost reports whether this daemon's own calls of the store fail, and whether it has no recent
// content of the store from any source. A call that hangs is detected only after a second and a
// half, when the whole zone would have turned to the store.
func (d *Daemon) storeLost(now time.Time) (own, any bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.canPlaceFlowsLocked() {
		return false, false
	}
	own = !d.state.failedAt.IsZero() && now.Sub(d.state.failedAt) < storeFailureTTL
	return own, own || d.election.StoreReportedLost(now) || now.Sub(d.state.confirmedAll()) > maxAdvertisedAge
}

// storeFailureTTL is how long a failed call counts: longer than the pause of the first-ranked
// reader before its next call, plus a call that hangs.
const storeFailureTTL = 3 * time.Second

// upstreamsPosition returns the position as of which the list of upstreams is known as a whole, or
// zero if it isn't.
func (d *Daemon) upstreamsPosition() objects.Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.canPlaceFlowsLocked() || d.state.needsWholeList {
		return 0
	}
	return d.state.catalog.AsOf
}

// updateEngine passes the catalog's changes to the engine. It returns resets for the flows that end
// by them, to be sent after d.mu is released. d.mu must be held.
func (d *Daemon) updateEngine(now time.Time) []cookie.Reset {
	changes := d.state.catalog.TakeChanges()
	before := d.engine.Counters.Restarts
	resets := d.engine.Update(changes, now)
	unusable := 0
	for i := range changes {
		if changes[i].Unusable {
			unusable++
		}
	}
	if restarts := d.engine.Counters.Restarts - before; restarts > 0 || unusable > 0 {
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

func (d *Daemon) changeUpstreams(ch objects.Changes[registry.Registration], now time.Time) {
	changes := make([]registry.Change, 0, len(ch.List))
	for i := range ch.List {
		if r := registrationOf(&ch.List[i].Object); r.ID != 0 {
			changes = append(changes, registry.Change{Registration: r, Removed: ch.List[i].Deleted})
		}
	}
	d.applyStoredUpstreams(ch.AsOf, now, func() bool { return d.state.catalog.Apply(changes, ch.AsOf, now) })
}

// applyStoredUpstreams applies what this daemon itself has read of the list of upstreams. apply
// changes the catalog and reports whether it did. What the catalog refuses, since an advertisement
// of a later position arrived first, doesn't count as confirmed.
func (d *Daemon) applyStoredUpstreams(asOf objects.Position, now time.Time, apply func() bool) {
	d.mu.Lock()
	var resets []cookie.Reset
	if d.changeCatalog(apply) {
		resets = d.updateEngine(now)
	}
	if asOf >= d.state.catalog.AsOf {
		d.confirmList(now)
	}
	d.noteOwnRead()
	d.mu.Unlock()
	d.data.resets(resets)
}

// confirmList records the time as of which the list of upstreams is known. d.mu must be held.
func (d *Daemon) confirmList(at time.Time) {
	d.state.confirm(kindUpstreams, at)
	d.engine.ConfirmRegistrations(at)
	d.signalIfReady()
}
