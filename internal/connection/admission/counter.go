package admission

import "time"

const (
	// unusedAfter is how long a class without flows and requests counts as in use. A class with
	// little traffic would otherwise change the targets of the others from window to window.
	unusedAfter = time.Minute
	// calmUtilization is the utilization up to which next to no request waits, so that the mean of a
	// window is the cost. costSmoothing is the weight of such a window. A host that started in a shortage
	// has a wrong cost at first; while it is too low, all answers seem slow.
	calmUtilization = 0.8
	costSmoothing   = 0.25
	// costRise is the most by which the cost rises in a window above that. The mean then includes waiting,
	// and a cost that followed it would hide a shortage from the local observation.
	costRise = 1.001
	// minCostAnswers is how many answers a window must have to change the cost. The mean of a few
	// quick answers would stay the lowest for minutes.
	minCostAnswers = 16
	// minCost is the least cost of a class. A shorter mean shows the rounding of round trips rather than
	// work.
	minCost = 100 * time.Microsecond
)

// Counter counts the flows and requests of one class.
type Counter struct {
	priority int
	service  *service
	// held says that Control.Class returned the counter, so that it must stay valid.
	held   bool
	usedAt time.Time
	// current counts the window in progress, last the last complete one.
	current, last Load
	totals        ClassStatus

	// zones holds the counts of all reachable zones in the last update.
	zones Load
	// cost is the mean time at the upstream of a request that didn't wait.
	cost time.Duration
	// share is in force since the last update.
	share float64
	// yields says that the class gives way to more urgent ones, which do a substantial part of the
	// service's work.
	yields bool
}

// StartRequest counts a request that started.
func (k *Counter) StartRequest() {
	k.current.Requests = addCount(k.current.Requests, 1)
	k.totals.Requests++
}

// AnswerRequest counts a request whose answer began after a time at the upstream.
func (k *Counter) AnswerRequest(busy time.Duration, now time.Time) {
	k.current.add(&Load{Answered: 1, Busy: max(0, busy)})
	k.totals.Answered++
	k.usedAt = now
	if k.cost > 0 {
		k.service.recent.add(busy > slowFactor*k.cost, now)
		if k.service.recent.isShort(now) {
			k.service.shortUntil = now.Add(localHold)
		}
	}
}

// countFlow counts a new flow.
func (k *Counter) countFlow(admitted bool) {
	k.current.Offered = addCount(k.current.Offered, 1)
	k.totals.Offered++
	if admitted {
		k.current.Admitted = addCount(k.current.Admitted, 1)
		k.totals.Admitted++
	} else {
		k.totals.Refused++
	}
}

// inUse reports whether the class had flows or requests lately.
func (k *Counter) inUse(now time.Time) bool {
	return !k.usedAt.IsZero() && now.Sub(k.usedAt) < unusedAfter
}

// work returns the slot time that the answered requests of the last window needed, in seconds.
func (k *Counter) work() float64 { return float64(k.zones.Answered) * k.cost.Seconds() }

// apply takes in the counts of all reachable zones.
func (k *Counter) apply(l *Load, now time.Time) {
	k.zones = *l
	if !l.isZero() {
		k.usedAt = now
	}
	k.updateCost()
}

func (k *Counter) updateCost() {
	if k.zones.Answered == 0 || k.zones.Answered < minCostAnswers && k.cost > 0 {
		return
	}
	mean := max(minCost, k.zones.Busy/time.Duration(k.zones.Answered))
	if k.cost == 0 {
		// A host that starts in a shortage has seen no requests that didn't wait. If the slots are
		// full, the mean and the utilization are too high by the same factor.
		k.cost = max(minCost, time.Duration(float64(mean)/max(1, k.service.latest)))
	}
	if max(k.service.latest, k.service.smoothed) <= calmUtilization {
		k.cost += time.Duration(costSmoothing * float64(mean-k.cost))
		return
	}
	k.cost = min(mean, time.Duration(costRise*float64(k.cost)))
}
