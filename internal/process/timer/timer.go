// Package timer runs the periodic work of a process from one timer. Components subscribe
// to it instead of running tickers of their own. It also detects pauses of the process.
package timer

import (
	"sync"
	"time"
)

// Service calls its subscribers periodically, one after the other, on one goroutine.
// It is safe for concurrent use.
type Service struct {
	mu      sync.Mutex
	subs    []*subscription
	wake    chan struct{}
	done    chan struct{}
	stopped chan struct{}
}

type subscription struct {
	period time.Duration
	next   time.Time
	f      func(now time.Time)
}

// New starts a service. The clean-up function stops it and waits for a call in
// progress to return. A subscriber must not call it.
func New() (*Service, func()) {
	s := &Service{
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	go s.run()
	var once sync.Once
	return s, func() {
		once.Do(func() { close(s.done) })
		<-s.stopped
	}
}

// Subscribe calls f once per period until the returned function is called. f must
// not block. Calls that were missed, for example in a pause, aren't made up for.
func (s *Service) Subscribe(period time.Duration, f func(now time.Time)) func() {
	sub := &subscription{period: period, next: time.Now().Add(period), f: f}
	s.mu.Lock()
	s.subs = append(s.subs, sub)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return func() { s.remove(sub) }
}

func (s *Service) remove(sub *subscription) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.subs {
		if other == sub {
			s.subs = append(s.subs[:i:i], s.subs[i+1:]...)
			return
		}
	}
}

// maxSleep is how long the service sleeps if no subscriber is due earlier.
const maxSleep = time.Second

func (s *Service) run() {
	defer close(s.stopped)
	t := time.NewTimer(maxSleep)
	defer t.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-s.wake:
		case <-t.C:
		}
		t.Reset(s.fire(time.Now()))
	}
}

// fire calls the subscribers that are due and returns the time until the next one is due.
func (s *Service) fire(now time.Time) time.Duration {
	s.mu.Lock()
	var due []*subscription
	next := now.Add(maxSleep)
	for _, sub := range s.subs {
		if !now.Before(sub.next) {
			due = append(due, sub)
			sub.next = now.Add(sub.period)
		}
		if sub.next.Before(next) {
			next = sub.next
		}
	}
	s.mu.Unlock()
	for _, sub := range due {
		sub.f(now)
	}
	return time.Until(next)
}
