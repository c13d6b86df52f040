package objects_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/version/objects"
)

func TestStalls(t *testing.T) {
	const (
		watched = iota
		beside  // not answered, though another call was meanwhile
		silent  // not answered, nor was any other
	)
	for name, tc := range map[string]struct {
		watches []int
		lists   bool
	}{
		"the store answers all but this kind":              {watches: []int{beside, beside}, lists: true},
		"a connection went silent":                         {watches: []int{beside, watched, beside}},
		"the store is away, however long":                  {watches: []int{silent, silent, silent, silent}},
		"the store comes back between two watches":         {watches: []int{silent, beside, watched}},
		"the store answered others only before it went":    {watches: []int{beside, silent, beside}},
		"a kind that was listed has two watches once more": {watches: []int{beside, beside, beside}},
	} {
		t.Run(name, func(t *testing.T) {
			var s objects.StallDetector
			lists := false
			began := time.Unix(0, 0)
			for _, w := range tc.watches {
				began = began.Add(time.Second)
				switch w {
				case watched:
					s.RecordAnswered()
				case beside:
					lists = s.RecordStalled(began, began.Add(time.Millisecond))
				case silent:
					lists = s.RecordStalled(began, began.Add(-time.Millisecond))
				}
			}
			NewWithT(t).Expect(lists).To(Equal(tc.lists))
		})
	}
}
