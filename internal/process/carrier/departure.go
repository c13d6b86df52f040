package carrier

import (
	"sync"
	"time"
)

// departure decides when a daemon that leaves may end: when the routers have stopped
// sending to it. One that ended at once would lose the packets that they still send. It is safe for concurrent
// use and has no clock.
type departure struct {
	mu sync.Mutex
	// limit is how long the daemon serves on at most.
	limit time.Duration
	began time.Time
	// refusals counts the readiness checks that were answered with "not ready",
	// refused is when the one was that takes the daemon out of rotation.
	refusals int
	outOfRotation  time.Time
	// lastPacket is when the last lastPacket of a caller came.
	lastPacket time.Time
}

const (
	// refusalsToLeaveRotation is how many failed readiness checks take a daemon out of
	// rotation at the users' routers.
	refusalsToLeaveRotation = 2
	// quietPeriod is how long no packet may come after that. Callers repeat what isn't
	// acknowledged after 200 ms, so a router that still sends here shows it by then.
	quietPeriod = 400 * time.Millisecond
	// departurePoll is how often a leaving daemon looks whether it may end.
	departurePoll = 50 * time.Millisecond
)

// begin starts the departure. limit bounds it.
func (d *departure) begin(now time.Time, limit time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.began.IsZero() {
		d.began, d.limit = now, limit
	}
}

// readinessRefused notes that a readiness check was answered with "not ready".
func (d *departure) readinessRefused(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.began.IsZero() {
		return
	}
	d.refusals++
	if d.refusals == refusalsToLeaveRotation {
		d.outOfRotation = now
	}
}

// received notes when the last packet of a caller came.
func (d *departure) received(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at.After(d.lastPacket) {
		d.lastPacket = at
	}
}

// mayEnd reports whether the daemon may end. A fixed pause would be wrong both ways:
// too long, and two hosts of a rolling restart are away at once, so that routers
// that see fewer than half of a zone's hosts use all of them, also one that has just
// ended; too short, and packets are lost that the routers still send here.
func (d *departure) mayEnd(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.began) >= d.limit {
		return true
	}
	if d.outOfRotation.IsZero() {
		return false
	}
	last := d.outOfRotation
	if d.lastPacket.After(last) {
		last = d.lastPacket
	}
	return now.Sub(last) >= quietPeriod
}
