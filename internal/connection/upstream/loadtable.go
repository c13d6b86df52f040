// Package upstream tracks the load of upstreams, from what this daemon counts itself and from what
// other members report, and chooses an upstream for a new flow.
package upstream

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// MemberID identifies the member that reported a count.
type MemberID uint64

// Load is the known load of one upstream. It is safe for concurrent use.
type Load struct {
	// Flows counts the flows at the upstream that this daemon owns.
	Flows atomic.Int64
	// Requests counts the requests that this daemon forwarded and that aren't answered yet.
	Requests atomic.Int64
	// reported is the sum of the flows that the other members own.
	reported atomic.Int64
	// recent counts flows that were placed recently and that no member reports yet.
	recent atomic.Int64
}

// Total estimates the number of flows at the upstream over all members.
func (l *Load) Total() int64 {
	return l.Flows.Load() + l.reported.Load() + l.recent.Load()
}

// LoadTable holds the loads of all upstreams. It is safe for concurrent use.
type LoadTable struct {
	// mu guards the fields below. It is a leaf: no other lock is taken while it is held.
	mu      sync.RWMutex
	loads   map[bundle.UpstreamID]*Load
	reports map[MemberID]map[bundle.UpstreamID]uint32
	placed  []placement
}

// placement is a flow that counts as recent until the given time.
type placement struct {
	load  *Load
	until time.Time
}

// NewLoadTable returns a table without loads.
func NewLoadTable() *LoadTable {
	return &LoadTable{
		loads:   make(map[bundle.UpstreamID]*Load),
		reports: make(map[MemberID]map[bundle.UpstreamID]uint32),
	}
}

// Load returns the load of an upstream. It creates the load on first use.
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

// load returns the load of an upstream and creates it on first use. mu must be held for writing.
func (t *LoadTable) load(id bundle.UpstreamID) *Load {
	l := t.loads[id]
	if l == nil {
		l = &Load{}
		t.loads[id] = l
	}
	return l
}

// Forget removes the load of an upstream that was removed permanently. Each start of an upstream
// that registers itself has its own identifier, so a daemon that runs for weeks would otherwise
// keep one load for each replacement of each upstream.
func (t *LoadTable) Forget(id bundle.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.loads, id)
	for _, flows := range t.reports {
		delete(flows, id)
	}
}

// Len returns the number of upstreams that have a load.
func (t *LoadTable) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.loads)
}

// UpdateReported stores the counts that the member from reported: flows[i] is the number of flows
// that it owns at the upstream ids[i]. Its counts at other upstreams stay. Slices of different
// lengths are ignored, because the counts then belong to another version of the bundle.
func (t *LoadTable) UpdateReported(from MemberID, ids []bundle.UpstreamID, flows []uint32) {
	if len(ids) != len(flows) {
		return // The counts belong to another version of the bundle.
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

// RetainMembers removes the counts that were reported by members other than those given.
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

// Placed counts a flow as recent until the time by which its owner will have reported it.
func (t *LoadTable) Placed(id bundle.UpstreamID, until time.Time) {
	l := t.Load(id)
	l.recent.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.placed = append(t.placed, placement{load: l, until: until})
}

// Expire removes the recent flows whose time has passed.
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
