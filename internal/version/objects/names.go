package objects

import "context"

// Markers are objects of a kind that say something by being there, whatever they hold. Implementations are
// safe for concurrent use. After an error other than those named here, the write may have taken
// effect, or may still.
type Markers interface {
	// Create makes the object of a name. It returns ErrConflict if there is one.
	Create(ctx context.Context, name string) error
	// Delete removes the object of a name. It returns ErrNotFound if there is none.
	Delete(ctx context.Context, name string) error
}
