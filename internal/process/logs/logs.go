// Package logs writes structured lines to standard output without ever blocking
// those who write them, and bounds the lines of decisions that come often.
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

// Writer passes lines on to a slower writer through a bounded queue. What doesn't
// fit is counted and left out: a reader of the logs that stands still must not stop
// packets. It is safe for concurrent use.
type Writer struct {
	lines chan []byte
	done  chan struct{}
	once  sync.Once
	// Dropped counts lines that didn't fit.
	Dropped atomic.Uint64
}

// queueLines is more than a second of lines at the bound of the settings.
const queueLines = 1024

// NewWriter starts writing to w. The clean-up function writes what is queued,
// for flushTimeout at most.
func NewWriter(w io.Writer) (*Writer, func()) {
	q := &Writer{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for b := range q.lines {
			if _, err := w.Write(b); err != nil {
				q.Dropped.Add(1) // There is nowhere to report it to but the counter.
			}
		}
	}()
	return q, q.close
}

// flushTimeout bounds the end of a process whose logs nobody reads.
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
	// A line may come from a goroutine that ends after the queue was closed.
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

// Setup sends the lines of klog to w, each once: by itself klog writes an error to
// the outputs of all lower severities too, and to standard error.
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

// Limiter bounds the lines of one kind in each second and counts those left out.
// It isn't safe for concurrent use.
type Limiter struct {
	perSecond int
	second    time.Time
	written   int
	left      uint64
}

// NewLimiter returns a limiter of so many lines a second.
func NewLimiter(perSecond int) *Limiter {
	return &Limiter{perSecond: perSecond}
}

// Allow reports whether a line may be written now, and how many were left out
// since the last one that was.
func (l *Limiter) Allow(now time.Time) (leftOut uint64, ok bool) {
	if now.Sub(l.second) >= time.Second {
		l.second, l.written = now, 0
	}
	if l.written >= l.perSecond {
		l.left++
		return 0, false
	}
	l.written++
	leftOut, l.left = l.left, 0
	return leftOut, true
}
