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
	It("does what one map does", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			table := caller.NewTable()
			naive := make(map[caller.Key]bundle.UpstreamID)
			for range rapid.IntRange(1, 400).Draw(t, "steps") {
				k := keyOf(rapid.Uint16Range(1, 120).Draw(t, "flow"))
				id := bundle.UpstreamID(rapid.Uint64Range(1, 9).Draw(t, "upstream"))
				keep := rapid.Bool().Draw(t, "keep")
				table.Update(&k, k.Hash(), func(r *caller.Record, found bool) bool {
					if _, want := naive[k]; want != found {
						t.Fatalf("found is %v", found)
					}
					r.Upstream = id
					return keep
				})
				delete(naive, k)
				if keep {
					naive[k] = id
				}
			}
			compare(t, table, naive)
		})
	})
})

func compare(t *rapid.T, table *caller.Table, naive map[caller.Key]bundle.UpstreamID) {
	if table.Len() != len(naive) {
		t.Fatalf("has %d records, want %d", table.Len(), len(naive))
	}
	for k, want := range naive {
		if r, ok := table.Get(&k, k.Hash()); !ok || r.Upstream != want {
			t.Fatalf("got %v %v, want %v", r.Upstream, ok, want)
		}
	}
	seen := 0
	for shard := range table.Shards() {
		table.Visit(shard, func(k *caller.Key, _ *caller.Record) bool {
			seen++
			return *k == keyOf(1) // All others go.
		})
	}
	if seen != len(naive) || table.Len() > 1 {
		t.Fatalf("visited %d, kept %d", seen, table.Len())
	}
}

var _ = Describe("Sweep", func() {
	get := request{vni: vniOrders, flow: 4001, code: 1, id: 1, token: 1}

	It("ends an idle flow on home and backup", func() {
		c := newCluster(3)
		c.exchange(c.nodes[0], get)
		Expect(c.flowsAt("orders")).To(BeEquivalentTo(1))
		c.idle(25 * time.Minute)
		Expect(c.holders(get)).To(BeEmpty())
		Expect(c.flowsAt("orders")).To(BeZero())
	})

	// A feed that lasts for days breaks when its home dies. The backup heard of
	// the flow once, at its start, and took it for idle long ago.
	It("keeps the backup's record of a flow that goes on", func() {
		c := newCluster(3)
		u := c.exchange(c.nodes[0], get)
		for i := range 30 {
			c.idle(4 * time.Minute)
			r := get
			r.id, r.token = uint16(i+2), byte(i+2)
			c.exchange(c.nodes[i%3], r)
		}
		Expect(len(c.holders(get))).To(BeNumerically(">=", 2))
		c.kill(c.homeOf(get))
		c.settle(true)
		r := get
		r.id, r.token = 99, 99
		Expect(c.exchange(c.other(), r)).To(Equal(u))
	})

	It("tells no more records than its budget", func() {
		c := newCluster(3)
		for flow := range uint16(50) {
			r := get
			r.flow += flow
			c.exchange(c.nodes[0], r)
		}
		n := c.nodes[1]
		n.member.State = 1 // Leaving.
		c.settle(true)
		short := 0
		for shard := range n.engine.Flows.Shards() {
			out, result := n.engine.Sweep(c.now, shard, 0, nil)
			Expect(out).To(BeEmpty())
			if !result.Complete {
				short++
				out, result = n.engine.Sweep(c.now, shard, 1, nil)
				Expect(out).To(HaveLen(1))
				Expect(result.Sent).To(Equal(1))
			}
		}
		Expect(short).To(BeNumerically(">", 5))
	})
})

// idle lets time pass in steps that no daemon takes for a pause.
func (c *cluster) idle(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(time.Second)
		for _, n := range c.nodes {
			n.engine.DetectPause(c.now)
		}
	}
	c.sweep()
}
