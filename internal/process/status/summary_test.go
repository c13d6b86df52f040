package status_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/process/status"
)

var _ = Describe("Summary", func() {
	It("adds up flows and drops, and counts versions by zone", func() {
		newStatus := func(first, second int64) status.Status {
			s := status.Status{Zone: "a", Version: 1, Drops: []status.DropStatus{{Cause: "Refused", Packets: 2}}}
			s.Upstreams = []status.UpstreamStatus{
				{Service: "s", Name: "u1", Slots: 2, Flows: first},
				{Service: "s", Name: "u2", Slots: 2, Flows: second},
				{Service: "s", Name: "old", Slots: 2, Flows: 50, Drain: true},
			}
			return s
		}
		r := status.Summarize([]status.Status{newStatus(3, 1), newStatus(3, 1)})
		Expect(r.Versions).To(Equal([]status.VersionCount{{Zone: "a", Version: 1, Balancers: 2}}))
		Expect(r.Drops).To(Equal([]status.DropStatus{{Cause: "Refused", Packets: 4}}))
		Expect(r.Services).To(HaveLen(1))
		Expect(r.Services[0].Imbalance).To(BeNumerically("~", 1.5), "6 and 2 flows, without the draining upstream")
	})

	// Operators switch off a zone although one balancer doesn't know of its evacuation. The summary must show this.
	It("holds how many balancers know of an evacuated zone, and its open flows", func() {
		since := time.Unix(1000, 0)
		newStatus := func(at time.Time, flows int) status.Status {
			return status.Status{Evacuated: []status.EvacuationStatus{{Zone: "a", Since: at, Flows: flows}}}
		}
		s := status.Summarize([]status.Status{newStatus(since.Add(time.Second), 3), {}, newStatus(since, 4)})
		Expect(s.Evacuated).To(Equal([]status.EvacuatedZone{{Zone: "a", Since: since, Flows: 7, Balancers: 2, Of: 3}}))
	})

	It("is empty without daemons", func() {
		Expect(status.Summarize(nil).Services).To(BeEmpty())
	})
})
