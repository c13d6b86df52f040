package cookiedaemon

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/process/settings"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
	"github.com/fescueshed/fescueshed/internal/version/transfer"
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

// pagedFeed is a store whose answers to a watch hold one change each.
type pagedFeed struct{ watched []objects.Position }

func (*pagedFeed) List(context.Context, objects.ListOptions) (objects.Page[int], error) {
	return objects.Page[int]{}, objects.ErrConflict
}

func (f *pagedFeed) Watch(_ context.Context, from objects.Position, _ time.Duration) (objects.Changes[int], error) {
	f.watched = append(f.watched, from)
	return objects.Changes[int]{AsOf: from + 1, List: []objects.Change[int]{{}}}, nil
}

// Guards against a reader that counts the store as lost because others sent it more than one answer
// of its watch holds: each of a thousand hosts then read the store for itself.
func TestFollowerGoesOnFromWhatOthersSent(t *testing.T) {
	g := NewWithT(t)
	known := objects.Position(5)
	f := &follower[int]{objectHandler: objectHandler[int]{position: func() objects.Position { return known }}}
	g.Expect(f.resumeFrom(0)).To(Equal(objects.Position(5)), "nothing was read yet")
	g.Expect(f.resumeFrom(3)).To(Equal(objects.Position(5)), "others sent more")
	g.Expect(f.resumeFrom(9)).To(Equal(objects.Position(9)), "others sent less")
	known = 0
	g.Expect(f.resumeFrom(9)).To(Equal(objects.Position(9)), "the list isn't known as a whole")
	known = 20
	f.fresh = true
	g.Expect(f.resumeFrom(9)).To(Equal(objects.Position(9)), "the kind must be listed again")
}

// The same over a whole run: the reader never answers a watch as of an earlier position than is
// known.
func TestFollowerOfPagedWatchDoesNotLoseTheStore(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	d := &Daemon{start: newStartup(time.Now(), false), state: storeState{catalog: registry.NewCatalog()}}
	d.cfg.Store(&settings.Cookie{})
	known := objects.Position(1)
	feed := &pagedFeed{}
	f := newFollower(d, kindUpstreams, feed, objectHandler[int]{
		changes:  func(objects.Changes[int], time.Time) {},
		position: func() objects.Position { return known },
	})
	for range 3 {
		known += 10 // Another daemon sent ten changes meanwhile.
		next, _, err := f.step(ctx, f.resumeFrom(known-10))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(next).To(Equal(known + 1))
	}
	cancel()
	g.Expect(feed.watched).To(Equal([]objects.Position{11, 21, 31}))
	g.Expect(d.outdatedAnswers[kindUpstreams].Load()).To(BeZero())
}

// silentFeed is a store that leaves every second watch unanswered.
type silentFeed struct {
	pagedFeed
	waits []time.Duration
}

func (f *silentFeed) Watch(_ context.Context, from objects.Position, wait time.Duration) (objects.Changes[int], error) {
	f.waits = append(f.waits, wait)
	if len(f.waits)%2 == 1 {
		return objects.Changes[int]{}, transfer.ErrStalled
	}
	return objects.Changes[int]{AsOf: from}, nil
}

// Guards against a reader whose content stays outdated for the wait of another watch after the store left one
// unanswered: other daemons would take over and read all that has changed.
func TestFollowerDoesNotWaitAfterUnansweredWatch(t *testing.T) {
	g := NewWithT(t)
	feed := &silentFeed{}
	const wait = 800 * time.Millisecond
	d := &Daemon{start: newStartup(time.Now(), false), state: storeState{catalog: registry.NewCatalog()}}
	d.cfg.Store(&settings.Cookie{WatchWait: bundle.Duration(wait)})
	f := &follower[int]{
		daemon: d, listWatcher: feed, objectHandler: objectHandler[int]{changes: func(objects.Changes[int], time.Time) {}},
	}
	for range 4 {
		_, _, _ = f.step(t.Context(), 5)
	}
	g.Expect(feed.waits).To(Equal([]time.Duration{wait, 0, wait, 0}))
}
