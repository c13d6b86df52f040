package objects

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Revision is the store's counter of changes. It grows with each change of any
// object. Zero is before the first.
type Revision uint64

// Object is one stored object of a kind whose content is decoded to T.
type Object[T any] struct {
	Name string
	// Revision is that of the object's last change, Created that of its creation.
	Revision, Created Revision
	Value             T
}

// Snapshot is a whole kind as it was at one revision.
type Snapshot[T any] struct {
	Objects []Object[T]
	AsOf    Revision
}

// Change is one event of a watch.
type Change[T any] struct {
	Object Object[T]
	// Deleted says that the object is gone. Its Value is the last one known to the
	// store and may be empty.
	Deleted bool
}

// Changes are the events up to a revision, in their order. They may be none.
type Changes[T any] struct {
	List []Change[T]
	AsOf Revision
}

// The outcomes that callers tell apart. Any other error says nothing of the
// store's content.
var (
	// ErrHistoryGone means that the store forgot the revision that was watched
	// from: the kind is to be listed again.
	ErrHistoryGone = eris.New("objects: the store no longer has this history")
	// ErrConflict means that the object isn't as the condition of a write said.
	ErrConflict = eris.New("objects: the object was changed by another")
	// ErrNotFound means that there is no such object.
	ErrNotFound = eris.New("objects: no such object")
)

// Feed reads one kind of objects. Implementations are safe for concurrent use
// and return after the wait at the latest plus the time-out of one call.
type Feed[T any] interface {
	// List returns all objects, as fresh as the store's last acknowledged write.
	List(ctx context.Context) (Snapshot[T], error)
	// Watch returns what changed after a revision as soon as anything did, or
	// nothing after the wait.
	Watch(ctx context.Context, after Revision, wait time.Duration) (Changes[T], error)
}
