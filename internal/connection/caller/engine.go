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

// Packet is a decoded packet with where it came from.
type Packet struct {
	// From is the sender's address; its port only spreads flows.
	From   netip.Addr
	Header geneve.Header
	IP     ip.Packet
	// Inner is the packet as the caller or upstream sent it.
	Inner []byte
	// CoAP is set for packets of a CoAP service.
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
	// Fabrics are the addresses from which the fabric sends callers' packets and
	// to which answers go.
	Fabrics []netip.AddrPort
	// Policy chooses upstreams; LeastLoaded if nil.
	Policy upstream.Policy
	// Start is the time from which records count their seconds.
	Start time.Time
	// Lease is for how long the daemon may go on without looking at the clock
	// before it must ask others about its records.
	Lease time.Duration
}

// DefaultLease is shorter than the time in which others replace a silent daemon.
const DefaultLease = time.Second

// Engine decides for each packet of each flow. It has no socket and no clock:
// the time comes with the packet. It is safe for concurrent use.
type Engine struct {
	self    peer.ID
	fabrics []netip.AddrPort
	policy  upstream.Policy
	start   time.Time
	lease   time.Duration

	view    atomic.Pointer[numberedView]
	routing atomic.Pointer[bundle.Routing]
	// awake is when the daemon last saw its clock, in nanoseconds since start.
	awake atomic.Int64
	// fence is the time before which requests are forgotten.
	fence atomic.Uint32
	// pauses counts the pauses of the process. Records from before the last one
	// must be confirmed by others.
	pauses atomic.Uint32

	Flows    *Table
	Requests *Requests
	Loads    *upstream.LoadTable
	Counters Counters
}

// numberedView is a view with the number by which records refer to it.
type numberedView struct {
	*peer.View
	// number is never zero, which stands for no view.
	number uint8
	// previous is the view before, or nil.
	previous *peer.View
}

// Counters count what the engine did. All are safe for concurrent use.
type Counters struct {
	Drops [NumCauses]atomic.Uint64
	// Placed counts flows given an upstream, Learned records taken from others.
	Placed, Learned, Forwarded, Queried atomic.Uint64
	// Adopted counts flows whose lost record was made again from an answer.
	Adopted atomic.Uint64
	// Conflicts counts records that contradicted one already held.
	Conflicts atomic.Uint64
	// Pauses counts the pauses after which records had to be confirmed.
	Pauses atomic.Uint64
	Ended  atomic.Uint64
}

// NewEngine returns an engine that knows no bundle and only itself.
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

// SetView puts a view of the members in force.
func (e *Engine) SetView(v *peer.View) {
	next := &numberedView{View: v, number: 1}
	if old := e.view.Load(); old != nil {
		next.previous = old.View
		next.number = max(1, old.number+1)
	}
	e.view.Store(next)
}

// View returns the view in force.
func (e *Engine) View() *peer.View { return e.view.Load().View }

// SetRouting puts a bundle's routing in force.
func (e *Engine) SetRouting(t *bundle.Routing) { e.routing.Store(t) }

// Routing returns the routing in force, or nil.
func (e *Engine) Routing() *bundle.Routing { return e.routing.Load() }

// DetectPause tells the engine that the daemon sees its clock. A gap longer than the
// lease means that the process was paused: others may have taken it for dead
// and decided without it. Everything that it knew from before must then be
// confirmed by another holder before it is used, or a flow that was placed
// again meanwhile would go to two upstreams.
func (e *Engine) DetectPause(now time.Time) {
	at := now.Sub(e.start)
	last := time.Duration(e.awake.Swap(int64(at)))
	if last != 0 && at-last > e.lease {
		e.pauses.Add(1)
		e.fence.Store(uint32(e.seconds(now)) + 1)
		e.Counters.Pauses.Add(1)
	}
}

func (e *Engine) seconds(now time.Time) Seconds {
	return Seconds(now.Sub(e.start) / time.Second)
}

