package carrier

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
	// idlePoll is how often a daemon that doesn't read looks whether it should.
	idlePoll = 100 * time.Millisecond
	// batchPause lets further changes gather before the next watch: one call then
	// brings many of them, and a storm of changes costs few calls.
	batchPause = 150 * time.Millisecond
)

// intake is what a daemon does with a kind of objects that it reads.
type intake[T any] struct {
	// list takes a whole list, changes what came after it. Both are told when the
	// store answered.
	list    func(objects.Snapshot[T], time.Time)
	changes func(objects.Changes[T], time.Time)
	// known returns the revision from which the kind is known by what others told, zero if it
	// must be listed. It may be nil.
	known func() objects.Position
	// long says that the kind may take many pages to list.
	long bool
}

// follower keeps up with one kind of the store's objects.
type follower[T any] struct {
	intake[T]
	c    *Carrier
	kind kind
	feed objects.ListWatcher[T]
	// failed is since when calls fail; zero if they don't.
	failed time.Time
	// listing is the list in progress, nil if there is none. fresh says that the next
	// must not be a stale one.
	listing *objects.Listing[T]
	fresh   bool
	// stalls counts watches that the store doesn't answer though it answers others.
	stalls objects.StallDetector
	// starting says that the list was begun before the daemon could place flows.
	starting bool
	// listedFrom is the position as of which the kind was known when the list in progress was begun.
	listedFrom objects.Position
	// lines bounds the lines about objects that can't be used, outdated those about outdated answers.
	lines, outdated *logs.Limiter
}

func newFollower[T any](c *Carrier, k kind, feed objects.ListWatcher[T], in intake[T]) *follower[T] {
	return &follower[T]{intake: in, c: c, kind: k, feed: feed, lines: logs.NewLimiter(unusableLines), outdated: newOutdatedLimiter()}
}

func (f *follower[T]) run(ctx context.Context) {
	// Zero means that the kind is to be listed.
	var asOf objects.Position
	// failures and gone count failed calls, and histories that are gone, in a row.
	failures, gone := 0, 0
	for ctx.Err() == nil {
		if !f.c.reads(time.Now()) {
			asOf, f.listing, failures, gone = 0, nil, 0, 0
			f.c.awaitTurn(ctx)
			continue
		}
		if asOf == 0 && f.known != nil && !f.fresh {
			asOf = f.known()
		}
		began := time.Now()
		next, changed, err := f.step(ctx, asOf)
		switch {
		case err == nil:
			asOf, failures, gone = next, 0, 0
			f.stalls.RecordAnswered()
			if changed {
				f.c.members.tellNews(time.Now())
				sleep(ctx, batchPause)
			}
		case eris.Is(err, objects.ErrHistoryGone):
			klog.InfoS("Store dropped its history", "Kind", f.kind, "AsOf", asOf, "Error", err.Error())
			asOf, f.listing, f.fresh = 0, nil, true
			if gone > 0 {
				// Those who answer are of different epochs.
				f.pause(ctx, gone)
			}
			gone++
		case asOf != 0 && f.listsInstead(err, began):
			klog.InfoS("Store can't be watched, it is listed", "Kind", f.kind, "AsOf", asOf, "Error", err.Error())
			asOf, f.listing, f.fresh = 0, nil, true
		default:
			if eris.Is(err, objects.ErrOutdated) {
				// Once the store answers as of a later position, changes may be missing in between.
				asOf, f.fresh = 0, true
			}
			f.fails(err)
			f.pause(ctx, failures)
			failures++
		}
	}
}

// pause waits after so many failed calls in a row.
func (f *follower[T]) pause(ctx context.Context, failures int) {
	sleep(ctx, peer.RetryPause(f.c.members.view.Load().ReaderRank(), failures, rand.Float64()))
}

// listsInstead reports whether a watch that failed is to be given up for a list: it would bring too
// much, or the store, which answers other calls, doesn't answer it.
func (f *follower[T]) listsInstead(err error, began time.Time) bool {
	if eris.Is(err, objects.ErrTooLarge) {
		return true
	}
	if !eris.Is(err, transfer.ErrStalled) {
		return false
	}
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	return f.stalls.RecordStalled(began, f.c.known.answered)
}

// step lists or watches once and takes in what that brings. A daemon that starts waits a little
// after its list for the other kind's: once both are there, another may follow the store.
func (f *follower[T]) step(ctx context.Context, asOf objects.Position) (objects.Position, bool, error) {
	if asOf == 0 {
		next, err := f.listAll(ctx)
		if err == nil {
			f.c.awaitOtherKind(ctx)
		}
		return next, err == nil, err
	}
	before := f.c.knownAsOf(f.kind)
	ch, err := f.feed.Watch(ctx, asOf, time.Duration(f.c.cfg.Load().WatchWait))
	if err == nil {
		err = f.checkAnswer(ch.AsOf, before, time.Now())
	}
	if err != nil {
		return asOf, false, err
	}
	f.answered()
	f.reportChanges(&ch)
	f.changes(ch, time.Now())
	return ch.AsOf, len(ch.List) > 0, nil
}

