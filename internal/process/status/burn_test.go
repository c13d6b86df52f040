package status_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/process/status"
)

var _ = Describe("The burn rate of an objective", func() {
	newStatus := func(name string, inTime, late, failed uint64) status.Status {
		return status.Status{Name: name, Requests: []status.RequestStatus{
			{Service: "feed", InTime: inTime, Late: late, Failed: failed, Unknown: 7},
		}}
	}

	It("is the share of bad requests divided by the allowed share", func() {
		before := []status.Status{newStatus("a", 1000, 10, 0), newStatus("b", 0, 0, 0)}
		after := []status.Status{newStatus("a", 1900, 20, 0), newStatus("b", 80, 5, 5)}
		burns := status.BurnRates(before, after, 0.99)
		Expect(burns).To(HaveLen(1))
		Expect(burns[0].Known()).To(Equal(uint64(1000)))
		Expect(burns[0].Unknown).To(Equal(uint64(0)))
		Expect(burns[0].Rate).To(BeNumerically("~", 2, 1e-9), "20 of 1000 were bad, 10 are allowed")
	})

	// A balancer restarts between two rounds, so its counters begin at zero again. Subtracting
	// the old ones would underflow the unsigned numbers.
	It("counts a restarted daemon from zero, and leaves out one that is missing in the first round", func() {
		before := []status.Status{newStatus("a", 1000, 10, 0)}
		after := []status.Status{newStatus("a", 90, 0, 10), newStatus("new", 500, 500, 0)}
		burns := status.BurnRates(before, after, 0.9)
		Expect(burns[0].Known()).To(Equal(uint64(100)))
		Expect(burns[0].Rate).To(BeNumerically("~", 1, 1e-9))
	})

	It("is zero without requests", func() {
		same := []status.Status{newStatus("a", 5, 0, 0)}
		Expect(status.BurnRates(same, same, 0.99)[0].Rate).To(BeZero())
	})
})
