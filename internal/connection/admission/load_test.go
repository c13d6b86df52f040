package admission_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/admission"
)

func class(service string, priority int) admission.Class {
	return admission.Class{Service: service, Priority: priority}
}

// Guards against counts of one class that end up in another or are lost on the way up the tree.
var _ = Describe("The sum of loads", func() {
	It("adds up by class and is sorted", func() {
		a := admission.Load{Class: class("b", 1), Offered: 3, Admitted: 2, Requests: 5, Answered: 4, Busy: time.Second}
		b := admission.Load{Class: class("a", 2), Offered: 1}
		c := admission.Load{Class: class("a", 1), Answered: 1, Busy: time.Millisecond}
		Expect(admission.Sum([]admission.Load{a, b}, nil, []admission.Load{c, a})).To(Equal([]admission.Load{
			c, b, {Class: class("b", 1), Offered: 6, Admitted: 4, Requests: 10, Answered: 8, Busy: 2 * time.Second},
		}))
		most := []admission.Load{{Class: class("a", 1), Offered: math.MaxUint32, Busy: math.MaxInt64}}
		Expect(admission.Sum(most, most)).To(Equal(most), "counts must not wrap to small ones")
	})
})

// Guards against counts of a window in progress that are reported twice, or never.
var _ = Describe("The loads of a host", func() {
	It("are those of the last complete window", func() {
		c := admission.New()
		k := c.Class("a", 1)
		c.Admit(k, "r", 0, epoch)
		k.StartRequest()
		k.AnswerRequest(40*time.Millisecond, epoch)
		k.AnswerRequest(-time.Millisecond, epoch)
		Expect(c.Loads(epoch)).To(BeEmpty())
		c.Rotate()
		Expect(c.Loads(epoch)).To(Equal([]admission.Load{
			{Class: class("a", 1), Offered: 1, Admitted: 1, Requests: 1, Answered: 2, Busy: 40 * time.Millisecond},
		}))
		c.Rotate()
		Expect(c.Loads(epoch)).To(BeEmpty())
		Expect(c.Class("a", 1)).To(BeIdenticalTo(k))
	})
})
