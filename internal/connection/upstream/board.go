// Package upstream knows the load of upstreams as this daemon sees it itself
// and chooses one for a new flow.
package upstream

import (
	"sync"
	"sync/atomic"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Load is what this daemon has in progress at one upstream. It is safe for
// concurrent use.
type Load struct {
	// Flows counts the flows that this daemon placed there.
	Flows atomic.Int64
	// Requests counts those let through and not yet answered.
	Requests atomic.Int64
}

// Board holds the loads of all upstreams. It is safe for concurrent use.
type Board struct {
	mu    sync.RWMutex
	loads map[bundle.UpstreamID]*Load
}

// NewBoard returns a board without loads.
func NewBoard() *Board {
	return &Board{loads: make(map[bundle.UpstreamID]*Load)}
}

// Load returns the load of an upstream and makes it at first use.
func (b *Board) Load(id bundle.UpstreamID) *Load {
	b.mu.RLock()
	l := b.loads[id]
	b.mu.RUnlock()
	if l != nil {
		return l
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if l = b.loads[id]; l == nil {
		l = &Load{}
		b.loads[id] = l
	}
	return l
}
