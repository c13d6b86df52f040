package registry_test

import (
	"cmp"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// at returns the position of a revision in an epoch.
func at(epoch objects.Epoch, revision uint64) objects.Position {
	p, err := objects.NewPosition(epoch, revision)
	if err != nil {
		panic(err) // Tests name positions that there are.
	}
	return p
}

// beat returns an upstream's entry as of a position, written at one of its heartbeats.
func beat(id int, p objects.Position, sequence uint64, draining bool) registry.Registration {
	r := entry(id)
	r.Revision, r.Sequence, r.Draining = p, sequence, draining
	return r
}

// inUse returns an upstream's entry as it is routed by, and whether there is one.
func inUse(c *registry.Catalog, id bundle.UpstreamID) (registry.Registration, bool) {
	for _, r := range c.InUse() {
		if r.ID == id {
			return r, true
		}
	}
	return registry.Registration{}, false
}

// Guards against a list that is kept though the store was restored from a snapshot under lower revisions.
func TestCatalogTakesTheListOfALaterEpoch(t *testing.T) {
	g := NewWithT(t)
	c, now := registry.NewCatalog(), time.Unix(0, 0)
	c.Replace([]registry.Registration{beat(1, at(0, 27), 5, false)}, at(0, 27), now)
	c.Replace([]registry.Registration{beat(1, at(1, 20), 6, true)}, at(1, 21), now)
	g.Expect(c.AsOf).To(Equal(at(1, 21)))
	r, _ := inUse(c, 1)
	g.Expect(r.Draining).To(BeTrue())
	late := []registry.Registration{beat(1, at(0, 99), 9, false)}
	g.Expect(c.Replace(late, at(0, 99), now)).To(BeFalse(), "an answer of the epoch before")
	g.Expect(c.AsOf).To(Equal(at(1, 21)))
}

// Guards against changes that are put onto a list of another epoch, from which they don't lead on.
func TestCatalogRefusesChangesOfAnotherEpoch(t *testing.T) {
	g := NewWithT(t)
	c, now := registry.NewCatalog(), time.Unix(0, 0)
	c.Replace([]registry.Registration{beat(1, at(0, 20), 5, false)}, at(0, 27), now)
	drains := []registry.Change{{Registration: beat(1, at(1, 28), 6, true)}}
	g.Expect(c.Apply(drains, at(1, 28), now)).To(BeFalse())
	g.Expect(c.ApplyIfComplete(drains, at(1, 28), 0, now)).To(BeFalse())
	g.Expect(c.AsOf).To(Equal(at(0, 27)))
	empty := registry.NewCatalog()
	empty.Replace(nil, at(0, 27), now)
	g.Expect(empty.ApplyIfComplete(nil, at(1, 28), empty.Digest(), now)).To(BeFalse())
	g.Expect(empty.AsOf).To(Equal(at(0, 27)), "both lists are empty, and still of two histories")

	c.Replace([]registry.Registration{beat(1, at(1, 20), 5, false)}, at(1, 24), now)
	_, ok := c.Since(at(0, 27))
	g.Expect(ok).To(BeFalse(), "whoever is of the epoch before needs the whole list")
	_, ok = c.Since(at(1, 24))
	g.Expect(ok).To(BeTrue())
}

// Guards against upstreams that get flows again since the snapshot is older than their
// drain, and against flows that are reset since it is older than their upstream.
func TestCatalogHoldsWhatASnapshotLacks(t *testing.T) {
	const known, restored = 27, 20
	ready, drains := beat(1, at(0, 19), 5, false), beat(1, at(0, 26), 7, true)
	born := func(r registry.Registration, at registry.UnixMilli) registry.Registration {
		r.StartTime = at
		return r
	}
	for name, tc := range map[string]struct {
		// before are the lists before, in their order, restored the store's after that, later the changes
		// that it tells then.
		before   [][]registry.Registration
		restored []registry.Registration
		later    []registry.Change
		// held and believed are how the upstream is used within the grace and after it, written how it is once the
		// store has told the changes, held if that is empty.
		held, written, believed use
	}{
		"a drain that is lost": {
			before: [][]registry.Registration{{drains}}, restored: []registry.Registration{beat(1, at(1, 19), 5, false)},
			held: useDraining, believed: useReady,
		},
		"a drain that is lost and written again": {
			before: [][]registry.Registration{{drains}}, restored: []registry.Registration{beat(1, at(1, 19), 5, false)},
			later: []registry.Change{{Registration: beat(1, at(1, 21), 8, true)}},
			held:  useDraining, believed: useDraining,
		},
		"a drain that is in the snapshot": {
			before: [][]registry.Registration{{drains}}, restored: []registry.Registration{beat(1, at(1, 20), 7, true)},
			held: useDraining, believed: useDraining,
		},
		"an upstream that is lost": {
			before: [][]registry.Registration{{ready}}, held: useReady, believed: useNone,
		},
		"a draining upstream that is lost": {
			before: [][]registry.Registration{{drains}}, held: useDraining, believed: useNone,
		},
		"an upstream that is lost and registers again": {
			before: [][]registry.Registration{{ready}}, later: []registry.Change{{Registration: beat(1, at(1, 21), 6, false)}},
			held: useReady, believed: useReady,
		},
		"an upstream that had left": {
			before: [][]registry.Registration{{ready}, {drains}, {}}, restored: []registry.Registration{beat(1, at(1, 19), 5, false)},
			held: useDraining, believed: useReady,
		},
		"an upstream that had left and is gone again": {
			before: [][]registry.Registration{{ready}, {drains}, {}}, restored: []registry.Registration{beat(1, at(1, 19), 5, false)},
			later: []registry.Change{{Registration: beat(1, at(1, 21), 5, false), Removed: true}},
			held:  useDraining, written: useNone, believed: useNone,
		},
		"an upstream that started again": {
			before: [][]registry.Registration{{born(drains, 3)}}, restored: []registry.Registration{born(beat(1, at(1, 21), 1, false), 9)},
			held: useReady, believed: useReady,
		},
		"a former incarnation": {
			before:   [][]registry.Registration{{born(drains, 9)}},
			restored: []registry.Registration{born(beat(1, at(1, 19), 70, false), 3)},
			held:     useDraining, believed: useReady,
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, now := registry.NewCatalog(), time.Unix(0, 0)
			for i, list := range tc.before {
				c.Replace(list, at(0, known+uint64(i)), now)
			}
			c.Replace(tc.restored, at(1, restored), now)
			reader := registry.NewCatalog()
			reader.Replace(tc.restored, at(1, restored), now)
			g.Expect(c.Digest()).To(Equal(reader.Digest()), "it agrees with one that read the snapshot only")
			g.Expect(c.List()).To(Equal(reader.List()))
			g.Expect(usedAs(c)).To(Equal(tc.held))
			c.Apply(tc.later, at(1, restored+5), now)
			g.Expect(usedAs(c)).To(Equal(cmp.Or(tc.written, tc.held)))
			c.Expire(now.Add(objects.RestoreGrace + time.Millisecond))
			g.Expect(usedAs(c)).To(Equal(tc.believed))
		})
	}
}

