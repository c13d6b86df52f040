package peer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// limiter is a way to share the rate of a slow upstream among members.
type limiter interface {
	Update(v *peer.View, now time.Time)
	Share(id bundle.UpstreamID, zone bundle.Zone, rate float64) int
}

// equalShares gives each member of the zone the same share, at least one flow per second.
type equalShares struct{ members int }

func (e *equalShares) Update(v *peer.View, _ time.Time) { e.members = len(v.Members) }

func (e *equalShares) Share(_ bundle.UpstreamID, _ bundle.Zone, rate float64) int {
	return max(1, int(rate)/max(1, e.members))
}

// warmupHost is a member of the zone with what it knows of the others.
type warmupHost struct {
	self    peer.ID
	limiter limiter
	members map[peer.ID]bool
	// from is when the host begins to send, until when it stops.
	from, until time.Duration
	changes     []viewChange
	// share is what the limiter returned for the last view.
	share int
	sent  []time.Duration
}

// viewChange is a change of another member's presence as a host notices it.
type viewChange struct {
	at      time.Duration
	id      peer.ID
	present bool
}

const (
	simStep = 20 * time.Millisecond
	// maxNoticeDelay is how long a host takes at most to notice that another joined or departed.
	maxNoticeDelay = 3 * time.Second
	simLength      = 10 * time.Second
)

