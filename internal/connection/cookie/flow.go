package cookie

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// flow is what a balancer remembers of a flow that passes it. It is soft state.
type flow struct {
	upstream *Upstream
	// previous is the upstream that a copy of the first packet turned away from.
	previous *Upstream
	// opened says that the caller has acknowledged an upstream's answer.
	opened bool
	// inLoad says that the flow counts in its upstream's load, requestPending that a request
	// does.
	inLoad, requestPending bool
	// overdue says that a request is in progress but no longer counts as such, since it
	// has waited for too long.
	overdue bool
	closing bool
	// formerIncarnation says that the upstream seems to have started again since. The flow counts for
	// nothing until its caller acknowledges something new.
	formerIncarnation    bool
	copies               uint32
	placedAt, lastPacket time.Time
	// requestedAt is when the request in progress came.
	requestedAt time.Time
	// ack is the highest acknowledgement seen, next the number after the highest
	// byte sent.
	ack, next uint32
}

const (
	// loadTimeout is when a flow without packets no longer counts as load: routers
	// may have moved it to another balancer, which counts it now. Flows carry a
	// request about once a second at the users' installations.
	loadTimeout = 3 * time.Second
	// closedLifetime is how long a record of a closed flow is kept for its last packets.
	closedLifetime = 2 * time.Second
	// openingLifetime is how long an unanswered first packet is remembered. Callers
	// give up after 1.4 s.
	openingLifetime = 2 * time.Second
)

// lifetime is how long the record is kept without packets.
func (f *flow) lifetime(idle time.Duration) time.Duration {
	switch {
	case f.closing:
		return closedLifetime
	case !f.opened:
		return openingLifetime
	}
	return idle
}

// addToLoad adds the flow to its upstream's load.
func (f *flow) addToLoad() {
	if !f.inLoad {
		f.inLoad = true
		f.upstream.load.Flows.Add(1)
	}
}

// removeFromLoad takes the flow and its request off its upstream's load.
func (f *flow) removeFromLoad() {
	if f.inLoad {
		f.inLoad = false
		f.upstream.load.Flows.Add(-1)
	}
	f.endRequest()
}

// startRequest counts a request in progress. It reports whether it is a new one.
func (f *flow) startRequest(now time.Time) bool {
	if f.requestPending {
		return false
	}
	f.requestPending, f.overdue, f.requestedAt = true, false, now
	f.upstream.load.Requests.Add(1)
	return true
}

func (f *flow) endRequest() {
	if f.requestPending {
		f.requestPending = false
		f.upstream.load.Requests.Add(-1)
	}
}

// moveTo gives the flow another upstream.
func (f *flow) moveTo(u *Upstream) {
	f.removeFromLoad()
	f.upstream.flowRecords--
	f.upstream = u
	f.formerIncarnation = false
	u.flowRecords++
	f.addToLoad()
}

// observe learns from an established flow's packet. Callers repeat what isn't
// acknowledged after 200 ms, so a repeated packet says that the upstream was
// silent, and a higher acknowledgement that it wasn't.
func (e *Engine) observe(f *flow, p *Packet, r *bundle.CallerRoute, now time.Time) {
	f.lastPacket = now
	if seqAfter(p.Ack, f.ack) {
		f.ack, f.formerIncarnation = p.Ack, false
		e.markAlive(f.upstream, now)
		if f.requestPending {
			f.upstream.outcomes.answered++
		}
		if f.requestPending || f.overdue {
			e.countAnswered(f, r, now)
		}
		f.endRequest()
	}
	if f.formerIncarnation {
		e.observeClose(f, p)
		return
	}
	f.addToLoad()
	end := p.Seq + p.seqSpan()
	switch {
	case p.seqSpan() == 0:
	case seqAfter(end, f.next):
		f.next = end
		if f.startRequest(now) {
			e.trackRequest(f, r, now)
		}
	default:
		e.noteUnanswered(f.upstream, now)
	}
	e.observeClose(f, p)
}

// observeClose takes in that a packet ends its flow.
func (e *Engine) observeClose(f *flow, p *Packet) {
	if p.Flags.Has(FlagFIN | FlagRST) {
		// If a request is in progress, its caller has given it up.
		e.countFailed(f)
		e.recordFailure(f)
	}
	if p.Flags.Has(FlagFIN) {
		f.closing = true
		f.removeFromLoad()
	}
}
