package cookie

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/admission"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
)

// AdmissionState returns what this balancer knows of the loads of all reachable zones, for one that starts. It
// is empty without admission control or without a recent sum.
func (e *Engine) AdmissionState(now time.Time) *peer.AdmissionState {
	out := &peer.AdmissionState{}
	if e.opts.Admission == nil {
		return out
	}
	st, ok := e.opts.Admission.State(now)
	if !ok {
		return out
	}
	out.Phase, out.Age = uint16(st.Phase*peer.PhaseSteps), st.Age
	for i := range st.Services {
		out.Services = append(out.Services, serviceAdmission(&st.Services[i]))
	}
	return out
}

func serviceAdmission(s *admission.ServiceState) peer.ServiceAdmission {
	out := peer.ServiceAdmission{
		Service: s.Service, Slots: uint32(max(0, s.Slots)), Latest: s.Latest, Smoothed: s.Smoothed,
	}
	for _, c := range s.Classes {
		out.Classes = append(out.Classes, peer.ClassAdmission{
			Priority: uint32(c.Priority), Share: c.Share, Cost: c.Cost, Answered: c.Answered, Yields: c.Yields,
		})
	}
	return out
}

// RestoreAdmission takes over what another balancer knew at a time. It has no effect if the state is empty, without
// admission control, or if this balancer has received a sum itself.
func (e *Engine) RestoreAdmission(from *peer.AdmissionState, at time.Time) {
	if e.opts.Admission == nil || len(from.Services) == 0 {
		return
	}
	st := admission.State{Phase: float64(from.Phase) / peer.PhaseSteps, Age: from.Age}
	for i := range from.Services {
		s := &from.Services[i]
		to := admission.ServiceState{Service: s.Service, Slots: int(s.Slots), Latest: s.Latest, Smoothed: s.Smoothed}
		for _, c := range s.Classes {
			to.Classes = append(to.Classes, admission.ClassState{
				Priority: int(c.Priority), Share: c.Share, Cost: c.Cost, Answered: c.Answered, Yields: c.Yields,
			})
		}
		st.Services = append(st.Services, to)
	}
	e.opts.Admission.Restore(st, at)
}
