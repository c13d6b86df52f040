package cookie_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
)

// Guards against a flow that follows the one before from the same port to its upstream, though that drains or has ended.
func TestFlowFromThePortOfAnother(t *testing.T) {
	RegisterTestingT(t)
	const otherSeq = 1 << 30
	for name, tc := range map[string]struct {
		closed, adopted bool
		seq             uint32
		after           time.Duration
		placed          bool
	}{
		"is placed after a close":                             {closed: true, seq: otherSeq, placed: true},
		"is placed after a close of a flow opened elsewhere":  {closed: true, adopted: true, seq: otherSeq, placed: true},
		"is placed if the other is open but out of use":       {seq: otherSeq, after: 2 * time.Second, placed: true},
		"isn't placed if it is the other's first packet":      {closed: true, seq: 1000},
		"isn't placed if it may be that, of a flow elsewhere": {closed: true, adopted: true, seq: 1000},
		"isn't placed while the other is in use":              {seq: otherSeq},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			list := registrations(2)
			e := newEngine(list)
			c := newCaller(1, feedAt)
			u := registration(1).ID
			if tc.adopted {
				c.cookie = cookie.Of(u)
				g.Expect(id(e.Decide(c.request(10), start))).To(Equal(u))
			} else {
				u = c.open(e, start).Route.ID
			}
			for i := range list {
				if list[i].ID == u {
					list[i].Draining, list[i].Revision = true, 9
				}
			}
			setUpstreams(e, list, start)
			if tc.closed {
				p := c.request(0)
				p.Flags |= cookie.FlagFIN
				g.Expect(id(e.Decide(p, start))).To(Equal(u))
			}
			v := e.Decide(&cookie.Packet{Key: c.key, Flags: cookie.FlagSYN, Seq: tc.seq}, start.Add(50*ms+tc.after))
			if !tc.placed {
				g.Expect(id(v)).To(Equal(u))
				g.Expect(v.Cause).To(Equal(cookie.CauseRepeated))
				return
			}
			g.Expect(id(v)).NotTo(Equal(u))
			g.Expect(v.Cause).To(Equal(cookie.CausePlaced))
			g.Expect(e.LoadTable.Load(u).Flows.Load()).To(BeZero())
			g.Expect(e.Flows()).To(Equal(1))
		})
	}
}
