package peer

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// WarmupLimiter says which members send flows to an upstream that is slow after its start and can
// take only a few per second. They are a few members of one zone, selected by rendezvous hashing, so
// all members together stay within the upstream's rate without communicating. That zone is the
// upstream's own; if it has no members, another one is selected in the same way. Members whose views
// differ choose different senders; the bound leaves a margin for half as many more. It isn't safe
// for concurrent use.
type WarmupLimiter struct {
	self ID
	// lastSeen holds when each member of the zone was last present, alive how many are present now.
	lastSeen map[ID]time.Time
	alive    int
	// zone is this daemon's zone, zoneSeen when a member of each zone was last present.
	zone     bundle.Zone
	zoneSeen map[bundle.Zone]time.Time
	// maxAlive is the largest number of members that the zone had within zoneSizeWindow, maxAliveAt
	// is when it last had as many.
	maxAlive   int
	maxAliveAt time.Time
	// joinedAt is the time from which this daemon knows the others, now that of the last Update.
	joinedAt time.Time
	now      time.Time
}

const (
	// warmupSenders is how many members share the rate of an upstream. With fewer, one that dies
	// removes a larger part of it until the others notice. With more, each part is less than one
	// flow per second.
	warmupSenders = 4
	// zoneSizeWindow is how long the largest number of members of a zone counts. By comparing the
	// present number with it, this daemon detects that it is partitioned from most of its zone.
	// Members that left permanently no longer count after this time.
	zoneSizeWindow = time.Minute
	// departureGrace is how long a departed member keeps its rank. Until then other members may not
	// have noticed that it departed, and a member that took its place would send in addition to one
	// that they still count.
	departureGrace = 3 * time.Second
)

// NewWarmupLimiter returns the limiter of a daemon that knows the other members from the time
// joined on.
func NewWarmupLimiter(self ID, joined time.Time) *WarmupLimiter {
	return &WarmupLimiter{self: self, joinedAt: joined, lastSeen: make(map[ID]time.Time), zoneSeen: make(map[bundle.Zone]time.Time)}
}

// Update processes a view. It must be called at least once a second.
func (w *WarmupLimiter) Update(v *View, now time.Time) {
	w.now = now
	zone := v.zoneInReaderOrder()
	for _, m := range zone {
		w.lastSeen[m.ID] = now
	}
	for id, at := range w.lastSeen {
		if now.Sub(at) >= departureGrace {
			delete(w.lastSeen, id)
		}
	}
	for i := range v.Members {
		w.zoneSeen[v.Members[i].Zone] = now
		if v.Members[i].ID == v.Self {
			w.zone = v.Members[i].Zone
		}
	}
	for z, at := range w.zoneSeen {
		if now.Sub(at) >= departureGrace {
			delete(w.zoneSeen, z)
		}
	}
	w.alive = len(zone)
	if w.alive >= w.maxAlive || now.Sub(w.maxAliveAt) > zoneSizeWindow {
		w.maxAlive, w.maxAliveAt = w.alive, now
	}
}

// Share returns how many flows this daemon may send in any second to a slow upstream of a zone that can take
// rate flows per second, zero if none. A daemon that is partitioned from half of its zone or more
// sends none: the other side does, and both together would send twice the upstream's rate.
func (w *WarmupLimiter) Share(id bundle.UpstreamID, zone bundle.Zone, rate float64) int {
	if w.now.Before(w.joinedAt) || 2*w.alive <= w.maxAlive || w.sendingZone(id, zone) != w.zone {
		return 0
	}
	all := max(1, int(rate))
	n := min(warmupSenders, all)
	own, before := score(FlowHash(id), w.self), 0
	for m := range w.lastSeen {
		if score(FlowHash(id), m) > own {
			before++
		}
	}
	if before >= n {
		return 0
	}
	return (all + n - 1 - before) / n
}

// sendingZone returns the zone whose members send to a slow upstream of a zone.
func (w *WarmupLimiter) sendingZone(id bundle.UpstreamID, zone bundle.Zone) bundle.Zone {
	if _, present := w.zoneSeen[zone]; present {
		return zone
	}
	best := w.zone
	for z := range w.zoneSeen {
		if score(FlowHash(id), IDOf(string(z))) > score(FlowHash(id), IDOf(string(best))) {
			best = z
		}
	}
	return best
}
