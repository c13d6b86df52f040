package cookiedaemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/process/logs"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/transfer"
)

const (
	// readCheckPeriod is how often a daemon that doesn't read the store checks whether it should.
	readCheckPeriod = 100 * time.Millisecond
	// batchPause is the pause before the next watch after a change. Further changes accumulate
	// meanwhile: one call then returns many of them, and a burst of changes costs few calls.
	batchPause = 150 * time.Millisecond
)

// objectHandler defines how a daemon handles one kind of objects that it reads.
type objectHandler[T any] struct {
	// list applies a whole list, changes applies what changed after it. Both get the time at which
	// the store answered.
	list    func(objects.Snapshot[T], time.Time)
	changes func(objects.Changes[T], time.Time)
	// position returns the position from which to watch the kind, by what other daemons sent, or
	// zero if the kind must be listed. It may be nil.
	position func() objects.Position
	// multiPage reports that a list of the kind may take many pages.
	multiPage bool
}

// follower follows one kind of the store's objects.
type follower[T any] struct {
	objectHandler[T]
	daemon      *Daemon
	kind        kind
	listWatcher objects.ListWatcher[T]
	// failingSince is the time since which calls fail, or zero if they don't.
	failingSince time.Time
	// listing is the list in progress, or nil if there is none. fresh is set if the next list must
	// not have stale pages.
	listing *objects.Listing[T]
	fresh   bool
	// withoutWait is set if the next watch must not wait for a change, since the last one failed while it
	// waited. Its answer confirms what is known as soon as the store answers again, before other daemons
	// take over and read all that has changed.
	withoutWait bool
	// stalls counts watches that the store doesn't answer although it answers other calls.
	stalls objects.StallDetector
	// starting reports that the list was begun before the daemon could place flows.
	starting bool
	// positionBefore is the position as of which the kind was known when the list in progress was
	// begun.
	positionBefore objects.Position
	// unusableLimiter limits log lines about objects that can't be used, outdatedLimiter those
	// about outdated answers, unreadableLimiter those about answers that can't be decoded.
	unusableLimiter, outdatedLimiter, unreadableLimiter *logs.Limiter
}

func newFollower[T any](d *Daemon, k kind, listWatcher objects.ListWatcher[T], handler objectHandler[T]) *follower[T] {
	return &follower[T]{
		objectHandler: handler, daemon: d, kind: k, listWatcher: listWatcher,
		unusableLimiter: logs.NewLimiter(unusableLines), outdatedLimiter: newOutdatedLimiter(),
		unreadableLimiter: logs.NewLimiter(unreadableLines),
	}
}

// run follows the kind until ctx ends, whenever this daemon should read the store.
func (f *follower[T]) run(ctx context.Context) {
	// Zero means that the kind must be listed.
	var asOf objects.Position
	// failures and lostHistories count consecutive failed calls and consecutive answers that the
	// history is no longer available.
	failures, lostHistories := 0, 0
	for ctx.Err() == nil {
		if !f.daemon.shouldReadStore(time.Now()) {
			asOf, f.listing, failures, lostHistories = 0, nil, 0, 0
			f.daemon.awaitReadCheck(ctx)
			continue
		}
		asOf = f.resumeFrom(asOf)
		began := time.Now()
		next, changed, err := f.step(ctx, asOf)
		if eris.Is(err, objects.ErrUnreadable) || asOf == 0 && eris.Is(err, objects.ErrTooLarge) {
			f.noteUnreadable(err)
		}
		switch {
		case err == nil:
			asOf, failures, lostHistories = next, 0, 0
			f.stalls.RecordAnswered()
			if changed {
				f.daemon.members.advertise(time.Now())
				sleep(ctx, batchPause)
			}
		case eris.Is(err, objects.ErrHistoryGone):
			klog.InfoS("Store history is no longer available, listing again", "Kind", f.kind, "AsOf", asOf, "Error", err.Error())
			asOf, f.listing, f.fresh = 0, nil, true
			if lostHistories > 0 {
				// The store's members that answer are of different epochs.
				f.pause(ctx, lostHistories)
			}
			lostHistories++
		case asOf != 0 && f.shouldRelist(err, began):
			klog.InfoS("Store can't be watched, it is listed", "Kind", f.kind, "AsOf", asOf, "Error", err.Error())
			asOf, f.listing, f.fresh = 0, nil, true
		default:
			if eris.Is(err, objects.ErrOutdated) {
				// When the store answers as of a later position again, changes in between may be
				// missing.
				asOf, f.fresh = 0, true
			}
			f.noteFailure(err)
			f.pause(ctx, failures)
			failures++
		}
	}
}

