package admission

import (
	"math/bits"
	"time"
)

const (
	// numRecent is the number of answers that the local observation keeps: one bit each of
	// recentAnswers.slow.
	numRecent = 32
	// minSlow is how many of them must be slow. If a sixth of the upstreams are slow and work times
	// vary, a fifth are on average; of 16 answers, 10 would be slow by chance every minute.
	minSlow = 20
	// slowFactor is how many times the cost of its class a slow answer takes at least: as many as
	// requests are at each slot when the utilization reaches target.
	slowFactor = 3
	// recentMaxAge is the age from which answers no longer show a shortage.
	recentMaxAge = 2 * time.Second
	// localHold is how long the service counts as short after the last answer that showed it, if no
	// update ends this before.
	localHold = time.Second
	// localUtilization is the least utilization of a service that is short by local observation.
	localUtilization = 3.5
	// localShare bounds the share of classes that give way while the service is short by local
	// observation, which doesn't show how many have to.
	localShare = 0.5
)

// recentAnswers holds whether the last answers of a service were slow. A host learns from them of a
// shortage before the sum of its zone arrives, or without it.
type recentAnswers struct {
	slow uint32
	at   [numRecent]time.Time
	// n is the number of answers so far.
	n int
}

func (r *recentAnswers) add(slow bool, now time.Time) {
	i := r.n % numRecent
	r.n++
	r.at[i] = now
	r.slow &^= 1 << i
	if slow {
		r.slow |= 1 << i
	}
}

// isShort reports whether the answers show a shortage.
func (r *recentAnswers) isShort(now time.Time) bool {
	return r.n >= numRecent && now.Sub(r.at[r.n%numRecent]) <= recentMaxAge && bits.OnesCount32(r.slow) >= minSlow
}
