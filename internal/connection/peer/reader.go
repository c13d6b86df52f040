package peer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// ReaderRank returns the rank of this daemon among those that may read the store. Rank 0 reads it
// for all. The first member of each zone, its zone reader, ranks after the zone readers of other
// zones that come before it in reader order. The other members of a zone rank by their position in the
// zone. Larger hosts come first, since the reader also bears the cost of sending to others, and
// leaving daemons come last.
func (v *View) ReaderRank() int {
	v.rankOnce.Do(func() { v.rank = v.readerRank() })
	return v.rank
}

func (v *View) readerRank() int {
	self := v.Member(v.Self)
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

// IsZoneReader reports whether this daemon is the first of its zone, which receives what the reader
// of all zones advertises and sends it to its zone.
func (v *View) IsZoneReader() bool {
	self := v.Member(v.Self)
	return self == nil || v.zoneRank(self) == 0
}

// zoneRank returns how many members of its zone come before this daemon in reader order.
func (v *View) zoneRank(self *Member) int {
	rank := 0
	for i := range v.Members {
		if m := &v.Members[i]; m.Zone == self.Zone && m.ID != v.Self && compareReaders(m, self) < 0 {
			rank++
		}
	}
	return rank
}

// RanksBefore reports whether the daemon id comes before this one in reader order. It returns false
// for a daemon that isn't known.
func (v *View) RanksBefore(id ID) bool {
	self, o := v.Member(v.Self), v.Member(id)
	return self != nil && o != nil && compareReaders(o, self) < 0
}

// ZoneMembers returns the other members of this daemon's zone in reader order.
func (v *View) ZoneMembers() []*Member {
	zone := v.zoneInReaderOrder()
	position := slices.IndexFunc(zone, func(m *Member) bool { return m.ID == v.Self })
	if position < 0 {
		return nil
	}
	return without(zone, position)
}

// zoneInReaderOrder returns all members of this daemon's zone in reader order. It is nil if the
// daemon itself isn't a member.
func (v *View) zoneInReaderOrder() []*Member {
	v.ownZoneOnce.Do(func() {
		self := v.Member(v.Self)
		if self == nil {
			return
		}
		for i := range v.Members {
			if m := &v.Members[i]; m.Zone == self.Zone {
				v.ownZone = append(v.ownZone, m)
			}
		}
		slices.SortFunc(v.ownZone, compareReaders)
	})
	return v.ownZone
}

// OtherZoneReaders returns the zone reader of each other zone, in reader order.
func (v *View) OtherZoneReaders() []*Member {
	v.otherReadersOnce.Do(func() { v.otherReaders = v.findOtherZoneReaders() })
	return slices.Clip(v.otherReaders)
}

func (v *View) findOtherZoneReaders() []*Member {
	self := v.Member(v.Self)
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

// CatalogSources returns the members from which a starting daemon requests the catalog, in turn.
// The first members of its own zone alternate with the zone readers of the other zones, because a
// zone that starts as a whole has no content before its zone reader has received it from another
// zone.
func (v *View) CatalogSources() []*Member {
	own, others := v.ZoneMembers(), v.OtherZoneReaders()
	var out []*Member
	for i := range maxCatalogSources / 2 {
		if i < len(own) {
			out = append(out, own[i])
		}
		if i < len(others) {
			out = append(out, others[i])
		}
	}
	return out
}

// maxCatalogSources is how many members are queried in turn.
const maxCatalogSources = 4

// compareReaders defines the reader order: members that aren't leaving come first, then larger ones.
// Among equals the identifier decides.
func compareReaders(a, b *Member) int {
	return cmp.Or(
		cmp.Compare(stayRank(b), stayRank(a)),
		cmp.Compare(b.Size, a.Size),
		cmp.Compare(a.ID, b.ID),
	)
}

// stayRank returns 0 for a member that is leaving, 1 for any other.
func stayRank(m *Member) int {
	if m.State == StateLeaving {
		return 0
	}
	return 1
}

// ReaderElection decides whether a daemon reads the store itself or relies on the advertisements of
// another one. Nobody votes: a daemon that receives no recent advertisement starts to read, the one
// with the best rank soonest, and stops when a daemon that ranks before it advertises recent
// content. A reader that is dead, frozen, partitioned or refused by the store sends nothing in each
// of these cases, so each leads to the same takeover. It isn't safe for concurrent use.
type ReaderElection struct {
	reading bool
	// lastReceived is the latest time as of which other daemons advertised the store's content or
	// this one read it, lastFromRankedBefore that of daemons that rank before this one.
	lastReceived, lastFromRankedBefore time.Time
	// lastOffered is the latest time as of which other daemons advertised content that this one still
	// has to fetch. fetchFailed is set if a fetch brought nothing newer than lastReceived.
	lastOffered time.Time
	fetchFailed bool
	// readerHeardAt is when a daemon that ranks before this one and doesn't miss the store's answers was
	// last heard.
	readerHeardAt time.Time
	// storeLostAt is when a daemon that reads was last known to be alive and without an answer from
	// the store.
	storeLostAt time.Time
}

// Times of the takeover. With a watch of 800 ms, advertisements every 500 ms and a hop through the
// zone reader, recent content is up to 1.4 s old. A configuration must be in force within 3 s of
// the store's acknowledgement, which is the users' smallest bound. The third in rank reads after
// 2.2 s.
const (
	// A daemon reads once the content that it received last, or fetches now, is older than
	// takeOverAfter plus takeOverStep for each daemon that ranks before it.
	takeOverAfter = 1800 * time.Millisecond
	takeOverStep  = 200 * time.Millisecond
	// takeOverSteps bounds the delay: the fourth in rank and all behind it wait equally long.
	takeOverSteps = 3
	// readerHeardStep is the additional delay while a daemon that ranks before is heard and doesn't
	// report that the store fails to answer: it is receiving a large answer, or is slow. This one would
	// only read the same. A call that hangs is reported in time for a takeover without this delay.
	readerHeardStep = 800 * time.Millisecond
	// storeLostStep is the additional delay per rank beyond takeOverSteps while a daemon that reads
	// the store reports that it doesn't answer. It is unlikely to answer this one either, unless it
	// refuses just that one. Without this delay every daemon would call a store that refuses calls.
	// storeLostRanks bounds the delay, in case the store serves only daemons far back in rank.
	storeLostStep  = time.Second
	storeLostRanks = 8
	// storeLostWindow is how long such a report counts, or one without it: two periods of the reports,
	// and their transit time.
	storeLostWindow = 1200 * time.Millisecond
	// maxFreshAge is the age up to which content advertised by a daemon that ranks before makes
	// this one stop reading.
	maxFreshAge = 1500 * time.Millisecond
)

// Received records that another daemon advertised the store's content as of a time, or that this
// daemon read it. ranksBefore says that it was another daemon, which ranks before this one.
func (r *ReaderElection) Received(asOf time.Time, ranksBefore bool) {
	if asOf.After(r.lastReceived) {
		r.lastReceived, r.fetchFailed = asOf, false
	}
	if ranksBefore && asOf.After(r.lastFromRankedBefore) {
		r.lastFromRankedBefore = asOf
	}
}

// Offered records that another daemon advertised the store's content as of a time, and that this
// daemon fetches what it lacks of it. While it does, it doesn't read the store: a large bundle would
// reach it as a whole instead of as an update.
func (r *ReaderElection) Offered(asOf time.Time) {
	if asOf.After(r.lastOffered) {
		r.lastOffered = asOf
	}
}

// Fetched records the end of a fetch. asOf is the time as of which this daemon now knows the store's
// content.
func (r *ReaderElection) Fetched(asOf time.Time) {
	r.fetchFailed = !asOf.After(r.lastReceived)
	r.Received(asOf, false)
}

// lastKnown returns the time as of which this daemon has the store's content or will have it once a
// fetch ends.
func (r *ReaderElection) lastKnown() time.Time {
	if r.fetchFailed || r.lastReceived.After(r.lastOffered) {
		return r.lastReceived
	}
	return r.lastOffered
}

// ReaderHeard records a report of a daemon that ranks before this one, which doesn't miss the store's
// answers.
func (r *ReaderElection) ReaderHeard(at time.Time) { r.readerHeardAt = at }

// ReportStoreLost records that a daemon which reads the store is alive and has no answer from it.
func (r *ReaderElection) ReportStoreLost(at time.Time) { r.storeLostAt = at }

// StoreReportedLost reports whether ReportStoreLost was called within storeLostWindow.
func (r *ReaderElection) StoreReportedLost(now time.Time) bool {
	return now.Sub(r.storeLostAt) <= storeLostWindow
}

// Reads reports whether this daemon read the store by the last call of ShouldRead.
func (r *ReaderElection) Reads() bool { return r.reading }

// Age returns how old the content is that this daemon received last, zero if it received none.
func (r *ReaderElection) Age(now time.Time) time.Duration {
	if r.lastReceived.IsZero() {
		return 0
	}
	return now.Sub(r.lastReceived)
}

// ShouldRead reports whether this daemon, which has the given rank, reads the store now.
func (r *ReaderElection) ShouldRead(rank int, now time.Time) bool {
	switch {
	case rank == 0:
		r.reading = true
	case r.reading:
		r.reading = now.Sub(r.lastFromRankedBefore) > maxFreshAge
	default:
		wait := takeOverAfter + time.Duration(min(rank, takeOverSteps))*takeOverStep
		switch {
		case !r.StoreReportedLost(now) && now.Sub(r.readerHeardAt) <= storeLostWindow:
			wait += readerHeardStep
		case r.StoreReportedLost(now):
			wait += time.Duration(min(max(0, rank-takeOverSteps), storeLostRanks)) * storeLostStep
		}
		r.reading = now.Sub(r.lastKnown()) > wait
	}
	return r.reading
}

// Pauses after failed calls of the store.
const (
	// minRetry and maxRetry bound the pause of the first in rank. Every call is paid for, even if
	// it is refused. A store that is available again is noticed within the longer pause.
	minRetry = 200 * time.Millisecond
	maxRetry = time.Second
	// retryRanks is the number of ranks over which the longest pause grows by maxRetry. The calls
	// of all daemons together then grow with the logarithm of their number. A zone of 26 calls an
	// unavailable store 9 times a second, instead of 35 times if all had the same pause.
	retryRanks = 3
	// maxRetryRank bounds that growth. One of so many daemons may reach the store when those that
	// rank before it can't, for example because the store refuses them.
	maxRetryRank = 60
)

// RetryPause returns how long a daemon with a rank waits after the given number of consecutive
// failed calls. The pause is multiplied by a factor between 0.5 and 1.5, which jitter (0 to 1)
// selects.
func RetryPause(rank, failures int, jitter float64) time.Duration {
	longest := maxRetry * time.Duration(retryRanks+min(rank, maxRetryRank)) / retryRanks
	pause := longest
	if failures < maxDoublings {
		pause = min(longest, minRetry<<failures)
	}
	return time.Duration((0.5 + jitter) * float64(pause))
}

// maxDoublings is the number of failures from which the pause of any rank is its longest.
const maxDoublings = 8
