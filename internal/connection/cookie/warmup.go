package cookie

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// WarmupLimiter returns how many new flows this balancer may send in any second to an upstream that
// is slow after its start, is in the given zone and can handle rate new flows a second from all balancers together.
type WarmupLimiter interface {
	Share(id bundle.UpstreamID, zone bundle.Zone, rate float64) int
}

// warmupWindow is the length of the sliding window in which flows to a slow upstream are counted.
const warmupWindow = time.Second

// sendTimes holds when flows were sent to an upstream while it was slow, oldest first.
type sendTimes struct{ sent []time.Time }

// allows reports whether one more flow may be sent if at most n are allowed in any warmupWindow. It
// drops older times.
func (s *sendTimes) allows(n int, now time.Time) bool {
	for len(s.sent) > 0 && now.Sub(s.sent[0]) >= warmupWindow {
		s.sent = s.sent[1:]
	}
	return len(s.sent) < n
}

// add notes a flow that is sent now.
func (s *sendTimes) add(now time.Time) { s.sent = append(s.sent, now) }

// withinWarmupLimit reports whether an upstream may get a new flow from this balancer as far as its
// warm-up is concerned. A slow upstream that gets more flows than it can handle answers none of
// them in time, and the callers that were moved back to it are lost again.
func (e *Engine) withinWarmupLimit(u *Upstream, now time.Time) bool {
	rate := u.Route.Service.WarmupRate
	if rate <= 0 || !now.Before(u.warmingUntil) {
		return true
	}
	if e.opts.WarmupLimiter == nil {
		return false
	}
	return u.sendTimes.allows(e.opts.WarmupLimiter.Share(u.Route.ID, u.Route.Zone, rate), now)
}

// recordWarmupFlow notes that a new flow is placed at an upstream, if its warm-up limits the number
// of new flows.
func (e *Engine) recordWarmupFlow(u *Upstream, now time.Time) {
	if u.Route.Service.WarmupRate > 0 && now.Before(u.warmingUntil) {
		u.sendTimes.add(now)
	}
}
