package timer

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// PauseDetector detects pauses of the process: that the process was stopped, or that
// its host was suspended, which the monotonic clock doesn't count. It is safe for
// concurrent use.
type PauseDetector struct {
	limit time.Duration

	start time.Time

	mu   sync.Mutex
	last time.Time
	// suspendedTime is how long the host had been suspended at the last check, up to a constant.
	suspendedTime time.Duration
	count         uint64
}

// NewPauseDetector returns a PauseDetector that counts a gap of more than limit between two
// calls of Observe as a pause. Observe must be called more often than that.
func NewPauseDetector(limit time.Duration) *PauseDetector {
	now := time.Now()
	return &PauseDetector{limit: limit, start: now, last: now, suspendedTime: sinceBoot()}
}

// Observe records that the process runs at the time now. It returns how often the process
// was paused so far.
func (p *PauseDetector) Observe(now time.Time) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.last) > p.limit || p.wasSuspended(now) {
		p.count++
	}
	p.last = now
	return p.count
}

// wasSuspended reports whether the host was suspended for longer than the limit since the
// last check. It reads the clock that includes suspension only if the wall clock has
// advanced further than the monotonic clock by at least the limit. So it usually costs no system
// call.
func (p *PauseDetector) wasSuspended(now time.Time) bool {
	monotonic := now.Sub(p.last)
	wall := now.Round(0).Sub(p.last.Round(0))
	if wall-monotonic < p.limit {
		return false
	}
	suspendedTime := sinceBoot() - now.Sub(p.start)
	added := suspendedTime - p.suspendedTime
	p.suspendedTime = suspendedTime
	return added > p.limit
}

// sinceBoot returns the time since the host booted, including suspension.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // Without this clock, only stops of the process are detected.
	}
	return time.Duration(ts.Nano())
}
