package objects

import "time"

// StallDetector decides that a kind is to be listed, since its watches aren't answered though the store is. A
// store may take longer to put many large versions together than a watch waits, and the same watch asked
// for again takes as long: no later version would ever come. A list holds only the last. It isn't safe
// for concurrent use; the zero value is ready.
type StallDetector struct{ inARow int }

// maxStalls is how many watches in a row may go unanswered beside other calls that are answered. One
// does when its connection goes silent; the next has another connection.
const maxStalls = 2

// RecordAnswered notes that a watch was answered.
func (s *StallDetector) RecordAnswered() { s.inARow = 0 }

// RecordStalled notes that a watch which began at a time wasn't answered, and that the store answered another
// call last at another. It reports whether the kind is to be listed. While the store answers nothing
// it isn't: when it comes back, every daemon that asked would list what nearly all of them hold.
func (s *StallDetector) RecordStalled(began, answered time.Time) bool {
	if !answered.After(began) {
		s.inARow = 0
		return false
	}
	s.inARow++
	if s.inARow < maxStalls {
		return false
	}
	s.inARow = 0
	return true
}
