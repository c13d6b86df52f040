package peer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Loads are told each StartupReportPeriod in the first two seconds of a daemon. All hosts may have lost
// power; each then places what callers held back in half a second, knowing nothing of the
// others. With loads told each half second only, all send to the same upstreams in that time,
// which shed while others have room.
const (
	StartupReportPeriod = 100 * time.Millisecond
	eagerFor            = 2 * time.Second
)

// UsesStartupReportPeriod reports whether a daemon that started so long ago tells loads each EagerPeriod.
func UsesStartupReportPeriod(sinceStart time.Duration) bool { return sinceStart < eagerFor }

// SumReports adds up what several daemons count, the busiest upstreams first, within the
// limits of a Report.
func SumReports(from ID, reports []*Report) *Report {
	out := &Report{From: from}
	loads := make(map[uint32]Load)
	services := make(map[string]ServiceLoad)
	for _, r := range reports {
		for i := range r.Loads {
			l := &r.Loads[i]
			loads[l.Cookie] = l.plus(loads[l.Cookie])
		}
		for i := range r.Services {
			s := &r.Services[i]
			services[s.Service] = s.plus(services[s.Service])
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

// TopLoads returns the loads with most flows, as many as fit a report.
func TopLoads(list []Load) []Load {
	slices.SortFunc(list, func(a, b Load) int {
		return cmp.Or(cmp.Compare(b.Flows, a.Flows), cmp.Compare(a.Cookie, b.Cookie))
	})
	return list[:min(len(list), MaxLoads)]
}

func (l *Load) plus(o Load) Load {
	return Load{
		Cookie: l.Cookie, Flows: l.Flows + o.Flows, Answered: l.Answered + o.Answered, Failed: l.Failed + o.Failed,
	}
}

func (s *ServiceLoad) plus(o ServiceLoad) ServiceLoad {
	return ServiceLoad{
		Service: s.Service, Flows: s.Flows + o.Flows, Requests: s.Requests + o.Requests,
		Answered: s.Answered + o.Answered, Failed: s.Failed + o.Failed,
	}
}
