package objects

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Object is one stored object of a kind whose content is decoded to T.
type Object[T any] struct {
	Name string
	// Revision is the position of the object's last change, Created that of its creation, both in the epoch
	// of the answer that holds the object. Either is zero if it can't be read.
	Revision, Created Position
	Value             T
	// Err says why the content can't be used, nil if it can. Value then holds what is
	// known all the same, such as which upstream the object stands for.
	Err error
}

// Page is a part of a list.
type Page[T any] struct {
	Objects []Object[T]
	AsOf    Position
	// Next is where the list goes on. It is empty on the last page.
	Next string
	// Findings tell of items that don't even have a name. Those that have one are among
	// Objects. One unusable item must not hide all the others: every upstream of a page
	// would be gone from the daemons that start then.
	Findings []error
}

// ListOptions say which part of a list is wanted. The zero value is the first page of
// a list that is as fresh as the store's last acknowledged write.
type ListOptions struct {
	// From is the Next of the page before.
	From string
	// Stale allows an answer that is some seconds old. It costs the store little.
	Stale bool
	// AcceptSize, if it isn't nil, is asked before a page is read, once its size in bytes is known. The
	// page is given up with ErrDeclined if it returns false.
	AcceptSize func(size int64) bool
}

// Snapshot is a whole kind as it was at one revision.
type Snapshot[T any] struct {
	Objects []Object[T]
	AsOf    Position
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
	AsOf Position
	// Findings are as those of a Page.
	Findings []error
}

// The outcomes that callers tell apart. Any other error says nothing of the
// store's content.
var (
	// ErrHistoryGone means that the store doesn't have the history that was watched from: it forgot
	// that, or was restored from a snapshot. The kind is to be listed again.
	ErrHistoryGone = eris.New("objects: the store no longer has this history")
	// ErrConflict means that the object isn't as the condition of a write said.
	ErrConflict = eris.New("objects: the object was changed by another")
	// ErrNotFound means that there is no such object.
	ErrNotFound = eris.New("objects: no such object")
	// ErrOutdated means that the store answered as of a position before one that was known when it was
	// asked: whoever answered lags, or lost its history without telling.
	ErrOutdated = eris.New("objects: the answer is older than what is known")
)

// ListWatcher reads one kind of objects. Implementations are safe for concurrent use
// and return after the wait at the latest plus the time-out of one call.
type ListWatcher[T any] interface {
	// List returns a page of all objects.
	List(ctx context.Context, o ListOptions) (Page[T], error)
	// Watch returns what changed after a position as soon as anything did, or
	// nothing after the wait, which may be zero. An answer of another epoch is ErrHistoryGone.
	Watch(ctx context.Context, after Position, wait time.Duration) (Changes[T], error)
}
