package bundle_test

import (
	"fmt"
	"maps"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// accepted makes a bundle of routes to one of two services, by their numbers.
func accepted(v bundle.Version, routes map[int]int) bundle.Accepted {
	b := &bundle.Bundle{}
	for i := range 2 {
		b.Services = append(b.Services, bundle.Service{
			Name: fmt.Sprint("service-", i), Registered: true, Connections: 10, IdleTimeout: bundle.Duration(time.Second),
		})
	}
	for i, service := range routes {
		b.Routes = append(b.Routes, bundle.Route{
			Name:    fmt.Sprint("route-", i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
			Targets: []bundle.Target{{Service: fmt.Sprint("service-", service), Weight: 1}},
		})
	}
	if err := b.Check(); err != nil {
		panic(err) // All that tests make is good.
	}
	return bundle.Accepted{Version: v, Bundle: b}
}

// Whatever versions a member missed, what it is told leads it to exactly the bundle in force: a route
// that stays though it was dropped, or is missing though it was added, is one that callers meet.
func TestHistoryLeadsEveryoneToTheBundleInForce(t *testing.T) {
	routesOf := rapid.MapOfN(rapid.IntRange(0, 30), rapid.IntRange(0, 1), 0, 20)
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var h bundle.History
		n := rapid.IntRange(1, 14).Draw(t, "versions")
		versions := make([]bundle.Accepted, 0, n)
		for i := range n {
			a := accepted(bundle.Version(2*i+1), routesOf.Draw(t, "routes"))
			var step *bundle.Update
			if i > 0 {
				step = bundle.Diff(versions[i-1], a)
			}
			h.Add(a, step)
			versions = append(versions, a)
		}
		for _, old := range append(versions[:len(versions)-1:len(versions)-1], bundle.Accepted{}) {
			got, err := h.Since(old.Version).Apply(old)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got.Version).To(Equal(h.Current().Version))
			g.Expect(got.Bundle.Routes).To(ConsistOf(h.Current().Bundle.Routes))
			g.Expect(got.Bundle.Services).To(ConsistOf(h.Current().Bundle.Services))
		}
	})
}

func TestHistoryTellsLittleOfASmallChange(t *testing.T) {
	g := NewWithT(t)
	routes := make(map[int]int)
	for i := range 1000 {
		routes[i] = 0
	}
	var h bundle.History
	first := accepted(1, routes)
	h.Add(first, nil)
	routes[7] = 1
	delete(routes, 8)
	second := accepted(2, routes)
	h.Add(second, bundle.Diff(first, second))
	u := h.Since(1)
	g.Expect(u.From).To(BeEquivalentTo(1))
	g.Expect(u.Size()).To(Equal(2))
	g.Expect(h.Since(9).From).To(BeZero(), "a version that isn't remembered is led by the whole bundle")
}

// A step leads on from a version that this daemon never had in force.
func TestHistoryBeginsAnewAfterAGap(t *testing.T) {
	first, second := accepted(1, map[int]int{1: 0}), accepted(2, map[int]int{1: 1})
	third, fourth := accepted(3, map[int]int{1: 0, 2: 0}), accepted(4, map[int]int{2: 0})
	for name, step := range map[string]*bundle.Update{
		"no step":        nil,
		"another step":   bundle.Diff(first, third),
		"a whole bundle": bundle.FullUpdate(third),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var h bundle.History
			h.Add(first, nil)
			h.Add(second, bundle.Diff(first, second))
			h.Add(third, step)
			h.Add(fourth, bundle.Diff(third, fourth))
			g.Expect(h.Since(1).From).To(BeZero())
			g.Expect(h.Since(2).From).To(BeZero())
			g.Expect(h.Since(3).From).To(BeEquivalentTo(3))
		})
	}
}

// What is remembered grows with each version of a large bundle until the daemon's memory is gone.
func TestHistoryRemembersNoMoreThanTheBundleHas(t *testing.T) {
	const many = 100
	routes := func(service int) map[int]int {
		out := make(map[int]int)
		for i := range many {
			out[i] = service
		}
		return out
	}
	// small returns eleven versions, each of which changes one route.
	small := func(routes map[int]int) []map[int]int {
		out := make([]map[int]int, 0, 11)
		for i := range cap(out) {
			routes[1] = i % 2
			out = append(out, maps.Clone(routes))
		}
		return out
	}
	for name, tc := range map[string]struct {
		versions []map[int]int
		// oldest is the oldest version that changes lead on from.
		oldest bundle.Version
	}{
		"one change a version: the last eight":                 {versions: small(routes(0)), oldest: 3},
		"the same, and a bundle of one route and two services": {versions: small(map[int]int{}), oldest: 8},
		"each route changes twice":                             {versions: []map[int]int{routes(0), routes(1), routes(0)}, oldest: 2},
		"nearly all routes go":                                 {versions: []map[int]int{routes(0), {1: 0}}, oldest: 2},
		"half of the routes come":                              {versions: []map[int]int{{1: 0}, routes(0)}, oldest: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var h bundle.History
			for i, r := range tc.versions {
				a := accepted(bundle.Version(i+1), r)
				var step *bundle.Update
				if i > 0 {
					step = bundle.Diff(h.Current(), a)
				}
				h.Add(a, step)
			}
			oldest := h.Current().Version
			for v := oldest; v > 0; v-- {
				if h.Since(v).From == v {
					oldest = v
				}
			}
			g.Expect(oldest).To(Equal(tc.oldest))
		})
	}
}

// A daemon with another bundle under the same number, as after a mistaken restore, would serve a
// mixture of both for as long as it runs.
func TestUpdateIsRefused(t *testing.T) {
	first, second := accepted(1, map[int]int{1: 0}), accepted(2, map[int]int{1: 0, 2: 1})
	for name, at := range map[string]bundle.Accepted{
		"by another version":                    accepted(3, map[int]int{1: 0}),
		"by another bundle under its number":    accepted(1, map[int]int{1: 1, 3: 0}),
		"by a daemon that has no bundle at all": {},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := bundle.Diff(first, second).Apply(at)
			g.Expect(err).To(MatchError(bundle.ErrUpdateMismatch))
		})
	}
}

// What an update shares with the bundle that it leads on from isn't changed by it: packets are decided
// by that one meanwhile.
func TestUpdateLeavesTheFormerBundleAsItIs(t *testing.T) {
	g := NewWithT(t)
	first, second := accepted(1, map[int]int{1: 0, 2: 0}), accepted(2, map[int]int{1: 1, 3: 0})
	before := first.Bundle.Digest()
	_, err := bundle.Diff(first, second).Apply(first)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.Bundle.Digest()).To(Equal(before))
	g.Expect(first.Bundle.Routes).To(HaveLen(2))
}

func BenchmarkDiff(b *testing.B) {
	routes := make(map[int]int)
	for i := range 4000 {
		routes[i] = 0
	}
	first := accepted(1, routes)
	routes[7] = 1
	second := accepted(2, routes)
	b.ReportAllocs()
	for b.Loop() {
		bundle.Diff(first, second)
	}
}

// BenchmarkApply is what a change of one route costs a daemon, at the routes of the size to design for.
func BenchmarkApply(b *testing.B) {
	routes := make(map[int]int)
	for i := range 47_000 {
		routes[i] = 0
	}
	first := accepted(1, routes)
	routes[7] = 1
	u := bundle.Diff(first, accepted(2, routes))
	b.ReportAllocs()
	for b.Loop() {
		a, err := u.Apply(first)
		if err != nil {
			b.Fatal(err)
		}
		bundle.NewRouting(a.Version, a.Bundle, nil)
	}
}
