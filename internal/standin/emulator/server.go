package emulator

import (
	"net/netip"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// server is an upstream.
type server struct {
	w       *play
	service *Service
	zone    *zone
	id      bundle.UpstreamID
	address netip.AddrPort
	// dark says that it has fallen silent, lapsed that the list no longer has it.
	dark, lapsed, draining bool
	// life tells one incarnation from the next.
	life int
	// born is when it started, started when it was cold last.
	born, started time.Duration
	warmup        time.Duration
	revision      objects.Position
	flows         map[*flow]bool
	working       int
	queue         []*try
	// arrivals counts requests that came, shed those that it refused.
	arrivals, shed int
}

// Times of an upstream's entry, as at the users' installations.
const (
	// lapseAfter is when the entry of an upstream that fell silent is gone.
	lapseAfter = 3600 * time.Millisecond
	// drainFor is how long a draining upstream serves on.
	drainFor = 4 * time.Second
)

// start begins an incarnation.
func (s *server) start(warmup time.Duration) {
	s.life++
	s.dark, s.lapsed = false, false
	s.born, s.started, s.warmup = s.w.now, s.w.now, warmup
	s.working, s.queue = 0, nil
	s.flows = make(map[*flow]bool)
	s.w.tell(s, false)
	s.revision = s.w.revision
}

// cool makes the upstream slow again, without a new incarnation.
func (s *server) cool() {
	s.started, s.warmup = s.w.now, time.Duration(s.service.Warmup)
	s.w.tell(s, false)
	s.revision = s.w.revision
}

// crash ends an incarnation without a word. Its entry lapses later.
func (s *server) crash() {
	s.dark = true
	for f := range s.flows {
		f.server = nil
	}
	life := s.life
	s.w.after(lapseAfter, func() {
		if s.dark && s.life == life {
			s.leave()
		}
	})
}

// leave takes the entry off the list.
func (s *server) leave() {
	s.dark, s.lapsed = true, true
	s.w.tell(s, true)
}

// drain ends an incarnation as planned.
func (s *server) drain() {
	s.draining = true
	s.w.tell(s, false)
	s.revision = s.w.revision
	s.w.after(drainFor, s.leave)
}

// entry returns what the upstream writes of itself.
func (s *server) entry(at objects.Position) registry.Registration {
	return registry.Registration{
		ID: s.id, Service: s.service.Name, Address: s.address, Zone: s.zone.Name, Slots: s.service.Slots,
		Draining: s.draining, Warmup: max(0, s.started+s.warmup-s.w.now), Created: objects.Position(s.id), Revision: at,
		StartTime: registry.UnixMilli(epoch.Add(s.born).UnixMilli()), Sequence: 1,
	}
}

// receive takes a packet that a host has sent on.
func (s *server) receive(f *flow, p *cookie.Packet) {
	switch {
	case s.dark:
	case p.Flags == cookie.FlagSYN:
		s.accept(f)
	case f.server != s || f.life != s.life:
		s.w.after(time.Duration(s.w.pattern.Delays.Caller), f.reset)
	case p.Flags.Has(cookie.FlagFIN):
		delete(s.flows, f)
	case p.Length > 0:
		s.ask(f.try)
	}
}

// accept answers a first packet. The flow opens where its caller says first.
func (s *server) accept(f *flow) {
	if len(s.flows) >= connections {
		return
	}
	life := s.life
	s.w.after(time.Duration(s.w.pattern.Delays.Caller), func() { f.accepted(s, life) })
}

// ask takes a request or lets it wait; if there is no room for that, one is shed.
func (s *server) ask(t *try) {
	if t == nil || t.arrived {
		return // A copy.
	}
	t.arrived = true
	s.arrivals++
	switch {
	case s.working < s.service.Slots:
		s.work(t)
	case len(s.queue) < s.service.Queue:
		s.queue = append(s.queue, t)
	case len(s.queue) == 0:
		s.refuse(t)
	default:
		// The users' upstreams were seen to shed what has waited longest.
		oldest := s.queue[0]
		s.queue = append(s.queue[1:], t)
		s.refuse(oldest)
	}
}

func (s *server) refuse(t *try) {
	s.shed++
	s.w.result.shed(s)
	s.w.after(time.Duration(s.w.pattern.Delays.Caller), t.refused)
}

func (s *server) work(t *try) {
	s.working++
	d := t.request.work
	if s.w.now < s.started+s.warmup {
		d = time.Duration(float64(d) * s.service.WarmupFactor)
	}
	life := s.life
	s.w.after(d, func() {
		if s.life != life || s.dark {
			return
		}
		s.working--
		s.w.after(time.Duration(s.w.pattern.Delays.Caller), t.answered)
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.work(next)
		}
	})
}

// room is how many requests more it would take now.
func (s *server) room() int {
	if s.dark || s.draining {
		return 0
	}
	return s.service.Slots + s.service.Queue - s.working - len(s.queue)
}

// server returns the upstream of an identifier.
func (w *play) server(id bundle.UpstreamID) *server {
	if id == 0 || int(id) > len(w.servers) {
		return nil
	}
	return w.servers[id-1]
}
