package carrier

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

// memberLog writes lines about members that came, went or changed: one for each while they
// are few, and one a zone and second for the rest. When 195 hosts start or are restarted in
// turns, one line each on every host is 38,000, and their time is taken from callers who wait
// for small hosts. It is safe for concurrent use.
type memberLog struct {
	mu      sync.Mutex
	limiter *logs.Limiter
	// summaries sums up what has no line of its own.
	summaries    map[bundle.Zone]memberChanges
	written time.Time
}

// memberChanges counts the changes of a zone's members.
type memberChanges struct {
	Joined, Changed, Departed int
}

const (
	// memberLines is how many members have a line of their own in a second: more than the hosts
	// that fail or are replaced one by one.
	memberLines = 5
	// memberSumPeriod is how often the rest is summed up.
	memberSumPeriod = time.Second
)

func newMemberLog() *memberLog {
	return &memberLog{limiter: logs.NewLimiter(memberLines), summaries: make(map[bundle.Zone]memberChanges)}
}

// changed tells of the differences of two views.
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
		if view.Member(v.ID) != nil || l.line("Member is no longer there", v, view, now) {
			continue
		}
		sum := l.summaries[v.Zone]
		sum.Departed++
		l.summaries[v.Zone] = sum
	}
}

// line writes the line of one member, if it may have one.
func (l *memberLog) line(text string, m *peer.Member, view *peer.View, now time.Time) bool {
	if _, ok := l.limiter.Allow(now); !ok {
		return false
	}
	klog.InfoS(text, "Name", m.Name, "Zone", m.Zone, "State", m.State, "Members", len(view.Members))
	return true
}

// sum writes the lines of the rest, if it is time.
func (l *memberLog) sum(members int, now time.Time) {
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
