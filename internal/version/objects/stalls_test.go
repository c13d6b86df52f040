package objects_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// Guards against repeating a watch forever that the store can't answer in time, and against a list by every daemon after an
// outage of the store.
func TestStallDetector(t *testing.T) {
	const (
		answered = iota
		stalled  // not answered, but another call was answered meanwhile
		outage   // not answered, and no other call was either
	)
	for name, tc := range map[string]struct {
		watches []int
		lists   bool
	}{
		"the store answers all other kinds":                        {watches: []int{stalled, stalled}, lists: true},
		"a connection died":                                        {watches: []int{stalled, answered, stalled}},
		"the store is unavailable, however long":                   {watches: []int{outage, outage, outage, outage}},
		"the store recovers between two watches":                   {watches: []int{outage, stalled, answered}},
		"the store answered others only before it was unavailable": {watches: []int{stalled, outage, stalled}},
		"a kind that was listed may again miss one watch":          {watches: []int{stalled, stalled, stalled}},
	} {
		t.Run(name, func(t *testing.T) {
			var s objects.StallDetector
			lists := false
			began := time.Unix(0, 0)
			for _, w := range tc.watches {
				began = began.Add(time.Second)
				switch w {
				case answered:
					s.RecordAnswered()
				case stalled:
					lists = s.RecordStalled(began, began.Add(time.Millisecond))
				case outage:
					lists = s.RecordStalled(began, began.Add(-time.Millisecond))
				}
			}
			NewWithT(t).Expect(lists).To(Equal(tc.lists))
		})
	}
}