// simZone simulates a zone whose members all send to one upstream as much as they may. Of n
// members a tenth dies at 2 s, as many join at 4 s, and a third is partitioned from the rest from 6
// s on. Each member notices each change after its own delay. It returns the most flows in any
// second, and the mean.
func simZone(n int, rate float64, seed uint64, newLimiter func(self peer.ID, joined time.Time) limiter) (most int, mean float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1_000_000, 0)
	part := max(1, n/10)
	hosts := make([]*warmupHost, 0, n+part)
	for i := range n + part {
		h := &warmupHost{self: peer.IDOf(fmt.Sprint("host-", i)), members: make(map[peer.ID]bool), until: simLength}
		joined := start.Add(-time.Hour)
		switch {
		case i < part:
			h.until = 2 * time.Second
		case i >= n:
			h.from = 4 * time.Second
			joined = start.Add(h.from + maxNoticeDelay)
		}
		h.limiter = newLimiter(h.self, joined)
		hosts = append(hosts, h)
	}
	notice := func() time.Duration { return time.Duration(rng.Int64N(int64(maxNoticeDelay))) }
	for i, h := range hosts {
		for j, o := range hosts {
			if j < n {
				h.members[o.self] = true
			} else if i != j {
				h.changes = append(h.changes, viewChange{at: o.from + notice(), id: o.self, present: true})
			}
			if j < part {
				h.changes = append(h.changes, viewChange{at: o.until + notice(), id: o.self})
			}
			if cut := func(k int) bool { return k%3 == 0 }; cut(i) != cut(j) {
				h.changes = append(h.changes, viewChange{at: 6*time.Second + notice(), id: o.self})
			}
		}
		h.members[h.self] = true
	}
	var sent []time.Duration
	for at := time.Duration(0); at < simLength; at += simStep {
		for _, h := range hosts {
			if at >= h.from && at < h.until {
				sent = append(sent, h.step(start, at, rate)...)
			}
		}
	}
	first := 0
	for i := range sent {
		for sent[i]-sent[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, float64(len(sent)) / simLength.Seconds()
}

// step sends what the host may send in one step, and returns the times of these flows.
func (h *warmupHost) step(start time.Time, at time.Duration, rate float64) []time.Duration {
	changed := at == h.from || at%time.Second == 0
	for _, c := range h.changes {
		if c.at >= at-simStep && c.at < at {
			h.members[c.id], changed = c.present, true
		}
	}
	if changed {
		var list []peer.Member
		for id, there := range h.members {
			if there {
				list = append(list, peer.Member{ID: id, Zone: "a"})
			}
		}
		h.limiter.Update(peer.NewView(h.self, list, peer.Changes{}), start.Add(at))
		h.share = h.limiter.Share(7, "a", rate)
	}
	for len(h.sent) > 0 && at-h.sent[0] >= time.Second {
		h.sent = h.sent[1:]
	}
	var out []time.Duration
	for len(h.sent) < h.share {
		h.sent = append(h.sent, at)
		out = append(out, at)
	}
	return out
}

// The evacuation of a zone is lifted, and each of its upstreams can take a few requests per second
// while it is warming up. Many balancers know of each other only by gossip. If together they sent several
// times that rate, no request would be answered in time, and the zone's return would cost more than
// its evacuation did.
var _ = Describe("Members that send to a slow upstream", func() {
	for _, n := range []int{3, 28, 60} {
		for _, rate := range []float64{2, 7, 20, 60} {
			It(fmt.Sprintf("stay within its rate of %v per second while %d members join, depart and are partitioned", rate, n), func() {
				for seed := range uint64(3) {
					most, mean := simZone(n, rate, seed, func(self peer.ID, joined time.Time) limiter {
						return peer.NewWarmupLimiter(self, joined)
					})
					Expect(most).To(BeNumerically("<=", 1.5*rate+5), "seed %d", seed)
					Expect(mean).To(BeNumerically(">", 0), "seed %d", seed)
				}
			})
		}
	}

	// The alternative: each member has the same share. It is less than one flow per second, so it
	// is rounded to none or to too much.
	It("stay within its rate where equal shares of all members don't", func() {
		most, _ := simZone(28, 7, 1, func(peer.ID, time.Time) limiter { return &equalShares{} })
		Expect(most).To(BeNumerically(">", 1.5*7+5))
	})

	It("send nothing on a side of a partition that lost most of its zone", func() {
		start := time.Unix(1_000_000, 0)
		w := peer.NewWarmupLimiter(1, start.Add(-time.Hour))
		all := []peer.Member{{ID: 1, Zone: "a"}, {ID: 2, Zone: "a"}, {ID: 3, Zone: "a"}, {ID: 4, Zone: "a"}}
		w.Update(peer.NewView(1, all, peer.Changes{}), start)
		Expect(w.Share(9, "a", 40)).To(BeNumerically(">", 0))
		w.Update(peer.NewView(1, all[:2], peer.Changes{}), start.Add(time.Second))
		Expect(w.Share(9, "a", 40)).To(BeZero())
		w.Update(peer.NewView(1, all[:2], peer.Changes{}), start.Add(2*time.Minute))
		Expect(w.Share(9, "a", 40)).To(BeNumerically(">", 0), "the others departed permanently")
	})

	It("send nothing while they don't know the others yet", func() {
		start := time.Unix(1_000_000, 0)
		w := peer.NewWarmupLimiter(1, start.Add(time.Second))
		w.Update(peer.NewView(1, []peer.Member{{ID: 1, Zone: "a"}}, peer.Changes{}), start)
		Expect(w.Share(9, "a", 40)).To(BeZero())
	})
})

// Guards against a slow upstream that gets its rate from the members of each zone, when all of them spill over.
var _ = DescribeTable("Members of zones that send to a slow upstream stay within its rate", func(zones []bundle.Zone, each int) {
	start := time.Unix(1_000_000, 0)
	const rate = 12
	all := make([]peer.Member, 0, each*len(zones))
	for _, z := range zones {
		for i := range each {
			all = append(all, peer.Member{ID: peer.IDOf(fmt.Sprint(z, i)), Zone: z})
		}
	}
	for id := range bundle.UpstreamID(50) {
		sum := 0
		for _, m := range all {
			w := peer.NewWarmupLimiter(m.ID, start.Add(-time.Hour))
			w.Update(peer.NewView(m.ID, all, peer.Changes{}), start)
			n := w.Share(id, "a", rate)
			if m.Zone != "a" && zones[0] == "a" {
				Expect(n).To(BeZero())
			}
			sum += n
		}
		Expect(sum).To(And(BeNumerically(">", rate/2), BeNumerically("<=", rate)))
	}
},
	Entry("of its own zone alone", []bundle.Zone{"a"}, 3),
	Entry("of its own zone and others", []bundle.Zone{"a", "b", "c"}, 3),
	Entry("of its own zone and others, many", []bundle.Zone{"a", "b", "c"}, 9),
	Entry("of other zones, if its own has no members", []bundle.Zone{"b", "c"}, 3),
)
