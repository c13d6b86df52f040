package objects

import "time"

// StallDetector decides when to list a kind because its watches aren't answered though other calls are. A store may
// take longer to assemble many large versions than a watch waits, and would take as long for the same watch again,
// so that no later version would ever arrive. A list contains only the last version of each object. It isn't safe
// for concurrent use; the zero value is ready for use.
type StallDetector struct{ consecutive int }

// maxStalls is how many consecutive watches may go unanswered while other calls are answered. One watch does when its
// connection is dead; the next uses another connection.
const maxStalls = 2

// RecordAnswered notes that a watch was answered.
func (s *StallDetector) RecordAnswered() { s.consecutive = 0 }

// RecordStalled notes that a watch wasn't answered. began is when that watch began, answered is when the store last
// answered another call. It reports whether the kind has to be listed. If the store has answered nothing since the
// watch began, it hasn't: otherwise, when the store recovers, every daemon with a watch would list objects that nearly
// all of them already have.
func (s *StallDetector) RecordStalled(began, answered time.Time) bool {
	if !answered.After(began) {
		s.consecutive = 0
		return false
	}
	s.consecutive++
	if s.consecutive < maxStalls {
		return false
	}
	s.consecutive = 0
	return true
}
