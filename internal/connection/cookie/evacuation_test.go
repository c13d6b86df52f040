package cookie_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// twoZones returns an engine with two upstreams in each of two zones.
func twoZones() (*cookie.Engine, []registry.Registration) {
	list := registrations(4)
	list[2].Zone, list[3].Zone = otherZone, otherZone
	return newEngine(list), list
}

// An operator empties a zone before it is switched off. Whatever way still leads a new flow there, its
// caller is cut off in the middle of a request some minutes later.
var _ = Describe("A zone that is evacuated", func() {
	It("gets no new flow, though the others are crowded", func() {
		e, _ := twoZones()
		e.SetEvacuatedZones([]bundle.Zone{ownZone}, start)
		for n := range 200 {
			c := newCaller(n, feedAt)
			Expect(c.open(e, start).Route.Zone).To(Equal(otherZone))
			e.Decide(c.request(10), start)
		}
	})

	It("keeps its open flows", func() {
		e, _ := twoZones()
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		Expect(u.Route.Zone).To(Equal(ownZone))
		e.SetEvacuatedZones([]bundle.Zone{ownZone}, start)
		Expect(e.Decide(c.request(10), start.Add(time.Second)).Upstream).To(Equal(u))
		Expect(e.FlowsIn(ownZone)).To(Equal(1))
		Expect(e.FlowsIn(otherZone)).To(Equal(0))
	})

	It("keeps flows that another balancer opened", func() {
		e, list := twoZones()
		e.SetEvacuatedZones([]bundle.Zone{ownZone}, start)
		c := newCaller(1, feedAt)
		c.cookie = cookie.Of(list[0].ID)
		Expect(id(e.Decide(c.request(10), start))).To(Equal(list[0].ID))
	})

	It("doesn't get the copy of a first packet that went there before", func() {
		e, _ := twoZones()
		c := newCaller(1, feedAt)
		Expect(e.Decide(c.first(0), start).Upstream.Route.Zone).To(Equal(ownZone))
		e.SetEvacuatedZones([]bundle.Zone{ownZone}, start)
		v := e.Decide(c.first(1), start.Add(200*ms))
		Expect(v.Action).To(Equal(cookie.ActionForward))
		Expect(v.Upstream.Route.Zone).To(Equal(otherZone))
	})

	It("doesn't get a first packet that the network doubled", func() {
		e, _ := twoZones()
		c := newCaller(1, feedAt)
		e.Decide(c.first(0), start)
		e.SetEvacuatedZones([]bundle.Zone{ownZone}, start)
		Expect(e.Decide(c.first(0), start).Upstream.Route.Zone).To(Equal(otherZone))
		opened := newCaller(2, feedAt)
		opened.open(e, start)
		e.SetEvacuatedZones([]bundle.Zone{ownZone, otherZone}, start)
		Expect(e.Decide(opened.first(0), start).Action).To(Equal(cookie.ActionDrop))
	})

	It("gets nothing when the other zone's upstreams are thought dead", func() {
		e, list := twoZones()
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

	It("gets no flow by another's word that it has room", func() {
		list := registrations(2)
		list[1].Zone = otherZone
		e := newEngine(list)
		for n := range 6 {
			c := newCaller(100+n, feedAt)
			c.open(e, start)
			e.Decide(c.request(10), start)
		}
		room(e, start)
		e.SetEvacuatedZones([]bundle.Zone{otherZone}, start)
		Expect(e.Decide(newCaller(1, feedAt).first(0), start).Upstream.Route.Zone).To(Equal(ownZone))
	})

	It("is refused at once where nothing else is left, and served again when it is taken back", func() {
		e, _ := twoZones()
		waiting := newCaller(1, feedAt)
		e.Decide(waiting.first(0), start)
		e.SetEvacuatedZones([]bundle.Zone{ownZone, otherZone}, start)
		Expect(e.Decide(waiting.first(1), start.Add(200*ms)).Action).To(Equal(cookie.ActionReset))
		Expect(e.Decide(newCaller(2, feedAt).first(0), start).Action).To(Equal(cookie.ActionReset))
		// One is taken back while the other stays.
		e.SetEvacuatedZones([]bundle.Zone{otherZone}, start.Add(time.Second))
		Expect(e.Decide(newCaller(3, feedAt).first(0), start.Add(time.Second)).Upstream.Route.Zone).To(Equal(ownZone))
		Expect(e.EvacuatedSince(otherZone)).To(Equal(start), "it didn't begin anew")
		Expect(e.EvacuatedSince(ownZone).IsZero()).To(BeTrue())
	})

	It("gets upstreams that start or start again there, and they no flow", func() {
		e, list := twoZones()
		e.SetEvacuatedZones([]bundle.Zone{ownZone}, start)
		more := registration(9)
		list[0].StartTime, list[0].Revision = 99, list[0].Revision+1
		setUpstreams(e, append(list, more), start)
		for n := range 100 {
			Expect(newCaller(n, feedAt).open(e, start).Route.Zone).To(Equal(otherZone))
		}
	})

	It("isn't told as one with room", func() {
		e, _ := twoZones()
		Expect(e.OwnZoneLoads()).NotTo(BeEmpty())
		e.SetEvacuatedZones([]bundle.Zone{ownZone}, start)
		Expect(e.OwnZoneLoads()).To(BeEmpty())
	})

	It("has no upstream that is connected to as a reference", func() {
		e, list := twoZones()
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		e.SetEvacuatedZones([]bundle.Zone{otherZone}, start)
		e.ReportedDead(u.Route.ID, start.Add(2*time.Second))
		due := e.DueProbes(start.Add(2 * time.Second))
		Expect(due).To(HaveLen(1))
		Expect(due[0].Reference).To(BeNil(), "its own zone is silent: of %d upstreams none is left", len(list))
	})

	// The host's own upstreams of an evacuated zone are left alone, but a caller that waits on an open flow
	// still learns that its upstream died.
	It("is probed for the callers that have flows there, and for nobody else", func() {
		e, list := twoZones()
		c := newCaller(1, feedAt)
		u := c.open(e, start)
		e.SetEvacuatedZones([]bundle.Zone{ownZone}, start)
		for _, r := range list[:2] {
			e.ReportedDead(r.ID, start.Add(2*time.Second))
		}
		due := e.DueProbes(start.Add(2 * time.Second))
		Expect(due).To(HaveLen(1))
		Expect(due[0].Upstream.ID).To(Equal(u.Route.ID))
	})
})
