package objects

import "github.com/rotisserie/eris"

// Listing gathers the pages of one list. If a call fails, the list goes on with the
// page that failed: one that began anew would never end at a store that refuses a part
// of all calls, and would add to what the store is short of. It isn't safe for
// concurrent use.
type Listing[T any] struct {
	objects []Object[T]
	asOf    Position
	next    string
	begun   bool
	// stale says that pages after the first may be some seconds old, staleFirst that the
	// first may be, too. lacks says that one was.
	stale, staleFirst, lacks bool
}

// NewListing begins a list. If stale is set, all pages but the first may be some seconds old:
// a list that fits one page is complete with a single call, and one of many pages costs the
// store little. Most daemons that start are held up by nothing but these calls.
func NewListing[T any](stale bool) *Listing[T] { return &Listing[T]{stale: stale} }

// Done reports whether the last page has been taken in.
func (l *Listing[T]) Done() bool { return l.begun && l.next == "" }

// Next returns the options of the next call.
func (l *Listing[T]) Next() ListOptions {
	return ListOptions{From: l.next, Stale: l.stale && (l.begun || l.staleFirst)}
}

// RecordFailure notes that the next call was made and failed. If that was the first page's, it may
// be a stale one from now on: a store that is short of calls serves these.
func (l *Listing[T]) RecordFailure() { l.staleFirst = true }

// NeedsWatch reports whether a watch from the snapshot's revision is needed to bring what changed
// since, as some page may be old.
func (l *Listing[T]) NeedsWatch() bool { return l.lacks }

// Add takes in the next page. It returns ErrHistoryGone if the page is of another epoch than those before it:
// together they are a list that the store never had.
func (l *Listing[T]) Add(p Page[T]) error {
	if l.begun && p.AsOf.Epoch() != l.asOf.Epoch() {
		return eris.Wrapf(ErrHistoryGone, "a page as of %v in a list as of %v", p.AsOf, l.asOf)
	}
	// Pages may be of different revisions. What changed after the oldest is seen again
	// by a watch from there; changes that are known already change nothing.
	if !l.begun || p.AsOf < l.asOf {
		l.asOf = p.AsOf
	}
	l.lacks = l.lacks || l.Next().Stale
	l.begun = true
	l.objects = append(l.objects, p.Objects...)
	l.next = p.Next
	return nil
}

// Snapshot returns what was gathered.
func (l *Listing[T]) Snapshot() Snapshot[T] {
	return Snapshot[T]{Objects: l.objects, AsOf: l.asOf}
}
