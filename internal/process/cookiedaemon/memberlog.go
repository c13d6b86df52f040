package cookiedaemon

import (
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/process/logs"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// memberLog logs members that join, depart or change. Up to memberLines a second get a line of
// their own, the others are summed up in one line per zone and second. When 195 hosts start or are
// restarted in turns, one line for each on every host would be 38,000 lines, and the time to write
// them would be taken from callers that wait for small hosts. memberLog is safe for concurrent use.
type memberLog struct {
	mu      sync.Mutex
	limiter *logs.Limiter
	// summaries counts the changes that have no line of their own.
	summaries map[bundle.Zone]memberChanges
	written   time.Time
}

// memberChanges counts the changes of a zone's members.
type memberChanges struct {
	Joined, Changed, Departed int
}

const (
	// memberLines is how many members get a line of their own in a second: more than the hosts that
	// fail or are replaced one by one.
	memberLines = 5
	// memberSumPeriod is how often the summaries are logged.
	memberSumPeriod = time.Second
)

func newMemberLog() *memberLog {
	return &memberLog{limiter: logs.NewLimiter(memberLines), summaries: make(map[bundle.Zone]memberChanges)}
}

// changed logs the differences of two views.
func (l *memberLog) changed(old, view *peer.View, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range view.Members {
		v := &view.Members[i]
		was := old.Member(v.ID)
		if was != nil && was.State == v.State && was.Boot == v.Boot || l.line("Member", v, view, now) {
			continue
		}
		sum := l.summaries[v.Zone]
		if was == nil {
			sum.Joined++
		} else {
			sum.Changed++
		}
		l.summaries[v.Zone] = sum
	}
	for i := range old.Members {
		v := &old.Members[i]
		if view.Member(v.ID) != nil || l.line("Member departed", v, view, now) {
			continue
		}
		sum := l.summaries[v.Zone]
		sum.Departed++
		l.summaries[v.Zone] = sum
	}
}

// line logs one member, unless the limit is reached. It reports whether it did.
func (l *memberLog) line(text string, m *peer.Member, view *peer.View, now time.Time) bool {
	if _, ok := l.limiter.Allow(now); !ok {
		return false
	}
	klog.InfoS(text, "Name", m.Name, "Zone", m.Zone, "State", m.State, "Members", len(view.Members))
	return true
}

// logSummaries logs the summaries once memberSumPeriod has passed.
func (l *memberLog) logSummaries(members int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.summaries) == 0 || now.Sub(l.written) < memberSumPeriod {
		return
	}
	for _, z := range slices.Sorted(maps.Keys(l.summaries)) {
		s := l.summaries[z]
		klog.InfoS("Members changed", "Zone", z, "Came", s.Joined, "Changed", s.Changed, "Went", s.Departed, "Members", members)
	}
	clear(l.summaries)
	l.written = now
}