// resumeFrom returns the position from which to go on, given the one of the last answer: the one up
// to which other daemons have sent more, if that is later. An answer to a watch holds a bounded
// number of changes, so one that goes on from an earlier position may lead to a position that is
// known already, as if the store were outdated.
func (f *follower[T]) resumeFrom(asOf objects.Position) objects.Position {
	if f.position == nil || f.fresh {
		return asOf
	}
	if known := f.position(); asOf == 0 || known > asOf && known.Epoch() == asOf.Epoch() {
		return known
	}
	return asOf
}

// pause waits before the next call, by the number of consecutive failures.
func (f *follower[T]) pause(ctx context.Context, failures int) {
	sleep(ctx, peer.RetryPause(f.daemon.members.view.Load().ReaderRank(), failures, rand.Float64()))
}

// shouldRelist reports whether to replace a failed watch by a list: the watch would return too
// much or what can't be decoded, or the store doesn't answer it although it answers other calls.
func (f *follower[T]) shouldRelist(err error, began time.Time) bool {
	if eris.Is(err, objects.ErrTooLarge) || eris.Is(err, objects.ErrUnreadable) {
		return true
	}
	if !eris.Is(err, transfer.ErrStalled) {
		return false
	}
	f.daemon.mu.Lock()
	defer f.daemon.mu.Unlock()
	return f.stalls.RecordStalled(began, f.daemon.state.answeredAt)
}

// step lists or watches once and applies the result. It returns the position to go on from and
// whether anything changed. A starting daemon waits a little after its list for those of the other
// kinds: once all are there, another daemon may follow the store.
func (f *follower[T]) step(ctx context.Context, asOf objects.Position) (objects.Position, bool, error) {
	if asOf == 0 {
		next, err := f.listAll(ctx)
		if err == nil {
			f.daemon.awaitReadyWithTimeout(ctx)
		}
		return next, err == nil, err
	}
	before := f.daemon.positionOf(f.kind)
	wait := time.Duration(f.daemon.cfg.Load().WatchWait)
	if f.withoutWait {
		wait = 0
	}
	ch, err := f.listWatcher.Watch(ctx, asOf, wait)
	f.withoutWait = err != nil && wait > 0
	if err == nil {
		err = f.checkAnswer(ch.AsOf, before, time.Now())
	}
	if err != nil {
		return asOf, false, err
	}
	f.noteAnswer()
	f.reportUnusableChanges(&ch)
	f.changes(ch, time.Now())
	return ch.AsOf, len(ch.List) > 0, nil
}

// listAll reads the whole list. A starting daemon reads stale pages after the first one, and a
// watch that doesn't wait then returns the changes that they lack. When all hosts start after a
// power loss, fresh pages would exceed the store's limit, as their number is hosts times pages. Any
// other daemon reads fresh pages: a store that has dropped its history may serve stale pages and
// watches without events at the same time, and the list would count as complete although it lacks
// seconds.
func (f *follower[T]) listAll(ctx context.Context) (objects.Position, error) {
	if f.listing == nil {
		f.starting = !f.daemon.start.ready.isSet()
		f.positionBefore = f.daemon.positionOf(f.kind)
		f.listing = objects.NewListing[T](f.multiPage && !f.fresh && f.starting)
	}
	for !f.listing.Done() {
		p, err := f.page(ctx)
		if f.receivedMeanwhile(ctx) {
			f.listing = nil
			return f.position(), nil
		}
		if err != nil {
			f.listing.RecordFailure()
			return 0, err
		}
		f.reportUnusable(p.Findings, p.Objects)
		if err := f.listing.Add(p); err != nil {
			return 0, err
		}
	}
	s := f.listing.Snapshot()
	late := objects.Changes[T]{AsOf: s.AsOf}
	if f.listing.NeedsWatch() {
		ch, err := f.listWatcher.Watch(ctx, s.AsOf, 0)
		if eris.Is(err, objects.ErrTooLarge) {
			// The changes since the oldest page only grow. A list of fresh pages lacks none.
			f.listing, f.fresh = nil, true
		}
		if err != nil {
			return 0, err
		}
		f.reportUnusableChanges(&ch)
		late = ch
	}
	f.listing = nil
	now := time.Now()
	if err := f.checkAnswer(late.AsOf, f.positionBefore, now); err != nil {
		return 0, err
	}
	f.fresh = false
	f.noteAnswer()
	f.list(s, now)
	f.changes(late, now)
	return late.AsOf, nil
}

