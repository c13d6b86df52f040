package emulator

import (
	"encoding/binary"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
)

// flow is the caller's side of a flow.
type flow struct {
	sim      *simulation
	zone     *zone
	class    *class
	key      cookie.Key
	cookie   cookie.Cookie
	seq, ack uint32
	// server is the upstream of the flow, incarnation that of the upstream when it accepted the
	// flow.
	server      *server
	incarnation int
	opened      bool
	closed      bool
	// attempt is the attempt in progress, nil if the flow is idle.
	attempt *attempt
}

// openFlow starts to open a flow for an attempt.
func (sim *simulation) openFlow(t *attempt) {
	sim.result.flowCount++
	n := sim.result.flowCount
	f := &flow{sim: sim, zone: t.request.zone, class: t.request.class, attempt: t, seq: 1, ack: 1}
	t.flow = f
	at := routeAddress(f.class.index)
	f.key = cookie.Key{ServiceIP: at.Addr().As4(), ServicePort: at.Port(), CallerPort: uint16(n)}
	binary.BigEndian.PutUint32(f.key.CallerIP[:], 100<<24|64<<16|n>>16)
	sim.openFlows[f.key] = f
	for i, d := range [...]time.Duration{0, firstRetransmit, secondRetransmit} {
		sim.after(d, func() {
			if !f.opened && !f.closed {
				f.send(cookie.Packet{Flags: cookie.FlagSYN, Copy: uint32(i)})
			}
		})
	}
	sim.after(openTimeout, func() {
		if !f.opened {
			f.reset()
		}
	})
}

// flowByKey returns the flow with a key, or nil if it is closed.
func (sim *simulation) flowByKey(k cookie.Key) *flow { return sim.openFlows[k] }

// send sends a packet through the host that the zone's router picks now.
func (f *flow) send(p cookie.Packet) {
	p.Key, p.Cookie = f.key, f.cookie
	h := f.zone.router.pick(f.key)
	f.sim.after(time.Duration(f.sim.pattern.Delays.Caller), func() { h.receive(f, p) })
}

// accepted handles an upstream's answer to a first packet. The first answer opens the flow, later
// ones are ignored.
func (f *flow) accepted(s *server, incarnation int) {
	if f.opened || f.closed || s.silent || s.incarnation != incarnation {
		return
	}
	f.opened, f.server, f.incarnation = true, s, incarnation
	f.cookie = cookie.Of(s.id)
	s.flows[f] = true
	if f.attempt != nil && !f.attempt.request.done {
		f.attempt.send(f)
		return
	}
	f.send(cookie.Packet{Flags: cookie.FlagACK, Seq: f.seq, Ack: f.ack})
	f.release()
}

// release keeps a flow open for the next request. It closes the flow if its class opens one flow
// per request, if the pool has enough flows, or if the upstream drains.
func (f *flow) release() {
	p := f.class.pools[f.zone.index]
	if !f.class.Long || p.size > f.zone.Flows || f.server != nil && f.server.draining {
		f.send(cookie.Packet{Flags: cookie.FlagACK | cookie.FlagFIN, Seq: f.seq, Ack: f.ack})
		f.close()
		return
	}
	p.idle = append(p.idle, f)
}

// close closes the flow.
func (f *flow) close() {
	if f.closed {
		return
	}
	f.closed = true
	delete(f.sim.openFlows, f.key)
	f.class.pools[f.zone.index].size--
	if f.server != nil {
		delete(f.server.flows, f)
	}
}

// reset closes the flow after a reset from a balancer or its upstream. A request that was sent on
// it may have run, unless the flow wasn't open yet.
func (f *flow) reset() {
	if f.closed {
		return
	}
	t := f.attempt
	opened := f.opened
	f.close()
	if t == nil || t.ended {
		return
	}
	t.ended = true
	if !t.request.done {
		t.request.retry(!opened, outcomeFailed)
	}
}
