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

// historyStore is a store that is restored from snapshots, with all that it ever said.
type historyStore struct {
	epoch    objects.Epoch
	revision uint64
	entries  map[int]registry.Registration
	// events are those of the present epoch and, as far as the snapshot has them, of those before.
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

// list returns the entries as an answer of now tells them.
func (s *historyStore) list() []registry.Registration {
	out := make([]registry.Registration, 0, len(s.entries))
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		r := s.entries[id]
		r.Revision = at(s.epoch, r.Revision.Revision())
		out = append(out, r)
	}
	return out
}

// since returns what a watch tells, false if it has no such history.
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

// told is a word on its way: a list, or changes that lead on from a position.
type told struct {
	list    []registry.Registration
	changes []registry.Change
	listed  bool
	asOf    objects.Position
}

// historyWorld is upstreams that write to a store, and catalogs that read it and tell each other.
type historyWorld struct {
	t        *rapid.T
	store    historyStore
	now      time.Time
	catalogs [historyCatalogs]*registry.Catalog
	// truth is how each upstream is, which it has written unless the store lost it.
	truth [historyUpstreams]registry.Registration
	late  []told
	// drained are the upstreams whose drain each catalog has routed by, epochs and crossed the epoch that it holds and
	// when it took that in.
	drained [historyCatalogs]map[int]bool
	epochs  [historyCatalogs]objects.Epoch
	crossed [historyCatalogs]time.Time
}

func newHistoryWorld(t *rapid.T) *historyWorld {
	w := &historyWorld{t: t, now: start, store: historyStore{entries: make(map[int]registry.Registration)}}
	for i := range w.catalogs {
		w.catalogs[i] = registry.NewCatalog()
		w.drained[i] = make(map[int]bool)
	}
	for i := range w.truth {
		w.truth[i] = beat(i+1, 0, 1, false)
		w.store.write(w.truth[i])
	}
	w.store.snapshot()
	return w
}

func (w *historyWorld) any(n int, what string) int { return rapid.IntRange(0, n-1).Draw(w.t, what) }

func (w *historyWorld) step() {
	u := w.any(historyUpstreams, "upstream")
	c := w.catalogs[w.any(historyCatalogs, "catalog")]
	switch w.any(10, "event") {
	case 0: // It writes again what it is.
		w.truth[u].Sequence++
		w.store.write(w.truth[u])
	case 1:
		w.truth[u].Draining = true
		w.truth[u].Sequence++
		w.store.write(w.truth[u])
	case 2:
		w.store.snapshot()
	case 3:
		w.store.restore(&w.store.snapshots[w.any(len(w.store.snapshots), "snapshot")])
	case 4:
		w.deliver(c, told{list: w.store.list(), listed: true, asOf: w.store.asOf()})
	case 5:
		if changes, ok := w.store.since(c.AsOf); ok && c.AsOf != 0 {
			w.deliver(c, told{changes: changes, asOf: w.store.asOf()})
		}
	case 6: // A word that is under way for a while.
		w.late = append(w.late, told{list: w.store.list(), listed: true, asOf: w.store.asOf()})
	case 7:
		if len(w.late) > 0 {
			w.deliver(c, w.late[w.any(len(w.late), "word")])
		}
	case 8: // News between daemons, and the whole list if they don't lead there.
		w.tell(w.catalogs[w.any(historyCatalogs, "teller")], c)
	case 9:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(w.t, "milliseconds")) * time.Millisecond)
		for _, c := range w.catalogs {
			c.Expire(w.now)
		}
	}
}

func (w *historyWorld) tell(from, to *registry.Catalog) {
	if from == to || from.AsOf == 0 {
		return
	}
	changes, ok := from.Since(to.AsOf)
	if ok && to.ApplyIfComplete(changes, from.AsOf, from.Digest(), w.now) {
		return
	}
	w.deliver(to, told{list: from.List(), listed: true, asOf: from.AsOf})
}

func (w *historyWorld) deliver(c *registry.Catalog, word told) {
	before := c.AsOf
	if word.listed {
		c.Replace(word.list, word.asOf, w.now)
	} else {
		c.Apply(word.changes, word.asOf, w.now)
	}
	if c.AsOf < before {
		w.t.Fatalf("a catalog went back from %v to %v", before, c.AsOf)
	}
}

// check judges what must hold at every moment: a drain that a catalog has routed by isn't undone, since upstreams
// never take it back here, unless the store, restored from a snapshot, told for the whole grace that it isn't so.
func (w *historyWorld) check() {
	for i, c := range w.catalogs {
		if e := c.AsOf.Epoch(); e != w.epochs[i] {
			w.epochs[i], w.crossed[i] = e, w.now
		}
		for _, r := range c.InUse() {
			id := int(r.ID)
			switch {
			case r.Draining:
				w.drained[i][id] = true
			case !w.drained[i][id]:
			case w.epochs[i] > 0 && w.now.Sub(w.crossed[i]) >= objects.RestoreGrace:
				delete(w.drained[i], id)
			default:
				w.t.Fatalf("catalog %d takes upstream %d for ready as of %v, after it routed by its drain", i, id, c.AsOf)
			}
		}
	}
	for i, c := range w.catalogs {
		for j, o := range w.catalogs[:i] {
			if c.AsOf == o.AsOf && c.AsOf != 0 && c.Digest() == o.Digest() && fmt.Sprint(c.List()) != fmt.Sprint(o.List()) {
				w.t.Fatalf("catalogs %d and %d agree on %v and hold\n%v\n%v", j, i, c.AsOf, o.List(), c.List())
			}
		}
	}
}

// settle lets all upstreams write again, each catalog read the store and the grace go by. Then each routes by the truth.
func (w *historyWorld) settle() {
	for i := range w.truth {
		w.truth[i].Sequence++
		w.store.write(w.truth[i])
	}
	for i, c := range w.catalogs {
		if changes, ok := w.store.since(c.AsOf); ok && c.AsOf != 0 {
			w.deliver(c, told{changes: changes, asOf: w.store.asOf()})
		} else {
			w.deliver(c, told{list: w.store.list(), listed: true, asOf: w.store.asOf()})
		}
		c.Expire(w.now.Add(2 * objects.RestoreGrace))
		for _, u := range w.truth {
			if r, ok := inUse(c, u.ID); !ok || r.Draining != u.Draining {
				w.t.Fatalf("catalog %d routes by %+v, the truth is %+v", i, r, u)
			}
		}
		if len(c.InUse()) != historyUpstreams {
			w.t.Fatalf("catalog %d uses %d upstreams", i, len(c.InUse()))
		}
	}
}

// Guards against any order of writes, snapshots, restores, answers and news in which a catalog goes back, undoes a drain, or
// agrees with another one on a position and not on the content.
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
