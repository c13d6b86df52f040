package cookiedaemon

import (
	"sync"
	"time"
)

// departure decides when a leaving daemon may end: when the routers have stopped sending to it. A
// daemon that ended immediately would lose the packets that they still send. departure is safe for
// concurrent use and reads no clock.
type departure struct {
	mu sync.Mutex
	// limit is the longest time that the daemon goes on forwarding.
	limit time.Duration
	// began is when the departure began, zero before.
	began time.Time
	// refusals counts the readiness checks that were answered with "not ready". outOfRotation is
	// the time of the one that takes the daemon out of rotation.
	refusals      int
	outOfRotation time.Time
	// lastPacket is the time at which the last packet of a caller was received.
	lastPacket time.Time
}

const (
	// refusalsToLeaveRotation is the number of failed readiness checks after which the users'
	// routers take a daemon out of rotation.
	refusalsToLeaveRotation = 2
	// quietPeriod is how long no packet may arrive after that. Callers retransmit after 200 ms what
	// isn't acknowledged, so a router that still sends here is noticed within this time.
	quietPeriod = 400 * time.Millisecond
	// departurePoll is how often a leaving daemon checks whether it may end.
	departurePoll = 50 * time.Millisecond
)

// begin starts the departure, which lasts limit at most.
func (d *departure) begin(now time.Time, limit time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.began.IsZero() {
		d.began, d.limit = now, limit
	}
}

// readinessRefused records that a readiness check was answered with "not ready".
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

// received records that a packet of a caller was received at a given time.
func (d *departure) received(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at.After(d.lastPacket) {
		d.lastPacket = at
	}
}

// mayEnd reports whether the daemon may end. A fixed pause would be wrong both ways. If it is too
// long, two hosts of a rolling restart are out of rotation at the same time, and routers that see
// fewer than half of a zone's hosts use all of them, including one that has just ended. If it is
// too short, packets are lost that the routers still send here.
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
