package objects

// Listing gathers the pages of one list. If a call fails, the list goes on with the
// page that failed: one that began anew would never end at a store that refuses a part
// of all calls, and would add to what the store is short of. It isn't safe for
// concurrent use.
type Listing[T any] struct {
	// Stale says that pages may be some seconds old. A watch from the snapshot's
	// revision brings what they lack.
	Stale   bool
	objects []Object[T]
	asOf    Revision
	next    string
	begun   bool
}

// NewListing begins a list.
func NewListing[T any](stale bool) *Listing[T] { return &Listing[T]{Stale: stale} }

// Done reports whether the last page has been taken in.
func (l *Listing[T]) Done() bool { return l.begun && l.next == "" }

// Next returns the options of the next call.
func (l *Listing[T]) Next() ListOptions { return ListOptions{From: l.next, Stale: l.Stale} }

// Add takes in the next page.
func (l *Listing[T]) Add(p Page[T]) {
	// Pages may be of different revisions. What changed after the oldest is seen again
	// by a watch from there; changes that are known already change nothing.
	if !l.begun || p.AsOf < l.asOf {
		l.asOf = p.AsOf
	}
	l.begun = true
	l.objects = append(l.objects, p.Objects...)
	l.next = p.Next
}

// Snapshot returns what was gathered.
func (l *Listing[T]) Snapshot() Snapshot[T] { return Snapshot[T]{Objects: l.objects, AsOf: l.asOf} }
