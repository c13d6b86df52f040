package status

import (
	"cmp"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Summary is what several daemons told, taken together.
type Summary struct {
	Versions  []VersionCount
	Upstreams []UpstreamStatus
	Services  []ServiceLoad
	Drops     []DropStatus
	Evacuated []EvacuatedZone
}

// EvacuatedZone is a zone that some balancers hold for evacuated.
type EvacuatedZone struct {
	Zone bundle.Zone
	// Since is when the first of them was told.
	Since time.Time
	// Flows are those still open there.
	Flows int
	// Balancers is how many know it, Of how many were asked: where they differ, some still send new flows there.
	Balancers, Of int
}

// VersionCount says how many balancers of a zone have a version in force.
type VersionCount struct {
	Zone      bundle.Zone
	Version   bundle.Version
	Balancers int
}

// ServiceLoad says how evenly the flows of a service are spread.
type ServiceLoad struct {
	Name string
	// Imbalance is the largest over the mean number of flows for each slot, over
	// the upstreams that take new flows; zero if there are no flows.
	Imbalance float64
}

// Summarize adds up what daemons told. Each flow counts at its home only.
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
	for i := range s.Evacuated {
		s.Evacuated[i].Of = len(all)
	}
	s.Services = serviceLoads(s.Upstreams)
	return s
}

func (s *Summary) add(d *Status) {
	v := find(&s.Versions, func(v *VersionCount) bool { return v.Zone == d.Zone && v.Version == d.Version })
	v.Zone, v.Version = d.Zone, d.Version
	v.Balancers++
	for _, u := range d.Upstreams {
		sum := find(&s.Upstreams, func(x *UpstreamStatus) bool { return x.Service == u.Service && x.Name == u.Name })
		flows, requests := sum.Flows+u.Flows, sum.Requests+u.Requests
		*sum = u
		sum.Flows, sum.Requests = flows, requests
	}
	for _, e := range d.Evacuated {
		sum := find(&s.Evacuated, func(x *EvacuatedZone) bool { return x.Zone == e.Zone })
		if sum.Balancers == 0 || e.Since.Before(sum.Since) {
			sum.Since = e.Since
		}
		sum.Zone = e.Zone
		sum.Flows += e.Flows
		sum.Balancers++
	}
	for _, drop := range d.Drops {
		sum := find(&s.Drops, func(x *DropStatus) bool { return x.Cause == drop.Cause })
		sum.Cause = drop.Cause
		sum.Packets += drop.Packets
	}
}

// find returns the entry for which f holds, or a new one.
func find[T any](list *[]T, f func(*T) bool) *T {
	for i := range *list {
		if f(&(*list)[i]) {
			return &(*list)[i]
		}
	}
	var zero T
	*list = append(*list, zero)
	return &(*list)[len(*list)-1]
}

// serviceLoads takes upstreams in the order of their services.
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
