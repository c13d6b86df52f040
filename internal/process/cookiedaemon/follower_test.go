package cookiedaemon

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// busyFeed is a store that serves only stale pages at first, and has too many changes since them.
type busyFeed struct{ lists int }

func (f *busyFeed) List(_ context.Context, o objects.ListOptions) (objects.Page[int], error) {
	f.lists++
	if f.lists == 1 {
		return objects.Page[int]{}, objects.ErrConflict
	}
	if o.Stale {
		return objects.Page[int]{AsOf: 5}, nil
	}
	return objects.Page[int]{AsOf: 9}, nil
}

func (*busyFeed) Watch(context.Context, objects.Position, time.Duration) (objects.Changes[int], error) {
	return objects.Changes[int]{}, objects.ErrTooLarge
}

// A daemon that starts while the store is busy gets a list of stale pages, and the changes since
// them exceed the limit of an answer. Guards against a daemon that requests just these changes
// again and again, and never becomes ready.
func TestFollowerRelistsAfterTooManyChangesSinceStalePages(t *testing.T) {
	g := NewWithT(t)
	var listed objects.Position
	f := &follower[int]{
		daemon:      &Daemon{start: newStartup(time.Now(), false), state: storeState{catalog: registry.NewCatalog()}},
		listWatcher: &busyFeed{},
		objectHandler: objectHandler[int]{
			multiPage: true,
			list:      func(s objects.Snapshot[int], _ time.Time) { listed = s.AsOf },
			changes:   func(objects.Changes[int], time.Time) {},
		},
	}
	for range 2 {
		_, err := f.listAll(t.Context())
		g.Expect(err).To(HaveOccurred())
	}
	asOf, err := f.listAll(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(asOf).To(BeEquivalentTo(9))
	g.Expect(listed).To(BeEquivalentTo(9))
}

// All hosts start after a power loss with a large bundle. Guards against small hosts that each read
// it from the store over their slow links, while a larger member that started earlier would send it
// in a twentieth of the bytes.
func TestFollowerHoldsPageOnlyDuringStartAndIfOthersSendTheKind(t *testing.T) {
	for name, tc := range map[string]struct {
		ready, sentByOthers, holds bool
	}{
		"during the start": {sentByOthers: true, holds: true},
		"during the start, a kind that other daemons don't send": {},
		"after the start": {ready: true, sentByOthers: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			feed := &holdingFeed{}
			f := &follower[int]{
				daemon:      &Daemon{start: newStartup(time.Now(), false), state: storeState{catalog: registry.NewCatalog()}},
				listWatcher: feed,
				objectHandler: objectHandler[int]{
					list:    func(objects.Snapshot[int], time.Time) {},
					changes: func(objects.Changes[int], time.Time) {},
				},
			}
			if tc.sentByOthers {
				f.position = func() objects.Position { return 0 }
			}
			if tc.ready {
				f.daemon.start.ready.set()
			}
			_, err := f.listAll(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(feed.held).To(Equal(tc.holds))
		})
	}
}

// holdingFeed records whether the last requested page may be held back.
type holdingFeed struct {
	busyFeed
	held bool
}

func (f *holdingFeed) List(_ context.Context, o objects.ListOptions) (objects.Page[int], error) {
	f.held = o.AcceptSize != nil
	return objects.Page[int]{AsOf: 9}, nil
}
