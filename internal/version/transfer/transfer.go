package transfer

import (
	"cmp"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Limits bound one transfer. The zero value is no bound.
type Limits struct {
	// FirstByteTimeout is how long the answer may take to begin, zero if only the caller's context bounds the
	// transfer.
	FirstByteTimeout time.Duration
	// StallTimeout is how long nothing of it may arrive once it has begun.
	StallTimeout time.Duration
	// MaxDuration is how long the rest of it may take, DefaultLongest if it is zero.
	MaxDuration time.Duration
}

const (
	// DefaultStallTimeout is three retransmissions on a link that loses packets. A connection that went
	// silent in the middle of an answer costs this long.
	DefaultStallTimeout = 700 * time.Millisecond
	// DefaultMaxDuration ends a transfer that comes in drops, which would else hold up all later ones. It
	// is what four megabytes, the largest answer, take on a third of the users' thinnest link, 10
	// Mbit/s.
	DefaultMaxDuration = 10 * time.Second
)

// ErrStalled is the cause of the end of a transfer that didn't begin, stopped or took longer than
// any answer does.
var ErrStalled = eris.New("transfer: nothing arrives any more")

// Transfer is one answer under way. Bytes is safe for concurrent use; Begin, reading and End follow
// each other.
type Transfer struct {
	counts *Counts
	limits Limits
	read   atomic.Uint64
	ctx    context.Context
	cancel context.CancelCauseFunc
	// stall ends the transfer unless it is put off, end in any case.
	stall, end *time.Timer
}

// Begin starts to wait for an answer. The context that it returns ends when the transfer is to be
// given up. End must be called.
func (c *Counts) Begin(ctx context.Context, l Limits) (context.Context, *Transfer) {
	c.Begun.Add(1)
	ctx, cancel := context.WithCancelCause(ctx)
	t := &Transfer{counts: c, limits: l, ctx: ctx, cancel: cancel}
	giveUp := func() { cancel(ErrStalled) }
	if l.FirstByteTimeout > 0 {
		t.stall = time.AfterFunc(l.FirstByteTimeout, giveUp)
		t.end = time.AfterFunc(l.FirstByteTimeout+cmp.Or(l.MaxDuration, DefaultMaxDuration), giveUp)
	}
	return ctx, t
}

// Bytes returns how many bytes have arrived.
func (t *Transfer) Bytes() uint64 { return t.read.Load() }

// Reader returns r, each part of which puts the end of the transfer off.
func (t *Transfer) Reader(r io.Reader) io.Reader { return reader{t: t, r: r} }

// End notes how the transfer ended. It returns the error with its cause.
func (t *Transfer) End(err error) error {
	if t.stall != nil {
		t.stall.Stop()
		t.end.Stop()
	}
	if err == nil {
		t.cancel(nil)
		return nil
	}
	t.counts.Failed.Add(1)
	t.counts.Wasted.Add(t.Bytes())
	if eris.Is(context.Cause(t.ctx), ErrStalled) {
		err = eris.Wrapf(ErrStalled, "after %d bytes", t.Bytes())
	}
	t.cancel(nil)
	return err
}

func (t *Transfer) arrived(n int) {
	t.read.Add(uint64(n))
	t.counts.Bytes.Add(uint64(n))
	if n > 0 && t.stall != nil && t.limits.StallTimeout > 0 {
		t.stall.Reset(t.limits.StallTimeout)
	}
}

type reader struct {
	t *Transfer
	r io.Reader
}

// Read implements io.Reader.
func (r reader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	r.t.arrived(n)
	return n, err
}
