package cookiedaemon_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// boundBundle returns a bundle with one route that is restricted to regions.
func boundBundle(regions ...bundle.Region) *bundle.Bundle {
	return &bundle.Bundle{
		Services: []bundle.Service{{
			Name: "feed", Registered: true, HealthPath: "/healthz", Connections: 10, IdleTimeout: bundle.Duration(time.Minute),
		}},
		Routes: []bundle.Route{{
			Name: "feed", Address: netip.MustParseAddrPort("198.18.0.1:443"), Deadline: bundle.Duration(time.Second),
			Targets: []bundle.Target{{Service: "feed", Weight: 1}}, Regions: regions,
		}},
	}
}

var _ = Describe("A balancer that knows the regions of zones", func() {
	// Guards against a version that never comes into force since one of its routes names an unknown region, and against
	// flows of that route in another region.
	It("puts a bundle in force that names an unknown region, and refuses that route's callers", func() {
		w := newWorld(1)
		h := w.Hosts[0]
		h.Regions = `"zone-1": "north", "zone-2": "north", "zone-3": "south"`
		n := startNode(w, h)
		Eventually(n.Ready, maxWait).Should(BeTrue())
		before := n.Version()
		w.Store.PutBundle(before+1, boundBundle("suoth"))
		Eventually(n.Version, maxWait).Should(Equal(before + 1))
		Expect(n.refuses(w, 1)).To(BeTrue())
		w.Store.PutBundle(before+2, boundBundle("south"))
		Eventually(n.Version, maxWait).Should(Equal(before + 2))
	})
})
