package caller

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/request/coap"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// MaxTransmitSpan is how long after its first transmission a caller may retransmit a
// confirmable message (RFC 7252, section 4.8.2).
const MaxTransmitSpan = 45 * time.Second

// RequestState is the state of a request.
type RequestState uint8

// The states of a request.
const (
	// RequestOpen is a request that waits for its answer.
	RequestOpen RequestState = iota + 1
	// RequestObserving is an observation that was answered and continues.
	RequestObserving
	// RequestAnswered is a request that has its answer. Retransmitted copies of the
	// answer still pass.
	RequestAnswered
	// RequestExpired is a request that the daemon answered at its deadline. Its
	// upstream may still work on it.
	RequestExpired
)

// Request is what the owner of a flow records of one of its requests.
type Request struct {
	// Upstream is the flow's upstream when the request was opened, zero if the flow wasn't
	// placed yet.
	Upstream bundle.UpstreamID
	// Opened is when the request was opened here.
	Opened time.Time
	// Deadline is when the daemon answers the request itself. In an expired request it is
	// the time until which the request is kept.
	Deadline time.Time
	// LastSeen is when the last packet of the request arrived, or when it expired.
	LastSeen time.Time
	// Message is the request. AnswerID is the message ID of its last answer.
	Message  coap.Message
	AnswerID uint16
	State    RequestState
	// holdsSlot is set while the request counts in the upstream's load.
	holdsSlot bool
}

// requestKey identifies a request. A later request of the flow with the same token replaces
// it.
type requestKey struct {
	flow  Key
	token coap.Token
}

// Requests holds the requests of the flows that this daemon owns. It is safe for
// concurrent use: each shard has a mutex, and no two of them are held at the same time.
type Requests struct {
	shards [numShards]requestShard
	open   atomic.Int64
}

type requestShard struct {
	mu sync.Mutex
	m  map[requestKey]Request
}

// NewRequests returns an empty table.
func NewRequests() *Requests {
	t := &Requests{}
	for i := range t.shards {
		t.shards[i].m = make(map[requestKey]Request)
	}
	return t
}

// Open returns how many requests wait for an answer.
func (t *Requests) Open() int { return int(t.open.Load()) }

func (t *Requests) shard(h peer.FlowHash) *requestShard {
	return &t.shards[h>>(64-shardBits)]
}

