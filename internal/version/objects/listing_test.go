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

// A host that starts gets no list for half a minute: the store refuses a part of all
// calls, a refusal of the last page throws the first ones away, and all hosts that
// begin anew keep the store busy.
func TestListingGoesOnWithThePageThatFailed(t *testing.T) {
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
	g.Expect(l.NeedsWatch()).To(BeTrue(), "the second page may be old")
}

// All hosts come back from a loss of power and callers wait. At most installations the list
// fits one page: with a stale one and a watch for what it lacks, each host asks twice, one
// call after the other, and callers wait for two answers.
func TestListingOfOnePageIsCompleteWithOneCall(t *testing.T) {
	g := NewWithT(t)
	l := objects.NewListing[int](true)
	g.Expect(l.Next().Stale).To(BeFalse())
	g.Expect(l.Add(page(9, "", "a"))).To(Succeed())
	g.Expect(l.Done()).To(BeTrue())
	g.Expect(l.NeedsWatch()).To(BeFalse())
}

// A store that is short of calls refuses fresh pages and serves stale ones. A host that
// insists on a fresh one never starts.
func TestListingTakesAStaleFirstPageIfAFreshOneFailed(t *testing.T) {
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

// Pages come from copies of the store that lag by different times. A watch from a
// later revision than that of the oldest page never tells what this page lacks: an
// upstream that drains would get flows until it is gone.
func TestListingIsAsOldAsItsOldestPage(t *testing.T) {
	for name, pages := range map[string][]objects.Page[int]{
		"the first is oldest": {page(5, "a", "a"), page(9, "", "b")},
		"the last is oldest":  {page(9, "a", "a"), page(5, "", "b")},
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