// use is how an upstream is routed by.
type use string

const (
	useNone     use = "not used"
	useReady    use = "takes flows"
	useDraining use = "keeps its flows"
)

func usedAs(c *registry.Catalog) use {
	r, ok := inUse(c, 1)
	switch {
	case !ok:
		return useNone
	case r.Draining:
		return useDraining
	}
	return useReady
}

// Guards against a drain that is forgotten since the store is restored a second time while it is held.
func TestCatalogHoldsADrainOverTwoRestores(t *testing.T) {
	g := NewWithT(t)
	c, now := registry.NewCatalog(), time.Unix(0, 0)
	c.Replace([]registry.Registration{beat(1, at(0, 26), 7, true)}, at(0, 27), now)
	for epoch := objects.Epoch(1); epoch <= 2; epoch++ {
		now = now.Add(time.Second)
		c.Replace([]registry.Registration{beat(1, at(epoch, 19), 5, false)}, at(epoch, 20), now)
		g.Expect(usedAs(c)).To(Equal(useDraining))
	}
	c.Expire(now.Add(objects.RestoreGrace - time.Millisecond))
	g.Expect(usedAs(c)).To(Equal(useDraining))
	c.Expire(now.Add(objects.RestoreGrace))
	g.Expect(usedAs(c)).To(Equal(useReady))
}

