package emulator

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// server emulates an upstream.
type server struct {
	sim     *simulation
	service *Service
	zone    *zone
	id      bundle.UpstreamID
	address netip.AddrPort
	// silent says that the upstream neither receives nor sends anything, deregistered that its
	// registration was removed, draining that its flows close after their next answer.
	silent, deregistered, draining bool
	// leaving says that EventRemove removes the upstream.
	leaving bool
	// incarnation is the number of starts so far, so that what was scheduled by an earlier one is
	// discarded.
	incarnation int
	// startedAt is when the incarnation started, warmupStart when its last warm-up began.
	startedAt, warmupStart time.Duration
	warmup                 time.Duration
	revision               objects.Position
	flows                  map[*flow]bool
	working                int
	queue                  []*attempt
	// arrivals counts requests that arrived, shed those that were rejected.
	arrivals, shed int
}

// Times of a registration, as in the users' installations.
const (
	// registrationTTL is the time until the registration of an upstream that fell silent expires.
	registrationTTL = 3600 * time.Millisecond
	// drainDuration is how long a draining upstream continues to serve.
	drainDuration = 4 * time.Second
)

// start begins a new incarnation, which is slow for the duration of warmup.
func (s *server) start(warmup time.Duration) {
	s.incarnation++
	s.silent, s.deregistered = false, false
	s.startedAt, s.warmupStart, s.warmup = s.sim.now, s.sim.now, warmup
	s.working, s.queue = 0, nil
	s.flows = make(map[*flow]bool)
	s.sim.announceServers([]*server{s}, false)
}

// restartWarmup makes the upstream slow again, without a new incarnation.
func (s *server) restartWarmup() {
	s.warmupStart, s.warmup = s.sim.now, time.Duration(s.service.Warmup)
	s.sim.announceServers([]*server{s}, false)
}

// crash ends the incarnation without notice. The registration expires after registrationTTL.
func (s *server) crash() {
	s.silent = true
	for f := range s.flows {
		f.server = nil
	}
	incarnation := s.incarnation
	s.sim.after(registrationTTL, func() {
		if s.silent && s.incarnation == incarnation {
			s.deregister()
		}
	})
}

// deregister removes the registration and stops the upstream.
func (s *server) deregister() {
	s.silent, s.deregistered = true, true
	s.sim.announceServers([]*server{s}, true)
}

// drain announces that the upstream drains, and stops it after drainDuration.
func (s *server) drain() {
	s.draining = true
	s.sim.announceServers([]*server{s}, false)
	s.sim.after(drainDuration, s.deregister)
}

// removeServers drains upstreams at the same time, and stops them after drainDuration. At its end, each
// resets the flows that are still open.
func (sim *simulation) removeServers(list []*server) {
	if len(list) == 0 {
		return
	}
	for _, s := range list {
		s.draining, s.leaving = true, true
	}
	sim.announceServers(list, false)
	sim.after(drainDuration, func() {
		for _, s := range list {
			s.silent, s.deregistered = true, true
			open := slices.SortedFunc(maps.Keys(s.flows), func(a, b *flow) int { return compareKeys(a.key, b.key) })
			for _, f := range open {
				sim.after(time.Duration(sim.pattern.Delays.Caller), f.reset)
			}
		}
		sim.announceServers(list, true)
	})
}

// registration returns the registration that the upstream writes to the store.
func (s *server) registration(at objects.Position) registry.Registration {
	return registry.Registration{
		ID: s.id, Service: s.service.Name, Address: s.address, Zone: s.zone.Name, Slots: s.service.Slots,
		Draining: s.draining, Warmup: max(0, s.warmupStart+s.warmup-s.sim.now), Created: objects.Position(s.id), Revision: at,
		StartTime: registry.UnixMilli(wallStart.Add(s.startedAt).UnixMilli()), Sequence: 1,
	}
}

// receive handles a packet that a host forwarded.
func (s *server) receive(f *flow, p *cookie.Packet) {
	switch {
	case s.silent:
	case p.Flags == cookie.FlagSYN:
		s.accept(f)
	case f.server != s || f.incarnation != s.incarnation:
		s.sim.after(time.Duration(s.sim.pattern.Delays.Caller), f.reset)
	case p.Flags.Has(cookie.FlagFIN):
		delete(s.flows, f)
	case p.Length > 0:
		s.admit(f.attempt)
	}
}

// accept answers a first packet, with a reset if the upstream is at its connection limit. The flow
// opens at the upstream whose answer its caller receives first.
func (s *server) accept(f *flow) {
	if len(s.flows) >= s.service.connections() {
		s.sim.after(time.Duration(s.sim.pattern.Delays.Caller), f.resetOverLimit)
		return
	}
	incarnation := s.incarnation
	s.sim.after(time.Duration(s.sim.pattern.Delays.Caller), func() { f.accepted(s, incarnation) })
}

// admit processes or queues a request. If the queue is full, it sheds one.
func (s *server) admit(t *attempt) {
	if t == nil || t.arrived {
		return // A retransmission.
	}
	t.arrived = true
	s.arrivals++
	s.sim.result.Arrivals++
	switch {
	case s.working < s.service.Slots:
		s.work(t)
	case len(s.queue) < s.service.Queue:
		s.queue = append(s.queue, t)
	case len(s.queue) == 0:
		s.refuse(t)
	default:
		// The users' upstreams shed the request that has waited longest.
		oldest := s.queue[0]
		s.queue = append(s.queue[1:], t)
		s.refuse(oldest)
	}
}

func (s *server) refuse(t *attempt) {
	s.shed++
	s.sim.result.recordShed(s)
	t.request.class.result().Rejected++
	s.sim.after(time.Duration(s.sim.pattern.Delays.Caller), t.refused)
}

func (s *server) work(t *attempt) {
	s.working++
	d := t.request.work
	if s.sim.now < s.warmupStart+s.warmup {
		d = time.Duration(float64(d) * s.service.WarmupFactor)
	}
	incarnation := s.incarnation
	s.sim.after(d, func() {
		if s.incarnation != incarnation || s.silent {
			return
		}
		s.working--
		s.sim.after(time.Duration(s.sim.pattern.Delays.Caller), t.answered)
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.work(next)
		}
	})
}

// freeSlots returns how many more requests the upstream would process or queue now.
func (s *server) freeSlots() int {
	if s.silent || s.draining {
		return 0
	}
	return s.service.Slots + s.service.Queue - s.working - len(s.queue)
}

// server returns the upstream with an identifier, or nil if there is none.
func (sim *simulation) server(id bundle.UpstreamID) *server {
	if id == 0 || int(id) > len(sim.servers) {
		return nil
	}
	return sim.servers[id-1]
}
