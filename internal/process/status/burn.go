package status

import (
	"cmp"
	"slices"
)

// BurnRate says how fast a service uses up what its objective allows.
type BurnRate struct {
	Service string
	RequestStatus
	// Rate is the share of requests that were answered late, failed or were refused, over
	// the share that the objective allows. At 1 the whole allowance of a period is used
	// up in just that period; at 14, that of a month in two days.
	Rate float64
}

// Known returns how many requests are known to have ended well or badly.
func (r *RequestStatus) Known() uint64 { return r.InTime + r.bad() }

func (r *RequestStatus) bad() uint64 { return r.Late + r.Failed + r.Refused }

// BurnRates returns the burn of each service between two rounds of asking all daemons,
// in the order of their names. objective is the share of requests that must be answered
// in time, less than one. A daemon that started between the rounds counts from zero, one
// that is missing in one of them not at all.
func BurnRates(before, after []Status, objective float64) []BurnRate {
	var out []BurnRate
	for i := range after {
		old := requestsOf(before, after[i].Name)
		if old == nil {
			continue
		}
		for _, r := range after[i].Requests {
			sum := find(&out, func(b *BurnRate) bool { return b.Service == r.Service })
			sum.Service = r.Service
			sum.RequestStatus = sum.plus(r.since(old))
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

// requestsOf returns what a daemon told, nil if it isn't there.
func requestsOf(list []Status, name string) []RequestStatus {
	for i := range list {
		if list[i].Name == name {
			return append([]RequestStatus{}, list[i].Requests...)
		}
	}
	return nil
}

// since returns what was counted since old. Counters that went back are those of a
// daemon that started again.
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
	r.Unknown -= min(r.Unknown, o.Unknown) // It falls when a late answer comes.
	return r
}

func (r RequestStatus) plus(o RequestStatus) RequestStatus {
	return RequestStatus{
		Service: o.Service, InTime: r.InTime + o.InTime, Late: r.Late + o.Late,
		Failed: r.Failed + o.Failed, Refused: r.Refused + o.Refused, Unknown: r.Unknown + o.Unknown,
	}
}
