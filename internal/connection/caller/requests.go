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

// MaxTransmitSpan is how long after its first transmission a caller may repeat
// a confirmable message (RFC 7252, section 4.8.2).
const MaxTransmitSpan = 45 * time.Second

// RequestState says where a request stands.
type RequestState uint8

// The states of a request.
const (
	// RequestOpen waits for its answer.
	RequestOpen RequestState = iota + 1
	// RequestFeed is an observation that was answered and goes on.
	RequestFeed
	// RequestAnswered has its answer; repeated copies of it still pass.
	RequestAnswered
	// RequestExpired was answered by the daemon; its upstream may still work on it.
	RequestExpired
)

// Request is what the home knows of one request of a flow.
type Request struct {
	Upstream  bundle.UpstreamID
	Opened    time.Time
	Deadline  time.Time
	Seen      time.Time
	Message   coap.Message
	AnswerID  uint16
	State     RequestState
	holdsSlot bool
}

type requestKey struct {
	flow  Key
	token coap.Token
}

// Requests holds the requests of the flows that this daemon is home of. It is
// safe for concurrent use: each shard has a mutex, no two are held at once.
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

// admit decides whether a call of a CoAP service may go to its upstream.
func (e *Engine) admit(w *packetWork, rec *Record) Cause {
	m := &w.p.CoAP
	if w.service.Protocol != bundle.ProtocolCoAP || !m.IsRequest() {
		return CauseNone
	}
	if rec.State == StateFirm && !m.IsIdempotent() && w.mayRunElsewhere(rec) {
		// An earlier record of the flow may be lost, and with it the upstream to
		// which this request went before: running it here could be the second run.
		return e.unknown(w)
	}
	if rec.State == StateTentative && rec.Flags&RecordUnsure != 0 && !m.IsIdempotent() {
		// Those who are asked next decide: it goes on only to an upstream that had
		// the flow before.
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
		if found && (r.State == RequestFeed || r.Message.MessageID == m.MessageID) {
			r.Seen = w.now
			return true
		}
		if found {
			e.leave(r)
		}
		if placed && reachable && load.Requests.Load() >= limit && e.isFirstCopy(w) {
			cause = CauseRefused
			return false
		}
		*r = Request{
			Upstream: rec.Upstream,
			Deadline: w.now.Add(w.service.Deadline),
			Opened:   w.now,
			Seen:     w.now,
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
		// The caller may reach the upstream's side of the cut with its next copy. If
		// not, it is told at the deadline.
		return CauseUnreachable
	}
	return CauseNone
}

// isFirstCopy reports whether a request that isn't known here was surely not let
// through before. While members change, a caller's first copy may have gone
// through another home, and "not run" would not be true of the next one.
func (e *Engine) isFirstCopy(w *packetWork) bool {
	pausedUntil := Seconds(e.fence.Load()) + Seconds(MaxTransmitSpan/time.Second)
	return !w.view.RepeatsPossible && (e.fence.Load() == 0 || w.seconds > pausedUntil)
}

// mayRunElsewhere reports whether the caller may have sent this request before,
// to the upstream of a lost record or to the other side of a cut.
func (w *packetWork) mayRunElsewhere(rec *Record) bool {
	if rec.Flags&RecordUnsure == 0 {
		return false
	}
	if w.view.OwnerMayBeUnreachable(w.hash) {
		return true
	}
	return time.Duration(unixSeconds(w.now)-rec.Placed)*time.Second < MaxTransmitSpan
}

// letGo frees what a request holds at its upstream.
func (e *Engine) letGo(r *Request) {
	if r.holdsSlot {
		r.holdsSlot = false
		e.Loads.Load(r.Upstream).Requests.Add(-1)
	}
}

// leave notes that a request isn't open any more.
func (e *Engine) leave(r *Request) {
	e.letGo(r)
	if r.State == RequestOpen {
		e.Requests.open.Add(-1)
	}
}

// answered decides whether an answer of the flow's upstream may go to the caller.
func (e *Engine) answered(w *packetWork, rec *Record) Cause {
	m := &w.p.CoAP
	if w.service.Protocol != bundle.ProtocolCoAP || !m.IsResponse() {
		return CauseNone
	}
	cause := CauseNone
	k := requestKey{flow: w.key, token: m.Token}
	e.Requests.update(&k, w.hash, func(r *Request, found bool) bool {
		if !found {
			// A home that took the flow over doesn't know the requests from before;
			// the upstream that holds the flow is then all there is to check.
			if rec.Flags&RecordLocal != 0 && !w.view.RecentlyChanged {
				cause = CauseTokenNotOpen
			}
			return false
		}
		cause = e.settle(w, r)
		return true
	})
	return cause
}

func (e *Engine) settle(w *packetWork, r *Request) Cause {
	m := &w.p.CoAP
	r.Seen = w.now
	e.leave(r)
	switch r.State {
	case RequestExpired:
		return CauseTokenNotOpen
	case RequestAnswered:
		if r.AnswerID != m.MessageID {
			return CauseTokenNotOpen
		}
	case RequestOpen, RequestFeed:
		r.State = RequestAnswered
		r.AnswerID = m.MessageID
		if m.HasObserve {
			r.State = RequestFeed
		}
	}
	return CauseNone
}

// mayHaveRun reports whether the packet is a request that must not run twice.
func (w *packetWork) mayHaveRun() bool {
	return w.service.Protocol == bundle.ProtocolCoAP && w.p.CoAP.IsRequest() && !w.p.CoAP.IsIdempotent()
}

// expire answers requests whose deadline has passed and forgets old ones.
func (e *Engine) expire(now time.Time, shard int, out []Output) []Output {
	s := &e.Requests.shards[shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	view := e.view.Load()
	for k, r := range s.m {
		home := view.Owner(k.flow.Hash())
		switch {
		case home != nil && home.ID != e.self:
			// Another daemon is home now and lets the answer through.
			e.leave(&r)
			delete(s.m, k)
		case e.beforeFence(&r):
			// While this process was paused, others were home: the answer has gone
			// past it, and the slot would stay taken for nothing. If there was no
			// answer, the caller's repetition opens the request again.
			e.leave(&r)
			delete(s.m, k)
		case r.State == RequestOpen && now.After(r.Deadline):
			out = e.expired(&k, &r, out)
			e.Requests.open.Add(-1)
			r.State = RequestExpired
			r.Deadline, r.Seen = now.Add(r.Deadline.Sub(r.Opened)), now
			s.m[k] = r
		case r.State != RequestOpen && now.Sub(r.Seen) > e.keepFor(&k, &r):
			e.letGo(&r)
			delete(s.m, k)
		}
	}
	return out
}

// beforeFence reports whether a request was last seen before a pause of this process.
func (e *Engine) beforeFence(r *Request) bool {
	return uint32(e.seconds(r.Seen))+1 < e.fence.Load()
}

// keepFor is how long a request is kept after its last packet. One that expired
// holds its slot as long again as its deadline was: its upstream may still work
// on it, but gives it up as well.
func (e *Engine) keepFor(k *requestKey, r *Request) time.Duration {
	t := e.routing.Load()
	if r.State == RequestFeed && t != nil {
		if s := t.Service(k.flow.VNI()); s != nil {
			return s.IdleTimeout
		}
	}
	if r.State == RequestExpired {
		return r.Deadline.Sub(r.Seen)
	}
	return MaxTransmitSpan
}

// expired answers a request that got no answer in time: it may have run.
func (e *Engine) expired(k *requestKey, r *Request, out []Output) []Output {
	w := packetWork{out: out, hash: k.flow.Hash(), p: &Packet{}}
	w.p.Header.VNI = k.flow.VNI()
	w.p.Header.EtherType = etherTypeOf(k.flow.CallerAddr().Addr())
	w.p.IP.Src, w.p.IP.Dst = k.flow.CallerAddr(), k.flow.ServiceAddr()
	w.p.CoAP = r.Message
	// The upstream may have acknowledged the message already, so the answer is a
	// separate one.
	w.p.CoAP.Type = message.NonConfirmable
	e.Counters.Drops[e.unknown(&w)].Add(1)
	return w.out
}
