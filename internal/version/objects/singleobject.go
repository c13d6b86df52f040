package objects

import "context"

// SingleObject is an object of fescueshed's own that daemons read and conditionally replace. Implementations are
// safe for concurrent use.
type SingleObject[T any] interface {
	// Get returns the object, or ErrNotFound if there is none. If another program wrote an unusable
	// content, the object's Err says so, and the object can be replaced at its revision.
	Get(ctx context.Context) (Object[T], error)
	// Put replaces the object if its revision is still at; a zero at creates it. It returns ErrConflict if
	// another write came first, and ErrHistoryGone if the store was restored from a snapshot in between. In the
	// latter case the write took effect on the content that the store has at that revision now. After any other
	// error, the write may have taken effect, or may still do so.
	Put(ctx context.Context, v T, at Position) error
}
