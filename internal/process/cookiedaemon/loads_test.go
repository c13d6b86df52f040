package cookiedaemon

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
)

// A zone's store reader is cut off in one direction, so the others see it dead and alive
// alternately, and report to it and to its successor alternately. Guards against a successor that
// sums up old reports: each flow would count twice, the zone would seem overloaded, new flows would
// go to other zones, and a cut between the zones would break them.
var _ = Describe("The loads of a zone", func() {
	now := time.Unix(1000, 0)
	report := func(from peer.ID, flows uint32) *peer.Report {
		return &peer.Report{
			From: from, Loads: []peer.Load{{Cookie: 7, Flows: flows}},
			Services: []peer.ServiceLoad{{Service: "feed", Flows: flows, Requests: 1}},
		}
	}
	children := func(ids ...peer.ID) []*peer.Member {
		out := make([]*peer.Member, 0, len(ids))
		for _, id := range ids {
			out = append(out, &peer.Member{ID: id})
		}
		return out
	}

	It("include those of a daemon and its children, not of former children", func() {
		z := newZoneLoads()
		z.putReport(report(1, 10), now)
		z.putReport(report(2, 20), now)
		z.putReport(report(3, 30), now)
		Expect(z.sum(1, children(2, 3), now).Loads).To(Equal([]peer.Load{{Cookie: 7, Flows: 60}}))
		Expect(z.sum(1, nil, now).Loads).To(Equal([]peer.Load{{Cookie: 7, Flows: 10}}))
		Expect(z.sum(1, children(3), now).Services).To(Equal([]peer.ServiceLoad{{Service: "feed", Flows: 40, Requests: 2}}))
	})

	// A zone is cut off. The last report of its store reader says that it has free capacity, and
	// new flows go there for as long as that report is relayed.
	It("of another zone are relayed for a second", func() {
		z := newZoneLoads()
		z.putZoneReport(&peer.Report{From: 9, Zones: []peer.ZoneLoad{{Zone: "b", Service: "feed", Slots: 4}}}, now)
		Expect(z.zones(now.Add(2*sweepPeriod))).To(HaveLen(1), "one report may be lost")
		Expect(z.zones(now.Add(zoneReportTTL + 1))).To(BeEmpty())
	})

	It("expire when they are no longer reported", func() {
		z := newZoneLoads()
		z.putReport(report(2, 20), now)
		Expect(z.sum(1, children(2), now.Add(reportTTL+1)).Loads).To(BeEmpty())
	})
})
