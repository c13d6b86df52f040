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
		newFollower(c, kindBundles, c.platform.Bundles, intake[bundle.Accepted]{
			list: c.listBundles, changes: c.changeBundles, known: c.knownBundle,
		}).run,
		newFollower(c, kindUpstreams, c.platform.Registrations, intake[registry.Registration]{
			list: c.listUpstreams, changes: c.changeUpstreams, known: c.knownList, long: true,
		}).run,
		newFollower(c, kindEvacuations, c.platform.Evacuations, intake[bundle.Zone]{
			list: c.listEvacuations, changes: c.changeEvacuations, known: c.knownEvacuations,
		}).run,
	} {
		wg.Go(func() { run(ctx) })
	}
	return func() {
		cancel()
		wg.Wait()
	}, nil
}

// reads reports whether this daemon reads the store now: as peer.Start says until it can place
// flows, and then as peer.Reading does.
func (c *Carrier) reads(now time.Time) bool {
	v := c.members.view.Load()
	rank := v.ReaderRank()
	if !c.start.ready.happened() {
		return c.start.ShouldRead(peer.StartupState{
			CallersWaiting: c.start.callersWait.happened(), ServingMemberSeen: c.members.metServing(),
			Rank: rank, Others: len(v.Members) - 1,
		}, now)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follows(rank, now)
}

// follows reports whether this daemon, whose view says rank, follows the store. One that can't
// place flows yet doesn't, and mustn't ask reading: it has heard nothing, so reading would begin,
// and go on for a second after others have told the daemon all, on every host of a fleet that
// starts together. c.mu is held.
func (c *Carrier) follows(rank int, now time.Time) bool {
	if !c.ready() {
		return false
	}
	return c.reading.ShouldRead(c.start.ReaderRank(rank, now), now)
}

func (c *Carrier) listUpstreams(s objects.Snapshot[registry.Registration], now time.Time) {
	list := make([]registry.Registration, 0, len(s.Objects))
	for i := range s.Objects {
		if r := registrationOf(&s.Objects[i]); r.ID != 0 {
			list = append(list, r)
		}
	}
	c.takeList(s.AsOf, now, func() bool { return c.known.catalog.Replace(list, s.AsOf, now) })
}

// readHere notes that this daemon itself has read the store: it needn't again, unless nobody
// tells it more in time. c.mu is held.
func (c *Carrier) readHere() { c.reading.Received(c.known.confirmedAll(), false) }

// storeFails notes that a call of the store failed. The first time it tells others at once: they
// hear no news meanwhile, and would turn to the store themselves.
func (c *Carrier) storeFails(now time.Time) {
	c.mu.Lock()
	first := c.known.failing.IsZero()
	c.known.failing = now
	c.mu.Unlock()
	if first {
		c.members.tellLoads(now)
	}
}

// hearStoreLost notes that a daemon which reads has no answer from the store. It reports whether
// that is new.
func (c *Carrier) hearStoreLost(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.reading.StoreReportedLost(now)
	c.reading.ReportStoreLost(now)
	return !known
}

// storeLost reports whether this daemon's own calls of the store aren't answered, and whether it
// has no fresh word of the store's from anybody. A call that hangs shows itself only after a
// second and a half, when the whole zone would have turned to the store.
func (c *Carrier) storeLost(now time.Time) (own, any bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ready() {
		return false, false
	}
	own = !c.known.failing.IsZero() && now.Sub(c.known.failing) < failingFor
	return own, own || c.reading.StoreReportedLost(now) || now.Sub(c.known.confirmedAll()) > staleNews
}

// failingFor is how long a failed call counts: more than the pause to the next one of the first
// in rank, and a call that hangs.
const failingFor = 3 * time.Second

// knownList returns the position as of which the list of upstreams is known as a whole, zero if
// it isn't.
func (c *Carrier) knownList() objects.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ready() || c.known.lacksWholeList {
		return 0
	}
	return c.known.catalog.AsOf
}

// follow lets the engine route by what changed in the catalog. It returns resets for flows
// that ended by it, to be sent once c.mu isn't held any more, as it is here.
func (c *Carrier) follow(now time.Time) []cookie.Reset {
	changes := c.known.catalog.TakeChanges()
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
			changes = append(changes, registry.Change{Registration: r, Removed: ch.List[i].Deleted})
		}
	}
	c.takeList(ch.AsOf, now, func() bool { return c.known.catalog.Apply(changes, ch.AsOf, now) })
}

// takeList takes in what this daemon itself has read of the list of upstreams. take changes the
// catalog and reports whether it did. What the catalog refuses, as news of a later position came first,
// doesn't count as heard.
func (c *Carrier) takeList(asOf objects.Position, now time.Time, take func() bool) {
	c.mu.Lock()
	var resets []cookie.Reset
	if c.changeList(take) {
		resets = c.follow(now)
	}
	if asOf >= c.known.catalog.AsOf {
		c.confirmList(now)
	}
	c.readHere()
	c.mu.Unlock()
	c.data.resets(resets)
}

// confirmList notes as of when the list of upstreams is known. c.mu is held.
func (c *Carrier) confirmList(at time.Time) {
	c.known.confirm(kindUpstreams, at)
	c.engine.ConfirmRegistrations(at)
	c.noteReady()
}
