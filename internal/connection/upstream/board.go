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
	// reported is the sum of the flows that the other members are home of.
	reported atomic.Int64
	// recent counts flows that were placed lately and that no member tells yet.
	recent atomic.Int64
}

// Total estimates the flows at the upstream over all members.
func (l *Load) Total() int64 {
	return l.Flows.Load() + l.reported.Load() + l.recent.Load()
}

// LoadTable holds the loads of all upstreams. It is safe for concurrent use.
type LoadTable struct {
	// mu guards all below. It is a leaf: nothing is locked while it is held.
	mu      sync.RWMutex
	loads   map[bundle.UpstreamID]*Load
	reports map[MemberID]map[bundle.UpstreamID]uint32
	placed  []placement
}

// placement is a flow that counts as recent until a time.
type placement struct {
	load  *Load
	until time.Time
}

// NewLoadTable returns a board without loads.
func NewLoadTable() *LoadTable {
	return &LoadTable{
		loads:   make(map[bundle.UpstreamID]*Load),
		reports: make(map[MemberID]map[bundle.UpstreamID]uint32),
	}
}

// Load returns the load of an upstream and makes it at first use.
func (t *LoadTable) Load(id bundle.UpstreamID) *Load {
	t.mu.RLock()
	l := t.loads[id]
	t.mu.RUnlock()
	if l != nil {
		return l
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.load(id)
}

func (t *LoadTable) load(id bundle.UpstreamID) *Load {
	l := t.loads[id]
	if l == nil {
		l = &Load{}
		t.loads[id] = l
	}
	return l
}

// Forget drops the load of an upstream that is gone for good. Each start of an upstream
// that registers itself has an identifier of its own, so a daemon that runs for weeks
// would else keep one for each replacement of each upstream.
func (t *LoadTable) Forget(id bundle.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.loads, id)
	for _, flows := range t.reports {
		delete(flows, id)
	}
}

// Len returns how many upstreams have a load.
func (t *LoadTable) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.loads)
}

// UpdateReported takes in how many flows another member is home of, by upstream in the
// order of ids.
func (t *LoadTable) UpdateReported(from MemberID, ids []bundle.UpstreamID, flows []uint32) {
	if len(ids) != len(flows) {
		return // Told of another version of the bundle.
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.reports[from]
	if old == nil {
		old = make(map[bundle.UpstreamID]uint32, len(ids))
		t.reports[from] = old
	}
	for i, id := range ids {
		t.load(id).reported.Add(int64(flows[i]) - int64(old[id]))
		old[id] = flows[i]
	}
}

// RetainMembers forgets what members told that aren't among those given.
func (t *LoadTable) RetainMembers(members []MemberID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for m, flows := range t.reports {
		if slices.Contains(members, m) {
			continue
		}
		for id, n := range flows {
			t.load(id).reported.Add(-int64(n))
		}
		delete(t.reports, m)
	}
}

// Placed counts a flow as recent until its home will have told of it.
func (t *LoadTable) Placed(id bundle.UpstreamID, until time.Time) {
	l := t.Load(id)
	l.recent.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.placed = append(t.placed, placement{load: l, until: until})
}

// Expire takes back what has been recent for long enough.
func (t *LoadTable) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for n < len(t.placed) && now.After(t.placed[n].until) {
		t.placed[n].load.recent.Add(-1)
		n++
	}
	t.placed = slices.Delete(t.placed, 0, n)
}
