package emulator

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// outcome is how a request ended, as its caller saw it.
type outcome uint8

const (
	outcomeInTime outcome = iota
	outcomeLate
	outcomeRefused
	outcomeFailed
)

// windowLength is the length of the windows in which requests are counted by when they were
// asked, that of the users' reports.
const windowLength = 2 * time.Second

// Counts are requests by how they ended.
type Counts struct {
	Asked, InTime, Late, Refused, Failed int
	// Earned and Owed are in the classes' worth.
	Earned, Owed float64
}

// Worth returns the part of what is owed that was earned, 1 if nothing was owed.
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

// Result is what callers and upstreams saw in one play.
type Result struct {
	Pattern, Policy string
	Seed            uint64
	All             Counts
	// Windows count requests by when they were asked, Zones by where.
	Windows []Counts
	Zones   map[bundle.Zone]*Counts
	// Shed counts requests that upstreams had no room for, ShedWithRoom those of them for
	// which another upstream of the service had room, in any zone.
	Shed, ShedWithRoom int
	// BusiestOverMean is the largest number of requests of one upstream over the mean of its
	// service and zone, for upstreams that were there all the time.
	BusiestOverMean float64
	Packets, Probes int

	flows uint32
}

func newResult(p *Pattern, o Options) *Result {
	n := int((time.Duration(p.Length) + windowLength - 1) / windowLength)
	r := &Result{
		Pattern: p.Name, Policy: o.Policy.Name, Seed: o.Seed,
		Windows: make([]Counts, n), Zones: make(map[bundle.Zone]*Counts),
	}
	for _, z := range p.Zones {
		r.Zones[z.Name] = &Counts{}
	}
	return r
}

func (r *Result) ended(q *request, o outcome) {
	c := q.class.Class
	r.All.add(c, o)
	r.Zones[q.zone.Name].add(c, o)
	if i := int(q.asked / windowLength); i < len(r.Windows) {
		r.Windows[i].add(c, o)
	}
}

func (r *Result) shed(s *server) {
	r.Shed++
	for _, o := range s.w.servers {
		if o != s && o.service == s.service && o.room() > 0 && reaches(o.zone, s.zone) {
			r.ShedWithRoom++
			return
		}
	}
}

// WorstWindows returns the mean worth of the two windows that served least, as the users weigh it.
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

// finish works out what is known at the end only.
func (r *Result) finish(w *play) {
	type group struct {
		service *Service
		zone    *zone
	}
	sums := make(map[group][]int)
	for _, s := range w.servers {
		if s.life == 1 && s.started == 0 && !s.dark && !s.draining {
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
