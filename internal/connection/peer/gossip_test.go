package peer

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestGossipQueueSendsNewestFirstAndEachAsOftenAsToldTo(t *testing.T) {
	g := NewWithT(t)
	var q gossipQueue
	for id := range ID(3) {
		q.add(Member{ID: id + 1}, 2)
	}
	q.add(Member{ID: 1, State: StateSuspect}, 1)
	g.Expect(q.waiting()).To(Equal(3))
	g.Expect(q.take(2)).To(Equal([]Member{{ID: 1, State: StateSuspect}, {ID: 3}}))
	g.Expect(q.take(2)).To(Equal([]Member{{ID: 3}, {ID: 2}}))
	g.Expect(q.take(2)).To(Equal([]Member{{ID: 2}}))
	g.Expect(q.take(2)).To(BeEmpty())
	g.Expect(q.waiting()).To(BeZero())
}

// Guards against a queue that grows with the members of a fleet that starts, and is sent for minutes.
func TestGossipQueueIsBounded(t *testing.T) {
	g := NewWithT(t)
	var q gossipQueue
	for id := range ID(5000) {
		q.add(Member{ID: id + 1}, 6)
	}
	g.Expect(q.waiting()).To(BeNumerically("<=", 2*maxWaitingUpdates))
	g.Expect(q.take(1)).To(Equal([]Member{{ID: 5000}}))
}
