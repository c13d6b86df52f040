package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/standin/flows"
	"github.com/fescueshed/fescueshed/internal/standin/world"
)

// run is the state of one run, for one seed.
type run struct {
	w         *world.World
	rng       *rand.Rand
	procs     []*world.Process
	startedAt time.Time
	// newAddress is the zero value, which asks for an upstream at an address that no other has.
	newAddress netip.AddrPort
	faultLog   []string
	// admission says that the balancers have admission control.
	admission bool
	// snapshots are the recent snapshots that the store can be restored from.
	snapshots []storeSnapshot
}

// Times of a run after its faults, and the share of requests that must be answered then.
const (
	// healWait is the time from the end of the injection until all requests must be served again. It covers the
	// longest fault, which is an evacuation, and the time until a crashed upstream's entry expires. The users' bound
	// for a recovery is far longer.
	healWait = maxEvacuation + 5*time.Second
	// checkPeriod is the time after healWait over which availability is evaluated, minAnsweredShare the share of
	// requests that must be answered in it.
	checkPeriod      = 3 * time.Second
	minAnsweredShare = 0.98
)

// admissionPeriod is the distance of the seeds whose balancers have admission control. A shortage occurs in these, after
// so many other faults that some of them still last.
const (
	admissionPeriod      = 2
	faultsBeforeShortage = 4
)

// runSeed runs one seed and reports whether a guarantee was violated. It keeps the logs and a report of such a run.
func (c *commands) runSeed(ctx context.Context, binary string, seed uint64) (bool, error) {
	dir := filepath.Join(c.Keep, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return false, eris.Wrap(err, "soak")
	}
	admission := seed%admissionPeriod == 0
	w, closeWorld, err := world.New(ctx, world.Options{
		Seed: seed, Hosts: c.Hosts, Upstreams: c.Upstreams, Callers: c.Callers, Admission: admission,
	})
	if err != nil {
		return false, err
	}
	defer closeWorld()
	procs, stop, err := w.StartProcesses(ctx, binary, dir)
	if err != nil {
		return false, err
	}
	defer stop()
	r := &run{w: w, procs: procs, admission: admission, rng: rand.New(rand.NewPCG(seed, 1)), startedAt: time.Now()}
	o, err := r.execute(ctx, c)
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d faults, %d of %d requests answered, %d broken promises\n  %s\n",
		seed, len(r.faultLog), o.answered, o.requests, len(o.broken), o.plot)
	if o.others.Attempts > 0 {
		fmt.Printf("  in the shortage, urgent callers: %+v, others: %+v\n", o.urgent, o.others)
	}
	if len(o.broken) == 0 {
		_ = os.RemoveAll(dir) // Keep only the logs of failed runs.
		return false, nil
	}
	for _, b := range o.broken {
		fmt.Println("  broken:", b)
	}
	return true, writeReport(dir, r, o)
}

// outcome summarizes what callers and upstreams saw in a run. broken has a line for each violated guarantee.
type outcome struct {
	requests, answered int
	broken             []string
	plot               string
	// urgent and others are the refusals in the shortage.
	urgent, others world.Refusals
}

// execute injects faults while callers send requests, and checks the guarantees from what the callers and the
// upstreams saw.
func (r *run) execute(ctx context.Context, c *commands) (*outcome, error) {
	work, end := context.WithTimeout(ctx, c.Duration+healWait+checkPeriod)
	defer end()
	injected := make(chan struct{})
	go func() {
		defer close(injected)
		r.inject(work, c)
	}()
	go r.addRoutes(work, c.Duration)
	stats, err := r.w.RunCallers(work)
	<-injected
	if err != nil {
		return nil, err
	}
	broken, err := r.w.AdmissionViolations(stats)
	if err != nil {
		return nil, err
	}
	o := &outcome{broken: append(broken, r.w.Violations()...), plot: plot(stats, r.startedAt)}
	o.urgent, o.others = r.w.CountRefusals(stats)
	var last []flows.Outcome
	for i := range stats {
		t := &stats[i]
		o.requests += t.Requests
		o.answered += t.Answered
		o.broken = append(o.broken, t.Violations...)
		last = append(last, afterHealing(t)...)
	}
	if s := answeredShare(last); s < minAnsweredShare {
		o.broken = append(o.broken, fmt.Sprintf("only %.3f of %d requests answered after all faults had ended", s, len(last)))
	}
	sort.Strings(o.broken)
	return o, nil
}

// afterHealing returns the outcomes of the requests that started in the last checkPeriod, when all faults had ended. It
// leaves out unanswered requests of the last two seconds, which may have had too little time for an answer.
func afterHealing(t *flows.CallerStats) []flows.Outcome {
	var out []flows.Outcome
	since := time.Now().Add(-checkPeriod)
	for _, o := range t.Outcomes {
		if o.At.After(since) && (o.Answered || time.Since(o.At) > checkPeriod-time.Second) {
			out = append(out, o)
		}
	}
	return out
}

// answeredShare returns the share of outcomes that are answered, zero if there are none.
func answeredShare(list []flows.Outcome) float64 {
	n := 0
	for _, o := range list {
		if o.Answered {
			n++
		}
	}
	return float64(n) / float64(max(1, len(list)))
}

// addRoutes adds routes in quick succession again and again, for a time or until ctx ends. Callers use each at once, while
// hosts still receive it. It draws no random number, so that the faults of a seed stay the same.
func (r *run) addRoutes(ctx context.Context, d time.Duration) {
	until := time.Now().Add(d)
	for n := 1; time.Now().Before(until) && ctx.Err() == nil; n++ {
		r.w.AddRoute()
		pause := addedRoutePause
		if n%addedRoutesInARow == 0 {
			pause = addedRoutesPause
		}
		time.Sleep(pause)
	}
}

// addedRoutesInARow routes are added with addedRoutePause in between, then none for addedRoutesPause.
const (
	addedRoutesInARow = 8
	addedRoutePause   = 250 * time.Millisecond
	addedRoutesPause  = 2 * time.Second
)

// inject injects faults at random times for c.Duration, or until ctx ends. A fault that isn't a planned change
// suspends the users' bounds for a time.
func (r *run) inject(ctx context.Context, c *commands) {
	until := time.Now().Add(c.Duration)
	for n := 0; time.Now().Before(until) && ctx.Err() == nil; n++ {
		pause := time.Duration(r.rng.Int64N(2 * int64(c.Pause)))
		time.Sleep(min(pause, time.Until(until)))
		r.takeSnapshot()
		f := pickFault(r.rng)
		if n == faultsBeforeShortage && r.admission {
			f = &shortage
		}
		description := f.inject(r)
		if description == "" {
			continue
		}
		if !f.planned {
			r.w.MarkUnstable(maxFault)
		}
		r.faultLog = append(r.faultLog, fmt.Sprintf("%s %s: %s", time.Now().Format("15:04:05.000"), f.name, description))
	}
}
