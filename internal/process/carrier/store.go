package carrier

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

func (c *Carrier) startStore(ctx context.Context) (func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){
		newFollower(c, kindBundles, c.platform.Bundles, objectHandler[bundle.Accepted]{
			list: c.listBundles, changes: c.changeBundles, position: c.bundlesPosition,
		}).run,
		newFollower(c, kindUpstreams, c.platform.Registrations, objectHandler[registry.Registration]{
			list: c.listUpstreams, changes: c.changeUpstreams, position: c.upstreamsPosition, long: true,
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

// shouldReadStore reports whether this daemon shouldReadStore the store now: as peer.Start says until it can place
// flows, and then as peer.Reading does.
func (c *Carrier) shouldReadStore(now time.Time) bool {
	v := c.members.view.Load()
	rank := v.ReaderRank()
	if !c.start.ready.isSet() {
		return c.start.Reads(peer.Newcomer{
			CallersWait: c.start.callersWaiting.isSet(), MetServing: c.members.metServing(),
			Rank: rank, Others: len(v.Members) - 1,
		}, now)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.followsStore(rank, now)
}

// followsStore reports whether this daemon, whose view says rank, followsStore the store. One that can't
// place flows yet doesn't, and mustn't ask reading: it has heard nothing, so reading would begin,
// and go on for a second after others have told the daemon all, on every host of a fleet that
// starts together. c.mu is held.
func (c *Carrier) followsStore(rank int, now time.Time) bool {
	if !c.canPlaceFlowsLocked() {
		return false
	}
	return c.election.Reads(c.start.ReaderRank(rank, now), now)
}

func (c *Carrier) listUpstreams(s objects.Snapshot[registry.Registration], now time.Time) {
	list := make([]registry.Registration, 0, len(s.Objects))
	for i := range s.Objects {
		if r := registrationOf(&s.Objects[i]); r.ID != 0 {
			list = append(list, r)
		}
	}
	c.applyStoredUpstreams(s.AsOf, now, func() bool { return c.state.catalog.Replace(list, s.AsOf, now) })
}

// noteOwnRead notes that this daemon itself has read the store: it needn't again, unless nobody
// tells it more in time. c.mu is held.
func (c *Carrier) noteOwnRead() { c.election.Heard(c.state.confirmedAll(), false) }

// noteStoreFailure notes that a call of the store failed. The first time it tells others at once: they
// hear no news meanwhile, and would turn to the store themselves.
func (c *Carrier) noteStoreFailure(now time.Time) {
	c.mu.Lock()
	first := c.state.failing.IsZero()
	c.state.failing = now
	c.mu.Unlock()
	if first {
		c.members.sendLoads(now)
	}
}

// noteStoreLost notes that a daemon which reads has no answer from the store. It reports whether
// that is new.
func (c *Carrier) noteStoreLost(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.election.StoreIsLost(now)
	c.election.StoreLost(now)
	return !known
}

// storeLost reports whether this daemon's own calls of the store aren't answered, and whether it
// has no fresh word of the store's from anybody. A call that hangs shows itself only after a
// second and a half, when the whole zone would have turned to the store.
func (c *Carrier) storeLost(now time.Time) (own, any bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.canPlaceFlowsLocked() {
		return false, false
	}
	own = !c.state.failing.IsZero() && now.Sub(c.state.failing) < storeFailureTTL
	return own, own || c.election.StoreIsLost(now) || now.Sub(c.state.confirmedAll()) > maxAdvertisedAge
}

// storeFailureTTL is how long a failed call counts: more than the pause to the next one of the first
// in rank, and a call that hangs.
const storeFailureTTL = 3 * time.Second

// upstreamsPosition returns the position as of which the list of upstreams is known as a whole, zero if
// it isn't.
func (c *Carrier) upstreamsPosition() objects.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.canPlaceFlowsLocked() || c.state.needsWholeList {
		return 0
	}
	return c.state.catalog.AsOf
}

// updateEngine lets the engine route by what changed in the catalog. It returns resets for flows
// that ended by it, to be sent once c.mu isn't held any more, as it is here.
func (c *Carrier) updateEngine(now time.Time) []cookie.Reset {
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

// registrationOf returns what an object of the store says of an upstream. Its identifier is
// zero if the object stands for none.
func registrationOf(o *objects.Object[registry.Registration]) registry.Registration {
	if o.Err == nil {
		return o.Value
	}
	return registry.Registration{ID: o.Value.ID, Created: o.Created, Revision: o.Revision, Unusable: true}
}

func (c *Carrier) changeUpstreams(ch objects.Changes[registry.Registration], now time.Time) {
	changes := make([]registry.Change, 0, len(ch.List))
	for i := range ch.List {
		if r := registrationOf(&ch.List[i].Object); r.ID != 0 {
			changes = append(changes, registry.Change{Registration: r, Gone: ch.List[i].Deleted})
		}
	}
	c.applyStoredUpstreams(ch.AsOf, now, func() bool { return c.state.catalog.Apply(changes, ch.AsOf, now) })
}

// applyStoredUpstreams takes in what this daemon itself has read of the list of upstreams. take changes the
// catalog and reports whether it did. What the catalog refuses, as news of a later position came first,
// doesn't count as heard.
func (c *Carrier) applyStoredUpstreams(asOf objects.Position, now time.Time, take func() bool) {
	c.mu.Lock()
	var resets []cookie.Reset
	if c.changeCatalog(take) {
		resets = c.updateEngine(now)
	}
	if asOf >= c.state.catalog.AsOf {
		c.confirmList(now)
	}
	c.noteOwnRead()
	c.mu.Unlock()
	c.data.resets(resets)
}

// confirmList notes as of when the list of upstreams is known. c.mu is held.
func (c *Carrier) confirmList(at time.Time) {
	c.state.confirm(kindUpstreams, at)
	c.engine.Confirm(at)
	c.signalIfReady()
}
