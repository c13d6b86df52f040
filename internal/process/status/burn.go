package status

import (
	"cmp"
	"slices"
)

// BurnRate says how fast a service uses up the error budget of its objective.
type BurnRate struct {
	Service string
	RequestStatus
	// Rate is the share of requests that were answered late, failed or were refused, divided
	// by the share that the objective allows. At a rate of 1, the error budget of a period lasts
	// exactly for that period; at 14, the budget of a month lasts for two days.
	Rate float64
}

// Known returns the number of requests with a known outcome, good or bad.
func (r *RequestStatus) Known() uint64 { return r.InTime + r.bad() }

func (r *RequestStatus) bad() uint64 { return r.Late + r.Failed + r.Refused }

// BurnRates returns the burn rate of each service between two rounds of querying all daemons,
// sorted by service name. objective is the share of requests that must be answered in time,
// less than one. For a daemon that restarted between the rounds, its counters of the second
// round count in full. A daemon that is missing in one of the rounds doesn't count.
func BurnRates(before, after []Status, objective float64) []BurnRate {
	var out []BurnRate
	for i := range after {
		old := requestsOf(before, after[i].Name)
		if old == nil {
			continue
		}
		for _, r := range after[i].Requests {
			sum := findOrAppend(&out, func(b *BurnRate) bool { return b.Service == r.Service })
			sum.Service = r.Service
			sum.RequestStatus = sum.add(r.since(old))
		}
	}
	for i := range out {
		b := &out[i]
		if known := b.Known(); known > 0 {
			b.Rate = float64(b.bad()) / float64(known) / (1 - objective)
		}
	}
	slices.SortFunc(out, func(a, b BurnRate) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// requestsOf returns a copy of the request counts that a daemon reported, or nil if the daemon
// isn't in list.
func requestsOf(list []Status, name string) []RequestStatus {
	for i := range list {
		if list[i].Name == name {
			return append([]RequestStatus{}, list[i].Requests...)
		}
	}
	return nil
}

// since returns what was counted after old. If a counter has decreased, the daemon has
// restarted, and since returns r as it is.
func (r RequestStatus) since(old []RequestStatus) RequestStatus {
	i := slices.IndexFunc(old, func(o RequestStatus) bool { return o.Service == r.Service })
	if i < 0 {
		return r
	}
	o := &old[i]
	if r.InTime < o.InTime || r.Late < o.Late || r.Failed < o.Failed || r.Refused < o.Refused {
		return r
	}
	r.InTime -= o.InTime
	r.Late -= o.Late
	r.Failed -= o.Failed
	r.Refused -= o.Refused
	r.Unknown -= min(r.Unknown, o.Unknown) // It decreases when a late response arrives.
	return r
}

func (r RequestStatus) add(o RequestStatus) RequestStatus {
	return RequestStatus{
		Service: o.Service, InTime: r.InTime + o.InTime, Late: r.Late + o.Late,
		Failed: r.Failed + o.Failed, Refused: r.Refused + o.Refused, Unknown: r.Unknown + o.Unknown,
	}
}
