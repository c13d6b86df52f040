package peer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// ReaderRank returns the place of this daemon among those that may read the store, 0
// being the one that reads it for all. The first of each zone, the zone's reader,
// comes after those of zones whose readers come before it; the others follow by their
// place in their zone. The largest hosts come first, since telling others costs most
// there, and daemons that leave come last.
func (v *View) ReaderRank() int {
	self := v.byID[v.Self]
	if self == nil {
		return 0
	}
	rank := v.zoneRank(self)
	if rank > 0 {
		return rank
	}
	for _, o := range v.OtherZoneReaders() {
		if compareReaders(o, self) < 0 {
			rank++
		}
	}
	return rank
}

// IsZoneReader reports whether this daemon is the first of its zone: it hears the
// reader of all and tells its zone.
func (v *View) IsZoneReader() bool {
	self := v.byID[v.Self]
	return self == nil || v.zoneRank(self) == 0
}

func (v *View) zoneRank(self *Member) int {
	rank := 0
	for i := range v.Members {
		if m := &v.Members[i]; m.Zone == self.Zone && m.ID != v.Self && compareReaders(m, self) < 0 {
			rank++
		}
	}
	return rank
}

// RanksBefore reports whether another daemon comes before this one as a reader. A
// daemon that isn't known yet doesn't.
func (v *View) RanksBefore(id ID) bool {
	self, o := v.byID[v.Self], v.byID[id]
	return self != nil && o != nil && compareReaders(o, self) < 0
}

// ZoneMembers returns the other members of this daemon's zone, first readers first.
func (v *View) ZoneMembers() []*Member {
	zone := v.readers()
	place := slices.IndexFunc(zone, func(m *Member) bool { return m.ID == v.Self })
	if place < 0 {
		return nil
	}
	return without(zone, place)
}

// readers returns all members of this daemon's zone, first readers first. It is nil if
// the daemon itself isn't a member.
func (v *View) readers() []*Member {
	v.zoneOnce.Do(func() {
		self := v.byID[v.Self]
		if self == nil {
			return
		}
		for i := range v.Members {
			if m := &v.Members[i]; m.Zone == self.Zone {
				v.zone = append(v.zone, m)
			}
		}
		slices.SortFunc(v.zone, compareReaders)
	})
	return v.zone
}

// OtherZoneReaders returns the first reader of each other zone.
func (v *View) OtherZoneReaders() []*Member {
	self := v.byID[v.Self]
	if self == nil {
		return nil
	}
	first := make(map[bundle.Zone]*Member)
	for i := range v.Members {
		m := &v.Members[i]
		if m.Zone == self.Zone {
			continue
		}
		if best := first[m.Zone]; best == nil || compareReaders(m, best) < 0 {
			first[m.Zone] = m
		}
	}
	return slices.SortedFunc(maps.Values(first), compareReaders)
}

// CatalogSources returns the members that a daemon which starts asks in turn: the first readers of its
// zone and of the others by turns, since a zone that starts as a whole knows nothing before its
// first reader has heard another zone's.
func (v *View) CatalogSources() []*Member {
	own, others := v.ZoneMembers(), v.OtherZoneReaders()
	var out []*Member
	for i := range maxTellers / 2 {
		if i < len(own) {
			out = append(out, own[i])
		}
		if i < len(others) {
			out = append(out, others[i])
		}
	}
	return out
}

// maxTellers is how many members are asked in turn.
const maxTellers = 4

func compareReaders(a, b *Member) int {
	return cmp.Or(
		cmp.Compare(stays(b), stays(a)),
		cmp.Compare(b.Size, a.Size),
		cmp.Compare(a.ID, b.ID),
	)
}

func stays(m *Member) int {
	if m.State == StateLeaving {
		return 0
	}
	return 1
}

