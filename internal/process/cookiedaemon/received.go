package cookiedaemon

import (
	"sync"
	"time"
)

// recentReports holds the last report of each sender for a limited time. It is safe for concurrent
// use.
type recentReports[K comparable, R any] struct {
	// ttl is how long a report counts.
	ttl time.Duration

	mu   sync.Mutex
	last map[K]receivedReport[R]
}

type receivedReport[R any] struct {
	at     time.Time
	report R
}

func newRecentReports[K comparable, R any](ttl time.Duration) *recentReports[K, R] {
	return &recentReports[K, R]{ttl: ttl, last: make(map[K]receivedReport[R])}
}

// put stores the last report of a sender.
func (s *recentReports[K, R]) put(from K, r R, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[from] = receivedReport[R]{at: now, report: r}
}

// get returns the reports that still count of the senders that include accepts, in any order. It
// deletes those that no longer count.
func (s *recentReports[K, R]) get(now time.Time, include func(from K) bool) []R {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []R
	for from, received := range s.last {
		if now.Sub(received.at) > s.ttl {
			delete(s.last, from)
			continue
		}
		if include(from) {
			out = append(out, received.report)
		}
	}
	return out
}
