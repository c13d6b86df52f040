package registry_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescueshed/fescueshed/internal/standin/seeds"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

const (
	historyUpstreams = 4
	historyCatalogs  = 3
)

// historyStore is a store that is restored from snapshots, together with its history.
type historyStore struct {
	epoch    objects.Epoch
	revision uint64
	entries  map[int]registry.Registration
	// events are those of the present epoch, and those of earlier epochs as far as the snapshot has them.
	events    []historyEvent
	snapshots []historyStore
}

type historyEvent struct {
	revision uint64
	registry.Change
}

func (s *historyStore) asOf() objects.Position { return at(s.epoch, s.revision) }

func (s *historyStore) write(r registry.Registration) {
	s.revision++
	r.Revision = s.asOf()
	s.entries[int(r.ID)] = r
	s.events = append(s.events, historyEvent{revision: s.revision, Change: registry.Change{Registration: r}})
}

func (s *historyStore) snapshot() {
	s.snapshots = append(s.snapshots, historyStore{
		revision: s.revision, entries: maps.Clone(s.entries), events: slices.Clone(s.events),
	})
}

func (s *historyStore) restore(c *historyStore) {
	s.epoch++
	s.revision, s.entries, s.events = c.revision, maps.Clone(c.entries), slices.Clone(c.events)
}

// list returns the entries as the store's present answer has them.
func (s *historyStore) list() []registry.Registration {
	out := make([]registry.Registration, 0, len(s.entries))
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		r := s.entries[id]
		r.Revision = at(s.epoch, r.Revision.Revision())
		out = append(out, r)
	}
	return out
}

// since returns the changes that a watch returns, and false if the store lacks this history.
func (s *historyStore) since(after objects.Position) ([]registry.Change, bool) {
	if after.Epoch() != s.epoch || after.Revision() > s.revision {
		return nil, false
	}
	var out []registry.Change
	for _, e := range s.events {
		if e.revision > after.Revision() {
			ch := e.Change
			ch.Revision = at(s.epoch, e.revision)
			out = append(out, ch)
		}
	}
	return out, true
}

// message is an answer on its way to a catalog: a list, or changes since a position.
type message struct {
	list    []registry.Registration
	changes []registry.Change
	isList  bool
	asOf    objects.Position
}

// historyWorld consists of upstreams that write to a store, and catalogs that read it and exchange changes.
type historyWorld struct {
	t        *rapid.T
	store    historyStore
	now      time.Time
	catalogs [historyCatalogs]*registry.Catalog
	// actual is the state of each upstream, which it has written unless the store lost it.
	actual  [historyUpstreams]registry.Registration
	delayed []message
	// drained holds, for each catalog, the upstreams whose drain it has routed by. epochs and epochSince hold the epoch
	// of each catalog and when it reached that.
	drained    [historyCatalogs]map[int]bool
	epochs     [historyCatalogs]objects.Epoch
	epochSince [historyCatalogs]time.Time
}

func newHistoryWorld(t *rapid.T) *historyWorld {
	w := &historyWorld{t: t, now: start, store: historyStore{entries: make(map[int]registry.Registration)}}
	for i := range w.catalogs {
		w.catalogs[i] = registry.NewCatalog()
		w.drained[i] = make(map[int]bool)
	}
	for i := range w.actual {
		w.actual[i] = heartbeat(i+1, 0, 1, false)
		w.store.write(w.actual[i])
	}
	w.store.snapshot()
	return w
}

func (w *historyWorld) any(n int, what string) int { return rapid.IntRange(0, n-1).Draw(w.t, what) }

func (w *historyWorld) step() {
	u := w.any(historyUpstreams, "upstream")
	c := w.catalogs[w.any(historyCatalogs, "catalog")]
	switch w.any(10, "event") {
	case 0: // The upstream writes its state again.
		w.actual[u].Sequence++
		w.store.write(w.actual[u])
	case 1:
		w.actual[u].Draining = true
		w.actual[u].Sequence++
		w.store.write(w.actual[u])
	case 2:
		w.store.snapshot()
	case 3:
		w.store.restore(&w.store.snapshots[w.any(len(w.store.snapshots), "snapshot")])
	case 4:
		w.deliver(c, message{list: w.store.list(), isList: true, asOf: w.store.asOf()})
	case 5:
		if changes, ok := w.store.since(c.AsOf); ok && c.AsOf != 0 {
			w.deliver(c, message{changes: changes, asOf: w.store.asOf()})
		}
	case 6: // An answer is delayed.
		w.delayed = append(w.delayed, message{list: w.store.list(), isList: true, asOf: w.store.asOf()})
	case 7:
		if len(w.delayed) > 0 {
			w.deliver(c, w.delayed[w.any(len(w.delayed), "message")])
		}
	case 8: // One daemon sends another its changes, or its whole list if the changes don't suffice.
		w.advertise(w.catalogs[w.any(historyCatalogs, "sender")], c)
	case 9:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(w.t, "milliseconds")) * time.Millisecond)
		for _, c := range w.catalogs {
			c.Expire(w.now)
		}
	}
}

