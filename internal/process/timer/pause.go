package timer

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// PauseDetector notices that the process stood still: that it was stopped, or that its
// host was suspended, which the steady clock doesn't count. It is safe for
// concurrent use.
type PauseDetector struct {
	limit time.Duration

	start time.Time

	mu   sync.Mutex
	last time.Time
	// asleep is for how long the host was suspended when that was last looked at.
	asleep time.Duration
	count  uint64
}

// NewPauseDetector returns a PauseDetector that takes gaps of more than limit between two calls
// of Seen for a pause. Seen must be called more often than that.
func NewPauseDetector(limit time.Duration) *PauseDetector {
	now := time.Now()
	return &PauseDetector{limit: limit, start: now, last: now, asleep: sinceBoot()}
}

// Observe tells that the process runs now and returns how often it was paused so far.
func (p *PauseDetector) Observe(now time.Time) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.last) > p.limit || p.suspended(now) {
		p.count++
	}
	p.last = now
	return p.count
}

// suspended looks at the clock that counts suspension only if the time of day
// moved in another way than the steady clock, so that it costs no system call.
func (p *PauseDetector) suspended(now time.Time) bool {
	steady := now.Sub(p.last)
	wall := now.Round(0).Sub(p.last.Round(0))
	if wall-steady < p.limit {
		return false
	}
	asleep := sinceBoot() - now.Sub(p.start)
	longer := asleep - p.asleep
	p.asleep = asleep
	return longer > p.limit
}

// sinceBoot returns the time since the host started, suspension included.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // Without this clock only stops are noticed.
	}
	return time.Duration(ts.Nano())
}
