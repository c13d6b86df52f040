package admission

import (
	"slices"
	"time"
)

// service is the state of a service.
type service struct {
	name string
	// classes are sorted by priority.
	classes []*Counter
	slots   int
	// latest is the utilization in the last update, smoothed is the same over the updates. utilization is
	// the higher of both, by which the shares are computed.
	latest, smoothed, utilization float64
	recent                        recentAnswers
	// shortUntil is until when the service counts as short by local observation.
	shortUntil time.Time
	// reported says that the last transition was the beginning of a shortage, at since.
	reported bool
	since    time.Time
}

// slotTime returns the time that the slots have in a window, in seconds.
func (s *service) slotTime() float64 { return float64(s.slots) * Window.Seconds() }

// reset forgets what is known from updates that are too old. Costs stay for the local observation.
func (s *service) reset() {
	s.latest, s.smoothed, s.utilization = 0, 0, 0
	for _, k := range s.classes {
		k.share = 1
	}
}

// update applies the loads of all reachable zones, which are sorted.
func (s *service) update(loads []Load, slots int, now time.Time) {
	s.slots, s.shortUntil = slots, time.Time{}
	var busy time.Duration
	for i := range loads {
		if loads[i].Service == s.name {
			busy += loads[i].Busy
		}
	}
	s.latest = 0
	if slots > 0 {
		s.latest = busy.Seconds() / s.slotTime()
	}
	var classes []*Counter
	for _, k := range s.classes {
		var l Load
		if i, ok := slices.BinarySearchFunc(loads, k.current.Class, func(l Load, c Class) int { return l.compare(c) }); ok {
			l = loads[i]
		}
		k.apply(&l, now)
		if k.inUse(now) {
			classes = append(classes, k)
		} else {
			k.share = 1
		}
	}
	if slots <= 0 {
		// No flow is placed anyway, and the utilization isn't defined.
		s.reset()
		return
	}
	s.smoothed += utilizationSmoothing * (s.latest - s.smoothed)
	// A shortage counts at once, its end only when it lasts.
	s.utilization = max(s.latest, s.smoothed)
	if !unanswered(classes) {
		s.updateShares(classes)
	}
}

// unanswered reports whether requests started and none was answered: the utilization then shows
// nothing, and shares stay.
func unanswered(classes []*Counter) bool {
	requests, answered := uint32(0), uint32(0)
	for _, k := range classes {
		requests, answered = addCount(requests, k.zones.Requests), addCount(answered, k.zones.Answered)
	}
	return requests > 0 && answered == 0
}

// updateShares computes the shares of the classes in use, most urgent first.
func (s *service) updateShares(classes []*Counter) {
	demands := make([]classDemand, len(classes))
	for i, k := range classes {
		demands[i] = classDemand{
			offered: float64(k.zones.Offered), admitted: float64(k.zones.Admitted),
			requests: float64(k.zones.Requests), answered: float64(k.zones.Answered),
			cost: k.cost.Seconds(), share: k.share,
		}
	}
	yielding := yields(workShares(demands))
	shares := computeShares(demands, s.utilization, s.slotTime())
	riseLimit := maxRise
	if s.latest <= 1 {
		riseLimit = 1
	}
	// The share of a less urgent class never exceeds that of a more urgent one.
	highest := 1.0
	for i, k := range classes {
		k.yields = yielding[i]
		k.share = min(shares[i], k.share+riseLimit, highest)
		highest = k.share
	}
}

// isLocallyShort reports whether the service is short by local observation. If the last update shows
// a shortage, the shares already follow from that.
func (s *service) isLocallyShort(stale bool, now time.Time) bool {
	return now.Before(s.shortUntil) && (stale || s.latest <= target*beginning)
}

// isShort reports whether the service is short of capacity.
func (s *service) isShort(stale bool, now time.Time) bool {
	if s.isLocallyShort(stale, now) {
		return true
	}
	return !stale && slices.ContainsFunc(s.classes, func(k *Counter) bool { return k.share < 1 })
}

func (s *service) utilizationAt(stale bool, now time.Time) float64 {
	u := s.utilization
	if stale {
		u = 0
	}
	if s.isLocallyShort(stale, now) {
		u = max(u, localUtilization)
	}
	return u
}

// shareAt returns the share of the class's callers that are admitted.
func (k *Counter) shareAt(stale bool, now time.Time) float64 {
	share := k.share
	if stale {
		share = 1
	}
	if k.yields && k.service.isLocallyShort(stale, now) {
		return min(share, localShare)
	}
	return share
}
