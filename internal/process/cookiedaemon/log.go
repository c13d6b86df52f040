package cookiedaemon

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/process/logs"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// decisionLog logs each decision that begins or ends a flow or loses a packet, with a rate limit
// for each cause. It is safe for concurrent use.
type decisionLog struct {
	// mu guards limiters.
	mu       sync.Mutex
	limiters [cookie.NumCauses]*logs.Limiter
	leftOut  atomic.Uint64
}

func newDecisionLog(perSecond int) *decisionLog {
	l := &decisionLog{}
	for i := range l.limiters {
		l.limiters[i] = logs.NewLimiter(perSecond)
	}
	return l
}

// inputs are what a decision was based on.
type inputs struct {
	bundle bundle.Version
	// listAge is the time since the list of upstreams was last known to be complete.
	listAge time.Duration
}

// decided logs the decision on one packet; route is that of the upstream it concerns, or nil.
// Forwarding a packet of an established flow isn't logged.
func (l *decisionLog) decided(p *cookie.Packet, v *cookie.Verdict, route *bundle.UpstreamRoute, in inputs, now time.Time) {
	if v.Action == cookie.ActionForward && v.Cause == cookie.CauseNone {
		return
	}
	left, ok := l.allow(v.Cause, now)
	if !ok {
		return
	}
	kv := []any{
		"Cause", v.Cause, "Caller", p.Key.Caller(), "To", p.Key.Service(), "Copy", p.Copy, "Cookie", uint32(p.Cookie),
		"Bundle", in.bundle, "ListAge", in.listAge.Round(time.Millisecond),
	}
	klog.InfoS(actionLines[v.Action], appendRoute(appendAdmission(kv, v), route, left)...)
}

// reset logs a reset that is not an answer to a packet.
func (l *decisionLog) reset(r *cookie.Reset, in inputs, now time.Time) {
	left, ok := l.allow(r.Cause, now)
	if !ok {
		return
	}
	kv := []any{
		"Cause", r.Cause, "Caller", r.Key.Caller(), "To", r.Key.Service(),
		"Bundle", in.bundle, "ListAge", in.listAge.Round(time.Millisecond),
	}
	klog.InfoS(actionLines[cookie.ActionReset], appendRoute(kv, r.Upstream, left)...)
}

// allow reports whether a line with a cause may be logged, and how many were left out before it.
func (l *decisionLog) allow(c cookie.Cause, now time.Time) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	left, ok := l.limiters[c].Allow(now)
	if !ok {
		l.leftOut.Add(1)
	}
	return left, ok
}

// roundRatio rounds a share or a utilization to three decimals for a log line.
func roundRatio(x float64) float64 { return math.Round(x*1000) / 1000 }

// appendAdmission appends the inputs of a decision to refuse a flow while its service is short.
func appendAdmission(kv []any, v *cookie.Verdict) []any {
	if v.Cause != cookie.CauseOverload {
		return kv
	}
	a := &v.Admission
	return append(kv,
		"Utilization", roundRatio(a.Utilization), "Share", roundRatio(a.Share), "Age", a.Age.Round(time.Millisecond))
}

func appendRoute(kv []any, r *bundle.UpstreamRoute, left uint64) []any {
	if r != nil {
		kv = append(kv, "Upstream", r.Address, "ID", r.ID, "Zone", r.Zone)
	}
	if left > 0 {
		kv = append(kv, "LeftOut", left)
	}
	return kv
}

var actionLines = [...]string{
	cookie.ActionDrop: "Packet dropped", cookie.ActionForward: "Flow placed", cookie.ActionReset: "Flow reset",
	cookie.ActionHold: "Packet held",
}

func (l *decisionLog) paused() {
	klog.InfoS("Process was paused: first packets that waited are dropped")
}
