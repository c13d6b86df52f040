package objects_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/version/objects"
)

func page(asOf objects.Position, next string, names ...string) objects.Page[int] {
	p := objects.Page[int]{AsOf: asOf, Next: next}
	for _, n := range names {
		p.Objects = append(p.Objects, objects.Object[int]{Name: n})
	}
	return p
}

// The store refuses a part of all calls. If a refusal of the last page discarded the first ones, a host that
// starts would get no list for half a minute, and all hosts that start again would keep the store overloaded.
func TestListingContinuesWithFailedPage(t *testing.T) {
	g := NewWithT(t)
	l := objects.NewListing[int](true)
	g.Expect(l.Next()).To(Equal(objects.ListOptions{}))
	g.Expect(l.Add(page(9, "b", "a", "b"))).To(Succeed())
	g.Expect(l.Done()).To(BeFalse())
	g.Expect(l.Next()).To(Equal(objects.ListOptions{From: "b", Stale: true}))
	g.Expect(l.Next()).To(Equal(objects.ListOptions{From: "b", Stale: true}), "the call failed, nothing was added")
	g.Expect(l.Add(page(9, "", "c"))).To(Succeed())
	g.Expect(l.Done()).To(BeTrue())
	g.Expect(l.Snapshot().Objects).To(HaveLen(3))
	g.Expect(l.NeedsWatch()).To(BeTrue(), "the second page may be stale")
}

// All hosts start after a power failure, and callers wait. In most installations the list fits one page. If that
// page was stale, each host would need a watch as well, and callers would wait for two consecutive answers.
func TestListingOfOnePageNeedsOneCall(t *testing.T) {
	g := NewWithT(t)
	l := objects.NewListing[int](true)
	g.Expect(l.Next().Stale).To(BeFalse())
	g.Expect(l.Add(page(9, "", "a"))).To(Succeed())
	g.Expect(l.Done()).To(BeTrue())
	g.Expect(l.NeedsWatch()).To(BeFalse())
}

// An overloaded store refuses fresh pages and serves stale ones. A host that insisted on a fresh one would never start.
func TestListingAcceptsStaleFirstPageAfterFailure(t *testing.T) {
	g := NewWithT(t)
	l := objects.NewListing[int](true)
	l.RecordFailure()
	g.Expect(l.Next()).To(Equal(objects.ListOptions{Stale: true}))
	g.Expect(l.Add(page(9, "", "a"))).To(Succeed())
	g.Expect(l.NeedsWatch()).To(BeTrue())
	fresh := objects.NewListing[int](false)
	fresh.RecordFailure()
	g.Expect(fresh.Next().Stale).To(BeFalse(), "a list that must be fresh stays so")
}

// Pages come from replicas of the store with different lags. A watch from a later position than that of the oldest
// page would never return what that page lacks: a draining upstream would get flows until it is removed.
func TestListingIsAsOldAsOldestPage(t *testing.T) {
	for name, pages := range map[string][]objects.Page[int]{
		"the first is the oldest": {page(5, "a", "a"), page(9, "", "b")},
		"the last is the oldest":  {page(9, "a", "a"), page(5, "", "b")},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := objects.NewListing[int](true)
			for _, p := range pages {
				g.Expect(l.Add(p)).To(Succeed())
			}
			g.Expect(l.Snapshot().AsOf).To(Equal(objects.Position(5)))
		})
	}
}
