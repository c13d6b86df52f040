package carrier

import (
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/process/logs"
)

// decisionLog writes a line for each decision that begins or ends a flow, or loses
// a packet, bounded for each cause. It is safe for concurrent use.
type decisionLog struct {
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

// decided writes the line of one packet's decision. Packets of established flows
// that are forwarded decide nothing and write none.
func (l *decisionLog) decided(p *cookie.Packet, v *cookie.Verdict, now time.Time) {
	if v.Action == cookie.ActionForward && v.Cause == cookie.CauseNone {
		return
	}
	l.mu.Lock()
	left, ok := l.limiters[v.Cause].Allow(now)
	l.mu.Unlock()
	if !ok {
		l.leftOut.Add(1)
		return
	}
	kv := []any{
		"Cause", v.Cause, "Caller", p.Key.Caller(), "To", p.Key.Service(), "Copy", p.Copy, "Cookie", uint32(p.Cookie),
	}
	if v.Upstream != nil {
		r := v.Upstream.Route
		kv = append(kv, "Upstream", r.Address, "ID", r.ID, "Zone", r.Zone)
	}
	if left > 0 {
		kv = append(kv, "LeftOut", left)
	}
	klog.InfoS(actionLines[v.Action], kv...)
}

var actionLines = [...]string{
	cookie.ActionDrop: "Packet dropped", cookie.ActionForward: "Flow placed", cookie.ActionReset: "Flow reset",
}

func (l *decisionLog) paused() {
	klog.InfoS("Process was paused: first packets that waited are dropped")
}
