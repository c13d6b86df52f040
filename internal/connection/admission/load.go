package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Window is the length of the windows in which loads are counted.
const Window = 500 * time.Millisecond

// Class is all new flows of a service that have the same priority. 0 is the most urgent.
type Class struct {
	Service  string
	Priority int
}

// compare orders classes by service, then priority.
func (c Class) compare(o Class) int {
	return cmp.Or(cmp.Compare(c.Service, o.Service), cmp.Compare(c.Priority, o.Priority))
}

// Load holds the counts of one class in one window.
type Load struct {
	Class
	// Offered is the number of new flows, Admitted the number of those that weren't refused.
	Offered, Admitted uint32
	// Requests is the number of requests that started, Answered the number of those whose answer
	// began.
	Requests, Answered uint32
	// Busy is the sum over answered requests of the time at the upstream: queueing and work.
	Busy time.Duration
}

// isZero reports whether nothing was counted.
func (l *Load) isZero() bool {
	return l.Offered|l.Admitted|l.Requests|l.Answered == 0 && l.Busy == 0
}

// add adds the counts of another load. Counts stop at their maximum: one that wrapped to a small
// number would hide a shortage.
func (l *Load) add(o *Load) {
	l.Offered = addCount(l.Offered, o.Offered)
	l.Admitted = addCount(l.Admitted, o.Admitted)
	l.Requests = addCount(l.Requests, o.Requests)
	l.Answered = addCount(l.Answered, o.Answered)
	if l.Busy > math.MaxInt64-o.Busy {
		l.Busy = math.MaxInt64
	} else {
		l.Busy += o.Busy
	}
}

// scaled returns the load multiplied by a factor.
func (l *Load) scaled(factor float64) Load {
	count := func(n uint32) uint32 { return uint32(min(factor*float64(n), math.MaxUint32)) }
	return Load{
		Class: l.Class, Offered: count(l.Offered), Admitted: count(l.Admitted), Requests: count(l.Requests),
		Answered: count(l.Answered), Busy: time.Duration(min(factor*float64(l.Busy), math.MaxInt64/2)),
	}
}

func addCount(a, b uint32) uint32 {
	return uint32(min(uint64(a)+uint64(b), math.MaxUint32))
}

// Sum adds up loads by class, sorted by service, then priority.
func Sum(lists ...[]Load) []Load {
	all := slices.Concat(lists...)
	slices.SortFunc(all, func(a, b Load) int { return a.compare(b.Class) })
	out := all[:0]
	for i := range all {
		if n := len(out); n > 0 && out[n-1].Class == all[i].Class {
			out[n-1].add(&all[i])
		} else {
			out = append(out, all[i])
		}
	}
	return out
}

// largest returns at most n loads of a sorted list, sorted. It leaves out those with the fewest
// offered flows, but never a more urgent class before a less urgent one of the same service.
func largest(loads []Load, n int) []Load {
	out := slices.Clone(loads)
	for len(out) > n {
		drop := -1
		for i := range out {
			isLeastUrgent := i+1 == len(out) || out[i+1].Service != out[i].Service
			if isLeastUrgent && (drop < 0 || out[i].Offered < out[drop].Offered) {
				drop = i
			}
		}
		out = slices.Delete(out, drop, drop+1)
	}
	return out
}
