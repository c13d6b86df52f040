package registry_test

import (
	"fmt"
	"maps"
	"net/netip"
	"testing"
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
		Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", n)), Revision: objects.Position(n),
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
	It("ignores a list that is older than its own", func() {
		c := filled(3)
		Expect(c.Replace(entries(2), 99, start)).To(BeFalse())
		Expect(c.Apply([]registry.Change{{Registration: entry(1), Removed: true}}, 99, start)).To(BeFalse())
		Expect(c.InUse()).To(HaveLen(3))
	})

	It("removes a single upstream from use immediately", func() {
		c := filled(8)
		Expect(c.Apply([]registry.Change{{Registration: entry(1), Removed: true}}, 101, start)).To(BeTrue())
		Expect(c.InUse()).To(HaveLen(7))
	})

	// While the store is down, upstreams can't renew their entries, so it recovers without them. Two
	// seconds later the entries are there again. If the catalog removed them immediately, all flows of
	// these upstreams would be reset.
	It("retains entries that expired while the store was unavailable until they are registered again", func() {
		c := filled(8)
		c.StoreRecovered(start)
		c.Replace(entries(5), 110, start)
		Expect(c.InUse()).To(HaveLen(8))
		Expect(c.Len()).To(Equal(5))
		c.Apply([]registry.Change{{Registration: entry(7)}}, 111, start.Add(time.Second))
		Expect(c.Expire(start.Add(3 * time.Second))).To(BeTrue())
		Expect(c.InUse()).To(HaveLen(6), "what is still missing is removed")
	})

	It("doesn't retain a draining entry", func() {
		c := registry.NewCatalog()
		list := entries(8)
		list[0].Draining = true
		c.Replace(list, 100, start)
		c.StoreRecovered(start)
		c.Replace(list[1:], 110, start)
		Expect(c.InUse()).To(HaveLen(7))
	})

	// The store lost its leases and its list is empty. Trusting it would end every flow.
	It("suspects a list that becomes empty in one step, though no call of the store failed", func() {
		c := filled(8)
		c.Replace(nil, 110, start)
		Expect(c.InUse()).To(HaveLen(8))
		c.Expire(start.Add(3 * time.Second))
		Expect(c.InUse()).To(BeEmpty())
	})

	It("gives members its latest changes, so that they reach the same digest", func() {
		c, member := filled(8), filled(8)
		changed := entry(3)
		changed.Draining, changed.Revision = true, 101
		now := start.Add(time.Second)
		c.Apply([]registry.Change{{Registration: changed}, {Registration: entry(4), Removed: true}}, 102, now)
		Expect(member.Digest()).NotTo(Equal(c.Digest()))
		member.Apply(c.Recent(now.Add(-500*time.Millisecond), 10), c.AsOf, now)
		Expect(member.Digest()).To(Equal(c.Digest()))
		Expect(member.Apply(c.Recent(start, 10), c.AsOf, now)).To(BeFalse(), "received twice")
		Expect(c.Recent(start, 1)).To(HaveLen(1))
	})

	// Guards against each of 300 balancers fetching the list of 3000 upstreams from one small host again
	// and again, when each misses one of a hundred changes a second.
	It("returns only the changes that a member lacks if they are few", func() {
		c, member := filled(8), filled(8)
		for n := range 20 {
			r := entry(1 + n%8)
			r.Revision = objects.Position(101 + n)
			c.Apply([]registry.Change{{Registration: r}}, objects.Position(101+n), start)
		}
		c.Apply([]registry.Change{{Registration: entry(4), Removed: true}}, 130, start)
		changes, ok := c.Since(member.AsOf)
		Expect(ok).To(BeTrue())
		Expect(changes).To(HaveLen(21))
		member.Apply(changes, c.AsOf, start)
		Expect(member.Digest()).To(Equal(c.Digest()))
		_, ok = c.Since(99)
		Expect(ok).To(BeFalse(), "the log begins later")
	})

	// More entries changed than fit one datagram. A member that took the latest for all changes would
	// request only what follows them, and would never receive the earlier ones.
	It("keeps its position if an advertisement doesn't have all changes", func() {
		c, member := filled(8), filled(8)
		for n := range 4 {
			r := entry(1 + n)
			r.Revision = objects.Position(101 + n)
			c.Apply([]registry.Change{{Registration: r}}, objects.Position(101+n), start)
		}
		before := member.Digest()
		Expect(member.ApplyIfComplete(c.Recent(start.Add(-time.Second), 2), c.AsOf, c.Digest(), start)).To(BeFalse())
		Expect(member.AsOf).To(Equal(objects.Position(100)))
		Expect(member.Digest()).To(Equal(before), "no daemon has a list with only some of the changes")
		changes, _ := c.Since(member.AsOf)
		member.Apply(changes, c.AsOf, start)
		Expect(member.Digest()).To(Equal(c.Digest()))
		Expect(member.ApplyIfComplete(nil, 104, c.Digest(), start)).To(BeFalse())
		Expect(member.AsOf).To(Equal(objects.Position(104)))
	})

	// Hundreds of upstreams are replaced, more at a time than a datagram carries. A member receives the
	// latest changes up to revision 108, and requests those after 100 from a member that is as of 104.
	// If it had applied the former, its list would equal no other, and it would request whole lists: 300
	// hosts with 3,000 upstreams then send each other 300 KB/s.
	It("needs only the changes though it received later ones before", func() {
		reader, sender, member := filled(8), filled(8), filled(8)
		change := func(c *registry.Catalog, from, to int) {
			for n := from; n <= to; n++ {
				r := entry(n)
				r.Revision = objects.Position(100 + n)
				c.Apply([]registry.Change{{Registration: r}}, r.Revision, start)
			}
		}
		change(reader, 1, 8)
		change(sender, 1, 4)
		member.ApplyIfComplete(reader.Recent(start.Add(-time.Second), 2), reader.AsOf, reader.Digest(), start)
		changes, ok := sender.Since(member.AsOf)
		Expect(ok).To(BeTrue())
		member.Apply(changes, sender.AsOf, start)
		Expect(member.Digest()).To(Equal(sender.Digest()))
		changes, _ = reader.Since(member.AsOf)
		Expect(member.ApplyIfComplete(changes, reader.AsOf, reader.Digest(), start)).To(BeTrue())
		Expect(member.Digest()).To(Equal(reader.Digest()))
	})

	It("has the same digest as one that suspects removals", func() {
		c, suspicious := filled(8), filled(8)
		suspicious.StoreRecovered(start)
		c.Replace(entries(7), 110, start)
		suspicious.Replace(entries(7), 110, start)
		Expect(suspicious.InUse()).To(HaveLen(8))
		Expect(suspicious.Digest()).To(Equal(c.Digest()))
	})
})

