package emulator

import (
	"encoding/binary"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
)

// flow is a caller's end of a flow.
type flow struct {
	w        *play
	zone     *zone
	class    *class
	key      cookie.Key
	cookie   cookie.Cookie
	seq, ack uint32
	// server holds the flow, in one incarnation.
	server *server
	life   int
	opened bool
	closed bool
	// try is the request in progress.
	try *try
}

// open opens a flow for a try.
func (w *play) open(t *try) {
	w.result.flows++
	n := w.result.flows
	f := &flow{w: w, zone: t.request.zone, class: t.request.class, try: t, seq: 1, ack: 1}
	t.flow = f
	at := routeAddress(f.class.index)
	f.key = cookie.Key{ServiceIP: at.Addr().As4(), ServicePort: at.Port(), CallerPort: uint16(n)}
	binary.BigEndian.PutUint32(f.key.CallerIP[:], 100<<24|64<<16|n>>16)
	w.byKey[f.key] = f
	for i, d := range [...]time.Duration{0, firstCopy, secondCopy} {
		w.after(d, func() {
			if !f.opened && !f.closed {
				f.send(cookie.Packet{Flags: cookie.FlagSYN, Copy: uint32(i)})
			}
		})
	}
	w.after(openWithin, func() {
		if !f.opened {
			f.reset()
		}
	})
}

// flow returns the flow of a key, nil if it is over.
func (w *play) flow(k cookie.Key) *flow { return w.byKey[k] }

// send sends a packet by the host that the zone's router picks now.
func (f *flow) send(p cookie.Packet) {
	p.Key, p.Cookie = f.key, f.cookie
	h := f.zone.router.pick(f.key)
	f.w.after(time.Duration(f.w.pattern.Delays.Caller), func() { h.receive(f, p) })
}

// accepted takes in an upstream's answer to a first packet. The flow opens at the first one.
func (f *flow) accepted(s *server, life int) {
	if f.opened || f.closed || s.dark || s.life != life {
		return
	}
	f.opened, f.server, f.life = true, s, life
	f.cookie = cookie.Of(s.id)
	s.flows[f] = true
	if f.try != nil && !f.try.request.done {
		f.try.send(f)
		return
	}
	f.send(cookie.Packet{Flags: cookie.FlagACK, Seq: f.seq, Ack: f.ack})
	f.rest()
}

// rest keeps a flow open for the next request, or closes it if there are enough.
func (f *flow) rest() {
	p := f.class.pools[f.zone.index]
	if !f.class.Long || p.open > f.zone.Flows || f.server != nil && f.server.draining {
		f.send(cookie.Packet{Flags: cookie.FlagACK | cookie.FlagFIN, Seq: f.seq, Ack: f.ack})
		f.close()
		return
	}
	p.idle = append(p.idle, f)
}

// close ends the flow.
func (f *flow) close() {
	if f.closed {
		return
	}
	f.closed = true
	delete(f.w.byKey, f.key)
	f.class.pools[f.zone.index].open--
	if f.server != nil {
		delete(f.server.flows, f)
	}
}

// reset ends the flow by the word of a balancer or its upstream. What was asked on it may
// have run, unless the flow hadn't opened.
func (f *flow) reset() {
	if f.closed {
		return
	}
	t := f.try
	opened := f.opened
	f.close()
	if t == nil || t.over {
		return
	}
	t.over = true
	if !t.request.done {
		t.request.again(!opened, outcomeFailed)
	}
}