func (w *historyWorld) advertise(from, to *registry.Catalog) {
	if from == to || from.AsOf == 0 {
		return
	}
	changes, ok := from.Since(to.AsOf)
	if ok && to.ApplyIfComplete(changes, from.AsOf, from.Digest(), w.now) {
		return
	}
	w.deliver(to, message{list: from.List(), isList: true, asOf: from.AsOf})
}

func (w *historyWorld) deliver(c *registry.Catalog, msg message) {
	before := c.AsOf
	if msg.isList {
		c.Replace(msg.list, msg.asOf, w.now)
	} else {
		c.Apply(msg.changes, msg.asOf, w.now)
	}
	if c.AsOf < before {
		w.t.Fatalf("a catalog's position went back from %v to %v", before, c.AsOf)
	}
}

// check verifies what must hold at every moment. A drain that a catalog has routed by isn't undone, since upstreams
// never end a drain here, unless the store, after a restore from a snapshot, has lacked it for the whole grace period.
func (w *historyWorld) check() {
	for i, c := range w.catalogs {
		if e := c.AsOf.Epoch(); e != w.epochs[i] {
			w.epochs[i], w.epochSince[i] = e, w.now
		}
		for _, r := range c.InUse() {
			id := int(r.ID)
			switch {
			case r.Draining:
				w.drained[i][id] = true
			case !w.drained[i][id]:
			case w.epochs[i] > 0 && w.now.Sub(w.epochSince[i]) >= objects.RestoreGrace:
				delete(w.drained[i], id)
			default:
				w.t.Fatalf("catalog %d routes upstream %d as ready as of %v, after it routed by its drain", i, id, c.AsOf)
			}
		}
	}
	for i, c := range w.catalogs {
		for j, o := range w.catalogs[:i] {
			if c.AsOf == o.AsOf && c.AsOf != 0 && c.Digest() == o.Digest() && fmt.Sprint(c.List()) != fmt.Sprint(o.List()) {
				w.t.Fatalf("catalogs %d and %d are both as of %v but hold\n%v\n%v", j, i, c.AsOf, o.List(), c.List())
			}
		}
	}
}

// settle lets all upstreams write again, each catalog read the store and the grace period pass. Then each catalog must
// route by the actual state.
func (w *historyWorld) settle() {
	for i := range w.actual {
		w.actual[i].Sequence++
		w.store.write(w.actual[i])
	}
	for i, c := range w.catalogs {
		if changes, ok := w.store.since(c.AsOf); ok && c.AsOf != 0 {
			w.deliver(c, message{changes: changes, asOf: w.store.asOf()})
		} else {
			w.deliver(c, message{list: w.store.list(), isList: true, asOf: w.store.asOf()})
		}
		c.Expire(w.now.Add(2 * objects.RestoreGrace))
		for _, u := range w.actual {
			if r, ok := inUse(c, u.ID); !ok || r.Draining != u.Draining {
				w.t.Fatalf("catalog %d routes by %+v, actual state is %+v", i, r, u)
			}
		}
		if len(c.InUse()) != historyUpstreams {
			w.t.Fatalf("catalog %d uses %d upstreams", i, len(c.InUse()))
		}
	}
}

// Guards against any order of writes, snapshots, restores, answers and advertisements in which a catalog's position goes
// back, a drain is undone, or two catalogs agree on a position and not on the content.
func TestCatalogsOverRestoresOfTheStore(t *testing.T) {
	seeds.Fix()
	rapid.Check(t, func(t *rapid.T) {
		w := newHistoryWorld(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w.step()
			w.check()
		}
		w.settle()
	})
}
