package bundle

import "sync"

// InForce is the one place of a process where bundles come into force. Version
// order is total, so an older bundle that arrives late, by any way, is never
// taken. It is safe for concurrent use. The zero value has no bundle.
type InForce struct {
	mu      sync.Mutex
	version Version
}

// Version returns the version in force, or zero.
func (f *InForce) Version() Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// ApplyIfNewer calls apply if v is newer than the version in force, and puts v in force
// unless apply fails. Calls of apply don't overlap. It reports whether v was taken.
func (f *InForce) ApplyIfNewer(v Version, apply func() error) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v <= f.version {
		return false, nil
	}
	if err := apply(); err != nil {
		return false, err
	}
	f.version = v
	return true, nil
}