// packetWork is the state of one decision: what was looked up for the packet.
type packetWork struct {
	now     time.Time
	seconds Seconds
	view    *numberedView
	routing *bundle.Routing
	service *bundle.ServiceRoute
	p       *Packet
	key     Key
	hash    peer.FlowHash
	answer  bool
	out     []Output
}

// Handle decides what to do with a packet and appends what is to be sent to
// out. A cause other than CauseNone says why the packet itself wasn't passed on.
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
	case geneve.KindLearn:
		return e.learn(w)
	case geneve.KindAsk:
		return e.holder(w)
	case geneve.KindChoose:
		return e.placer(w)
	case geneve.KindChosen:
		return e.chosen(w)
	case geneve.KindRefresh:
		return e.refreshed(w)
	case geneve.KindPropose:
		e.copyProposal(w)
		return CauseNone
	default:
		return e.route(w)
	}
}

// classify finds the packet's direction from its sender.
func (e *Engine) classify(w *packetWork) Cause {
	hop := &w.p.Header.Hop
	if hop.Kind != geneve.KindNone {
		// The tag was checked, so a member sent this, though perhaps one that this
		// daemon doesn't know yet or takes for dead. Its packets are flows' packets:
		// dropping them would break flows whenever two views differ.
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
		return CauseStranger
	}
	// The sender's service must be the packet's, or an upstream could answer for
	// another service by writing its VNI.
	if u.Service != w.service {
		return CauseWrongService
	}
	w.answer = true
	hop.Upstream = u.ID
	return CauseNone
}

// checkService refuses a packet whose address isn't of the service that its VNI
// names: a stale table or a reused address must not carry it to another service.
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

// maxHops ends a packet that daemons with different views pass back and forth.
const maxHops = 8

// route takes a packet to its home. A daemon that holds a firm record acts as
// home even if the view says otherwise: a flow's upstream never changes.
func (e *Engine) route(w *packetWork) Cause {
	home := w.view.Owner(w.hash)
	if home == nil || home.ID == e.self || e.hasFirm(w) {
		return e.home(w)
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
	w.send(home.Data, h, w.p.Inner)
	return CauseNone
}

func (e *Engine) hasFirm(w *packetWork) bool {
	if w.p.Header.Hop.Kind == geneve.KindNone {
		return false
	}
	r, ok := e.Flows.Get(&w.key, w.hash)
	return ok && r.State == StateFirm && !e.fenced(&r)
}

// fenced reports whether a record is from before a pause of this process.
func (e *Engine) fenced(r *Record) bool {
	return r.Pauses != uint8(e.pauses.Load())
}

// holds notes that a record is known to hold now.
func (e *Engine) holds(r *Record) {
	r.Pauses = uint8(e.pauses.Load())
}

func (w *packetWork) send(to netip.AddrPort, h geneve.Header, inner []byte) {
	w.out = append(w.out, Output{To: to, Header: h, Inner: inner})
}

// plain returns the header of a packet that leaves the daemons.
func (w *packetWork) plain() geneve.Header {
	return geneve.Header{VNI: w.p.Header.VNI, EtherType: w.p.Header.EtherType}
}

// deliver sends a call to the upstream or an answer to the fabric.
func (e *Engine) deliver(w *packetWork, id bundle.UpstreamID) Cause {
	if w.answer {
		return e.toCaller(w, w.p.Inner)
	}
	u := w.routing.Upstream(id)
	if u == nil || u.Service != w.service {
		return CauseUpstreamGone
	}
	w.send(u.Address, w.plain(), w.p.Inner)
	return CauseNone
}

// toCaller sends a packet to the fabric. Flows are spread over its addresses.
func (e *Engine) toCaller(w *packetWork, inner []byte) Cause {
	if len(e.fabrics) == 0 {
		return CauseStranger
	}
	w.send(e.fabrics[uint64(w.hash)%uint64(len(e.fabrics))], w.plain(), inner)
	return CauseNone
}

// IsCoAP reports whether a VNI is that of a CoAP service.
func (e *Engine) IsCoAP(v bundle.VNI) bool {
	t := e.routing.Load()
	if t == nil {
		return false
	}
	s := t.Service(v)
	return s != nil && s.Protocol == bundle.ProtocolCoAP
}