// listAll reads the whole list. A daemon that starts takes stale pages after the first, and
// a watch that doesn't wait then brings what they lack: when all hosts come back from a loss
// of power, fresh ones are more than the store allows: hosts times pages. Any other daemon takes fresh pages: a store that
// drops its history is stale and deaf at once, and the list would be taken for complete
// though it lacks seconds.
func (f *follower[T]) listAll(ctx context.Context) (objects.Position, error) {
	if f.listing == nil {
		f.starting = !f.c.start.ready.happened()
		f.listedFrom = f.c.knownAsOf(f.kind)
		f.listing = objects.NewListing[T](f.long && !f.fresh && f.starting)
	}
	for !f.listing.Done() {
		p, err := f.page(ctx)
		if f.toldMeanwhile(ctx) {
			f.listing = nil
			return f.known(), nil
		}
		if err != nil {
			f.listing.RecordFailure()
			return 0, err
		}
		f.report(p.Findings, p.Objects)
		if err := f.listing.Add(p); err != nil {
			return 0, err
		}
	}
	s := f.listing.Snapshot()
	late := objects.Changes[T]{AsOf: s.AsOf}
	if f.listing.NeedsWatch() {
		ch, err := f.feed.Watch(ctx, s.AsOf, 0)
		if eris.Is(err, objects.ErrTooLarge) {
			// What changed since the oldest page grows only. A list of fresh pages lacks nothing.
			f.listing, f.fresh = nil, true
		}
		if err != nil {
			return 0, err
		}
		f.reportChanges(&ch)
		late = ch
	}
	f.listing = nil
	now := time.Now()
	if err := f.checkAnswer(late.AsOf, f.listedFrom, now); err != nil {
		return 0, err
	}
	f.fresh = false
	f.answered()
	f.list(s, now)
	f.changes(late, now)
	return late.AsOf, nil
}

// page reads the next page. A daemon that starts may give it up for another's word.
func (f *follower[T]) page(ctx context.Context) (objects.Page[T], error) {
	o := f.listing.Next()
	if f.starting && f.known != nil {
		o.AcceptSize = func(size int64) bool { return f.c.wantsList(ctx, size) }
	}
	return f.feed.List(ctx, o)
}

// toldMeanwhile reports whether a member has told all while a daemon that starts was reading.
func (f *follower[T]) toldMeanwhile(ctx context.Context) bool {
	return f.starting && f.known != nil && ctx.Err() == nil && f.c.start.ready.happened()
}

// report counts the objects that can't be used and writes lines for them, within
// unusableLines: a writer that replaces thousands of entries would else fill the logs of
// every daemon that reads.
func (f *follower[T]) report(findings []error, list []objects.Object[T]) {
	for _, err := range findings {
		f.unusable(err)
	}
	for i := range list {
		if list[i].Err != nil {
			f.unusable(list[i].Err)
		}
	}
}

func (f *follower[T]) reportChanges(ch *objects.Changes[T]) {
	f.report(ch.Findings, nil)
	for i := range ch.List {
		if o := &ch.List[i].Object; o.Err != nil && !ch.List[i].Deleted {
			f.unusable(o.Err)
		}
	}
}

// unusableLines is how many lines a second tell of unusable objects of one kind.
const unusableLines = 5

func (f *follower[T]) unusable(err error) {
	f.c.unusable.Add(1)
	if left, ok := f.lines.Allow(time.Now()); ok {
		klog.ErrorS(err, "Stored object can't be used", "Kind", f.kind, "LeftOut", left)
	}
}

// fails notes that a call failed and asks a member of another zone: all of this one
// may have lost the store while others reach it.
func (f *follower[T]) fails(err error) {
	if to := f.c.members.elsewhere(); to.IsValid() {
		f.c.members.pull(to, false)
	}
	now := time.Now()
	f.c.storeFails(now)
	if f.failed.IsZero() {
		f.failed = now
		klog.ErrorS(err, "Store lost", "Kind", f.kind)
	}
}

// answered notes that the store answers. If it didn't for a while, to this daemon or
// to those it heard of, its list may lack upstreams whose entries lapsed meanwhile.
func (f *follower[T]) answered() {
	now := time.Now()
	f.c.mu.Lock()
	f.c.known.failing, f.c.known.answered = time.Time{}, now
	if last := f.c.known.confirmed[kindUpstreams]; !last.IsZero() && now.Sub(last) > outageAfter {
		f.c.known.catalog.StoreRecovered(now)
	}
	f.c.mu.Unlock()
	if !f.failed.IsZero() {
		klog.InfoS("Store regained", "Kind", f.kind, "After", now.Sub(f.failed))
		f.failed = time.Time{}
	}
}

// outageAfter is how long the store's word may be missing before entries that are
// gone then are doubted. Upstreams' entries lapse after three heartbeats, 3.6 s;
// the take-over of a reader takes less than this.
const outageAfter = 2800 * time.Millisecond

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
