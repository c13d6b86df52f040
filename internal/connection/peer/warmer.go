package peer

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// WarmupLimiter says which members send flows to an upstream that is slow after its start and bears few a second.
// They are a few of its zone, by rendezvous hashing, so all members together keep to what it bears
// without a word between them. Members whose views differ name others; the bound leaves room for half as
// many more. It isn't safe for concurrent use.
type WarmupLimiter struct {
	self ID
	// seen holds when each member of the zone was last there, alive how many are now.
	seen  map[ID]time.Time
	alive int
	// most is the largest number of members that the zone had lately, at is when.
	most int
	at   time.Time
	// joined is when this daemon knows the others.
	joined time.Time
	now    time.Time
}

const (
	// warmers is how many members share what an upstream bears. With fewer, one that dies takes a larger part
	// of it along until the others notice; with more, each part is less than a flow a second.
	warmers = 4
	// warmerMemory is how long a zone's largest number of members counts, against which this daemon sees that it is
	// cut off from most. Members that left for good are forgotten after it.
	warmerMemory = time.Minute
	// warmerGone is how long a member that went still has its place: until then others may not have noticed, and
	// whoever took the place would send beside one that they still count.
	warmerGone = 3 * time.Second
)

// NewWarmupLimiter returns the warmers of a daemon that knows the others from a time on.
func NewWarmupLimiter(self ID, joined time.Time) *WarmupLimiter {
	return &WarmupLimiter{self: self, joined: joined, seen: make(map[ID]time.Time)}
}

// Update takes in a view. It is called at least each second.
func (w *WarmupLimiter) Update(v *View, now time.Time) {
	w.now = now
	zone := v.readers()
	for _, m := range zone {
		w.seen[m.ID] = now
	}
	for id, at := range w.seen {
		if now.Sub(at) >= warmerGone {
			delete(w.seen, id)
		}
	}
	w.alive = len(zone)
	if w.alive >= w.most || now.Sub(w.at) > warmerMemory {
		w.most, w.at = w.alive, now
	}
}

// Share returns how many flows this daemon may send in any second to a slow upstream that bears so many, zero if
// none. A daemon that is cut off from half of its zone sends none: the others do, and both
// sides together would send twice of what the upstream bears.
func (w *WarmupLimiter) Share(id bundle.UpstreamID, rate float64) int {
	if w.now.Before(w.joined) || 2*w.alive <= w.most {
		return 0
	}
	all := max(1, int(rate))
	n := min(warmers, all)
	own, before := score(FlowHash(id), w.self), 0
	for m := range w.seen {
		if score(FlowHash(id), m) > own {
			before++
		}
	}
	if before >= n {
		return 0
	}
	return (all + n - 1 - before) / n
}
