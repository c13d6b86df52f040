package status

import (
	"cmp"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Summary aggregates the statuses of several daemons.
type Summary struct {
	Versions  []VersionCount
	Upstreams []UpstreamStatus
	Services  []ServiceLoad
	Drops     []DropStatus
	Evacuated []EvacuatedZone
	// Admission is sorted by zone, service and priority. It is empty if admission control is switched off.
	Admission []ClassSummary `json:",omitempty"`
}

// EvacuatedZone is a zone that at least one balancer treats as evacuated.
type EvacuatedZone struct {
	Zone bundle.Zone
	// Since is when the first of these balancers learned of the evacuation.
	Since time.Time
	// Flows counts the flows that are still open in the zone.
	Flows int
	// Balancers counts the balancers that know of the evacuation, Of all that were queried. If they differ,
	// some balancers still send new flows to the zone.
	Balancers, Of int
}

// VersionCount is the number of balancers of a zone that have a version in force.
type VersionCount struct {
	Zone      bundle.Zone
	Version   bundle.Version
	Balancers int
}

// ServiceLoad says how evenly the flows of a service are distributed.
type ServiceLoad struct {
	Name string
	// Imbalance is the maximum divided by the mean number of flows per slot, among
	// the upstreams that accept new flows. It is zero if there are no flows.
	Imbalance float64
}

// Summarize aggregates the statuses of daemons. Each flow is counted at its owner only.
func Summarize(all []Status) Summary {
	var s Summary
	for i := range all {
		s.add(&all[i])
	}
	slices.SortFunc(s.Versions, func(a, b VersionCount) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Version, b.Version))
	})
	slices.SortFunc(s.Upstreams, func(a, b UpstreamStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	slices.SortFunc(s.Drops, func(a, b DropStatus) int { return cmp.Compare(a.Cause, b.Cause) })
	slices.SortFunc(s.Evacuated, func(a, b EvacuatedZone) int { return cmp.Compare(a.Zone, b.Zone) })
	slices.SortFunc(s.Admission, compareClasses)
	for i := range s.Evacuated {
		s.Evacuated[i].Of = len(all)
	}
	s.Services = serviceLoads(s.Upstreams)
	return s
}

func (s *Summary) add(d *Status) {
	v := findOrAppend(&s.Versions, func(v *VersionCount) bool { return v.Zone == d.Zone && v.Version == d.Version })
	v.Zone, v.Version = d.Zone, d.Version
	v.Balancers++
	for _, u := range d.Upstreams {
		sum := findOrAppend(&s.Upstreams, func(x *UpstreamStatus) bool { return x.Service == u.Service && x.Name == u.Name })
		flows, requests := sum.Flows+u.Flows, sum.Requests+u.Requests
		*sum = u
		sum.Flows, sum.Requests = flows, requests
	}
	for _, e := range d.Evacuated {
		sum := findOrAppend(&s.Evacuated, func(x *EvacuatedZone) bool { return x.Zone == e.Zone })
		if sum.Balancers == 0 || e.Since.Before(sum.Since) {
			sum.Since = e.Since
		}
		sum.Zone = e.Zone
		sum.Flows += e.Flows
		sum.Balancers++
	}
	s.addAdmission(d)
	for _, drop := range d.Drops {
		sum := findOrAppend(&s.Drops, func(x *DropStatus) bool { return x.Cause == drop.Cause })
		sum.Cause = drop.Cause
		sum.Packets += drop.Packets
	}
}

// findOrAppend returns the first entry for which f returns true. If there is none, it appends a
// zero entry and returns that.
func findOrAppend[T any](list *[]T, f func(*T) bool) *T {
	for i := range *list {
		if f(&(*list)[i]) {
			return &(*list)[i]
		}
	}
	var zero T
	*list = append(*list, zero)
	return &(*list)[len(*list)-1]
}

// serviceLoads returns the load of each service. The upstreams must be sorted by service.
func serviceLoads(upstreams []UpstreamStatus) []ServiceLoad {
	var out []ServiceLoad
	for len(upstreams) > 0 {
		name := upstreams[0].Service
		n := slices.IndexFunc(upstreams, func(u UpstreamStatus) bool { return u.Service != name })
		if n < 0 {
			n = len(upstreams)
		}
		out = append(out, ServiceLoad{Name: name, Imbalance: imbalance(upstreams[:n])})
		upstreams = upstreams[n:]
	}
	return out
}

func imbalance(upstreams []UpstreamStatus) float64 {
	var most, sum, n float64
	for i := range upstreams {
		u := &upstreams[i]
		if u.Drain || u.Slots == 0 {
			continue
		}
		load := float64(u.Flows) / float64(u.Slots)
		most = max(most, load)
		sum += load
		n++
	}
	if sum == 0 {
		return 0
	}
	return most * n / sum
}