// update calls f with a request as Table.Update does with a record.
func (t *Requests) update(k *requestKey, h peer.FlowHash, f func(r *Request, found bool) bool) {
	s := t.shard(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, found := s.m[*k]
	if f(&r, found) {
		s.m[*k] = r
	} else if found {
		delete(s.m, *k)
	}
}

// admit decides whether a call of a CoAP service may be sent to its upstream, and opens
// its request.
func (e *Engine) admit(w *packetWork, rec *Record) Cause {
	m := &w.p.CoAP
	if w.service.Protocol != bundle.ProtocolCoAP || !m.IsRequest() {
		return CauseNone
	}
	if rec.State == StateCommitted && !m.IsIdempotent() && w.mayHaveRunElsewhere(rec) {
		// An earlier record of the flow may be lost, and with it the upstream to which
		// this request was sent before: running the request here could be its second
		// run.
		return e.replyUnknown(w)
	}
	if rec.State == StateTentative && rec.Flags&RecordUncertain != 0 && !m.IsIdempotent() {
		// The members that are queried next decide: the request continues only to an
		// upstream that had the flow before.
		return CauseNone
	}
	load := e.Loads.Load(rec.Upstream)
	limit, reachable := int64(1), true
	placed := rec.Upstream != 0
	if u := w.routing.Upstream(rec.Upstream); u != nil {
		limit = int64(u.Slots)
		reachable = w.view.CanReach(u.Zone)
	}
	cause := CauseNone
	k := requestKey{flow: w.key, token: m.Token}
	e.Requests.update(&k, w.hash, func(r *Request, found bool) bool {
		if found && (r.State == RequestObserving || r.Message.MessageID == m.MessageID) {
			r.LastSeen = w.now
			return true
		}
		if found {
			e.closeRequest(r)
		}
		if placed && reachable && load.Requests.Load() >= limit && e.isFirstCopy(w) {
			cause = CauseRefused
			return false
		}
		*r = Request{
			Upstream: rec.Upstream,
			Deadline: w.now.Add(w.service.Deadline),
			Opened:   w.now,
			LastSeen: w.now,
			Message:  *m,
			State:    RequestOpen,
		}
		e.Requests.open.Add(1)
		if placed && reachable {
			r.holdsSlot = true
			load.Requests.Add(1)
		}
		return true
	})
	switch {
	case cause == CauseRefused:
		return e.refuse(w, refusalBusy)
	case !reachable:
		// The caller may reach the upstream's side of the network partition with its
		// next copy. If not, it gets an answer at the deadline.
		return CauseUnreachable
	}
	return CauseNone
}

// isFirstCopy reports whether it is certain that no copy of a request that isn't
// recorded here was forwarded before. While members change, a caller's first copy may
// have passed through another owner, and a refusal of the next copy as not run would be
// false.
func (e *Engine) isFirstCopy(w *packetWork) bool {
	uncertainUntil := Seconds(e.resumedAt.Load()) + Seconds(MaxTransmitSpan/time.Second)
	return !w.view.RepeatsPossible && (e.resumedAt.Load() == 0 || w.seconds > uncertainUntil)
}

// mayHaveRunElsewhere reports whether the caller may have sent this request before, to
// the upstream of a lost record or to the other side of a network partition.
func (w *packetWork) mayHaveRunElsewhere(rec *Record) bool {
	if rec.Flags&RecordUncertain == 0 {
		return false
	}
	if w.view.OwnerMayBeUnreachable(w.hash) {
		return true
	}
	return time.Duration(unixSeconds(w.now)-rec.PlacedAt)*time.Second < MaxTransmitSpan
}

// releaseSlot releases the slot that a request holds at its upstream, if any.
func (e *Engine) releaseSlot(r *Request) {
	if r.holdsSlot {
		r.holdsSlot = false
		e.Loads.Load(r.Upstream).Requests.Add(-1)
	}
}

// closeRequest releases the request's slot and no longer counts it as open.
func (e *Engine) closeRequest(r *Request) {
	e.releaseSlot(r)
	if r.State == RequestOpen {
		e.Requests.open.Add(-1)
	}
}

// admitAnswer decides whether an answer of the flow's upstream may be sent to the
// caller.
func (e *Engine) admitAnswer(w *packetWork, rec *Record) Cause {
	m := &w.p.CoAP
	if w.service.Protocol != bundle.ProtocolCoAP || !m.IsResponse() {
		return CauseNone
	}
	cause := CauseNone
	k := requestKey{flow: w.key, token: m.Token}
	e.Requests.update(&k, w.hash, func(r *Request, found bool) bool {
		if !found {
			// An owner that took the flow over doesn't know the earlier requests. Then
			// only the upstream that holds the flow can be checked.
			if rec.Flags&RecordLocal != 0 && !w.view.RecentlyChanged {
				cause = CauseTokenNotOpen
			}
			return false
		}
		cause = e.recordAnswer(w, r)
		return true
	})
	return cause
}

// recordAnswer closes a request by an answer and returns CauseTokenNotOpen if the answer
// must not be sent to the caller.
func (e *Engine) recordAnswer(w *packetWork, r *Request) Cause {
	m := &w.p.CoAP
	r.LastSeen = w.now
	e.closeRequest(r)
	switch r.State {
	case RequestExpired:
		return CauseTokenNotOpen
	case RequestAnswered:
		if r.AnswerID != m.MessageID {
			return CauseTokenNotOpen
		}
	case RequestOpen, RequestObserving:
		r.State = RequestAnswered
		r.AnswerID = m.MessageID
		if m.HasObserve {
			r.State = RequestObserving
		}
	}
	return CauseNone
}

// mustNotRunTwice reports whether the packet is a request that isn't idempotent.
func (w *packetWork) mustNotRunTwice() bool {
	return w.service.Protocol == bundle.ProtocolCoAP && w.p.CoAP.IsRequest() && !w.p.CoAP.IsIdempotent()
}

// expire answers the requests of one shard whose deadline has passed and removes old
// ones.
func (e *Engine) expire(now time.Time, shard int, out []Output) []Output {
	s := &e.Requests.shards[shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	view := e.view.Load()
	for k, r := range s.m {
		owner := view.Owner(k.flow.Hash())
		switch {
		case owner != nil && owner.ID != e.self:
			// Another daemon is the owner now and forwards the answer.
			e.closeRequest(&r)
			delete(s.m, k)
		case e.seenBeforePause(&r):
			// While this process was paused, other members were the owner: the answer
			// has passed through them, and the slot would stay taken for nothing. If
			// there was no answer, the caller's retransmission opens the request again.
			e.closeRequest(&r)
			delete(s.m, k)
		case r.State == RequestOpen && now.After(r.Deadline):
			out = e.answerExpired(&k, &r, out)
			e.Requests.open.Add(-1)
			r.State = RequestExpired
			r.Deadline, r.LastSeen = now.Add(r.Deadline.Sub(r.Opened)), now
			s.m[k] = r
		case r.State != RequestOpen && now.Sub(r.LastSeen) > e.retention(&k, &r):
			e.releaseSlot(&r)
			delete(s.m, k)
		}
	}
	return out
}

// seenBeforePause reports whether a request was last seen before the last pause of this
// process.
func (e *Engine) seenBeforePause(r *Request) bool {
	return uint32(e.seconds(r.LastSeen))+1 < e.resumedAt.Load()
}

// retention returns how long a request is kept after its last packet. An expired
// request keeps its slot for as long again as its deadline was: its upstream may still
// work on it, but gives up on it as well.
func (e *Engine) retention(k *requestKey, r *Request) time.Duration {
	t := e.routing.Load()
	if r.State == RequestObserving && t != nil {
		if s := t.Service(k.flow.VNI()); s != nil {
			return s.IdleTimeout
		}
	}
	if r.State == RequestExpired {
		return r.Deadline.Sub(r.LastSeen)
	}
	return MaxTransmitSpan
}

// answerExpired answers a request that got no answer by its deadline with the message
// that its outcome is unknown, because it may have run.
func (e *Engine) answerExpired(k *requestKey, r *Request, out []Output) []Output {
	w := packetWork{out: out, hash: k.flow.Hash(), p: &Packet{}}
	w.p.Header.VNI = k.flow.VNI()
	w.p.Header.EtherType = etherTypeOf(k.flow.CallerAddr().Addr())
	w.p.IP.Src, w.p.IP.Dst = k.flow.CallerAddr(), k.flow.ServiceAddr()
	w.p.CoAP = r.Message
	// The upstream may have acknowledged the message already, so this answer is a
	// separate message.
	w.p.CoAP.Type = message.NonConfirmable
	e.Counters.Drops[e.replyUnknown(&w)].Add(1)
	return w.out
}
