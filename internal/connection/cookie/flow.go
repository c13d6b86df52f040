package cookie

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/admission"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// flow is the record of a flow that passes this balancer. It is soft state. The load in which it
// counts is that of its upstream in Engine.LoadTable.
type flow struct {
	upstream *Upstream
	// previous is the upstream from which a retransmission of the first packet moved the flow away.
	previous *Upstream
	// opened is set once the caller has acknowledged an upstream's answer.
	opened bool
	// inLoad is set while the flow counts in its upstream's load, requestPending while a request of
	// it does.
	inLoad, requestPending bool
	// overdue is set if a request is in progress but no longer counts in the load, since it has
	// waited longer than answerTimeout.
	overdue bool
	// closing is set once the caller has closed the flow.
	closing bool
	// formerIncarnation is set if the upstream seems to have restarted since. The flow doesn't
	// count in the load until its caller acknowledges new data.
	formerIncarnation bool
	// lastCopy is the highest Packet.Copy seen of the flow's first packet, lastCopyAt when it arrived.
	// missesCopy is set if one before it didn't arrive here.
	lastCopy   uint32
	lastCopyAt time.Time
	missesCopy bool
	// openSeq is the sequence number of the flow's first packet, if that arrived here.
	openSeq uint32
	// placedAt is when this balancer added the record or moved the flow to its present upstream,
	// lastPacket when the last packet arrived. A duplicate of the first packet doesn't count.
	placedAt, lastPacket time.Time
	// requestedAt is when the first packet of the request in progress arrived.
	requestedAt time.Time
	// class counts the flow's requests, nil without admission control. lastData is when the last new
	// data of the request in progress arrived.
	class    *admission.Counter
	lastData time.Time
	// ack is the highest acknowledgement number seen, next the sequence number after the highest
	// byte sent.
	ack, next uint32
}

const (
	// loadTimeout is how long after its last packet a flow stops counting as load: routers may have
	// moved it to another balancer, which counts it now. Flows carry a request about once a second
	// at the users' installations.
	loadTimeout = 3 * time.Second
	// closedLifetime is how long the record of a closed flow is kept for its last packets.
	closedLifetime = 2 * time.Second
	// openingLifetime is how long the record of an unanswered first packet is kept. Callers give up
	// after 1.4 s.
	openingLifetime = 2 * time.Second
)

// newFlow returns the record of a flow that is placed at an upstream in answer to a first packet.
func newFlow(u *Upstream, class *admission.Counter, p *Packet, now time.Time) *flow {
	return &flow{
		upstream: u, class: class, placedAt: now, lastPacket: now, ack: p.Ack,
		lastCopy: p.Copy, lastCopyAt: now, missesCopy: p.Copy > 0, openSeq: p.Seq,
	}
}

// noteCopy records a retransmission of the flow's first packet.
func (f *flow) noteCopy(n uint32, now time.Time) {
	f.lastPacket = now
	if n <= f.lastCopy {
		return
	}
	f.missesCopy = f.missesCopy || n > f.lastCopy+1
	f.lastCopy, f.lastCopyAt = n, now
}

const (
	// copyTransit is the longest time that a first packet is taken to need from its caller until it is
	// handled here.
	copyTransit = 50 * time.Millisecond
	// lastCopyLifetime is how long after the last copy of a first packet its caller gives the flow up.
	lastCopyLifetime = 800 * time.Millisecond
)

// copyIntervals are the times from a copy of a first packet to the next one.
var copyIntervals = [...]time.Duration{200 * time.Millisecond, 400 * time.Millisecond}

// onlyPlacedHere reports whether no other balancer can have placed the flow at another upstream, where
// it may be open by now: this one saw all copies of its first packet and sent none to another upstream.
func (f *flow) onlyPlacedHere(now time.Time) bool { return f.previous == nil && f.sawAllCopies(now) }

// placedHere reports whether the flow's first packet arrived here.
func (f *flow) placedHere() bool { return !f.lastCopyAt.IsZero() }

