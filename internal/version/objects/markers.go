package objects

import "context"

// Markers are objects of a kind whose mere existence is the information; their content doesn't matter.
// Implementations are safe for concurrent use. After an error other than those named here, the write may have
// taken effect, or may still do so.
type Markers interface {
	// Create creates the object with a name. It returns ErrConflict if there is one.
	Create(ctx context.Context, name string) error
	// Delete deletes the object with a name. It returns ErrNotFound if there is none.
	Delete(ctx context.Context, name string) error
}
