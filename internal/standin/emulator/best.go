package emulator

import (
	"cmp"
	"slices"
	"time"
)

// slotSamplePeriod is how often the running slots are counted. 50 ms are a fortieth of a window.
const slotSamplePeriod = 50 * time.Millisecond

// sampleSlots adds the time that slots can work until the next sample. The slots of silent upstreams
// don't count. Those of draining ones do, although only requests on flows that are open there can
// use them. A slot that is slow after a start counts by the work that it does.
func (sim *simulation) sampleSlots() {
	window := int(sim.now / windowLength)
	for _, s := range sim.servers {
		times := sim.result.slotTime[s.service.Name]
		if s.silent || window >= len(times) {
			continue
		}
		d := slotSamplePeriod * time.Duration(s.service.Slots)
		if sim.now < s.warmupStart+s.warmup {
			d = time.Duration(float64(d) / s.service.WarmupFactor)
		}
		times[window] += d
	}
}

// bestWorth returns the worth that the slots could earn from the requests that callers started in a
// window, if the classes of each service with the most worth per slot time were served first and no
// slot were ever free while a request waits. It assumes that every slot can be reached from every
// zone, that each served request is answered in time, that requests which aren't served take no slot
// time, and that requests of one class are chosen without regard to their own work, which nobody
// knows beforehand. No work is carried over to a later window: requests that are answered in the
// next one can raise the earned worth of a single window above the result.
func (r *Result) bestWorth(window int) float64 {
	left := make(map[string]time.Duration, len(r.slotTime))
	for name, times := range r.slotTime {
		left[name] = times[window]
	}
	var order []*ClassResult
	for i := range r.Classes {
		if r.Classes[i].work[window] > 0 {
			order = append(order, &r.Classes[i])
		}
	}
	slices.SortStableFunc(order, func(a, b *ClassResult) int {
		perTime := func(c *ClassResult) float64 { return c.Windows[window].Owed / float64(c.work[window]) }
		return cmp.Compare(perTime(b), perTime(a))
	})
	sum := 0.0
	for _, c := range order {
		used := min(left[c.Service], c.work[window])
		left[c.Service] -= used
		sum += c.Windows[window].Owed * float64(used) / float64(c.work[window])
	}
	return sum
}

// BestWorth returns the sum of Best as a share of the worth of all requests.
func (r *Result) BestWorth() float64 {
	if r.All.Owed == 0 {
		return 1
	}
	sum := 0.0
	for _, b := range r.Best {
		sum += b
	}
	return sum / r.All.Owed
}
