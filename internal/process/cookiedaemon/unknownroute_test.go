package cookiedaemon_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/standin/world"
)

var _ = Describe("A flow on a route that was just added", func() {
	// Guards against a reset of an open flow that routers hand to a balancer without the version that added its route.
	It("goes on through a balancer that has received several versions less", func() {
		w := newWorld(2)
		nodes := startAll(w)
		w.Hosts[1].StoreProxy.SetFault(world.LinkReset)
		w.CutPeers(w.Hosts[1], false, false, time.Minute)
		before := nodes[1].Version()
		for range 3 {
			w.AddRoute()
		}
		Eventually(inForce(nodes[:1], before+3), maxWait).Should(BeTrue())
		c := newHandCaller(w, nodes[0], "127.1.201.1")
		c.newFlow(3000)
		c.flow.To = w.NewestAddress()
		opened := c.offer(nodes[0], 0)
		Expect(c.request(nodes[0], opened, opened.Cookie).Flags.Has(cookie.FlagRST)).To(BeFalse())
		for range 3 {
			Expect(c.request(nodes[1], opened, c.flow.Cookie).Flags.Has(cookie.FlagRST)).To(BeFalse())
		}
		Expect(nodes[1].Version()).To(Equal(before))
	})
})
