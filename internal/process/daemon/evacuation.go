package daemon

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/process/status"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// evacuations records since when each zone that the bundle in force lists as evacuated has been evacuated.
// It is safe for concurrent use; the zero value has no evacuated zones.
type evacuations struct {
	mu    sync.Mutex
	since map[bundle.Zone]time.Time
}

// set replaces the evacuated zones by those of a bundle that came into force. A zone that was evacuated before
// keeps its time.
func (e *evacuations) set(zones []bundle.Zone, v bundle.Version, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := make(map[bundle.Zone]time.Time, len(zones))
	for _, z := range zones {
		next[z] = now
		if since, ok := e.since[z]; ok {
			next[z] = since
			continue
		}
		klog.InfoS("Zone evacuated", "Zone", z, "Version", v)
	}
	for z := range e.since {
		if _, ok := next[z]; !ok {
			klog.InfoS("Zone taken back", "Zone", z, "Version", v)
		}
	}
	e.since = next
}

// status returns, for each evacuated zone in order of its name, since when it has been evacuated and how many
// of the flows that this daemon owns are open there.
func (e *evacuations) status(upstreams []status.UpstreamStatus) []status.EvacuationStatus {
	e.mu.Lock()
	since := maps.Clone(e.since)
	e.mu.Unlock()
	out := make([]status.EvacuationStatus, 0, len(since))
	for z, at := range since {
		s := status.EvacuationStatus{Zone: z, Since: at}
		for i := range upstreams {
			if upstreams[i].Zone == z {
				s.Flows += int(upstreams[i].Flows)
			}
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b status.EvacuationStatus) int { return cmp.Compare(a.Zone, b.Zone) })
	return out
}
