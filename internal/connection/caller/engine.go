package caller

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/request/coap"
	"github.com/fescueshed/fescueshed/internal/request/ip"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Packet is a decoded packet with the address of its sender.
type Packet struct {
	// From is the sender's address. Its port isn't kept, because it serves only to
	// spread flows.
	From   netip.Addr
	Header geneve.Header
	IP     ip.Packet
	// Inner is the packet as the caller or the upstream sent it.
	Inner []byte
	// CoAP is the message in a packet of a CoAP service.
	CoAP coap.Message
}

// Output is a packet to send. Inner may alias the packet that was handled.
type Output struct {
	To     netip.AddrPort
	Header geneve.Header
	Inner  []byte
}

// Options are the settings of an Engine.
type Options struct {
	// Self identifies this daemon.
	Self peer.ID
	// Fabrics are the addresses from which the fabric sends callers' packets and to
	// which answers are sent.
	Fabrics []netip.AddrPort
	// Policy chooses upstreams for new flows. The default is LeastLoaded.
	Policy upstream.Policy
	// Start is the time from which records count their seconds.
	Start time.Time
	// Lease is how long the daemon may run without checking the clock before it must
	// ask other members to confirm its records. The default is DefaultLease.
	Lease time.Duration
}

// DefaultLease is shorter than the time after which other members take over from a
// silent daemon.
const DefaultLease = time.Second

// Engine decides what to do with each packet of each flow. It has no socket and no
// clock: the time is passed in with each packet. It is safe for concurrent use.
type Engine struct {
	self    peer.ID
	fabrics []netip.AddrPort
	policy  upstream.Policy
	start   time.Time
	lease   time.Duration

	view    atomic.Pointer[numberedView]
	routing atomic.Pointer[bundle.Routing]
	// lastTick is when DetectPause was last called, in nanoseconds since start.
	lastTick atomic.Int64
	// resumedAt is one more than the second in which the last pause was detected, in
	// seconds since start, or zero if there was none. Requests that were last seen
	// before that second are discarded.
	resumedAt atomic.Uint32
	// pauses counts the pauses of this process. A record from before the last pause
	// must be confirmed by other members before it is used.
	pauses atomic.Uint32

	Flows    *Table
	Requests *Requests
	Loads    *upstream.LoadTable
	Counters Counters
}

// numberedView is a view of the members with the number by which records refer to it.
type numberedView struct {
	*peer.View
	// number is never zero; records use zero for no view. It wraps.
	number uint8
	// previous is the view that this one replaced, or nil.
	previous *peer.View
}

// Counters count what the engine did. They are safe for concurrent use.
type Counters struct {
	Drops [NumCauses]atomic.Uint64
	// Placed counts flows that were given an upstream, Learned records that other
	// members sent, Forwarded packets sent on to the flow's owner, and Queried packets
	// sent through the members that may hold the flow's record.
	Placed, Learned, Forwarded, Queried atomic.Uint64
	// Adopted counts flows whose lost record was rebuilt from an answer.
	Adopted atomic.Uint64
	// Conflicts counts received records that contradicted the record held here.
	Conflicts atomic.Uint64
	// Pauses counts the pauses of this process after which records had to be confirmed.
	Pauses atomic.Uint64
	// Ended counts flows that were closed, were idle for too long or lost their service.
	Ended atomic.Uint64
}

// NewEngine returns an engine without a bundle whose view has no other members.
func NewEngine(o Options) *Engine {
	e := &Engine{
		self:     o.Self,
		fabrics:  o.Fabrics,
		policy:   o.Policy,
		start:    o.Start,
		lease:    o.Lease,
		Flows:    NewTable(),
		Requests: NewRequests(),
		Loads:    upstream.NewLoadTable(),
	}
	if e.policy == nil {
		e.policy = upstream.LeastLoaded{}
	}
	if e.lease == 0 {
		e.lease = DefaultLease
	}
	e.SetView(peer.NewView(o.Self, nil, peer.Changes{}))
	return e
}

// SetView sets the view of the members to use from now on.
func (e *Engine) SetView(v *peer.View) {
	next := &numberedView{View: v, number: 1}
	if old := e.view.Load(); old != nil {
		next.previous = old.View
		next.number = max(1, old.number+1)
	}
	e.view.Store(next)
}

