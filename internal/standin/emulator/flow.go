package emulator

import (
	"encoding/binary"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
)

// flow is the caller's side of a flow.
type flow struct {
	sim   *simulation
	zone  *zone
	class *class
	key   cookie.Key
	// caller is the number of the caller's address in its zone, if Zone.Callers isn't zero.
	caller   int
	cookie   cookie.Cookie
	seq, ack uint32
	// server is the upstream of the flow, incarnation that of the upstream when it accepted the
	// flow.
	server      *server
	incarnation int
	opened      bool
	closed      bool
	// abandoned says that the caller doesn't use the flow any more and hasn't closed it.
	abandoned bool
	// attempt is the attempt in progress, nil if the flow is idle.
	attempt *attempt
}

// openFlow starts to open a flow for an attempt.
func (sim *simulation) openFlow(t *attempt) {
	f := &flow{
		sim: sim, zone: t.request.zone, class: t.request.class, caller: t.request.caller, attempt: t, seq: 1, ack: 1,
	}
	t.flow = f
	f.key = sim.makeKey(f)
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

// makeKey returns the addresses and ports of a new flow. The flows of a caller have consecutive
// ports.
func (sim *simulation) makeKey(f *flow) cookie.Key {
	at := routeAddress(f.class.index)
	k := cookie.Key{ServiceIP: at.Addr().As4(), ServicePort: at.Port()}
	sim.result.flowCount++
	if f.zone.Callers == 0 {
		n := sim.result.flowCount
		k.CallerPort = uint16(n)
		binary.BigEndian.PutUint32(k.CallerIP[:], 100<<24|64<<16|n>>16)
		return k
	}
	f.zone.lastPorts[f.caller]++
	k.CallerPort = f.zone.lastPorts[f.caller]
	binary.BigEndian.PutUint32(k.CallerIP[:], 100<<24|uint32(65+f.zone.index)<<16|uint32(f.caller))
	return k
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

// acknowledgeRejection acknowledges the answer with which the upstream rejected a request, and
// closes the flow if the caller doesn't keep it open.
func (f *flow) acknowledgeRejection(keepsOpen bool) {
	n := f.class.service.RejectionBytes
	if n == 0 {
		return
	}
	f.ack += uint32(n)
	flags := cookie.FlagACK
	if !keepsOpen {
		flags |= cookie.FlagFIN
	}
	f.send(cookie.Packet{Flags: flags, Seq: f.seq, Ack: f.ack})
}

// abandon leaves the flow open without using it again. The upstream closes it after its idle
// timeout.
func (f *flow) abandon() {
	f.abandoned = true
	f.class.pools[f.zone.index].size--
	f.sim.after(f.class.service.idleTimeout(), func() {
		if !f.closed {
			f.send(cookie.Packet{Flags: cookie.FlagACK | cookie.FlagFIN, Seq: f.seq, Ack: f.ack})
			f.close()
		}
	})
}

// close closes the flow.
func (f *flow) close() {
	if f.closed {
		return
	}
	f.closed = true
	delete(f.sim.openFlows, f.key)
	if !f.abandoned {
		f.class.pools[f.zone.index].size--
	}
	if f.server != nil {
		delete(f.server.flows, f)
	}
}

// resetOverLimit handles the reset of a first packet by an upstream at its connection limit.
func (f *flow) resetOverLimit() {
	if f.opened || f.closed {
		return // A copy of the first packet reached another upstream.
	}
	f.class.result().OverLimit++
	f.resetWith(outcomeRefused)
}

// reset closes the flow after a reset from a balancer or its upstream. A request that was sent on
// it may have run, unless the flow wasn't open yet.
func (f *flow) reset() { f.resetWith(outcomeFailed) }

// resetWith is reset with the outcome of the request if it isn't retried.
func (f *flow) resetWith(last outcome) {
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
		t.request.retry(!opened, last)
	}
}
