// Package logs writes structured log lines to standard output without ever blocking the
// code that logs, and limits the rate of lines about frequent decisions.
package logs

import (
	"flag"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// Writer passes lines on to a slower writer through a bounded queue. It drops and counts
// lines that don't fit into the queue: if the process that reads the logs hangs, packets
// must still be forwarded. It is safe for concurrent use.
type Writer struct {
	lines chan []byte
	done  chan struct{}
	once  sync.Once
	// Dropped counts lines that weren't written.
	Dropped atomic.Uint64
}

// queueLines is the queue's capacity. It is more than the lines of one second at the default rate
// limit of the settings, which applies to each cause.
const queueLines = 1024

// NewWriter starts writing to w. The clean-up function writes the queued lines, but
// gives up after flushTimeout.
func NewWriter(w io.Writer) (*Writer, func()) {
	q := &Writer{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for b := range q.lines {
			if _, err := w.Write(b); err != nil {
				q.Dropped.Add(1) // The counter is the only place to report it.
			}
		}
	}()
	return q, q.close
}

// flushTimeout is how long the end of a process may be delayed if nothing reads its logs.
const flushTimeout = 200 * time.Millisecond

func (q *Writer) close() {
	q.once.Do(func() { close(q.lines) })
	select {
	case <-q.done:
	case <-time.After(flushTimeout):
	}
}

// Write implements io.Writer.
func (q *Writer) Write(b []byte) (n int, err error) {
	// A goroutine that still runs after the queue was closed may write a line.
	defer func() {
		if recover() != nil {
			q.Dropped.Add(1)
			n = len(b)
		}
	}()
	line := append([]byte(nil), b...)
	select {
	case q.lines <- line:
	default:
		q.Dropped.Add(1)
	}
	return len(b), nil
}

// Setup makes klog write each line to w exactly once. By default, klog also writes an error
// to the outputs of all lower severities and to standard error.
func Setup(w io.Writer) error {
	var flags flag.FlagSet
	klog.InitFlags(&flags)
	for name, value := range map[string]string{"logtostderr": "false", "one_output": "true", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			return eris.Wrapf(err, "logs: %s", name)
		}
	}
	klog.SetOutput(w)
	return nil
}

// Limiter limits the number of lines of one kind per second and counts those left out.
// It isn't safe for concurrent use.
type Limiter struct {
	perSecond   int
	windowStart time.Time
	written     int
	omitted     uint64
}

// NewLimiter returns a limiter that allows perSecond lines per second.
func NewLimiter(perSecond int) *Limiter {
	return &Limiter{perSecond: perSecond}
}

// Allow reports whether a line may be written now. If so, it also returns how many lines
// were left out since the last one that was allowed.
func (l *Limiter) Allow(now time.Time) (omittedLines uint64, ok bool) {
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.written = now, 0
	}
	if l.written >= l.perSecond {
		l.omitted++
		return 0, false
	}
	l.written++
	omittedLines, l.omitted = l.omitted, 0
	return omittedLines, true
}