// Guards against flows that a daemon which starts after a restore of the store places at an upstream whose drain
// the snapshot lacks: the others know it.
func TestCatalogTakesOverWhatAnotherHoldsBack(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	old, newcomer := registry.NewCatalog(), registry.NewCatalog()
	gone := beat(2, at(0, 25), 4, false)
	old.Replace([]registry.Registration{beat(1, at(0, 26), 7, true), gone}, at(0, 27), now)
	snapshot := []registry.Registration{beat(1, at(1, 19), 5, false)}
	old.Replace(snapshot, at(1, 20), now)
	newcomer.Replace(snapshot, at(1, 20), now)
	g.Expect(usedAs(newcomer)).To(Equal(useReady))

	now = now.Add(time.Second)
	held, left := old.HeldEntries(now)
	g.Expect(left).To(Equal(objects.RestoreGrace - time.Second))
	g.Expect(newcomer.HoldEntries(held, left, now)).To(BeTrue())
	g.Expect(newcomer.HoldEntries(held, left, now)).To(BeFalse(), "it knows")
	g.Expect(usedAs(newcomer)).To(Equal(useDraining))
	g.Expect(newcomer.List()).To(Equal(snapshot), "what it tells is the store's word")
	g.Expect(newcomer.Digest()).To(Equal(old.Digest()))

	newcomer.Expire(now.Add(left + time.Millisecond))
	g.Expect(usedAs(newcomer)).To(Equal(useReady))
	_, left = old.HeldEntries(now.Add(objects.RestoreGrace))
	g.Expect(left).To(BeZero())
}

// Guards against a hold that goes over what an upstream wrote since.
func TestCatalogHoldsBackNothingThatWasWrittenAgain(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	c := registry.NewCatalog()
	c.Replace([]registry.Registration{beat(1, at(1, 23), 9, false)}, at(1, 23), now)
	g.Expect(c.HoldEntries([]registry.Registration{beat(1, at(1, 19), 7, true)}, time.Second, now)).To(BeFalse())
	g.Expect(usedAs(c)).To(Equal(useReady))
}

// Guards against flows that go to an upstream for longer than the bound for a drain after the store said that it is
// gone, since the store was restored a while before.
func TestCatalogLetsUpstreamsGoThatLeaveARestoredStore(t *testing.T) {
	const bound = 3 * time.Second
	g := NewWithT(t)
	c, now := registry.NewCatalog(), time.Unix(0, 0)
	list := []registry.Registration{beat(1, at(0, 19), 5, false), beat(2, at(0, 19), 5, false), beat(3, at(0, 19), 5, true)}
	c.Replace(list, at(0, 27), now)
	for i := range list {
		list[i].Revision = at(1, 19)
	}
	c.Replace(list[1:], at(1, 20), now)
	g.Expect(c.InUse()).To(HaveLen(3), "one is missing")

	c.Apply([]registry.Change{{Registration: list[2], Removed: true}}, at(1, 21), now.Add(time.Millisecond))
	g.Expect(c.InUse()).To(HaveLen(2), "one drained and left")
	c.Apply([]registry.Change{{Registration: list[1], Removed: true}}, at(1, 22), now.Add(time.Second))
	c.Expire(now.Add(bound))
	g.Expect(c.InUse()).To(BeEmpty())
}
