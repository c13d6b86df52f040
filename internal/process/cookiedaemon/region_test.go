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
	// The next bundle restricts a route to a region with a misspelled name. Guards against putting
	// it in force, which would refuse every caller of that route.
	It("keeps the bundle in force if the next one names an unknown region", func() {
		w := newWorld(1)
		h := w.Hosts[0]
		h.Regions = `"zone-1": "north", "zone-2": "north", "zone-3": "south"`
		n := startNode(w, h)
		Eventually(n.Ready, maxWait).Should(BeTrue())
		before := n.Version()
		w.Store.PutBundle(before+1, boundBundle("suoth"))
		// A daemon without others begins to follow the store a second after its start.
		Consistently(n.Version, 3*time.Second).Should(Equal(before))
		w.Store.PutBundle(before+2, boundBundle("south"))
		Eventually(n.Version, maxWait).Should(Equal(before + 2))
	})
})
