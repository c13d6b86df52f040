package peer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// StartupReportPeriod is the time between two reports of loads in the first two seconds of a daemon
// (startupReportWindow). If all hosts lost power, each of them then places the waiting callers'
// flows within half a second, without knowing the placements of the others. If loads were sent each
// half second only, all would send to the same upstreams in that time, which would shed requests
// while others have free capacity.
const (
	StartupReportPeriod = 100 * time.Millisecond
	startupReportWindow = 2 * time.Second
)

// UsesStartupReportPeriod reports whether a daemon that started so long ago sends its loads each
// StartupReportPeriod.
func UsesStartupReportPeriod(sinceStart time.Duration) bool { return sinceStart < startupReportWindow }

// SumReports adds up the counts of several daemons, within the limits of a Report. It keeps the
// upstreams with the most flows.
func SumReports(from ID, reports []*Report) *Report {
	out := &Report{From: from}
	loads := make(map[uint32]Load)
	services := make(map[string]ServiceLoad)
	for _, r := range reports {
		for i := range r.Loads {
			l := &r.Loads[i]
			loads[l.Cookie] = l.add(loads[l.Cookie])
		}
		for i := range r.Services {
			s := &r.Services[i]
			services[s.Service] = s.add(services[s.Service])
		}
		for _, d := range r.Dead {
			if !slices.Contains(out.Dead, d) && len(out.Dead) < MaxDead {
				out.Dead = append(out.Dead, d)
			}
		}
	}
	out.Loads = TopLoads(slices.Collect(maps.Values(loads)))
	for _, name := range slices.Sorted(maps.Keys(services)) {
		if len(out.Services) < MaxServices {
			out.Services = append(out.Services, services[name])
		}
	}
	return out
}

// TopLoads returns the loads with the most flows, as many as fit in a report. It sorts list in
// place.
func TopLoads(list []Load) []Load {
	slices.SortFunc(list, func(a, b Load) int {
		return cmp.Or(cmp.Compare(b.Flows, a.Flows), cmp.Compare(a.Cookie, b.Cookie))
	})
	return list[:min(len(list), MaxLoads)]
}

func (l *Load) add(o Load) Load {
	return Load{
		Cookie: l.Cookie, Flows: l.Flows + o.Flows, Answered: l.Answered + o.Answered, Failed: l.Failed + o.Failed,
	}
}

func (s *ServiceLoad) add(o ServiceLoad) ServiceLoad {
	return ServiceLoad{
		Service: s.Service, Flows: s.Flows + o.Flows, Requests: s.Requests + o.Requests,
		Answered: s.Answered + o.Answered, Failed: s.Failed + o.Failed,
	}
}
