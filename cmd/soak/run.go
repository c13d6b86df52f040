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

// run is one run of the soak.
type run struct {
	w     *world.World
	rng   *rand.Rand
	procs []*world.Process
	began time.Time
	// none asks for an upstream at an address of its own.
	none netip.AddrPort
	plan []string
	// snapshots are those that the store may be restored from.
	snapshots []storeSnapshot
}

// Times around the faults of a run.
const (
	// healWait is how long after the last fault has ended all must be served again:
	// the longest fault, the lapse of a crashed upstream's entry, and the users' bound
	// for a recovery is far more.
	healWait = maxFault + 5*time.Second
	// checkFor is the time after that over which availability is judged, leastServed
	// the share that must be answered.
	checkFor    = 3 * time.Second
	leastServed = 0.98
)

// one plays one seed. It reports whether a promise was broken.
func (c *commands) one(ctx context.Context, binary string, seed uint64) (bool, error) {
	dir := filepath.Join(c.Keep, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return false, eris.Wrap(err, "soak")
	}
	w, closeWorld, err := world.New(ctx, world.Options{
		Seed: seed, Hosts: c.Hosts, Upstreams: c.Upstreams, Callers: c.Callers,
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
	r := &run{w: w, procs: procs, rng: rand.New(rand.NewPCG(seed, 1)), began: time.Now()}
	o, err := r.play(ctx, c)
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d faults, %d of %d requests answered, %d broken promises\n  %s\n",
		seed, len(r.plan), o.answered, o.requests, len(o.broken), o.plot)
	if len(o.broken) == 0 {
		_ = os.RemoveAll(dir) // Only the logs of failed runs are wanted.
		return false, nil
	}
	for _, b := range o.broken {
		fmt.Println("  broken:", b)
	}
	return true, writeReport(dir, r, o)
}

// outcome is what callers and upstreams saw in a run.
type outcome struct {
	requests, answered int
	broken             []string
	plot               string
}

// play injects faults while callers work and judges what they and the upstreams saw.
func (r *run) play(ctx context.Context, c *commands) (*outcome, error) {
	work, end := context.WithTimeout(ctx, c.Duration+healWait+checkFor)
	defer end()
	injected := make(chan struct{})
	go func() {
		defer close(injected)
		r.inject(work, c)
	}()
	tallies, err := r.w.RunCallers(work)
	<-injected
	if err != nil {
		return nil, err
	}
	o := &outcome{broken: r.w.Violations(), plot: plot(tallies, r.began)}
	var last []flows.Outcome
	for i := range tallies {
		t := &tallies[i]
		o.requests += t.Requests
		o.answered += t.Answered
		o.broken = append(o.broken, t.Violations...)
		last = append(last, healed(t)...)
	}
	if s := share(last); s < leastServed {
		o.broken = append(o.broken, fmt.Sprintf("only %.3f of %d requests answered after all faults had ended", s, len(last)))
	}
	sort.Strings(o.broken)
	return o, nil
}

// healed returns the outcomes of the time after all faults had ended. Requests of
// the very end may not have had their time.
func healed(t *flows.CallerStats) []flows.Outcome {
	var out []flows.Outcome
	since := time.Now().Add(-checkFor)
	for _, o := range t.Outcomes {
		if o.At.After(since) && (o.Answered || time.Since(o.At) > checkFor-time.Second) {
			out = append(out, o)
		}
	}
	return out
}

func share(list []flows.Outcome) float64 {
	n := 0
	for _, o := range list {
		if o.Answered {
			n++
		}
	}
	return float64(n) / float64(max(1, len(list)))
}

func (r *run) inject(ctx context.Context, c *commands) {
	until := time.Now().Add(c.Duration)
	for time.Now().Before(until) && ctx.Err() == nil {
		pause := time.Duration(r.rng.Int64N(2 * int64(c.Pause)))
		time.Sleep(min(pause, time.Until(until)))
		r.takeSnapshot()
		f := draw(r.rng)
		what := f.inject(r)
		if what == "" {
			continue
		}
		if !f.planned {
			r.w.MarkUnstable(maxFault)
		}
		r.plan = append(r.plan, fmt.Sprintf("%s %s: %s", time.Now().Format("15:04:05.000"), f.name, what))
	}
}
