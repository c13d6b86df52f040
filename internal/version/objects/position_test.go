package objects_test

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/version/objects"
)

func at(epoch objects.Epoch, revision uint64) objects.Position {
	p, err := objects.NewPosition(epoch, revision)
	if err != nil {
		panic(err) // Tests use valid positions only.
	}
	return p
}

// Guards against a message of an earlier epoch that supersedes a later one because its revision is higher.
func TestPositionsAreOrderedByEpochFirst(t *testing.T) {
	g := NewWithT(t)
	for _, p := range []struct{ before, after objects.Position }{
		{0, at(0, 1)}, {at(0, 26), at(0, 27)}, {at(0, 27), at(1, 0)}, {at(1, 20), at(1, 21)}, {at(1, 1<<40-1), at(2, 1)},
	} {
		g.Expect(p.before < p.after).To(BeTrue(), "%v, %v", p.before, p.after)
		g.Expect(p.after.String()).NotTo(Equal(p.before.String()))
	}
	g.Expect(at(7, 19).Epoch()).To(BeEquivalentTo(7))
	g.Expect(at(7, 19).Revision()).To(BeEquivalentTo(19))
}

// Guards against a revision that overflows into the epoch, so that the store seems to have been restored from a snapshot.
func TestPositionsOutOfRangeAreRefused(t *testing.T) {
	for name, p := range map[string]struct {
		epoch    objects.Epoch
		revision uint64
	}{
		"revision": {0, 1 << 40}, "largest revision": {0, math.MaxUint64}, "epoch": {1 << 24, 1},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := objects.NewPosition(p.epoch, p.revision)
			NewWithT(t).Expect(err).To(MatchError(objects.ErrPosition))
		})
	}
}

// Guards against a list with pages from before and after a restore of the store. The store never had such a list.
func TestListingRefusesPageOfAnotherEpoch(t *testing.T) {
	for name, epochs := range map[string][2]objects.Epoch{"the store was restored": {0, 1}, "a lagging replica answers": {1, 0}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := objects.NewListing[int](false)
			g.Expect(l.Add(objects.Page[int]{AsOf: at(epochs[0], 20), Next: "b"})).To(Succeed())
			g.Expect(l.Add(objects.Page[int]{AsOf: at(epochs[1], 20)})).To(MatchError(objects.ErrHistoryGone))
			g.Expect(l.Done()).To(BeFalse())
		})
	}
}
