package cookiedaemon

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// In a large zone each member receives a report by two trees and relays it. Guards against relaying
// a report again: two members whose views differ for a moment would send one report to each other
// forever.
var _ = Describe("Relaying", func() {
	now := time.Unix(1000, 0)

	It("relays a report once, by its sequence number", func() {
		s := newRelayedSequences()
		Expect(s.isNew(1, 5, now)).To(BeTrue())
		Expect(s.isNew(1, 5, now.Add(time.Second))).To(BeFalse())
		Expect(s.isNew(1, 4, now.Add(time.Second))).To(BeFalse())
		Expect(s.isNew(2, 4, now)).To(BeTrue())
		Expect(s.isNew(1, 6, now.Add(time.Second))).To(BeTrue())
	})

	It("relays a report with a lower sequence number once its sender must have restarted", func() {
		s := newRelayedSequences()
		Expect(s.isNew(1, 1000, now)).To(BeTrue())
		Expect(s.isNew(1, 5, now.Add(sequenceTTL))).To(BeTrue())
	})

	It("deletes sequence numbers that no longer count", func() {
		s := newRelayedSequences()
		s.isNew(1, 5, now)
		s.expire(now.Add(sequenceTTL))
		Expect(s.last).To(BeEmpty())
	})

	It("relays an advertisement that covers more than the last one", func() {
		w := advertisementSummary{bundle: 3, asOf: 10, digest: 7, confirmed: now}
		older := map[string]advertisementSummary{
			"bundle": {bundle: 2, asOf: 10, digest: 7, confirmed: now},
			"list":   {bundle: 3, asOf: 10, digest: 6, confirmed: now},
			"age":    {bundle: 3, asOf: 10, digest: 7, confirmed: now.Add(-time.Second)},
		}
		for name, o := range older {
			Expect(w.newer(o)).To(BeTrue(), name)
		}
		Expect(w.newer(advertisementSummary{bundle: 3, asOf: 10, digest: 7, confirmed: now.Add(-ageTolerance)})).To(BeFalse())
	})
})
