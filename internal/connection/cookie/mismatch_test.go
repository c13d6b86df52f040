package cookie_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// foreignEntry returns the entry that another writer leaves in place of an upstream's: of a service that no bundle names, at
// an address where nothing listens.
func foreignEntry(r registry.Registration) registry.Registration {
	r.Service, r.Address = "legacy", netip.MustParseAddrPort("10.9.9.9:9")
	r.Revision++
	return r
}

// Guards against resets of open flows on a daemon that starts while another writer's entry stands in place of their upstream's.
// It would send their packets to the entry's address, find that nothing answers there, and end the flows of a live upstream.
func TestUpstreamOfUnnamedServiceIsNotJudgedByItsEntry(t *testing.T) {
	for name, bundleFirst := range map[string]bool{"the bundle is known first": true, "the entry is known first": false} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			own := registration(1)
			c := newCaller(1, feedAt)
			c.open(newEngine([]registry.Registration{own}), start)
			e := cookie.NewEngine(cookie.Options{
				Zone: ownZone, Policy: upstream.NewZoneAware(ownZone, upstream.DefaultChoices), FlowLifetime: time.Minute,
			})
			steps := []func(){
				func() { e.SetRouting(routing(1), start) }, func() { updateOne(e, foreignEntry(own), start) },
			}
			if !bundleFirst {
				steps[0], steps[1] = steps[1], steps[0]
			}
			for _, step := range steps {
				step()
			}
			now := start
			for range 100 {
				now = now.Add(100 * ms)
				e.ConfirmRegistrations(now)
				Expect(e.Decide(c.request(100), now).Action).To(Equal(cookie.ActionDrop))
				Expect(e.DueProbes(now)).To(BeEmpty())
				e.Expire(now)
			}
			Expect(e.Decide(newCaller(2, feedAt).first(0), now).Upstream).To(BeNil(), "no new flow")
			own.Revision += 2
			Expect(updateOne(e, own, now)).To(BeEmpty())
			v := e.Decide(c.request(100), now)
			Expect(id(v)).To(Equal(own.ID))
			Expect(v.Upstream.Route.Address).To(Equal(own.Address))
		})
	}
}

// Guards against an upstream that gets no flow any more once its own entry is back, unchanged, in place of another writer's.
func TestUpstreamIsUsableOnceItsEntryIsBackUnchanged(t *testing.T) {
	RegisterTestingT(t)
	own := registration(1)
	e := newEngine([]registry.Registration{own})
	updateOne(e, foreignEntry(own), start)
	Expect(e.Decide(newCaller(1, feedAt).first(0), start).Upstream).To(BeNil())
	own.Revision += 2
	updateOne(e, own, start)
	Expect(e.Decide(newCaller(1, feedAt).first(0), start).Upstream).NotTo(BeNil())
}

// Guards against upstreams of a new service that are forgotten if its bundle comes long after them.
func TestUpstreamIsUsableOnceBundleNamesItsService(t *testing.T) {
	RegisterTestingT(t)
	e := newEngine(nil)
	r := registration(1)
	r.Service = "new"
	updateOne(e, r, start)
	now := start
	for range 200 {
		now = now.Add(time.Second)
		e.Expire(now)
	}
	e.SetRouting(routingWith(2, "new"), now)
	Expect(id(e.Decide(newCaller(1, sheetsAt).first(0), now))).To(Equal(r.ID))
}

// Guards against an upstream whose entry is gone that comes back when a bundle names its service.
func TestRemovedUpstreamStaysRemovedWhenBundleNamesItsService(t *testing.T) {
	RegisterTestingT(t)
	e := newEngine(nil)
	r := registration(1)
	r.Service = "new"
	updateOne(e, r, start)
	e.Update([]registry.Change{{Registration: registry.Registration{ID: r.ID}, Removed: true}}, start)
	e.SetRouting(routingWith(2, "new"), start)
	Expect(e.Decide(newCaller(1, sheetsAt).first(0), start).Upstream).To(BeNil())
}
