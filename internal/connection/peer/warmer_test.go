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

// sharer is a way to share what a slow upstream bears.
type sharer interface {
	Update(v *peer.View, now time.Time)
	Share(id bundle.UpstreamID, rate float64) int
}

// evenly gives each member of the zone the same part, one flow a second at least.
type evenly struct{ members int }

func (e *evenly) Update(v *peer.View, _ time.Time) { e.members = len(v.Members) }

func (e *evenly) Share(_ bundle.UpstreamID, rate float64) int {
	return max(1, int(rate)/max(1, e.members))
}

// warmHost is a member of the zone with what it knows of the others.
type warmHost struct {
	self    peer.ID
	sharer  sharer
	members map[peer.ID]bool
	// from is when it begins to send, until when it ends.
	from, until time.Duration
	changes     []warmChange
	// share is the sharer's word since it last saw a view.
	share int
	sent  []time.Duration
}

// warmChange is what a host comes to know of another.
type warmChange struct {
	at    time.Duration
	id    peer.ID
	there bool
}

const (
	warmStep = 20 * time.Millisecond
	// warmNotice is how long a host takes at most to notice another's coming or going.
	warmNotice = 3 * time.Second
	warmLength = 10 * time.Second
)

// warmZone plays a zone whose members all send to one upstream as much as they may. Of n members a tenth dies at
// 2 s, as many join at 4 s, and a third is cut off from the rest from 6 s on; each notices each change
// at its own moment. It returns the most flows in any second, and the mean.
func warmZone(n int, rate float64, seed uint64, newSharer func(self peer.ID, joined time.Time) sharer) (most int, mean float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1_000_000, 0)
	part := max(1, n/10)
	hosts := make([]*warmHost, 0, n+part)
	for i := range n + part {
		h := &warmHost{self: peer.IDOf(fmt.Sprint("host-", i)), members: make(map[peer.ID]bool), until: warmLength}
		joined := start.Add(-time.Hour)
		switch {
		case i < part:
			h.until = 2 * time.Second
		case i >= n:
			h.from = 4 * time.Second
			joined = start.Add(h.from + warmNotice)
		}
		h.sharer = newSharer(h.self, joined)
		hosts = append(hosts, h)
	}
	notice := func() time.Duration { return time.Duration(rng.Int64N(int64(warmNotice))) }
	for i, h := range hosts {
		for j, o := range hosts {
			if j < n {
				h.members[o.self] = true
			} else if i != j {
				h.changes = append(h.changes, warmChange{at: o.from + notice(), id: o.self, there: true})
			}
			if j < part {
				h.changes = append(h.changes, warmChange{at: o.until + notice(), id: o.self})
			}
			if cut := func(k int) bool { return k%3 == 0 }; cut(i) != cut(j) {
				h.changes = append(h.changes, warmChange{at: 6*time.Second + notice(), id: o.self})
			}
		}
		h.members[h.self] = true
	}
	var sent []time.Duration
	for at := time.Duration(0); at < warmLength; at += warmStep {
		for _, h := range hosts {
			if at >= h.from && at < h.until {
				sent = append(sent, h.play(start, at, rate)...)
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
	return most, float64(len(sent)) / warmLength.Seconds()
}

// play sends what the host may in one step.
func (h *warmHost) play(start time.Time, at time.Duration, rate float64) []time.Duration {
	changed := at == h.from || at%time.Second == 0
	for _, c := range h.changes {
		if c.at >= at-warmStep && c.at < at {
			h.members[c.id], changed = c.there, true
		}
	}
	if changed {
		var list []peer.Member
		for id, there := range h.members {
			if there {
				list = append(list, peer.Member{ID: id, Zone: "a"})
			}
		}
		h.sharer.Update(peer.NewView(h.self, list, peer.Changes{}), start.Add(at))
		h.share = h.sharer.Share(7, rate)
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

// A zone is taken back, and each of its upstreams bears a few requests a second while it is cold. Its many balancers know
// of each other only what gossip told them; together they send it several times of that, it
// answers nobody in time, and the zone's return costs more than its evacuation did.
var _ = Describe("A few members that send to a slow upstream", func() {
	for _, n := range []int{3, 28, 60} {
		for _, rate := range []float64{2, 7, 20, 60} {
			It(fmt.Sprintf("keep to its bound of %v a second while %d members come, go and are cut off", rate, n), func() {
				for seed := range uint64(3) {
					most, mean := warmZone(n, rate, seed, func(self peer.ID, joined time.Time) sharer {
						return peer.NewWarmupLimiter(self, joined)
					})
					Expect(most).To(BeNumerically("<=", 1.5*rate+5), "seed %d", seed)
					Expect(mean).To(BeNumerically(">", 0), "seed %d", seed)
				}
			})
		}
	}

	// The other way weighed: each member has the same part. It is less than a flow a second, so it is none or too much.
	It("do so where equal parts of all members don't", func() {
		most, _ := warmZone(28, 7, 1, func(peer.ID, time.Time) sharer { return &evenly{} })
		Expect(most).To(BeNumerically(">", 1.5*7+5))
	})

	It("are none on a side of a cut that lost most of its zone", func() {
		start := time.Unix(1_000_000, 0)
		w := peer.NewWarmupLimiter(1, start.Add(-time.Hour))
		all := []peer.Member{{ID: 1, Zone: "a"}, {ID: 2, Zone: "a"}, {ID: 3, Zone: "a"}, {ID: 4, Zone: "a"}}
		w.Update(peer.NewView(1, all, peer.Changes{}), start)
		Expect(w.Share(9, 40)).To(BeNumerically(">", 0))
		w.Update(peer.NewView(1, all[:2], peer.Changes{}), start.Add(time.Second))
		Expect(w.Share(9, 40)).To(BeZero())
		w.Update(peer.NewView(1, all[:2], peer.Changes{}), start.Add(2*time.Minute))
		Expect(w.Share(9, 40)).To(BeNumerically(">", 0), "the others are gone for good")
	})

	It("are none of those that don't know the others yet", func() {
		start := time.Unix(1_000_000, 0)
		w := peer.NewWarmupLimiter(1, start.Add(time.Second))
		w.Update(peer.NewView(1, []peer.Member{{ID: 1, Zone: "a"}}, peer.Changes{}), start)
		Expect(w.Share(9, 40)).To(BeZero())
	})
})
