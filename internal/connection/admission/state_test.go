package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/admission"
)

var _ = Describe("A host that starts in a shortage", func() {
	// Guards against hosts that admit everyone from their start to their first sum, or compute other shares than
	// the rest of the fleet from it.
	It("refuses as many as the others, also after the next update", func() {
		other, now := short(epoch), epoch.Add(100*time.Millisecond)
		st, ok := other.State(now)
		Expect(ok).To(BeTrue())
		c := admission.New()
		c.Restore(st, now)
		Expect(shares(c, now)).To(Equal(shares(other, now)))
		ours, ourShortage := c.Shortage("service", now)
		others, theirShortage := other.Shortage("service", now)
		Expect(ours).To(Equal(others))
		Expect(ourShortage).To(Equal(theirShortage))
		now = epoch.Add(admission.Window)
		update(other, now, overload)
		update(c, now, overload)
		Expect(shares(c, now)).To(Equal(shares(other, now)))
	})

	It("ignores a state once it has received a sum, and one that is too old", func() {
		st, _ := short(epoch).State(epoch)
		c := admission.New()
		update(c, epoch, calm)
		c.Restore(st, epoch)
		Expect(shares(c, epoch)).To(HaveEach(1.0))
		_, ok := short(epoch).State(epoch.Add(4 * time.Second))
		Expect(ok).To(BeFalse())
		st.Age = 4 * time.Second
		c = admission.New()
		c.Restore(st, epoch)
		Expect(c.Status(epoch)).To(BeEmpty())
	})

	// Guards against sums that are too low, and hosts that all admit too much, while many hosts start.
	It("reports what it has counted since, scaled to a window, until one is complete", func() {
		c := admission.New()
		c.Start(epoch)
		k := c.Class("a", 1)
		count := func(n int) {
			for range n {
				k.StartRequest()
				k.AnswerRequest(40*time.Millisecond, epoch)
			}
		}
		answered := func(after time.Duration) uint32 {
			list := c.Loads(epoch.Add(after))
			if len(list) == 0 {
				return 0
			}
			return list[0].Answered
		}
		count(10)
		Expect(answered(20*time.Millisecond)).To(BeZero(), "too few to say anything")
		Expect(answered(100 * time.Millisecond)).To(BeEquivalentTo(50))
		count(20)
		Expect(answered(300 * time.Millisecond)).To(BeEquivalentTo(50))
		c.Rotate()
		count(30)
		Expect(answered(600 * time.Millisecond)).To(BeEquivalentTo(50))
		c.Rotate()
		Expect(answered(800*time.Millisecond)).To(BeEquivalentTo(30), "the complete window")
	})
})
