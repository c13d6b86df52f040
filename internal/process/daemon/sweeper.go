package daemon

import (
	"sync"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/caller"
)

// handoverPasses is how often a leaving daemon tells all its records: a
// datagram may be lost, and a member may have joined in between.
const handoverPasses = 2

// sweeper works through the engine's shards at a bounded rate.
type sweeper struct {
	d *Daemon
	// mu guards all below. Nothing else is locked while it is held but the
	// engine's shards and the fabric's sender, in this order.
	mu    sync.Mutex
	shard int
	out   []caller.Output
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
		told := s.sweep(now, budget)
		budget -= told
		if s.passes == 0 || budget <= 0 {
			return
		}
	}
}

// sweep goes through the next shard and returns how many packets it sent. A
// shard that the budget cut short is swept again.
func (s *sweeper) sweep(now time.Time, budget int) int {
	out, whole := s.d.engine.Sweep(now, s.shard, budget, s.out[:0])
	s.out = out
	s.d.fabric.Send(out)
	if whole {
		s.next()
	}
	if !whole {
		return budget
	}
	return len(out)
}

func (s *sweeper) next() {
	s.shard++
	if s.shard < s.d.engine.Flows.Shards() {
		return
	}
	s.shard = 0
	if s.passes == 0 {
		return
	}
	s.passes--
	if s.passes == 0 {
		close(s.done)
	}
}

// handover starts telling all records to the members that stay. The channel is
// closed once that is done.
func (s *sweeper) handover() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shard = 0
	s.passes = handoverPasses
	s.done = make(chan struct{})
	return s.done
}
