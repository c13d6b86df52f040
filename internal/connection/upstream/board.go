// Package upstream knows the load of upstreams, from what this daemon sees and
// from what other members tell, and chooses one for a new flow.
package upstream

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// MemberID identifies the member that told a count.
type MemberID uint64

// Load is what is known of the load of one upstream. It is safe for concurrent
// use.
type Load struct {
	// Flows counts the flows there that this daemon is home of.
	Flows atomic.Int64
	// Requests counts those that it let through and that aren't answered yet.
	Requests atomic.Int64
	// heard is the sum of the flows that the other members are home of.
	heard atomic.Int64
	// recent counts flows that were placed lately and that no member tells yet.
	recent atomic.Int64
}

// Total estimates the flows at the upstream over all members.
func (l *Load) Total() int64 {
	return l.Flows.Load() + l.heard.Load() + l.recent.Load()
}

// LoadTable holds the loads of all upstreams. It is safe for concurrent use.
type LoadTable struct {
	// mu guards all below. It is a leaf: nothing is locked while it is held.
	mu     sync.RWMutex
	loads  map[bundle.UpstreamID]*Load
	told   map[MemberID]map[bundle.UpstreamID]uint32
	placed []placement
}

// placement is a flow that counts as recent until a time.
type placement struct {
	load  *Load
	until time.Time
}

// NewLoadTable returns a board without loads.
func NewLoadTable() *LoadTable {
	return &LoadTable{
		loads: make(map[bundle.UpstreamID]*Load),
		told:  make(map[MemberID]map[bundle.UpstreamID]uint32),
	}
}

// Load returns the load of an upstream and makes it at first use.
func (b *LoadTable) Load(id bundle.UpstreamID) *Load {
	b.mu.RLock()
	l := b.loads[id]
	b.mu.RUnlock()
	if l != nil {
		return l
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.load(id)
}

func (b *LoadTable) load(id bundle.UpstreamID) *Load {
	l := b.loads[id]
	if l == nil {
		l = &Load{}
		b.loads[id] = l
	}
	return l
}

// Forget drops the load of an upstream that is gone for good. Each start of an upstream
// that registers itself has an identifier of its own, so a daemon that runs for weeks
// would else keep one for each replacement of each upstream.
func (b *LoadTable) Forget(id bundle.UpstreamID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.loads, id)
	for _, flows := range b.told {
		delete(flows, id)
	}
}

// Len returns how many upstreams have a load.
func (b *LoadTable) Len() int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return len(b.loads)
}

// UpdateReported takes in how many flows another member is home of, by upstream in the
// order of ids.
func (b *LoadTable) UpdateReported(from MemberID, ids []bundle.UpstreamID, flows []uint32) {
	if len(ids) != len(flows) {
		return // Told of another version of the bundle.
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.told[from]
	if old == nil {
		old = make(map[bundle.UpstreamID]uint32, len(ids))
		b.told[from] = old
	}
	for i, id := range ids {
		b.load(id).heard.Add(int64(flows[i]) - int64(old[id]))
		old[id] = flows[i]
	}
}

// RetainMembers forgets what members told that aren't among those given.
func (b *LoadTable) RetainMembers(members []MemberID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for m, flows := range b.told {
		if slices.Contains(members, m) {
			continue
		}
		for id, n := range flows {
			b.load(id).heard.Add(-int64(n))
		}
		delete(b.told, m)
	}
}

// Placed counts a flow as recent until its home will have told of it.
func (b *LoadTable) Placed(id bundle.UpstreamID, until time.Time) {
	l := b.Load(id)
	l.recent.Add(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.placed = append(b.placed, placement{load: l, until: until})
}

// Expire takes back what has been recent for long enough.
func (b *LoadTable) Expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for n < len(b.placed) && now.After(b.placed[n].until) {
		b.placed[n].load.recent.Add(-1)
		n++
	}
	b.placed = slices.Delete(b.placed, 0, n)
}
