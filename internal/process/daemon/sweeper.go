package daemon

import (
	"sync"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/caller"
)

// maxHandoverPasses is how often a leaving daemon tells its records at most. It
// ends sooner once a pass finds that all were confirmed.
const maxHandoverPasses = 20

// sweeper works through the engine's shards at a bounded rate.
type sweeper struct {
	d *Daemon
	// mu guards all below. Nothing else is locked while it is held but the
	// engine's shards and the fabric's sender, in this order.
	mu    sync.Mutex
	shard int
	out   []caller.Output
	// told counts the records told in this pass.
	told int
	// passes counts down while the daemon leaves.
	passes int
	done   chan struct{}
}

// step sweeps one shard, or as many as the handover rate allows while leaving.
func (s *sweeper) step(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	budget := max(1, s.d.cfg.HandoverPerSecond*int(sweepPeriod)/int(time.Second))
	for {
		r := s.sweep(now, budget)
		budget -= r.Sent
		if s.passes == 0 || budget <= 0 || s.shard == 0 {
			return
		}
	}
}

// sweep goes through the next shard. A shard that the budget cut short is swept
// again.
func (s *sweeper) sweep(now time.Time, budget int) caller.SweepResult {
	out, result := s.d.engine.Sweep(now, s.shard, budget, s.out[:0])
	s.out = out
	s.d.fabric.Send(out)
	s.told += result.AwaitingConfirmation
	if result.Complete {
		s.next()
	}
	return result
}

func (s *sweeper) next() {
	s.shard++
	if s.shard < s.d.engine.Flows.Shards() {
		return
	}
	confirmed := s.told == 0
	s.shard, s.told = 0, 0
	if s.passes == 0 {
		return
	}
	s.passes--
	if confirmed || s.passes == 0 {
		s.passes = 0
		close(s.done)
	}
}

// handover starts telling all records to the members that stay. The channel is
// closed once they have confirmed them.
func (s *sweeper) handover() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shard, s.told = 0, 0
	s.passes = maxHandoverPasses
	s.done = make(chan struct{})
	return s.done
}
