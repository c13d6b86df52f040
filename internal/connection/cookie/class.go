package cookie

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescueshed/fescueshed/internal/connection/admission"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// roundTripSmoothing is the weight of one opened flow in Engine.roundTrip, from 0 to 1.
const roundTripSmoothing = 1.0 / 16

// cookieBits is the size of a Cookie.
const cookieBits = 32

// classOf returns the counter of the class of a route's flows at a service, nil without admission
// control or if the route isn't known.
func (e *Engine) classOf(s *bundle.ServiceRoute, r *bundle.CallerRoute) *admission.Counter {
	if e.opts.Admission == nil || r == nil || s.Name == "" {
		return nil
	}
	return e.opts.Admission.Class(s.Name, classPriority(r))
}

// classPriority returns the priority of a route's class, within what messages carry.
func classPriority(r *bundle.CallerRoute) int { return min(max(0, r.Priority), peer.MaxClassPriority) }

// admit decides whether a new flow is placed. A retransmitted first packet is always placed, see
// Packet.isRetransmitted.
func (e *Engine) admit(
	p *Packet, r *bundle.CallerRoute, s *bundle.ServiceRoute, now time.Time,
) (*admission.Counter, admission.Decision) {
	class := e.classOf(s, r)
	if class == nil || p.isRetransmitted() {
		return class, admission.Decision{Admitted: true}
	}
	return class, e.opts.Admission.Admit(class, r.Name, xxhash.Sum64(p.Key.CallerIP[:]), now)
}

// reservedShare returns the share of a service's upstreams that new flows of a route avoid, so that
// more urgent ones find free slots there although open flows can't be moved: the service is short of
// capacity, and the route isn't of its most urgent class.
func (e *Engine) reservedShare(s *bundle.ServiceRoute, r *bundle.CallerRoute, now time.Time) float64 {
	if e.opts.Admission == nil {
		return 0
	}
	shortage, short := e.opts.Admission.Shortage(s.Name, now)
	if !short || classPriority(r) <= shortage.MostUrgent {
		return 0
	}
	return shortage.ReservedShare
}

// isReserved reports whether the upstream is among a share of its service's upstreams. The cookie is
// a hash of the identifier, so all balancers agree on them without a message.
func (u *Upstream) isReserved(share float64) bool {
	return float64(u.Cookie) < share*(1<<cookieBits)
}

// noteRoundTrip updates the round trip from a flow that its caller has just opened. After a
// retransmission, it isn't known to which copy the answer belongs.
func (e *Engine) noteRoundTrip(f *flow, now time.Time) {
	if f.class == nil || f.lastCopy > 0 {
		return
	}
	took := now.Sub(f.placedAt)
	if e.roundTrip == 0 {
		e.roundTrip = took
	}
	e.roundTrip += time.Duration(roundTripSmoothing * float64(took-e.roundTrip))
}

// countStart counts a request that started.
func (f *flow) countStart() {
	if f.class != nil {
		f.class.StartRequest()
	}
}

// countBusy counts the time for which the request in progress was at its upstream. The transfer of
// the request and the round trip don't count: no slot is in use for them.
func (e *Engine) countBusy(f *flow, now time.Time) {
	if f.class != nil {
		f.class.AnswerRequest(max(0, now.Sub(f.lastData)-e.roundTrip), now)
	}
}

// RotateClasses ends a window of the counts by class.
func (e *Engine) RotateClasses() {
	if e.opts.Admission != nil {
		e.opts.Admission.Rotate()
	}
}

// ClassReport returns what this balancer counted by class in the last complete window, nil without
// admission control.
func (e *Engine) ClassReport(self peer.ID, now time.Time) *peer.ClassReport {
	if e.opts.Admission == nil {
		return nil
	}
	out := &peer.ClassReport{From: self, Zone: e.opts.Zone}
	for _, l := range e.opts.Admission.Loads(now) {
		out.Classes = append(out.Classes, peer.ClassLoad{
			Service: l.Service, Priority: uint32(l.Priority), Offered: l.Offered, Admitted: l.Admitted,
			Requests: l.Requests, Answered: l.Answered, BusyMillis: uint32(l.Busy.Milliseconds()),
		})
	}
	return out
}

// ApplyClassReport applies the total of the counts by class over all reachable zones. It returns the
// services whose shortage began or ended.
func (e *Engine) ApplyClassReport(total *peer.ClassReport, now time.Time) []admission.Transition {
	if e.opts.Admission == nil {
		return nil
	}
	// A received message may list a class twice or out of order.
	loads := admission.Sum(admissionLoads(total.Classes))
	slots := make(map[string]int)
	for i := range loads {
		if name := loads[i].Service; slots[name] == 0 {
			slots[name] = e.reachableSlots(name, now)
		}
	}
	return e.opts.Admission.Update(admission.Update{
		Loads: loads, Slots: slots, Phase: float64(total.Phase) / peer.PhaseSteps, Now: now,
	})
}

func admissionLoads(list []peer.ClassLoad) []admission.Load {
	out := make([]admission.Load, 0, len(list))
	for i := range list {
		l := &list[i]
		out = append(out, admission.Load{
			Class:   admission.Class{Service: l.Service, Priority: int(l.Priority)},
			Offered: l.Offered, Admitted: l.Admitted, Requests: l.Requests, Answered: l.Answered,
			Busy: time.Duration(l.BusyMillis) * time.Millisecond,
		})
	}
	return out
}

// reachableSlots returns the slots of a service's usable upstreams, without evacuated zones and
// those to which the path is suspect.
func (e *Engine) reachableSlots(service string, now time.Time) int {
	slots := 0
	for _, p := range e.index.pools[service] {
		if _, evacuated := e.evacuated[p.zone]; !evacuated && !p.health.isSuspect(now) {
			slots += int(p.slots)
		}
	}
	return slots
}

// AdmissionStatus returns the state of the services in use, nil without admission control.
func (e *Engine) AdmissionStatus(now time.Time) []admission.ServiceStatus {
	if e.opts.Admission == nil {
		return nil
	}
	return e.opts.Admission.Status(now)
}
