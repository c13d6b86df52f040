package peer

import "time"

// Startup decides whether a daemon that can't place flows yet reads the store for itself. The
// store's calls and its link are what a fleet that starts as a whole has least of. So a daemon
// reads only if somebody waits or may wait for it, if it is the one that reads for all, or if
// nobody has told it in time. The others ask members. It is a value and safe for concurrent use.
type Startup struct {
	// StartedAt is when the daemon started.
	StartedAt time.Time
	// FirstStart says that the whole system starts for the first time, so that no callers wait yet.
	FirstStart bool
}

// StartupState is what a daemon knows of the system while it starts.
type StartupState struct {
	// CallersWaiting says that a caller's packet has come.
	CallersWaiting bool
	// ServingMemberSeen says that a member which can place flows has answered.
	ServingMemberSeen bool
	// Rank is the daemon's ReaderRank, Others how many other members it knows.
	Rank, Others int
}

const (
	// meetAfter is how long a daemon gives the seeds to show that the system runs. One with a
	// sixteenth of a core has their answers after 12 ms. If there is none, all hosts may be
	// coming back from a loss of power, and callers will ask each of them at any moment.
	meetAfter = 20 * time.Millisecond
	// settleAfter is when, at the first start, the daemon that stands first in rank reads. The
	// users' hosts start within 300 ms of each other; before that some take themselves for the
	// first, and each of them would call the store. Nobody waits for it.
	settleAfter = time.Second
	// aloneAfter is when one reads that no seed has answered at the first start: it has asked
	// four times.
	aloneAfter = 1200 * time.Millisecond
	// toldAfter is when one reads that knows others and wasn't told. The first in rank has read
	// the store by then and told its zone in one step or two.
	toldAfter = 2500 * time.Millisecond
	// toldStep lies between one rank and the next, so that few read at once and the later ones
	// hear of it from the earlier ones. toldRanks bounds the wait: the users' callers come 10 s
	// after the hosts.
	toldStep  = 50 * time.Millisecond
	toldRanks = 60
)

// ShouldRead reports whether the daemon reads the store now.
func (s Startup) ShouldRead(n StartupState, now time.Time) bool {
	passed := now.Sub(s.StartedAt)
	switch {
	case n.CallersWaiting:
		return true
	case !s.FirstStart && !n.ServingMemberSeen:
		return passed >= meetAfter
	case n.Others == 0:
		return passed >= aloneAfter
	case n.Rank == 0:
		return passed >= settleAfter
	}
	return passed >= toldAfter+time.Duration(min(n.Rank, toldRanks))*toldStep
}

// RequestDelay returns how long a daemon waits before it asks the next member, of which part, 0 to 1,
// says how much.
func (s Startup) RequestDelay(part float64) time.Duration {
	pause := askPause
	if s.FirstStart {
		pause = firstAskPause
	}
	return time.Duration((0.5 + part) * float64(pause))
}

const (
	// askPause is the mean of these times: a member that starts too is ready some 100 ms later.
	askPause = 150 * time.Millisecond
	// firstAskPause is that at the first start of a system, where nobody waits. Worked out: 195
	// hosts that ask three small seeds every 150 ms take 130 ms a second of a core, and each of
	// those has 61.
	firstAskPause = 500 * time.Millisecond
)

// ReaderRank returns the rank by which the daemon follows the store once it can place flows, if
// its view says rank. One that started just now knows few others and takes itself for the first:
// after a loss of power 195 hosts would each follow the store until they had found each other.
func (s Startup) ReaderRank(rank int, now time.Time) int {
	if now.Sub(s.StartedAt) < foundAfter {
		return max(rank, 1)
	}
	return rank
}

// foundAfter is when a daemon has found the first of its zone: the seeds were asked four times.
// Until then what it read itself, or was told, is fresh.
const foundAfter = time.Second

// IsLargerSource reports whether a member of a size is worth asking by a daemon of another that is reading
// a long list while all hosts come back: one that is no larger starts no sooner, and takes as long
// to read the list as the daemon itself.
func IsLargerSource(member, self uint32) bool { return member >= tellerFactor*self }

// tellerFactor is by how much a member must be larger.
const tellerFactor = 2
