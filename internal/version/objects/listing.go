package objects

import "github.com/rotisserie/eris"

// Listing collects the pages of one list. If a call fails, the list continues with the page that failed. If it
// started again from the first page, it might never end while the store refuses a part of all calls, and would
// add to the load that makes the store refuse them. It isn't safe for concurrent use.
type Listing[T any] struct {
	objects []Object[T]
	asOf    Position
	next    string
	started bool
	// stale says that pages after the first may be some seconds old, staleFirst that the first may be,
	// too. gotStale says that a page has been added that may be.
	stale, staleFirst, gotStale bool
}

// NewListing begins a list. If stale is set, all pages except the first may be some seconds old: a list of one
// page is then complete after a single call, and a list of many pages costs the store little. For most daemons,
// these calls alone determine how long they take to start.
func NewListing[T any](stale bool) *Listing[T] { return &Listing[T]{stale: stale} }

// Done reports whether the last page has been added.
func (l *Listing[T]) Done() bool { return l.started && l.next == "" }

// Next returns the options of the next call.
func (l *Listing[T]) Next() ListOptions {
	return ListOptions{From: l.next, Stale: l.stale && (l.started || l.staleFirst)}
}

// RecordFailure notes that the next call was made and failed. If it was the first page's, that page may be
// stale from now on: an overloaded store still serves stale pages.
func (l *Listing[T]) RecordFailure() { l.staleFirst = true }

// NeedsWatch reports whether a watch from the snapshot's position is needed to complete the list, since some
// page may be stale.
func (l *Listing[T]) NeedsWatch() bool { return l.gotStale }

// Add adds the next page. It returns ErrHistoryGone if the page is of another epoch than those before it: together
// they would be a list that the store never had.
func (l *Listing[T]) Add(p Page[T]) error {
	if l.started && p.AsOf.Epoch() != l.asOf.Epoch() {
		return eris.Wrapf(ErrHistoryGone, "a page as of %v in a list as of %v", p.AsOf, l.asOf)
	}
	// Pages may be as of different positions. A watch from the oldest returns all later changes; those
	// that are already in the list have no effect.
	if !l.started || p.AsOf < l.asOf {
		l.asOf = p.AsOf
	}
	l.gotStale = l.gotStale || l.Next().Stale
	l.started = true
	l.objects = append(l.objects, p.Objects...)
	l.next = p.Next
	return nil
}

// Snapshot returns the objects of the pages so far, as of the oldest page's position.
func (l *Listing[T]) Snapshot() Snapshot[T] {
	return Snapshot[T]{Objects: l.objects, AsOf: l.asOf}
}
