package caller_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fescueshed/fescueshed/internal/connection/caller"
	"github.com/fescueshed/fescueshed/internal/request/ip"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

func keyOf(flow uint16) caller.Key {
	p := ip.Packet{Src: callerAt(flow), Dst: ordersAt, Protocol: ip.ProtocolUDP}
	return caller.KeyOf(vniOrders, &p, false)
}

var _ = Describe("Table", func() {
	It("behaves like a map", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			table := caller.NewTable()
			reference := make(map[caller.Key]bundle.UpstreamID)
			for range rapid.IntRange(1, 400).Draw(t, "steps") {
				k := keyOf(rapid.Uint16Range(1, 120).Draw(t, "flow"))
				id := bundle.UpstreamID(rapid.Uint64Range(1, 9).Draw(t, "upstream"))
				keep := rapid.Bool().Draw(t, "keep")
				table.Update(&k, k.Hash(), func(r *caller.Record, found bool) bool {
					if _, want := reference[k]; want != found {
						t.Fatalf("found is %v", found)
					}
					r.Upstream = id
					return keep
				})
				delete(reference, k)
				if keep {
					reference[k] = id
				}
			}
			compare(t, table, reference)
		})
	})
})

func compare(t *rapid.T, table *caller.Table, reference map[caller.Key]bundle.UpstreamID) {
	if table.Len() != len(reference) {
		t.Fatalf("has %d records, want %d", table.Len(), len(reference))
	}
	for k, want := range reference {
		if r, ok := table.Get(&k, k.Hash()); !ok || r.Upstream != want {
			t.Fatalf("got %v %v, want %v", r.Upstream, ok, want)
		}
	}
	seen := 0
	for shard := range table.Shards() {
		table.Visit(shard, func(k *caller.Key, _ *caller.Record) bool {
			seen++
			return *k == keyOf(1) // All others are removed.
		})
	}
	if seen != len(reference) || table.Len() > 1 {
		t.Fatalf("visited %d, kept %d", seen, table.Len())
	}
}

var _ = Describe("Sweep", func() {
	get := request{vni: vniOrders, flow: 4001, code: 1, id: 1, token: 1}

	It("removes an idle flow at owner and backup", func() {
		c := newCluster(3)
		c.exchange(c.nodes[0], get)
		Expect(c.flowsAt("orders")).To(BeEquivalentTo(1))
		c.idle(25 * time.Minute)
		Expect(c.replicas(get)).To(BeEmpty())
		Expect(c.flowsAt("orders")).To(BeZero())
	})

	// Guards against losing a flow that lasts for days when its owner is killed. The
	// backup received the record once, at the start, and would remove it as idle.
	It("keeps the backup's record of a flow that continues", func() {
		c := newCluster(3)
		u := c.exchange(c.nodes[0], get)
		for i := range 30 {
			c.idle(4 * time.Minute)
			r := get
			r.id, r.token = uint16(i+2), byte(i+2)
			c.exchange(c.nodes[i%3], r)
		}
		Expect(len(c.replicas(get))).To(BeNumerically(">=", 2))
		c.kill(c.ownerOf(get))
		c.syncViews(true)
		r := get
		r.id, r.token = 99, 99
		Expect(c.exchange(c.other(), r)).To(Equal(u))
	})

	It("sends no more records than its budget", func() {
		c := newCluster(3)
		for flow := range uint16(50) {
			r := get
			r.flow += flow
			c.exchange(c.nodes[0], r)
		}
		n := c.nodes[1]
		n.member.State = 1 // Leaving.
		c.syncViews(true)
		incomplete := 0
		for shard := range n.engine.Flows.Shards() {
			out, result := n.engine.Sweep(c.now, shard, 0, nil)
			Expect(out).To(BeEmpty())
			if !result.Complete {
				incomplete++
				out, result = n.engine.Sweep(c.now, shard, 1, nil)
				Expect(out).To(HaveLen(1))
				Expect(result.Sent).To(Equal(1))
			}
		}
		Expect(incomplete).To(BeNumerically(">", 5))
	})
})

// idle advances the time in steps that no daemon takes for a pause.
func (c *cluster) idle(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(time.Second)
		for _, n := range c.nodes {
			n.engine.DetectPause(c.now)
		}
	}
	c.sweep()
}
