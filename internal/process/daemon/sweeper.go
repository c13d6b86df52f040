package daemon

import (
	"sync"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/caller"
)

// maxHandoverPasses is the maximum number of passes in which a leaving daemon sends
// its records. The handover ends earlier, once a pass finds that all records have been
// confirmed.
const maxHandoverPasses = 20

// sweeper sweeps the shards of the engine's flow table, one after the other, at a
// bounded rate.
type sweeper struct {
	d *Daemon
	// mu guards all fields below. While it is held, only the engine's shards (and its
	// LoadTable under them) and then the fabric's sender are locked, in this order.
	mu    sync.Mutex
	shard int
	out   []caller.Output
	// awaitingConfirmation counts the records sent in this pass that other members must
	// confirm.
	awaitingConfirmation int
	// passes is the number of handover passes left, 0 unless the daemon is leaving.
	passes int
	done   chan struct{}
}

// step sweeps one shard. While the daemon is leaving, it sweeps as many shards as the
// handover rate allows, at most to the end of the pass.
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

// sweep sweeps the current shard and sends the records. It advances to the next shard
// only if the budget was sufficient; otherwise the same shard is swept again.
func (s *sweeper) sweep(now time.Time, budget int) caller.SweepResult {
	out, result := s.d.engine.Sweep(now, s.shard, budget, s.out[:0])
	s.out = out
	s.d.fabric.Send(out)
	s.awaitingConfirmation += result.AwaitingConfirmation
	if result.Complete {
		s.advance()
	}
	return result
}

// advance moves to the next shard. At the end of a handover pass in which no record
// awaited confirmation, or of the last pass, it ends the handover.
func (s *sweeper) advance() {
	s.shard++
	if s.shard < s.d.engine.Flows.Shards() {
		return
	}
	confirmed := s.awaitingConfirmation == 0
	s.shard, s.awaitingConfirmation = 0, 0
	if s.passes == 0 {
		return
	}
	s.passes--
	if confirmed || s.passes == 0 {
		s.passes = 0
		close(s.done)
	}
}

// startHandover starts sending all records to the members that stay. The returned
// channel is closed once they have confirmed all records, or after maxHandoverPasses.
func (s *sweeper) startHandover() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shard, s.awaitingConfirmation = 0, 0
	s.passes = maxHandoverPasses
	s.done = make(chan struct{})
	return s.done
}
