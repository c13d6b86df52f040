package cookiedaemon

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// A fleet starts for the first time, and takes more than half a second for it. Each daemon checks
// whether it should advertise. Guards against daemons that find that they have received nothing and
// become store readers: 195 hosts would call the store just when the first one has sent them
// everything.
var _ = Describe("A daemon that can't place flows yet", func() {
	It("doesn't follow the store, nor right after it has received everything", func() {
		now := time.Unix(1_000_000, 0)
		c := &Daemon{
			engine: cookie.NewEngine(cookie.Options{Zone: "a", Policy: upstream.NewZoneAware("a", upstream.DefaultChoices)}),
			start:  newStartup(now, true),
		}
		const rank = 9
		Expect(c.followsStore(rank, now.Add(500*time.Millisecond))).To(BeFalse())
		receivedAt := now.Add(time.Second)
		c.engine.SetRouting(bundle.NewRouting(1, &bundle.Bundle{}, nil), receivedAt)
		c.engine.ConfirmRegistrations(receivedAt)
		Expect(c.followsStore(rank, receivedAt.Add(3*time.Second))).To(BeFalse(), "the evacuated zones aren't known")
		c.state.confirm(kindEvacuations, receivedAt)
		c.election.Received(receivedAt, false)
		Expect(c.followsStore(rank, receivedAt)).To(BeFalse())
		Expect(c.followsStore(rank, receivedAt.Add(3*time.Second))).To(BeTrue(), "it receives nothing more")
	})
})