// ReaderElection decides whether a daemon reads the store itself or relies on what
// another one tells. There is no election: who hears nothing fresh
// reads, the first in rank soonest, and stops when somebody before it in rank tells
// fresh news. A reader that died, stands still, is cut off or is turned away by the
// store is silent all the same, so each of these ends in the same take-over. It
// isn't safe for concurrent use.
type ReaderElection struct {
	reads bool
	// heard is as of when others told the store's content, better as of when those
	// before this daemon in rank did.
	heard, better time.Time
	// lost is when a daemon that reads was last known to live and to have no answer from the store.
	lost time.Time
}

// Times of the take-over. With a watch of 800 ms, news every 500 ms and a hop by the
// zone's reader, fresh news is up to 1.4 s old. A configuration must be in force within 3 s of the store's
// acknowledgement at the users' smallest bound: the third in rank reads after
// 2.2 s.
const (
	takeOverAfter = 1800 * time.Millisecond
	takeOverStep  = 200 * time.Millisecond
	// takeOverSteps bounds the delay: who is further back starts with the fourth.
	takeOverSteps = 3
	// lostStep lies between one rank and the next beyond takeOverSteps if those before say that the
	// store doesn't answer: it won't answer this one either, unless it turns just those away. Without it
	// a store that refuses calls is asked by every daemon. lostRanks bounds the wait,
	// should the store serve only who is far back.
	lostStep  = time.Second
	lostRanks = 8
	// lostFor is how long such a word counts: two periods of the reports that carry it, and the
	// way.
	lostFor = 1200 * time.Millisecond
	// freshFor is how old the word of a better reader may be for this one to stop.
	freshFor = 1500 * time.Millisecond
)

// Received notes that another daemon told the store's content as of a time. before
// says that it stands before this one in rank.
func (r *ReaderElection) Received(asOf time.Time, before bool) {
	if asOf.After(r.heard) {
		r.heard = asOf
	}
	if before && asOf.After(r.better) {
		r.better = asOf
	}
}

// ReportStoreLost notes that a daemon which reads lives and has no answer from the store.
func (r *ReaderElection) ReportStoreLost(at time.Time) { r.lost = at }

// StoreReportedLost reports whether that was told lately.
func (r *ReaderElection) StoreReportedLost(now time.Time) bool { return now.Sub(r.lost) <= lostFor }

// ShouldRead reports whether this daemon, which stands at a rank, reads the store now.
func (r *ReaderElection) ShouldRead(rank int, now time.Time) bool {
	switch {
	case rank == 0:
		r.reads = true
	case r.reads:
		r.reads = now.Sub(r.better) > freshFor
	default:
		wait := takeOverAfter + time.Duration(min(rank, takeOverSteps))*takeOverStep
		if r.StoreReportedLost(now) {
			wait += time.Duration(min(max(0, rank-takeOverSteps), lostRanks)) * lostStep
		}
		r.reads = now.Sub(r.heard) > wait
	}
	return r.reads
}

// Pauses after calls of the store that failed.
const (
	// minRetry and maxRetry bound the pause of the first in rank. Every call is paid
	// for, also one that is refused; a store that comes back is found within the longer.
	minRetry = 200 * time.Millisecond
	maxRetry = time.Second
	// retryRanks is by how many ranks the longest pause grows by maxRetry: the calls of
	// all daemons together then grow with the logarithm of their number. A store that
	// is away is asked 9 times a second by a zone of 26, where all with the same
	// pause asked 35 times.
	retryRanks = 3
	// maxRetryRank bounds that growth: one of so many finds a way to the store that
	// those before it haven't, as when the store turns them away.
	maxRetryRank = 60
)

// RetryPause returns how long a daemon at a rank waits after so many failed calls in a
// row. It is spread by a factor of 0.5 to 1.5, of which part, 0 to 1, says how much.
func RetryPause(rank, failures int, part float64) time.Duration {
	longest := maxRetry * time.Duration(retryRanks+min(rank, maxRetryRank)) / retryRanks
	pause := longest
	if failures < maxDoublings {
		pause = min(longest, minRetry<<failures)
	}
	return time.Duration((0.5 + part) * float64(pause))
}

// maxDoublings is when the pause of any rank is its longest.
const maxDoublings = 8
