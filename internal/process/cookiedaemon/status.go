package cookiedaemon

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/admission"
	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/process/status"
)

// Status returns the daemon's present state.
func (d *Daemon) Status() status.Status {
	cfg := d.cfg.Load()
	out := status.Status{Name: cfg.Name, Zone: cfg.Zone, Version: d.inForce.Version()}
	for _, m := range d.members.view.Load().Members {
		out.Members = append(out.Members, status.MemberStatus{Name: m.Name, Zone: m.Zone, State: m.State.String()})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	out.Flows = d.engine.Flows()
	out.Evacuated = d.evacuationStatus()
	now := time.Now()
	out.Store = d.storeStatus(now)
	out.Admission = admissionStatus(d.engine.AdmissionStatus(now))
	for _, u := range d.engine.Upstreams() {
		requests := u.Load.Requests.Load()
		out.OpenRequests += int(requests)
		out.Upstreams = append(out.Upstreams, status.UpstreamStatus{
			Service: u.Route.Service.Name, Name: u.Route.Address.String(), Zone: u.Route.Zone, Drain: u.Route.Drain,
			Slots: u.Route.Slots, Flows: u.Load.Flows.Load(), Requests: requests,
		})
	}
	out.Drops = dropStatus(&d.engine.Counters)
	out.Requests = requestStatus(d.engine.Requests())
	return out
}

// storeStatus returns as of when the store's content is known. d.mu must be held.
func (d *Daemon) storeStatus(now time.Time) *status.StoreStatus {
	out := &status.StoreStatus{Epoch: d.state.epoch, EpochSince: d.state.epochSince}
	out.HeldOverOlder, out.HeldThoughMissing = d.state.catalog.HeldCounts()
	for k := range numKinds {
		out.Kinds = append(out.Kinds, status.StoreKindStatus{
			Kind: k.String(), AsOf: d.state.position(k).String(), Age: now.Sub(d.state.confirmed[k]).Seconds(),
		})
	}
	return out
}

// dropStatus returns the number of packets dropped or reset, by cause.
func dropStatus(k *cookie.Counters) []status.DropStatus {
	var out []status.DropStatus
	for cause := cookie.CauseNone; cause < cookie.NumCauses; cause++ {
		if n := k.Dropped[cause] + k.Reset[cause]; n > 0 {
			out = append(out, status.DropStatus{Cause: cause.String(), Packets: n})
		}
	}
	return out
}

// maxUtilization bounds the utilization in the status, in requests per slot. A service without slots
// has an infinite one, which JSON can't express.
const maxUtilization = 1000

// admissionStatus returns the state of admission control by service.
func admissionStatus(services []admission.ServiceStatus) []status.AdmissionStatus {
	out := make([]status.AdmissionStatus, 0, len(services))
	for i := range services {
		s := &services[i]
		a := status.AdmissionStatus{
			Service: s.Service, Short: s.Short, Slots: s.Slots, Age: s.Age.Seconds(),
			Utilization: min(s.Utilization, maxUtilization),
		}
		if math.IsNaN(s.Utilization) {
			a.Utilization = 0 // Neither slots nor requests.
		}
		if s.Short {
			a.Since = s.Since
		}
		for _, k := range s.Classes {
			a.Classes = append(a.Classes, status.ClassStatus(k))
		}
		out = append(out, a)
	}
	return out
}

func requestStatus(counts map[string]*cookie.Requests) []status.RequestStatus {
	out := make([]status.RequestStatus, 0, len(counts))
	for service, r := range counts {
		out = append(out, status.RequestStatus{
			Service: service, InTime: r.InTime, Late: r.Late, Failed: r.Failed, Refused: r.Refused, Unknown: r.Unknown,
		})
	}
	slices.SortFunc(out, func(a, b status.RequestStatus) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
