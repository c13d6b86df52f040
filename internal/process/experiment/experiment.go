// Package experiment compares policies of placing on patterns of load: it plays each pattern
// with each policy and several seeds on the emulator, and reports what callers got.
package experiment

import (
	"context"
	"runtime"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/standin/emulator"
)

// Options are the settings of an experiment. The zero value of Workers is the number of
// cores.
type Options struct {
	Patterns []*emulator.Pattern
	Policies []emulator.NamedPolicy
	// Seeds is how many seeds are played, FirstSeed the first of them.
	Seeds     int
	FirstSeed uint64
	// Workers bounds the plays at once.
	Workers int
	// Progress is called after each play, one call at a time. It may be nil.
	Progress func(done, all int)
}

// job is one play.
type job struct {
	row  int
	seed int
}

// Run plays everything. If ctx ends before, it returns the error of that.
func Run(ctx context.Context, o Options) (*Report, error) {
	if len(o.Patterns) == 0 || len(o.Policies) == 0 || o.Seeds < 1 {
		return nil, eris.New("experiment: at least one pattern, policy and seed are needed")
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

// runner is an experiment under way. mu is a leaf: nothing is locked while it is held.
type runner struct {
	opts Options
	rows []row

	mu   sync.Mutex
	done int
	err  error
}

// row is a pattern with a policy, and its result for each seed.
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
				r.play(j)
			}
		})
	}
	r.hand(ctx, jobs)
	close(jobs)
	wg.Wait()
	if err := ctx.Err(); err != nil {
		return eris.Wrap(err, "experiment")
	}
	return r.err
}

// hand gives all jobs to the workers, until ctx ends.
func (r *runner) hand(ctx context.Context, jobs chan<- job) {
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

func (r *runner) play(j job) {
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