// View returns the current view of the members.
func (e *Engine) View() *peer.View { return e.view.Load().View }

// SetRouting sets the routing of a bundle to use from now on.
func (e *Engine) SetRouting(t *bundle.Routing) { e.routing.Store(t) }

// Routing returns the current routing, or nil if there is no bundle yet.
func (e *Engine) Routing() *bundle.Routing { return e.routing.Load() }

// DetectPause compares the current time with that of its previous call. A gap longer
// than the lease means that the process was paused: other members may have taken it for
// dead and decided without it. All records from before the pause must then be confirmed
// by another member that holds them before they are used; otherwise a flow that was
// placed again in the meantime would be sent to two upstreams.
func (e *Engine) DetectPause(now time.Time) {
	at := now.Sub(e.start)
	last := time.Duration(e.lastTick.Swap(int64(at)))
	if last != 0 && at-last > e.lease {
		e.pauses.Add(1)
		e.resumedAt.Store(uint32(e.seconds(now)) + 1)
		e.Counters.Pauses.Add(1)
	}
}

func (e *Engine) seconds(now time.Time) Seconds {
	return Seconds(now.Sub(e.start) / time.Second)
}

// packetWork is the state of the decision on one packet: the packet and what was looked
// up for it.
type packetWork struct {
	now     time.Time
	seconds Seconds
	view    *numberedView
	routing *bundle.Routing
	service *bundle.ServiceRoute
	p       *Packet
	key     Key
	hash    peer.FlowHash
	// answer is set if the packet goes from an upstream to the caller.
	answer bool
	out    []Output
}

// Handle decides what to do with a packet and appends the packets to send to out. A
// cause other than CauseNone says why the packet itself wasn't forwarded.
func (e *Engine) Handle(now time.Time, p *Packet, out []Output) ([]Output, Cause) {
	w := packetWork{
		now:     now,
		seconds: e.seconds(now),
		view:    e.view.Load(),
		routing: e.routing.Load(),
		p:       p,
		out:     out,
	}
	cause := e.handle(&w)
	if cause != CauseNone {
		e.Counters.Drops[cause].Add(1)
	}
	return w.out, cause
}

func (e *Engine) handle(w *packetWork) Cause {
	if w.routing == nil {
		return CauseNoBundle
	}
	if w.service = w.routing.Service(w.p.Header.VNI); w.service == nil {
		return CauseWrongService
	}
	if cause := e.classify(w); cause != CauseNone {
		return cause
	}
	if cause := w.checkService(); cause != CauseNone {
		return cause
	}
	w.key = KeyOf(w.p.Header.VNI, &w.p.IP, w.answer)
	w.hash = w.key.Hash()
	switch w.p.Header.Hop.Kind {
	case geneve.KindReplicate:
		return e.handleReplicate(w)
	case geneve.KindQuery:
		return e.handleQuery(w)
	case geneve.KindPlacementRequest:
		return e.handlePlacementRequest(w)
	case geneve.KindPlacementReply:
		return e.handlePlacementReply(w)
	case geneve.KindRefresh:
		return e.handleRefresh(w)
	case geneve.KindPropose:
		e.storeProposal(w)
		return CauseNone
	default:
		return e.route(w)
	}
}

// classify determines the packet's direction from its sender.
func (e *Engine) classify(w *packetWork) Cause {
	hop := &w.p.Header.Hop
	if hop.Kind != geneve.KindNone {
		// The tag was verified, so a member sent this packet, though perhaps one that
		// this daemon doesn't know yet or takes for dead. Such a packet belongs to a
		// flow like any other: dropping it would break flows whenever the views of two
		// members differ.
		w.answer = hop.Has(geneve.FlagAnswer)
		return CauseNone
	}
	for _, f := range e.fabrics {
		if f.Addr() == w.p.From {
			return CauseNone
		}
	}
	u := w.routing.UpstreamAt(w.p.From)
	if u == nil {
		return CauseUnknownSender
	}
	// The sender must belong to the packet's service. Otherwise an upstream could
	// answer for another service by writing that service's VNI.
	if u.Service != w.service {
		return CauseWrongService
	}
	w.answer = true
	hop.Upstream = u.ID
	return CauseNone
}

