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
		panic(err) // Tests use valid positions only.
	}
	return p
}

// heartbeat returns an upstream's entry as written by one of its heartbeats at a position.
func heartbeat(id int, p objects.Position, sequence uint64, draining bool) registry.Registration {
	r := entry(id)
	r.Revision, r.Sequence, r.Draining = p, sequence, draining
	return r
}

// inUse returns the registration that an upstream is routed by, and whether there is one.
func inUse(c *registry.Catalog, id bundle.UpstreamID) (registry.Registration, bool) {
	for _, r := range c.InUse() {
		if r.ID == id {
			return r, true
		}
	}
	return registry.Registration{}, false
}

// Guards against keeping the former list though the store was restored from a snapshot and has lower revisions.
func TestCatalogReplacesListByOneOfLaterEpoch(t *testing.T) {
	g := NewWithT(t)
	c, now := registry.NewCatalog(), time.Unix(0, 0)
	c.Replace([]registry.Registration{heartbeat(1, at(0, 27), 5, false)}, at(0, 27), now)
	c.Replace([]registry.Registration{heartbeat(1, at(1, 20), 6, true)}, at(1, 21), now)
	g.Expect(c.AsOf).To(Equal(at(1, 21)))
	r, _ := inUse(c, 1)
	g.Expect(r.Draining).To(BeTrue())
	late := []registry.Registration{heartbeat(1, at(0, 99), 9, false)}
	g.Expect(c.Replace(late, at(0, 99), now)).To(BeFalse(), "an answer of the earlier epoch")
	g.Expect(c.AsOf).To(Equal(at(1, 21)))
}

// Guards against applying changes to a list of another epoch, to which they weren't made.
func TestCatalogRefusesChangesOfAnotherEpoch(t *testing.T) {
	g := NewWithT(t)
	c, now := registry.NewCatalog(), time.Unix(0, 0)
	c.Replace([]registry.Registration{heartbeat(1, at(0, 20), 5, false)}, at(0, 27), now)
	drains := []registry.Change{{Registration: heartbeat(1, at(1, 28), 6, true)}}
	g.Expect(c.Apply(drains, at(1, 28), now)).To(BeFalse())
	g.Expect(c.ApplyIfComplete(drains, at(1, 28), 0, now)).To(BeFalse())
	g.Expect(c.AsOf).To(Equal(at(0, 27)))
	empty := registry.NewCatalog()
	empty.Replace(nil, at(0, 27), now)
	g.Expect(empty.ApplyIfComplete(nil, at(1, 28), empty.Digest(), now)).To(BeFalse())
	g.Expect(empty.AsOf).To(Equal(at(0, 27)), "both lists are empty, but of different epochs")

	c.Replace([]registry.Registration{heartbeat(1, at(1, 20), 5, false)}, at(1, 24), now)
	_, ok := c.Since(at(0, 27))
	g.Expect(ok).To(BeFalse(), "a member of the earlier epoch needs the whole list")
	_, ok = c.Since(at(1, 24))
	g.Expect(ok).To(BeTrue())
}

// Guards against placing new flows at an upstream whose drain the snapshot lacks, and against resetting the flows of an
// upstream that the snapshot lacks.
func TestCatalogHoldsWhatSnapshotLacks(t *testing.T) {
	const known, restored = 27, 20
	ready, drains := heartbeat(1, at(0, 19), 5, false), heartbeat(1, at(0, 26), 7, true)
	startedAt := func(r registry.Registration, at registry.UnixMilli) registry.Registration {
		r.StartTime = at
		return r
	}
	for name, tc := range map[string]struct {
		// before are the lists before the restore, in their order, restored is the store's list after it, and later
		// are the changes that the store reports then.
		before   [][]registry.Registration
		restored []registry.Registration
		later    []registry.Change
		// withinGrace and afterGrace are how the upstream is used within the grace period and after it, afterChanges
		// how it is used once the changes are applied, same as withinGrace if empty.
		withinGrace, afterChanges, afterGrace use
	}{
		"the snapshot lacks the drain": {
			before: [][]registry.Registration{{drains}}, restored: []registry.Registration{heartbeat(1, at(1, 19), 5, false)},
			withinGrace: useDraining, afterGrace: useReady,
		},
		"the snapshot lacks the drain, which is written again": {
			before: [][]registry.Registration{{drains}}, restored: []registry.Registration{heartbeat(1, at(1, 19), 5, false)},
			later:       []registry.Change{{Registration: heartbeat(1, at(1, 21), 8, true)}},
			withinGrace: useDraining, afterGrace: useDraining,
		},
		"the snapshot has the drain": {
			before: [][]registry.Registration{{drains}}, restored: []registry.Registration{heartbeat(1, at(1, 20), 7, true)},
			withinGrace: useDraining, afterGrace: useDraining,
		},
		"the snapshot lacks the upstream": {
			before: [][]registry.Registration{{ready}}, withinGrace: useReady, afterGrace: useNone,
		},
		"the snapshot lacks the draining upstream": {
			before: [][]registry.Registration{{drains}}, withinGrace: useDraining, afterGrace: useNone,
		},
		"the snapshot lacks the upstream, which registers again": {
			before: [][]registry.Registration{{ready}}, later: []registry.Change{{Registration: heartbeat(1, at(1, 21), 6, false)}},
			withinGrace: useReady, afterGrace: useReady,
		},
		"the upstream had deregistered": {
			before: [][]registry.Registration{{ready}, {drains}, {}}, restored: []registry.Registration{heartbeat(1, at(1, 19), 5, false)},
			withinGrace: useDraining, afterGrace: useReady,
		},
		"the upstream had deregistered and is removed again": {
			before: [][]registry.Registration{{ready}, {drains}, {}}, restored: []registry.Registration{heartbeat(1, at(1, 19), 5, false)},
			later:       []registry.Change{{Registration: heartbeat(1, at(1, 21), 5, false), Removed: true}},
			withinGrace: useDraining, afterChanges: useNone, afterGrace: useNone,
		},
		"the snapshot has a later incarnation": {
			before:      [][]registry.Registration{{startedAt(drains, 3)}},
			restored:    []registry.Registration{startedAt(heartbeat(1, at(1, 21), 1, false), 9)},
			withinGrace: useReady, afterGrace: useReady,
		},
		"the snapshot has an earlier incarnation": {
			before:      [][]registry.Registration{{startedAt(drains, 9)}},
			restored:    []registry.Registration{startedAt(heartbeat(1, at(1, 19), 70, false), 3)},
			withinGrace: useDraining, afterGrace: useReady,
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
			g.Expect(c.Digest()).To(Equal(reader.Digest()), "it agrees with a catalog that only read the snapshot")
			g.Expect(c.List()).To(Equal(reader.List()))
			g.Expect(usedAs(c)).To(Equal(tc.withinGrace))
			c.Apply(tc.later, at(1, restored+5), now)
			g.Expect(usedAs(c)).To(Equal(cmp.Or(tc.afterChanges, tc.withinGrace)))
			c.Expire(now.Add(objects.RestoreGrace + time.Millisecond))
			g.Expect(usedAs(c)).To(Equal(tc.afterGrace))
		})
	}
}

