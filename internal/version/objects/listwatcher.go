package objects

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Object is a stored object whose content is decoded to a T.
type Object[T any] struct {
	Name string
	// Revision is the position of the object's last change, Created that of its creation, both in the epoch
	// of the answer that contained the object. Each is zero if it can't be read.
	Revision, Created Position
	Value             T
	// Err says why the content is unusable, nil if it is usable. If it isn't, Value holds what is known
	// nevertheless, such as which upstream the object belongs to.
	Err error
}

// Page is a part of a list.
type Page[T any] struct {
	Objects []Object[T]
	AsOf    Position
	// Next is the From of the next page, empty on the last page.
	Next string
	// Findings report unusable items that don't even have a name. Unusable items with a name are among
	// Objects. One unusable item must not hide all others: otherwise daemons that start then would lack
	// every upstream of the page.
	Findings []error
}

// ListOptions select a part of a list. The zero value is the first page of a list that is as fresh as the
// store's last acknowledged write.
type ListOptions struct {
	// From is the Next of the page before, empty for the first page.
	From string
	// Stale allows an answer that is some seconds old, which the store serves at little cost.
	Stale bool
	// AcceptSize, if not nil, is called with the page's size in bytes, once that is known and before the page
	// is read. If it returns false, the call fails with ErrDeclined.
	AcceptSize func(size int64) bool
}

// Snapshot holds all objects of a kind as of one position.
type Snapshot[T any] struct {
	Objects []Object[T]
	AsOf    Position
}

// Change is one event of a watch.
type Change[T any] struct {
	Object Object[T]
	// Deleted says that the object was deleted. Its Value is then the last one known to the store and
	// may be empty.
	Deleted bool
}

// Changes are the events up to a position, in order. There may be none.
type Changes[T any] struct {
	List []Change[T]
	AsOf Position
	// Findings report unusable items without a name, as in a Page.
	Findings []error
}

// The errors that callers distinguish. Any other error says nothing about the store's content.
var (
	// ErrHistoryGone means that the store doesn't have the history that the watch started from: it dropped
	// it, or was restored from a snapshot. The kind has to be listed again.
	ErrHistoryGone = eris.New("objects: the store no longer has this history")
	// ErrConflict means that the object didn't meet the condition of a write.
	ErrConflict = eris.New("objects: the object was changed by another writer")
	// ErrNotFound means that there is no such object.
	ErrNotFound = eris.New("objects: no such object")
	// ErrOutdated means that the store answered as of an earlier position than the one that was known when
	// the call was made: the replica that answered lags, or lost its history without reporting it.
	ErrOutdated = eris.New("objects: the answer is older than the known position")
	// ErrUnreadable means that the store answered, but that the answer can't be decoded. The same call returns the same
	// answer until the store's content changes.
	ErrUnreadable = eris.New("objects: the answer can't be decoded")
)

// ListWatcher reads one kind of objects. Implementations are safe for concurrent use and return after the wait
// plus the timeout of one call at the latest.
type ListWatcher[T any] interface {
	// List returns a page of the list of all objects.
	List(ctx context.Context, o ListOptions) (Page[T], error)
	// Watch returns the changes after a position as soon as there is one, or none after the wait, which
	// may be zero. It returns ErrHistoryGone if the store's epoch differs from that of the position.
	Watch(ctx context.Context, after Position, wait time.Duration) (Changes[T], error)
}