var _ = Describe("The changes of a catalog", func() {
	// A user that follows the catalog by its changes must hold what the catalog holds: an upstream
	// that it misses gets no flow, and one that it keeps gets flows that nobody answers.
	It("lead to what is in use, whatever their kind and order", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c, now, asOf := registry.NewCatalog(), start, objects.Position(100)
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
					c.Apply([]registry.Change{{Registration: r, Removed: rapid.Bool().Draw(t, "removed")}}, asOf, now)
				},
				"outage": func(*rapid.T) { c.StoreRecovered(now) },
				"time": func(t *rapid.T) {
					now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
					c.Expire(now)
				},
				"": func(t *rapid.T) {
					for _, ch := range c.TakeChanges() {
						if ch.Removed {
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

var _ = Describe("A catalog with an unusable entry", func() {
	bad := func(n int, revision objects.Position) registry.Change {
		r := registry.Registration{ID: bundle.UpstreamID(n), Revision: revision, Unusable: true}
		return registry.Change{Registration: r}
	}
	// overwritten returns changes that make the first n entries unusable.
	overwritten := func(n int) []registry.Change {
		out := make([]registry.Change, 0, n)
		for i := range n {
			out = append(out, bad(i+1, objects.Position(101+i)))
		}
		return out
	}
	inUse := func(c *registry.Catalog, n int) registry.Registration {
		for _, r := range c.InUse() {
			if r.ID == bundle.UpstreamID(n) {
				return r
			}
		}
		return registry.Registration{}
	}

	// Another program overwrites an upstream's entry. The address is still needed for its open flows, and
	// new flows must not go there. Guards against leaving out the change, which places flows there forever.
	It("keeps the former content and marks it as unusable", func() {
		c := filled(3)
		Expect(c.Apply([]registry.Change{bad(2, 101)}, 101, start)).To(BeTrue())
		r := inUse(c, 2)
		Expect(r.Unusable).To(BeTrue())
		Expect(r.Address).To(Equal(entry(2).Address))
		Expect(c.Apply([]registry.Change{bad(2, 101)}, 101, start)).To(BeFalse(), "received twice")
		good := entry(2)
		good.Revision = 102
		c.Apply([]registry.Change{{Registration: good}}, 102, start)
		Expect(inUse(c, 2)).To(Equal(good))
	})

	It("applies a whole list that contains an unusable entry", func() {
		c := filled(3)
		list := entries(3)
		list[1] = bad(2, 101).Registration
		c.Replace(list, 101, start)
		Expect(inUse(c, 2).Address).To(Equal(entry(2).Address))
		Expect(inUse(c, 2).Unusable).To(BeTrue())
	})

	// The entry doesn't even contain its revision. Members that received it and those that didn't must
	// detect that they differ, or half of them go on placing flows there.
	It("has another digest, even if the entry doesn't contain its revision", func() {
		c, member := filled(3), filled(3)
		c.Apply([]registry.Change{bad(2, 0)}, 101, start)
		Expect(inUse(c, 2).Unusable).To(BeTrue())
		Expect(c.Digest()).NotTo(Equal(member.Digest()))
		member.Apply(c.Recent(start.Add(-time.Second), 10), c.AsOf, start)
		Expect(member.Digest()).To(Equal(c.Digest()))
		c.Apply([]registry.Change{{Registration: entry(2)}}, 102, start)
		Expect(inUse(c, 2).Unusable).To(BeTrue(), "a late message as of the same revision")
	})

	// One daemon started after the entry was overwritten and has never received its content.
	It("agrees with a member that knows the content, and takes over the content from it", func() {
		c := filled(3)
		c.Apply([]registry.Change{bad(2, 101)}, 101, start)
		late := registry.NewCatalog()
		late.Replace([]registry.Registration{entry(1), bad(2, 101).Registration, entry(3)}, 101, start)
		Expect(late.Digest()).To(Equal(c.Digest()))
		late.Apply(c.LastKnown(), 101, start)
		Expect(late.Digest()).To(Equal(c.Digest()))
		Expect(inUse(late, 2).Address).To(Equal(entry(2).Address))
	})

	// Half of the entries were overwritten; then the store loses half of the rest in one step. That is a
	// mass removal: trusting it would end the flows of half of the remaining upstreams.
	It("counts no unusable entry when it detects a mass removal", func() {
		c := filled(12)
		c.Apply(overwritten(6), 110, start)
		c.Replace(entries(12)[:9], 120, start)
		Expect(c.RemovalSuspicionLeft(start)).NotTo(BeZero())

		c = filled(12)
		c.Apply(overwritten(6), 110, start)
		c.Replace(entries(12)[6:], 120, start)
		Expect(c.RemovalSuspicionLeft(start)).To(BeZero(), "the other program removed its entries again")
	})

	// An entry expired while the store was unavailable. What is then written under its name is another
	// program's; the upstream's flows are still open.
	It("uses the content of a retained entry as its former content", func() {
		c := filled(8)
		c.StoreRecovered(start)
		c.Apply([]registry.Change{{Registration: entry(2), Removed: true}, bad(2, 103)}, 103, start)
		Expect(inUse(c, 2).Address).To(Equal(entry(2).Address))
		Expect(inUse(c, 2).Unusable).To(BeTrue())
	})

	It("doesn't retain an unusable entry that is removed while removals are suspect", func() {
		c := filled(8)
		c.Apply([]registry.Change{bad(2, 101)}, 101, start)
		c.StoreRecovered(start)
		c.Replace(entries(1), 110, start)
		Expect(inUse(c, 2)).To(BeZero())
		Expect(inUse(c, 3)).NotTo(BeZero())
	})
})

var _ = Describe("An entry of an upstream that restarted", func() {
	// An upstream crashes, its entry expires and the new incarnation registers. A member that already has
	// the new entry receives the earlier removal late, and would drop a live upstream.
	It("isn't removed because of the removal of its former incarnation", func() {
		c := filled(3)
		again := entry(2)
		again.Revision, again.StartTime = 105, 1_764_720_000_000
		c.Apply([]registry.Change{{Registration: entry(2), Removed: true}, {Registration: again}}, 105, start)
		Expect(c.ApplyIfComplete([]registry.Change{{Registration: entry(2), Removed: true}}, 106, 0, start)).To(BeFalse())
		Expect(c.List()).To(ContainElement(again))
	})

	later := func(r *registry.Registration) { r.StartTime++ }
	earlier := func(r *registry.Registration) { r.StartTime-- }
	sequenceFalls := func(r *registry.Registration) { r.Sequence = 1 }
	noStart := func(r *registry.Registration) { r.StartTime, r.Sequence = 0, 1 }
	warms := func(r *registry.Registration) { r.StartTime, r.Warmup = 0, time.Second }
	moves := func(r *registry.Registration) { r.Service = "sheets" }
	drains := func(r *registry.Registration) { r.Draining = true }
	unreadable := func(r *registry.Registration) { r.StartTime, r.Unusable = r.StartTime+1, true }
	for name, c := range map[string]struct {
		change func(r *registry.Registration)
		want   registry.Restart
	}{
		"certainly by a later start":                         {later, registry.RestartCertain},
		"certainly by another service":                       {moves, registry.RestartCertain},
		"probably by an earlier start":                       {earlier, registry.RestartLikely},
		"probably by a lower sequence, without a start time": {noStart, registry.RestartLikely},
		"probably by a warm-up that begins, without a start": {warms, registry.RestartLikely},
		"not by a lower sequence at the same start":          {sequenceFalls, registry.RestartNone},
		"not by draining":                                    {drains, registry.RestartNone},
		"not if it is unusable":                              {unreadable, registry.RestartNone},
	} {
		It("shows the restart "+name, func() {
			before := entry(1)
			before.StartTime, before.Sequence = 1_764_720_000_000, 40
			after := before
			after.Sequence++
			c.change(&after)
			Expect(after.Restarted(&before)).To(Equal(c.want))
		})
	}
})

var _ = Describe("The log of a catalog", func() {
	It("returns the changes after a number, at most the latest", func() {
		c := registry.NewCatalog()
		c.Replace(nil, 1, start)
		for i := range 20 {
			c.Apply([]registry.Change{{Registration: entry(i + 1)}}, objects.Position(100+i), start)
		}
		number := c.Logged()
		Expect(c.LoggedAfter(number, 10)).To(BeEmpty())
		c.Apply([]registry.Change{{Registration: entry(3), Removed: true}}, 200, start)
		Expect(c.LoggedAfter(number, 10)).To(Equal(c.Recent(start.Add(-time.Second), 1)))
		Expect(c.LoggedAfter(0, 10)).To(HaveLen(10))
		Expect(c.LoggedAfter(0, 100)).To(HaveLen(21))
	})
})

// Guards against a daemon that never learns an upstream's own entry since another writer replaces it before the daemon's
// next update.
func TestEntryReplacedByAnotherServicePrecedesIt(t *testing.T) {
	entry := func(revision objects.Position, service string) registry.Registration {
		return registry.Registration{
			ID: 7, Service: service, Zone: "a", Slots: 2, Address: netip.MustParseAddrPort("10.0.0.1:80"), Created: 1, Revision: revision,
		}
	}
	for name, tc := range map[string]struct {
		services []string
		want     []string
	}{
		"replaced":                 {[]string{"feed", "legacy"}, []string{"feed", "legacy"}},
		"replaced and back":        {[]string{"feed", "legacy", "feed"}, []string{"feed"}},
		"replaced twice":           {[]string{"feed", "legacy", "other"}, []string{"feed", "other"}},
		"changed within a service": {[]string{"feed", "feed"}, []string{"feed"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := registry.NewCatalog()
			now := time.Unix(1000, 0)
			changes := make([]registry.Change, len(tc.services))
			for i, service := range tc.services {
				changes[i].Registration = entry(objects.Position(i+2), service)
			}
			c.Apply(changes, 9, now)
			taken := c.TakeChanges()
			got := make([]string, len(taken))
			for i := range taken {
				got[i] = taken[i].Service
			}
			g.Expect(got).To(Equal(tc.want))
			g.Expect(c.TakeChanges()).To(BeEmpty())
		})
	}
}
