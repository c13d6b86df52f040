package cookie_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
)

// Guards against a reset of an open flow whose route this balancer hasn't received yet: it opened through a balancer that has.
func TestOpenFlowIsNotResetBeforeItsRouteIsKnown(t *testing.T) {
	RegisterTestingT(t)
	for name, tentative := range map[string]bool{"during its handshake": true, "later": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := newEngineOf(content(feedAt), registrations(1))
			c := newCaller(1, feedAt)
			if c.cookie = cookie.Of(registration(1).ID); tentative {
				c.cookie = c.cookie.Tentative()
			}
			g.Expect(e.Decide(c.ackPacket(1), start).Action).NotTo(Equal(cookie.ActionReset))
		})
	}
}
