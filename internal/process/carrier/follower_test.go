package carrier

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// busyFeed is a store that serves stale pages only at first, and has too many changes since them.
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

// A daemon that starts while the store is busy has a list of stale pages, and what changed since is more
// than an answer may have. It asks for just that again and again, and never serves.
func TestFollowerListsAnewIfTooMuchChangedSinceStalePages(t *testing.T) {
	g := NewWithT(t)
	var listed objects.Position
	f := &follower[int]{
		c:    &Carrier{start: newStartup(time.Now(), false), known: knowledge{catalog: registry.NewCatalog()}},
		feed: &busyFeed{},
		intake: intake[int]{
			long:    true,
			list:    func(s objects.Snapshot[int], _ time.Time) { listed = s.AsOf },
			changes: func(objects.Changes[int], time.Time) {},
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

// All hosts come back from a loss of power to a large bundle. Each small one reads it from the store over its
// thin link, where a larger member that came back before it tells a twentieth of the bytes.
func TestFollowerHoldsAPageBackOnlyAtAStartAndIfOthersTellTheKind(t *testing.T) {
	for name, tc := range map[string]struct {
		ready, told, holds bool
	}{
		"at a start":                           {told: true, holds: true},
		"at a start, a kind that nobody tells": {},
		"later":                                {ready: true, told: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			feed := &holdingFeed{}
			f := &follower[int]{
				c:    &Carrier{start: newStartup(time.Now(), false), known: knowledge{catalog: registry.NewCatalog()}},
				feed: feed,
				intake: intake[int]{
					list:    func(objects.Snapshot[int], time.Time) {},
					changes: func(objects.Changes[int], time.Time) {},
				},
			}
			if tc.told {
				f.known = func() objects.Position { return 0 }
			}
			if tc.ready {
				f.c.start.ready.happen()
			}
			_, err := f.listAll(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(feed.held).To(Equal(tc.holds))
		})
	}
}

// holdingFeed notes whether a page was asked for that may be held back.
type holdingFeed struct {
	busyFeed
	held bool
}

func (f *holdingFeed) List(_ context.Context, o objects.ListOptions) (objects.Page[int], error) {
	f.held = o.AcceptSize != nil
	return objects.Page[int]{AsOf: 9}, nil
}