// use says how flows are routed to an upstream.
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

// Guards against losing a drain that is held when the store is restored a second time.
func TestCatalogHoldsDrainOverTwoRestores(t *testing.T) {
	g := NewWithT(t)
	c, now := registry.NewCatalog(), time.Unix(0, 0)
	c.Replace([]registry.Registration{heartbeat(1, at(0, 26), 7, true)}, at(0, 27), now)
	for epoch := objects.Epoch(1); epoch <= 2; epoch++ {
		now = now.Add(time.Second)
		c.Replace([]registry.Registration{heartbeat(1, at(epoch, 19), 5, false)}, at(epoch, 20), now)
		g.Expect(usedAs(c)).To(Equal(useDraining))
	}
	c.Expire(now.Add(objects.RestoreGrace - time.Millisecond))
	g.Expect(usedAs(c)).To(Equal(useDraining))
	c.Expire(now.Add(objects.RestoreGrace))
	g.Expect(usedAs(c)).To(Equal(useReady))
}

// Guards against a daemon that starts after a restore of the store and places flows at an upstream whose drain the
// snapshot lacks, though the other daemons know it.
func TestCatalogTakesOverHeldEntries(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	old, joining := registry.NewCatalog(), registry.NewCatalog()
	lost := heartbeat(2, at(0, 25), 4, false)
	old.Replace([]registry.Registration{heartbeat(1, at(0, 26), 7, true), lost}, at(0, 27), now)
	snapshot := []registry.Registration{heartbeat(1, at(1, 19), 5, false)}
	old.Replace(snapshot, at(1, 20), now)
	joining.Replace(snapshot, at(1, 20), now)
	g.Expect(usedAs(joining)).To(Equal(useReady))

	now = now.Add(time.Second)
	held, left := old.HeldEntries(now)
	g.Expect(left).To(Equal(objects.RestoreGrace - time.Second))
	g.Expect(joining.HoldEntries(held, left, now)).To(BeTrue())
	g.Expect(joining.HoldEntries(held, left, now)).To(BeFalse(), "it has them already")
	g.Expect(usedAs(joining)).To(Equal(useDraining))
	g.Expect(joining.List()).To(Equal(snapshot), "its list is the store's")
	g.Expect(joining.Digest()).To(Equal(old.Digest()))

	joining.Expire(now.Add(left + time.Millisecond))
	g.Expect(usedAs(joining)).To(Equal(useReady))
	_, left = old.HeldEntries(now.Add(objects.RestoreGrace))
	g.Expect(left).To(BeZero())
}

// Guards against a held entry that overrides what the upstream wrote later.
func TestCatalogDoesNotHoldOverLaterWrite(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	c := registry.NewCatalog()
	c.Replace([]registry.Registration{heartbeat(1, at(1, 23), 9, false)}, at(1, 23), now)
	g.Expect(c.HoldEntries([]registry.Registration{heartbeat(1, at(1, 19), 7, true)}, time.Second, now)).To(BeFalse())
	g.Expect(usedAs(c)).To(Equal(useReady))
}

// Guards against placing flows at an upstream for longer than the bound for a drain after the store removed it, because the
// store was restored shortly before.
func TestCatalogRemovesUpstreamsThatLeaveRestoredStore(t *testing.T) {
	const bound = 3 * time.Second
	g := NewWithT(t)
	c, now := registry.NewCatalog(), time.Unix(0, 0)
	list := []registry.Registration{
		heartbeat(1, at(0, 19), 5, false), heartbeat(2, at(0, 19), 5, false), heartbeat(3, at(0, 19), 5, true),
	}
	c.Replace(list, at(0, 27), now)
	for i := range list {
		list[i].Revision = at(1, 19)
	}
	c.Replace(list[1:], at(1, 20), now)
	g.Expect(c.InUse()).To(HaveLen(3), "one is missing")

	c.Apply([]registry.Change{{Registration: list[2], Removed: true}}, at(1, 21), now.Add(time.Millisecond))
	g.Expect(c.InUse()).To(HaveLen(2), "one drained and deregistered")
	c.Apply([]registry.Change{{Registration: list[1], Removed: true}}, at(1, 22), now.Add(time.Second))
	c.Expire(now.Add(bound))
	g.Expect(c.InUse()).To(BeEmpty())
}
