package bundle

import "sync"

// InForce is the only place of a process where bundles come into force. Versions are totally ordered, so an
// older bundle that arrives late is never applied, whichever way it comes. It is safe for concurrent use. The
// zero value has no bundle.
type InForce struct {
	mu      sync.Mutex
	version Version
}

// Version returns the version in force, zero if there is none.
func (f *InForce) Version() Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// ApplyIfNewer calls apply if v is newer than the version in force, and puts v in force unless apply fails.
// It holds a lock meanwhile, so calls of apply don't overlap. It reports whether v came into force.
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
