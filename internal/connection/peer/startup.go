package peer

import "time"

// Startup decides whether a daemon that can't place flows yet reads the store itself. The seeds are
// the hosts that its settings name, by which it finds the other daemons. When a whole fleet starts,
// the store's rate of calls and its link are the scarcest resources. So a daemon reads only if a
// caller waits or may be waiting for it, if it is the one that reads for all, or if it didn't
// receive the store's content in time. All others request it from members. It is a value and safe
// for concurrent use.
type Startup struct {
	// StartedAt is when the daemon started.
	StartedAt time.Time
	// FirstStart says that the whole system starts for the first time, so that no callers wait yet.
	FirstStart bool
}

// StartupState is what a daemon knows of the system while it starts.
type StartupState struct {
	// CallersWaiting says that a packet of a caller has arrived.
	CallersWaiting bool
	// ServingMemberSeen says that a member that can place flows has sent a message.
	ServingMemberSeen bool
	// Rank is the daemon's ReaderRank, Others how many other members it knows.
	Rank, Others int
}

const (
	// seedTimeout is how long a daemon waits for the seeds to show that the system is running. A
	// host with a sixteenth of a core receives their answers within 12 ms. If none is serving, all
	// hosts may be restarting after a power loss, and callers may send to any of them at any
	// moment.
	seedTimeout = 20 * time.Millisecond
	// firstRankReadsAfter is when, at the first start, the daemon that ranks first reads. The
	// users' hosts start within 300 ms of each other. Before that, several take themselves for the
	// first, and each of them would call the store. No caller is waiting for it.
	firstRankReadsAfter = time.Second
	// aloneReadsAfter is when a daemon reads that received no answer from any seed at the first
	// start. It has queried them four times by then.
	aloneReadsAfter = 1200 * time.Millisecond
	// catalogTimeout is when a daemon reads that knows other members but received no catalog from
	// them. The first in rank has read the store by then and sent it to its zone in one or two
	// hops.
	catalogTimeout = 2500 * time.Millisecond
	// catalogTimeoutStep is the additional delay per rank, so that few daemons read at the same
	// time and later ones receive the content from earlier ones. catalogTimeoutRanks bounds the
	// delay: the users' callers arrive 10 s after the hosts started.
	catalogTimeoutStep  = 50 * time.Millisecond
	catalogTimeoutRanks = 60
)

// ShouldRead reports whether the daemon reads the store now.
func (s Startup) ShouldRead(state StartupState, now time.Time) bool {
	elapsed := now.Sub(s.StartedAt)
	switch {
	case state.CallersWaiting:
		return true
	case !s.FirstStart && !state.ServingMemberSeen:
		return elapsed >= seedTimeout
	case state.Others == 0:
		return elapsed >= aloneReadsAfter
	case state.Rank == 0:
		return elapsed >= firstRankReadsAfter
	}
	return elapsed >= catalogTimeout+time.Duration(min(state.Rank, catalogTimeoutRanks))*catalogTimeoutStep
}

// RequestDelay returns how long a daemon waits before it queries the next member. The mean delay is
// multiplied by a factor between 0.5 and 1.5, which jitter (0 to 1) selects.
func (s Startup) RequestDelay(jitter float64) time.Duration {
	delay := requestDelay
	if s.FirstStart {
		delay = firstStartRequestDelay
	}
	return time.Duration((0.5 + jitter) * float64(delay))
}

const (
	// requestDelay is the mean delay: a member that is starting as well is ready about 100 ms
	// later.
	requestDelay = 150 * time.Millisecond
	// firstStartRequestDelay is the mean delay at the first start of a system, where no caller
	// waits. If 195 hosts queried three small seeds every 150 ms, that would take 130 ms of a core
	// per second, and each of these seeds has 61 ms.
	firstStartRequestDelay = 500 * time.Millisecond
)

// ReaderRank returns the rank by which the daemon follows the store once it can place flows; rank
// is its rank in its view. A daemon that started just now knows few others and takes itself for the
// first: after a power loss each of 195 hosts would follow the store until they had discovered each
// other.
func (s Startup) ReaderRank(rank int, now time.Time) int {
	if now.Sub(s.StartedAt) < discoveryPeriod {
		return max(rank, 1)
	}
	return rank
}

// discoveryPeriod is how long a daemon needs to discover the first of its zone, in which it queries
// the seeds four times. Until then the content that it read itself, or received, is recent.
const discoveryPeriod = time.Second

// IsLargerSource reports whether a member of one size should be queried by a daemon of size self
// that is reading a long list while all hosts restart. A member that isn't larger starts no sooner
// and takes as long to read the list as the daemon itself.
func IsLargerSource(member, self uint32) bool { return member >= sourceSizeFactor*self }

// sourceSizeFactor is how many times as large such a member must be, at least.
const sourceSizeFactor = 2