// isReplacedBy reports whether a first packet opens another flow from the same port. While this one is open and in use, such
// a packet is taken for a late one of the flow before.
func (f *flow) isReplacedBy(p *Packet, now time.Time) bool {
	inUse := f.opened && !f.closing && now.Sub(f.lastPacket) < openingLifetime
	return !inUse && !f.isOpenedBy(p)
}

// isOpenedBy reports whether a first packet can be one of this flow. If none of them arrived here, that is any whose sequence
// number can precede the flow's data.
func (f *flow) isOpenedBy(p *Packet) bool {
	if f.placedHere() {
		return p.Seq == f.openSeq
	}
	return f.next-p.Seq < maxFlowBytes
}

// sawAllCopies reports whether all copies of the first packet that the caller can have sent arrived here.
func (f *flow) sawAllCopies(now time.Time) bool {
	if f.missesCopy {
		return false
	}
	interval := lastCopyLifetime
	if int(f.lastCopy) < len(copyIntervals) {
		interval = copyIntervals[f.lastCopy]
	}
	return now.Sub(f.lastCopyAt) < interval-copyTransit
}

// mayBeReset reports whether a reset sent now can't break the flow if its upstream here is dead. A flow
// that isn't known to be open may be open at another upstream: routers send the retransmission of its
// first packet to another balancer when hosts join or leave.
func (f *flow) mayBeReset(now time.Time) bool { return f.opened || f.onlyPlacedHere(now) }

// lifetime returns how long the record is kept without packets.
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
		f.upstream.addFlows(1)
	}
}

// removeFromLoad takes the flow and its pending request off its upstream's load.
func (f *flow) removeFromLoad() {
	if f.inLoad {
		f.inLoad = false
		f.upstream.addFlows(-1)
	}
	f.endRequest()
}

// startRequest counts a request in progress. It reports whether the request is a new one.
func (f *flow) startRequest(now time.Time) bool {
	if f.requestPending {
		return false
	}
	f.requestPending, f.overdue, f.requestedAt = true, false, now
	f.upstream.load.Requests.Add(1)
	return true
}

// endRequest takes the pending request, if any, off the upstream's load.
func (f *flow) endRequest() {
	if f.requestPending {
		f.requestPending = false
		f.upstream.load.Requests.Add(-1)
	}
}

// moveTo assigns the flow to another upstream and moves its load there. That upstream can't have had
// the flow before.
func (f *flow) moveTo(u *Upstream, now time.Time) {
	f.placedAt = now
	f.removeFromLoad()
	f.upstream.addFlowRecords(-1)
	f.upstream = u
	f.formerIncarnation = false
	u.addFlowRecords(1)
	f.addToLoad()
}

// observe updates the record from a packet of an established flow. Callers retransmit data that
// isn't acknowledged after 200 ms, so a retransmission shows that the upstream was silent, and a
// higher acknowledgement number shows that it wasn't. r is nil if the flow's route isn't known.
func (e *Engine) observe(f *flow, p *Packet, r *bundle.CallerRoute, now time.Time) {
	f.lastPacket = now
	if seqAfter(p.Ack, f.ack) {
		f.ack, f.formerIncarnation = p.Ack, false
		e.markAlive(f.upstream, now)
		if f.requestPending {
			f.upstream.outcomes.answered++
			f.upstream.markActive()
		}
		if f.requestPending || f.overdue {
			e.countBusy(f, now)
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
		// The caller's close takes up a sequence number too, but it is no request.
		if p.Length > 0 {
			e.observeRequest(f, r, now)
		}
	default:
		e.noteUnanswered(f.upstream, now)
	}
	e.observeClose(f, p)
}

// observeRequest handles a packet with new data.
func (e *Engine) observeRequest(f *flow, r *bundle.CallerRoute, now time.Time) {
	f.lastData = now
	if f.startRequest(now) {
		e.trackRequest(f, r, now)
		f.countStart()
	}
}

// observeClose handles a packet that ends its flow.
func (e *Engine) observeClose(f *flow, p *Packet) {
	if p.Flags.Has(FlagFIN | FlagRST) {
		// A request in progress was given up by its caller.
		e.countFailed(f)
		e.recordFailure(f)
	}
	if p.Flags.Has(FlagFIN) {
		f.closing = true
		f.removeFromLoad()
	}
}
