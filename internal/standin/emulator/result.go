package emulator

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// outcome is the result of a request as its caller saw it.
type outcome uint8

const (
	outcomeInTime outcome = iota
	outcomeLate
	outcomeRefused
	outcomeFailed
)

// windowLength is the length of the windows in which requests are counted by their start time.
// The users' reports have the same windows.
const windowLength = 2 * time.Second

// Counts holds numbers of requests by outcome.
type Counts struct {
	// Asked is the number of all requests, the others count them by outcome. Refused are those whose
	// last attempt was rejected or refused for lack of capacity.
	Asked, InTime, Late, Refused, Failed int
	// Earned is the worth of the answered requests, Owed the worth if all had been answered in
	// time.
	Earned, Owed float64
}

// Worth returns Earned divided by Owed, or 1 if Owed is zero.
func (c *Counts) Worth() float64 {
	if c.Owed == 0 {
		return 1
	}
	return c.Earned / c.Owed
}

func (c *Counts) add(k *Class, o outcome) {
	c.Asked++
	c.Owed += k.Worth
	switch o {
	case outcomeInTime:
		c.InTime++
		c.Earned += k.Worth
	case outcomeLate:
		c.Late++
		c.Earned += k.Late
	case outcomeRefused:
		c.Refused++
	case outcomeFailed:
		c.Failed++
	}
}

// Result is what callers and upstreams saw in one simulation.
type Result struct {
	Pattern, Policy string
	Seed            uint64
	// Admission says that hosts refused flows of less urgent classes while a service was short.
	Admission bool
	All       Counts
	// Windows counts requests by their start time, Zones by the zone where they were sent.
	Windows []Counts
	Zones   map[bundle.Zone]*Counts
	// Classes are in the order of Pattern.Classes.
	Classes []ClassResult
	// Best is the worth that the slots could earn in each window, see bestWorth.
	Best []float64
	// Arrivals is the number of requests that arrived at upstreams, those of retries included.
	Arrivals int
	// Shed is the number of requests that upstreams rejected for lack of capacity, ShedWithRoom
	// the number of those for which another reachable upstream of the service, in any zone, had
	// free capacity.
	Shed, ShedWithRoom int
	// BusiestOverMean is the largest number of requests of one upstream divided by the mean of
	// its service and zone. It covers upstreams that ran from the start to the end.
	BusiestOverMean float64
	// Packets is the number of packets that hosts processed, Probes the number of probes of
	// upstreams.
	Packets, Probes int

	// flowCount is the number of flows that callers have started to open.
	flowCount uint32
	// slotTime is the time that the slots of each service could work in each window.
	slotTime map[string][]time.Duration
}

// ClassResult is what callers, hosts and upstreams saw of one class.
type ClassResult struct {
	Name, Service string
	Priority      int
	Counts
	// Windows counts requests by their start time.
	Windows []Counts
	// Tries is the number of attempts, the first ones included.
	Tries int
	// Rejected is the number of requests that upstreams rejected for lack of capacity.
	Rejected int
	// RefusedFlows is the number of flows that hosts refused since the service was short, OverLimit
	// that of flows that upstreams reset at their connection limit.
	RefusedFlows, OverLimit int

	// work is the processing time of the requests of each window.
	work []time.Duration
}

// TriesPerAnswer returns the number of attempts per answered request, or 0 if none was answered.
func (c *ClassResult) TriesPerAnswer() float64 {
	if n := c.InTime + c.Late; n > 0 {
		return float64(c.Tries) / float64(n)
	}
	return 0
}

// result returns the results of the class.
func (c *class) result() *ClassResult { return &c.sim.result.Classes[c.index] }

func newResult(p *Pattern, o Options) *Result {
	n := int((time.Duration(p.Length) + windowLength - 1) / windowLength)
	r := &Result{
		Pattern: p.Name, Policy: o.Policy.Name, Seed: o.Seed,
		Admission: p.Admission,
		Windows:   make([]Counts, n), Zones: make(map[bundle.Zone]*Counts),
		Best: make([]float64, n), slotTime: make(map[string][]time.Duration),
	}
	for i := range p.Classes {
		c := &p.Classes[i]
		r.Classes = append(r.Classes, ClassResult{
			Name: c.Name, Service: c.Service, Priority: c.Priority, Windows: make([]Counts, n), work: make([]time.Duration, n),
		})
	}
	for i := range p.Services {
		r.slotTime[p.Services[i].Name] = make([]time.Duration, n)
	}
	for _, z := range p.Zones {
		r.Zones[z.Name] = &Counts{}
	}
	return r
}

func (r *Result) record(q *request, o outcome) {
	c, k := q.class.Class, q.class.result()
	r.All.add(c, o)
	k.add(c, o)
	r.Zones[q.zone.Name].add(c, o)
	if i := int(q.asked / windowLength); i < len(r.Windows) {
		r.Windows[i].add(c, o)
		k.Windows[i].add(c, o)
		k.work[i] += q.work
	}
}

func (r *Result) recordShed(s *server) {
	r.Shed++
	for _, o := range s.sim.servers {
		if o != s && o.service == s.service && o.freeSlots() > 0 && reachable(o.zone, s.zone) {
			r.ShedWithRoom++
			return
		}
	}
}

// WorstWindows returns the mean worth of the two windows with the lowest worth, which is how the
// users rate a run.
func (r *Result) WorstWindows() float64 {
	first, second := 1.0, 1.0
	for i := range r.Windows {
		switch w := r.Windows[i].Worth(); {
		case w < first:
			first, second = w, first
		case w < second:
			second = w
		}
	}
	return (first + second) / 2
}

// finish computes the results that are known only at the end.
func (r *Result) finish(sim *simulation) {
	for i := range r.Best {
		r.Best[i] = r.bestWorth(i)
	}
	type group struct {
		service *Service
		zone    *zone
	}
	sums := make(map[group][]int)
	for _, s := range sim.servers {
		if s.incarnation == 1 && s.warmupStart == 0 && !s.silent && !s.draining {
			g := group{s.service, s.zone}
			sums[g] = append(sums[g], s.arrivals)
		}
	}
	for _, list := range sums {
		most, sum := 0, 0
		for _, n := range list {
			most, sum = max(most, n), sum+n
		}
		if sum > 0 {
			r.BusiestOverMean = max(r.BusiestOverMean, float64(most*len(list))/float64(sum))
		}
	}
}
