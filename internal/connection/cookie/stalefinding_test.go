package cookie_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
)

// Guards against a reset of an open flow of an upstream that was found dead long ago and has started again since: this balancer
// hasn't received its new registration.
func TestFlowOfUpstreamThatWasDeadLongAgo(t *testing.T) {
	RegisterTestingT(t)
	for name, tc := range map[string]struct {
		after  time.Duration
		probe  cookie.ProbeResult
		probed bool
		resets int
	}{
		"is reset at once while the finding is fresh": {after: 900 * ms},
		"stays if it answers":                         {after: 10 * time.Second, probe: cookie.ProbeAlive, probed: true},
		"is reset once it is found dead again":        {after: 10 * time.Second, probe: cookie.ProbeRefused, probed: true, resets: 1},
		"stays while nothing is known of it":          {after: 10 * time.Second, probe: cookie.ProbeUnsure, probed: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := newEngine(registrations(2))
			u := registration(1).ID
			setUpstreams(e, registrations(2)[1:], start)
			e.ProbeDone(u, cookie.ProbeRefused, start, start)
			g.Expect(e.Health(u)).To(Equal(cookie.HealthDead))
			now := start.Add(tc.after)
			c := newCaller(1, feedAt)
			c.cookie = cookie.Of(u)
			v := e.Decide(c.request(10), now)
			if !tc.probed {
				g.Expect([]any{v.Action, v.Cause}).To(Equal([]any{cookie.ActionReset, cookie.CauseGone}))
				return
			}
			g.Expect(id(v)).To(Equal(u))
			g.Expect(e.DueProbes(now)).To(ContainElement(HaveField("Upstream.ID", u)))
			g.Expect(e.ProbeDone(u, tc.probe, now, now.Add(ms))).To(HaveLen(tc.resets))
		})
	}
}
