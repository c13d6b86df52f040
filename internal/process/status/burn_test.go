package status_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/process/status"
)

var _ = Describe("The burn of an objective", func() {
	told := func(name string, inTime, late, failed uint64) status.Status {
		return status.Status{Name: name, Requests: []status.RequestStatus{
			{Service: "feed", InTime: inTime, Late: late, Failed: failed, Unknown: 7},
		}}
	}

	It("is the share of bad requests over the share that is allowed", func() {
		before := []status.Status{told("a", 1000, 10, 0), told("b", 0, 0, 0)}
		after := []status.Status{told("a", 1900, 20, 0), told("b", 80, 5, 5)}
		burns := status.BurnRates(before, after, 0.99)
		Expect(burns).To(HaveLen(1))
		Expect(burns[0].Known()).To(Equal(uint64(1000)))
		Expect(burns[0].Unknown).To(Equal(uint64(0)))
		Expect(burns[0].Rate).To(BeNumerically("~", 2, 1e-9), "20 of 1000 were bad, 10 are allowed")
	})

	// A balancer is replaced between two rounds. Its counters begin at zero again; taken
	// as differences of unsigned numbers they would be huge.
	It("counts a daemon that started anew from zero, and leaves out one that wasn't asked before", func() {
		before := []status.Status{told("a", 1000, 10, 0)}
		after := []status.Status{told("a", 90, 0, 10), told("new", 500, 500, 0)}
		burns := status.BurnRates(before, after, 0.9)
		Expect(burns[0].Known()).To(Equal(uint64(100)))
		Expect(burns[0].Rate).To(BeNumerically("~", 1, 1e-9))
	})

	It("is zero without requests", func() {
		same := []status.Status{told("a", 5, 0, 0)}
		Expect(status.BurnRates(same, same, 0.99)[0].Rate).To(BeZero())
	})
})
