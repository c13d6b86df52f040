package cookie_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// newTwoZoneEngine returns an engine with two upstreams in each of two zones.
func newTwoZoneEngine() (*cookie.Engine, []registry.Registration) {
	list := registrations(4)
	list[2].Zone, list[3].Zone = otherZone, otherZone
	return newEngine(list), list
}

// Guards against new flows that still enter an evacuated zone in some way. The zone is switched off
// some minutes later, which would break their requests.
var _ = Describe("A zone that is evacuated", func() {
	It("gets no new flow, even if the others are overloaded", func() {
		e, _ := newTwoZoneEngine()
		e.SetEvacuatedZones([]bundle.Zone{ownZone}, start)
		for n := range 200 {
			c := newCaller(n, feedAt)
			Expect(c.open(e, start).Route.Zone).To(Equal(otherZone))
			e.Decide(c.request(10), start)
		}
	})

	It("keeps its open flows", func() {
		e, _ := newTwoZoneEngine()
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		Expect(u.Route.Zone).To(Equal(ownZone))
		e.SetEvacuatedZones([]bundle.Zone{ownZone}, start)
		Expect(e.Decide(c.request(10), start.Add(time.Second)).Upstream).To(Equal(u))
		Expect(e.FlowsIn(ownZone)).To(Equal(1))
		Expect(e.FlowsIn(otherZone)).To(Equal(0))
	})

	It("keeps flows that another balancer opened", func() {
		e, list := newTwoZoneEngine()
		e.SetEvacuatedZones([]bundle.Zone{ownZone}, start)
		c := newCaller(1, feedAt)
		c.cookie = cookie.Of(list[0].ID)
		Expect(id(e.Decide(c.request(10), start))).To(Equal(list[0].ID))
	})

	It("doesn't get the retransmission of a first packet that was sent there before", func() {
		e, _ := newTwoZoneEngine()
		c := newCaller(1, feedAt)
		Expect(e.Decide(c.first(0), start).Upstream.Route.Zone).To(Equal(ownZone))
		e.SetEvacuatedZones([]bundle.Zone{ownZone}, start)
		v := e.Decide(c.first(1), start.Add(200*ms))
		Expect(v.Action).To(Equal(cookie.ActionForward))
		Expect(v.Upstream.Route.Zone).To(Equal(otherZone))
	})

	It("doesn't get a first packet that the network duplicated", func() {
		e, _ := newTwoZoneEngine()
		c := newCaller(1, feedAt)
		e.Decide(c.first(0), start)
		e.SetEvacuatedZones([]bundle.Zone{ownZone}, start)
		Expect(e.Decide(c.first(0), start).Upstream.Route.Zone).To(Equal(otherZone))
		opened := newCaller(2, feedAt)
		opened.open(e, start)
		e.SetEvacuatedZones([]bundle.Zone{ownZone, otherZone}, start)
		Expect(e.Decide(opened.first(0), start).Action).To(Equal(cookie.ActionDrop))
	})

	It("gets no flow when the other zone's upstreams are found dead", func() {
		e, list := newTwoZoneEngine()
		e.SetEvacuatedZones([]bundle.Zone{ownZone}, start)
		c := newCaller(1, feedAt)
		c.open(e, start)
		for _, r := range list[2:] {
			e.ProbeDone(r.ID, cookie.ProbeRefused, start, start)
		}
		v := e.Decide(newCaller(2, feedAt).first(0), start)
		Expect(v.Action).To(Equal(cookie.ActionReset))
		Expect(v.Cause).To(Equal(cookie.CauseNoUpstream))
	})

	It("gets no flow by a report that it has free capacity", func() {
		list := registrations(2)
		list[1].Zone = otherZone
		e := newEngine(list)
		for n := range 6 {
			c := newCaller(100+n, feedAt)
			c.open(e, start)
			e.Decide(c.request(10), start)
		}
		reportFreeCapacity(e, start)
		e.SetEvacuatedZones([]bundle.Zone{otherZone}, start)
		Expect(e.Decide(newCaller(1, feedAt).first(0), start).Upstream.Route.Zone).To(Equal(ownZone))
	})

	It("has new flows refused immediately if no other zone is left, and gets some again when its evacuation ends", func() {
		e, _ := newTwoZoneEngine()
		waiting := newCaller(1, feedAt)
		e.Decide(waiting.first(0), start)
		e.SetEvacuatedZones([]bundle.Zone{ownZone, otherZone}, start)
		Expect(e.Decide(waiting.first(1), start.Add(200*ms)).Action).To(Equal(cookie.ActionReset))
		Expect(e.Decide(newCaller(2, feedAt).first(0), start).Action).To(Equal(cookie.ActionReset))
		// One evacuation ends while the other one stays.
		e.SetEvacuatedZones([]bundle.Zone{otherZone}, start.Add(time.Second))
		Expect(e.Decide(newCaller(3, feedAt).first(0), start.Add(time.Second)).Upstream.Route.Zone).To(Equal(ownZone))
		Expect(e.EvacuatedSince(otherZone)).To(Equal(start), "it didn't start again")
		Expect(e.EvacuatedSince(ownZone).IsZero()).To(BeTrue())
	})

	It("gets no flow at upstreams that start or restart there", func() {
		e, list := newTwoZoneEngine()
		e.SetEvacuatedZones([]bundle.Zone{ownZone}, start)
		more := registration(9)
		list[0].StartTime, list[0].Revision = 99, list[0].Revision+1
		setUpstreams(e, append(list, more), start)
		for n := range 100 {
			Expect(newCaller(n, feedAt).open(e, start).Route.Zone).To(Equal(otherZone))
		}
	})

	It("isn't reported with free capacity", func() {
		e, _ := newTwoZoneEngine()
		Expect(e.OwnZoneLoads()).NotTo(BeEmpty())
		e.SetEvacuatedZones([]bundle.Zone{ownZone}, start)
		Expect(e.OwnZoneLoads()).To(BeEmpty())
	})

	It("has no upstream that is used as a reference", func() {
		e, list := newTwoZoneEngine()
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		e.SetEvacuatedZones([]bundle.Zone{otherZone}, start)
		e.NoteReportedDead(u.Route.ID, start.Add(2*time.Second))
		due := e.DueProbes(start.Add(2 * time.Second))
		Expect(due).To(HaveLen(1))
		Expect(due[0].Reference).To(BeNil(), "its own zone is silent: none of %d upstreams is left", len(list))
	})

	// Upstreams of an evacuated zone aren't probed without need, but a caller with an open flow
	// must still learn that its upstream died.
	It("is probed only where callers have flows", func() {
		e, list := newTwoZoneEngine()
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		e.SetEvacuatedZones([]bundle.Zone{ownZone}, start)
		for _, r := range list[:2] {
			e.NoteReportedDead(r.ID, start.Add(2*time.Second))
		}
		due := e.DueProbes(start.Add(2 * time.Second))
		Expect(due).To(HaveLen(1))
		Expect(due[0].Upstream.ID).To(Equal(u.Route.ID))
	})
})