// page reads the next page. A starting daemon may skip a large one if another daemon sends the list
// meanwhile.
func (f *follower[T]) page(ctx context.Context) (objects.Page[T], error) {
	o := f.listing.Next()
	if f.starting && f.position != nil {
		o.AcceptSize = func(size int64) bool { return f.daemon.listStillNeeded(ctx, size) }
	}
	return f.listWatcher.List(ctx, o)
}

// receivedMeanwhile reports whether a starting daemon has received a catalog from a member while it
// was reading.
func (f *follower[T]) receivedMeanwhile(ctx context.Context) bool {
	return f.starting && f.position != nil && ctx.Err() == nil && f.daemon.start.ready.isSet()
}

// reportUnusable counts objects that can't be used and logs them, at most unusableLines a second:
// without the limit, a writer that replaces thousands of entries would fill the logs of every
// daemon that reads the store.
func (f *follower[T]) reportUnusable(findings []error, list []objects.Object[T]) {
	for _, err := range findings {
		f.unusable(err)
	}
	for i := range list {
		if list[i].Err != nil {
			f.unusable(list[i].Err)
		}
	}
}

func (f *follower[T]) reportUnusableChanges(ch *objects.Changes[T]) {
	f.reportUnusable(ch.Findings, nil)
	for i := range ch.List {
		if o := &ch.List[i].Object; o.Err != nil && !ch.List[i].Deleted {
			f.unusable(o.Err)
		}
	}
}

const (
	// unusableLines is the limit of log lines per second about unusable objects of one kind.
	unusableLines = 5
	// unreadableLines is the limit of log lines per second about answers that can't be decoded.
	unreadableLines = 1
)

func (f *follower[T]) unusable(err error) {
	f.daemon.unusable.Add(1)
	if left, ok := f.unusableLimiter.Allow(time.Now()); ok {
		klog.ErrorS(err, "Stored object can't be used", "Kind", f.kind, "LeftOut", left)
	}
}

// noteUnreadable counts and logs an answer that can't be decoded, or a page that is too large. The same call gets the same
// answer until the store's content changes, so a single line when the calls begin to fail isn't enough.
func (f *follower[T]) noteUnreadable(err error) {
	f.daemon.unreadableAnswers[f.kind].Add(1)
	if left, ok := f.unreadableLimiter.Allow(time.Now()); ok {
		klog.ErrorS(err, "Store's answer can't be decoded", "Kind", f.kind, "LeftOut", left)
	}
}

// noteFailure records a failed call and fetches the catalog of a member in another zone: this whole
// zone may have lost the store while other zones reach it.
func (f *follower[T]) noteFailure(err error) {
	if to := f.daemon.members.memberInOtherZone(); to.IsValid() {
		f.daemon.members.pull(to, false)
	}
	now := time.Now()
	f.daemon.noteStoreFailure(now)
	if f.failingSince.IsZero() {
		f.failingSince = now
		klog.ErrorS(err, "Store lost", "Kind", f.kind)
	}
}

// noteAnswer records that the store answers. If the list of upstreams had not been confirmed for
// outageAfter, by this daemon or by advertisements, it may lack upstreams whose entries expired
// during the outage.
func (f *follower[T]) noteAnswer() {
	now := time.Now()
	f.daemon.mu.Lock()
	f.daemon.state.failedAt, f.daemon.state.answeredAt = time.Time{}, now
	if last := f.daemon.state.confirmed[kindUpstreams]; !last.IsZero() && now.Sub(last) > outageAfter {
		f.daemon.state.catalog.StoreRecovered(now)
	}
	f.daemon.mu.Unlock()
	if !f.failingSince.IsZero() {
		klog.InfoS("Store regained", "Kind", f.kind, "After", now.Sub(f.failingSince))
		f.failingSince = time.Time{}
	}
}

// outageAfter is how long confirmations from the store may be missing before entries that are
// missing afterwards are suspect. Upstreams' entries expire after three heartbeats, 3.6 s. The
// takeover of a failed store reader takes less than outageAfter.
const outageAfter = 2800 * time.Millisecond

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
