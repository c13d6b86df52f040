// Package experiment compares placement policies under patterns of load. It runs the emulator
// with each pattern, each policy and several seeds, and reports how callers' requests ended.
package experiment

import (
	"context"
	"runtime"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/standin/emulator"
)

// Options are the settings of an experiment.
type Options struct {
	Patterns []*emulator.Pattern
	Policies []emulator.NamedPolicy
	// Seeds is the number of seeds, which are consecutive numbers from FirstSeed on.
	Seeds     int
	FirstSeed uint64
	// Workers is the number of concurrent emulator runs. If it is zero or less, it is the
	// number of cores.
	Workers int
	// Progress is called after each emulator run, never concurrently. It may be nil.
	Progress func(done, all int)
}

// job is one emulator run: that of a row with a seed.
type job struct {
	row  int
	seed int
}

// Run runs the emulator with each pattern, policy and seed. The report doesn't depend on
// the number of workers. If ctx ends earlier, Run returns the context's error.
func Run(ctx context.Context, o Options) (*Report, error) {
	if len(o.Patterns) == 0 || len(o.Policies) == 0 || o.Seeds < 1 {
		return nil, eris.New("experiment: at least one pattern, one policy and one seed are required")
	}
	if o.Workers <= 0 {
		o.Workers = runtime.GOMAXPROCS(0)
	}
	if o.Progress == nil {
		o.Progress = func(int, int) {}
	}
	r := newRunner(o)
	if err := r.run(ctx); err != nil {
		return nil, err
	}
	return r.report(), nil
}

// runner is an experiment in progress. mu is a leaf in the lock order: no other lock is taken
// while it is held.
type runner struct {
	opts Options
	rows []row

	mu   sync.Mutex
	done int
	// err is the first error of a run.
	err error
}

// row is a combination of a pattern and a policy, with the result for each seed.
type row struct {
	pattern *emulator.Pattern
	policy  emulator.NamedPolicy
	results []*emulator.Result
}

func newRunner(o Options) *runner {
	r := &runner{opts: o}
	for _, p := range o.Patterns {
		for _, policy := range o.Policies {
			r.rows = append(r.rows, row{pattern: p, policy: policy, results: make([]*emulator.Result, o.Seeds)})
		}
	}
	return r
}

func (r *runner) run(ctx context.Context) error {
	jobs := make(chan job)
	var wg sync.WaitGroup
	for range r.opts.Workers {
		wg.Go(func() {
			for j := range jobs {
				r.runJob(j)
			}
		})
	}
	r.dispatch(ctx, jobs)
	close(jobs)
	wg.Wait()
	if err := ctx.Err(); err != nil {
		return eris.Wrap(err, "experiment: not all simulations ran")
	}
	return r.err
}

// dispatch sends all jobs to the workers. It stops when ctx ends.
func (r *runner) dispatch(ctx context.Context, jobs chan<- job) {
	for seed := range r.opts.Seeds {
		for i := range r.rows {
			select {
			case jobs <- job{row: i, seed: seed}:
			case <-ctx.Done():
				return
			}
		}
	}
}

// runJob runs the emulator once and stores the result.
func (r *runner) runJob(j job) {
	w := &r.rows[j.row]
	result, err := emulator.Run(w.pattern, emulator.Options{Seed: r.opts.FirstSeed + uint64(j.seed), Policy: w.policy})
	r.mu.Lock()
	defer r.mu.Unlock()
	w.results[j.seed] = result
	if err != nil && r.err == nil {
		r.err = eris.Wrapf(err, "experiment: %s", w.pattern.Name)
	}
	r.done++
	r.opts.Progress(r.done, r.opts.Seeds*len(r.rows))
}