// checkService rejects a packet whose service address doesn't belong to the service of
// its VNI: an outdated table or a reused address must not route it to another service.
func (w *packetWork) checkService() Cause {
	at := w.p.IP.Dst
	if w.answer {
		at = w.p.IP.Src
	}
	if _, ok := w.service.Addresses[at]; !ok {
		return CauseWrongService
	}
	if (w.service.Protocol == bundle.ProtocolTCP) != (w.p.IP.Protocol == ip.ProtocolTCP) {
		return CauseWrongService
	}
	return CauseNone
}

// maxHops is how many times daemons may forward a packet to each other before it is
// dropped. Without this limit, daemons with different views could send it back and
// forth endlessly.
const maxHops = 8

// route forwards a packet to its flow's owner. A daemon that holds a committed record
// acts as the owner even if another member is the owner in its view, because a flow's
// upstream never changes.
func (e *Engine) route(w *packetWork) Cause {
	owner := w.view.Owner(w.hash)
	if owner == nil || owner.ID == e.self || e.hasCommitted(w) {
		return e.handleAsOwner(w)
	}
	hop := &w.p.Header.Hop
	if hop.Count >= maxHops {
		return CauseTooManyHops
	}
	h := w.p.Header
	h.Hop.Kind = geneve.KindForward
	h.Hop.Count++
	if w.answer {
		h.Hop.Flags |= geneve.FlagAnswer
	}
	e.Counters.Forwarded.Add(1)
	w.send(owner.Data, h, w.p.Inner)
	return CauseNone
}

// hasCommitted reports whether this daemon holds a committed record for a packet that
// another member sent.
func (e *Engine) hasCommitted(w *packetWork) bool {
	if w.p.Header.Hop.Kind == geneve.KindNone {
		return false
	}
	r, ok := e.Flows.Get(&w.key, w.hash)
	return ok && r.State == StateCommitted && !e.predatesPause(&r)
}

// predatesPause reports whether the record was last known to be valid before the last
// pause of this process.
func (e *Engine) predatesPause(r *Record) bool {
	return r.PauseCount != uint8(e.pauses.Load())
}

// markValid notes that the record is known to be valid at present.
func (e *Engine) markValid(r *Record) {
	r.PauseCount = uint8(e.pauses.Load())
}

// send appends a packet to those to send.
func (w *packetWork) send(to netip.AddrPort, h geneve.Header, inner []byte) {
	w.out = append(w.out, Output{To: to, Header: h, Inner: inner})
}

// headerWithoutHop returns the header for a packet that is sent to an upstream or to
// the fabric.
func (w *packetWork) headerWithoutHop() geneve.Header {
	return geneve.Header{VNI: w.p.Header.VNI, EtherType: w.p.Header.EtherType}
}

// deliver sends a call to the upstream id and an answer to the fabric.
func (e *Engine) deliver(w *packetWork, id bundle.UpstreamID) Cause {
	if w.answer {
		return e.sendToCaller(w, w.p.Inner)
	}
	u := w.routing.Upstream(id)
	if u == nil || u.Service != w.service {
		return CauseUpstreamRemoved
	}
	w.send(u.Address, w.headerWithoutHop(), w.p.Inner)
	return CauseNone
}

// sendToCaller sends a packet to the fabric. It spreads flows over the fabric's
// addresses by their hash.
func (e *Engine) sendToCaller(w *packetWork, inner []byte) Cause {
	if len(e.fabrics) == 0 {
		return CauseUnknownSender
	}
	w.send(e.fabrics[uint64(w.hash)%uint64(len(e.fabrics))], w.headerWithoutHop(), inner)
	return CauseNone
}

// IsCoAP reports whether a VNI belongs to a CoAP service.
func (e *Engine) IsCoAP(v bundle.VNI) bool {
	t := e.routing.Load()
	if t == nil {
		return false
	}
	s := t.Service(v)
	return s != nil && s.Protocol == bundle.ProtocolCoAP
}
