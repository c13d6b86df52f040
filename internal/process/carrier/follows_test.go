package carrier

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// A fleet starts for the first time, and takes more than half a second for it. Each daemon looks
// whether it has news to tell, finds that it has heard none, and takes over the reading: 195 hosts
// call the store at the moment when the first of them has told them all.
var _ = Describe("A daemon that can't place flows yet", func() {
	It("doesn't follow the store, and doesn't begin to when it is told all", func() {
		now := time.Unix(1_000_000, 0)
		c := &Carrier{
			engine: cookie.NewEngine(cookie.Options{Zone: "a", Policy: upstream.NewZoneAware("a", upstream.DefaultChoices)}),
			start:  newStartup(now, true),
		}
		const rank = 9
		Expect(c.follows(rank, now.Add(500*time.Millisecond))).To(BeFalse())
		told := now.Add(time.Second)
		c.engine.SetRouting(bundle.NewRouting(1, &bundle.Bundle{}, nil), told)
		c.engine.ConfirmRegistrations(told)
		Expect(c.follows(rank, told.Add(3*time.Second))).To(BeFalse(), "the evacuated zones aren't known")
		c.known.confirm(kindEvacuations, told)
		c.reading.Received(told, false)
		Expect(c.follows(rank, told)).To(BeFalse())
		Expect(c.follows(rank, told.Add(3*time.Second))).To(BeTrue(), "nobody tells it more")
	})
})
