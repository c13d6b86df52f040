package objects

import "context"

// SingleObject is one object of the system's own that daemons read, and replace under a
// condition. Implementations are safe for concurrent use.
type SingleObject[T any] interface {
	// Get returns the object, or ErrNotFound if there is none. If another writer left what
	// can't be used, the object's Err says so, and it can be replaced at its revision.
	Get(ctx context.Context) (Object[T], error)
	// Put replaces the object if its revision is still the given one; zero creates it.
	// It returns ErrConflict if another has written meanwhile, and ErrHistoryGone if the store was restored
	// from a snapshot between: the write took effect, on whatever the store has under that revision now.
	// After any other error the write may have taken effect, or may still.
	Put(ctx context.Context, v T, at Position) error
}
