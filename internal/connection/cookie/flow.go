package cookie

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// flow is what a balancer remembers of a flow that passes it. It is soft state.
type flow struct {
	up *Upstream
	// before is the upstream that a copy of the first packet turned away from.
	before *Upstream
	// opened says that the caller has acknowledged an upstream's answer.
	opened bool
	// counted says that the flow counts in its upstream's load, busy that a request
	// does.
	counted, busy bool
	// overdue says that a request is in progress but no longer counts as such, since it
	// has waited for too long.
	overdue bool
	closing bool
	// former says that the upstream seems to have started again since. The flow counts for
	// nothing until its caller acknowledges something new.
	former       bool
	copies       uint32
	placed, last time.Time
	// askedAt is when the request in progress came.
	askedAt time.Time
	// ack is the highest acknowledgement seen, next the number after the highest
	// byte sent.
	ack, next uint32
}

const (
	// quietAfter is when a flow without packets no longer counts as load: routers
	// may have moved it to another balancer, which counts it now. Flows carry a
	// request about once a second at the users' installations.
	quietAfter = 3 * time.Second
	// closedAfter is how long a record of a closed flow is kept for its last packets.
	closedAfter = 2 * time.Second
	// openingAfter is how long an unanswered first packet is remembered. Callers
	// give up after 1.4 s.
	openingAfter = 2 * time.Second
)

// lifetime is how long the record is kept without packets.
func (f *flow) lifetime(idle time.Duration) time.Duration {
	switch {
	case f.closing:
		return closedAfter
	case !f.opened:
		return openingAfter
	}
	return idle
}

// count adds the flow to its upstream's load.
func (f *flow) count() {
	if !f.counted {
		f.counted = true
		f.up.load.Flows.Add(1)
	}
}

// uncount takes the flow and its request off its upstream's load.
func (f *flow) uncount() {
	if f.counted {
		f.counted = false
		f.up.load.Flows.Add(-1)
	}
	f.answered()
}

// asked counts a request in progress. It reports whether it is a new one.
func (f *flow) asked(now time.Time) bool {
	if f.busy {
		return false
	}
	f.busy, f.overdue, f.askedAt = true, false, now
	f.up.load.Requests.Add(1)
	return true
}

func (f *flow) answered() {
	if f.busy {
		f.busy = false
		f.up.load.Requests.Add(-1)
	}
}

// moveTo gives the flow another upstream.
func (f *flow) moveTo(u *Upstream) {
	f.uncount()
	f.up.flows--
	f.up = u
	f.former = false
	u.flows++
	f.count()
}

// observe learns from an established flow's packet. Callers repeat what isn't
// acknowledged after 200 ms, so a repeated packet says that the upstream was
// silent, and a higher acknowledgement that it wasn't.
func (e *Engine) observe(f *flow, p *Packet, r *bundle.CallerRoute, now time.Time) {
	f.last = now
	if after(p.Ack, f.ack) {
		f.ack, f.former = p.Ack, false
		e.alive(f.up, now)
		if f.busy {
			f.up.outcomes.answered++
		}
		if f.busy || f.overdue {
			e.ended(f, r, now)
		}
		f.answered()
	}
	if f.former {
		e.closes(f, p)
		return
	}
	f.count()
	end := p.Seq + p.span()
	switch {
	case p.span() == 0:
	case after(end, f.next):
		f.next = end
		if f.asked(now) {
			e.awaits(f, r, now)
		}
	default:
		e.unanswered(f.up, now)
	}
	e.closes(f, p)
}

// closes takes in that a packet ends its flow.
func (e *Engine) closes(f *flow, p *Packet) {
	if p.Flags.Has(FlagFIN | FlagRST) {
		// If a request is in progress, its caller has given it up.
		e.lost(f)
		e.failed(f)
	}
	if p.Flags.Has(FlagFIN) {
		f.closing = true
		f.uncount()
	}
}
