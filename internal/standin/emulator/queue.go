package emulator

import (
	"cmp"
	"time"
)

// heap is a binary heap that pops the smallest item first. less must be set; items may be nil.
type heap[T any] struct {
	items []T
	less  func(a, b *T) bool
}

func (h *heap[T]) push(x T) {
	h.items = append(h.items, x)
	for i := len(h.items) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h.less(&h.items[i], &h.items[parent]) {
			return
		}
		h.items[i], h.items[parent] = h.items[parent], h.items[i]
		i = parent
	}
}

func (h *heap[T]) pop() T {
	first := h.items[0]
	last := len(h.items) - 1
	h.items[0] = h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	h.siftDown(0)
	return first
}

func (h *heap[T]) siftDown(i int) {
	for {
		least := i
		for _, child := range [...]int{2*i + 1, 2*i + 2} {
			if child < len(h.items) && h.less(&h.items[child], &h.items[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.items[i], h.items[least] = h.items[least], h.items[i]
		i = least
	}
}

// event is a function that is called at a time. Events of the same time are called in the order
// in which they were scheduled.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

// clock is virtual time with the scheduled events.
type clock struct {
	now    time.Duration
	order  uint64
	events heap[event]
}

func newClock() *clock {
	return &clock{events: heap[event]{less: func(a, b *event) bool {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order)) < 0
	}}}
}

// after schedules a call after a delay. A negative delay counts as zero.
func (c *clock) after(d time.Duration, do func()) {
	c.order++
	c.events.push(event{at: c.now + max(0, d), order: c.order, do: do})
}

// every schedules periodic calls, the first one after a delay.
func (c *clock) every(first, period time.Duration, do func()) {
	c.after(first, func() {
		do()
		c.every(period, period, do)
	})
}

// run executes all events up to and including a time.
func (c *clock) run(until time.Duration) {
	for len(c.events.items) > 0 && c.events.items[0].at <= until {
		e := c.events.pop()
		c.now = e.at
		e.do()
	}
	c.now = until
}

// wallStart is the time of day at which each simulation begins, for code that needs a time.Time.
var wallStart = time.Unix(1_764_720_000, 0)

// wallTime returns the current virtual time as a time of day.
func (c *clock) wallTime() time.Time { return wallStart.Add(c.now) }
