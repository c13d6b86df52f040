package registry_test

import (
	"fmt"
	"maps"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

var start = time.Unix(1_000_000, 0)

func entry(n int) registry.Registration {
	return registry.Registration{
		ID: bundle.UpstreamID(n), Service: "feed", Zone: "a", Slots: 2,
		Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", n)), Revision: objects.Revision(n),
	}
}

func entries(n int) []registry.Registration {
	out := make([]registry.Registration, 0, n)
	for i := range n {
		out = append(out, entry(i+1))
	}
	return out
}

func filled(n int) *registry.Catalog {
	c := registry.NewCatalog()
	c.Replace(entries(n), 100, start)
	return c
}

var _ = Describe("A catalog", func() {
	It("never goes back to an older list", func() {
		c := filled(3)
		Expect(c.Replace(entries(2), 99, start)).To(BeFalse())
		Expect(c.Apply([]registry.Change{{Registration: entry(1), Gone: true}}, 99, start)).To(BeFalse())
		Expect(c.InUse()).To(HaveLen(3))
	})

	It("believes at once that a single upstream went", func() {
		c := filled(8)
		Expect(c.Apply([]registry.Change{{Registration: entry(1), Gone: true}}, 101, start)).To(BeTrue())
		Expect(c.InUse()).To(HaveLen(7))
	})

	// The store was down, so upstreams couldn't renew their entries. It comes back
	// without them, and every desk's feed would be reset; two seconds later the
	// entries are there again.
	It("keeps entries that lapsed while the store was away until they are back", func() {
		c := filled(8)
		c.StoreReturned(start)
		c.Replace(entries(5), 110, start)
		Expect(c.InUse()).To(HaveLen(8))
		Expect(c.Len()).To(Equal(5))
		c.Apply([]registry.Change{{Registration: entry(7)}}, 111, start.Add(time.Second))
		Expect(c.Expire(start.Add(3 * time.Second))).To(BeTrue())
		Expect(c.InUse()).To(HaveLen(6), "what is still missing is gone")
	})

	It("doesn't keep one that was draining", func() {
		c := registry.NewCatalog()
		list := entries(8)
		list[0].Draining = true
		c.Replace(list, 100, start)
		c.StoreReturned(start)
		c.Replace(list[1:], 110, start)
		Expect(c.InUse()).To(HaveLen(7))
	})

	// The store lost its leases and lists nobody. Believing it would end every flow.
	It("doubts a list that empties itself at once, though the store never failed", func() {
		c := filled(8)
		c.Replace(nil, 110, start)
		Expect(c.InUse()).To(HaveLen(8))
		c.Expire(start.Add(3 * time.Second))
		Expect(c.InUse()).To(BeEmpty())
	})

	It("tells members what changed lately, so that they reach the same digest", func() {
		c, member := filled(8), filled(8)
		changed := entry(3)
		changed.Draining, changed.Revision = true, 101
		now := start.Add(time.Second)
		c.Apply([]registry.Change{{Registration: changed}, {Registration: entry(4), Gone: true}}, 102, now)
		Expect(member.Digest()).NotTo(Equal(c.Digest()))
		member.Apply(c.Recent(now.Add(-500*time.Millisecond), 10), c.AsOf, now)
		Expect(member.Digest()).To(Equal(c.Digest()))
		Expect(member.Apply(c.Recent(start, 10), c.AsOf, now)).To(BeFalse(), "heard twice")
		Expect(c.Recent(start, 1)).To(HaveLen(1))
	})

	// Three hundred balancers each miss one of a hundred changes a second, and each
	// fetches the list of 3000 upstreams from one small host, again and again.
	It("sends a member that lacks a few changes just these", func() {
		c, member := filled(8), filled(8)
		for n := range 20 {
			r := entry(1 + n%8)
			r.Revision = objects.Revision(101 + n)
			c.Apply([]registry.Change{{Registration: r}}, objects.Revision(101+n), start)
		}
		c.Apply([]registry.Change{{Registration: entry(4), Gone: true}}, 130, start)
		changes, ok := c.Since(member.AsOf)
		Expect(ok).To(BeTrue())
		Expect(changes).To(HaveLen(21))
		member.Apply(changes, c.AsOf, start)
		Expect(member.Digest()).To(Equal(c.Digest()))
		_, ok = c.Since(99)
		Expect(ok).To(BeFalse(), "the log doesn't reach back")
	})

	// More changed than fits one datagram. A member that takes the latest for all asks
	// for what comes after them, and never hears of the earlier ones.
	It("asks from where it was if the news didn't have all changes", func() {
		c, member := filled(8), filled(8)
		for n := range 4 {
			r := entry(1 + n)
			r.Revision = objects.Revision(101 + n)
			c.Apply([]registry.Change{{Registration: r}}, objects.Revision(101+n), start)
		}
		Expect(member.Hear(c.Recent(start.Add(-time.Second), 2), c.AsOf, c.Digest(), start)).To(BeTrue())
		Expect(member.AsOf).To(Equal(objects.Revision(100)))
		changes, _ := c.Since(member.AsOf)
		member.Apply(changes, c.AsOf, start)
		Expect(member.Digest()).To(Equal(c.Digest()))
		Expect(member.Hear(nil, 104, c.Digest(), start)).To(BeFalse())
		Expect(member.AsOf).To(Equal(objects.Revision(104)))
	})

	It("has the same digest as one that doubts", func() {
		c, doubting := filled(8), filled(8)
		doubting.StoreReturned(start)
		c.Replace(entries(7), 110, start)
		doubting.Replace(entries(7), 110, start)
		Expect(doubting.InUse()).To(HaveLen(8))
		Expect(doubting.Digest()).To(Equal(c.Digest()))
	})
})

var _ = Describe("The changes of a catalog", func() {
	// Who follows the catalog by its changes must hold what it holds: an upstream that is
	// missed gets no flow, one that is kept gets flows nobody answers.
	It("lead to what is in use, whatever comes in which order", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c, now, asOf := registry.NewCatalog(), start, objects.Revision(100)
			mirror := make(map[bundle.UpstreamID]registry.Registration)
			steps := map[string]func(*rapid.T){
				"replace": func(t *rapid.T) {
					asOf++
					var list []registry.Registration
					for _, r := range entries(12) {
						if rapid.Bool().Draw(t, "listed") {
							r.Revision = asOf
							list = append(list, r)
						}
					}
					c.Replace(list, asOf, now)
				},
				"apply": func(t *rapid.T) {
					asOf++
					r := entry(rapid.IntRange(1, 12).Draw(t, "upstream"))
					r.Revision = asOf
					r.Draining = rapid.Bool().Draw(t, "draining")
					c.Apply([]registry.Change{{Registration: r, Gone: rapid.Bool().Draw(t, "gone")}}, asOf, now)
				},
				"outage": func(*rapid.T) { c.StoreReturned(now) },
				"time": func(t *rapid.T) {
					now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
					c.Expire(now)
				},
				"": func(t *rapid.T) {
					for _, ch := range c.TakeChanges() {
						if ch.Gone {
							delete(mirror, ch.ID)
						} else {
							mirror[ch.ID] = ch.Registration
						}
					}
					inUse := make(map[bundle.UpstreamID]registry.Registration)
					for _, r := range c.InUse() {
						inUse[r.ID] = r
					}
					if !maps.Equal(mirror, inUse) {
						t.Fatalf("%v isn't %v", mirror, inUse)
					}
				},
			}
			t.Repeat(steps)
		})
	})
})
