package transfer

import (
	"cmp"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Limits bound one transfer. The zero value sets no bound.
type Limits struct {
	// FirstByteTimeout is how long the answer may take to begin. If it is zero, only the context of the caller
	// bounds the transfer, and the other limits have no effect.
	FirstByteTimeout time.Duration
	// StallTimeout is how long no data may arrive once the answer has begun, DefaultStallTimeout if it is zero.
	StallTimeout time.Duration
	// MaxDuration is how long the rest of the answer may take, DefaultMaxDuration if it is zero.
	MaxDuration time.Duration
}

const (
	// DefaultStallTimeout is the time of three retransmissions on a link that loses packets. A connection
	// that dies in the middle of an answer costs this long.
	DefaultStallTimeout = 700 * time.Millisecond
	// DefaultMaxDuration bounds a transfer whose data arrives in small pieces, which would otherwise delay all
	// later transfers. The largest answer, four megabytes, takes this long on a third of the users' slowest link,
	// which has 10 Mbit/s.
	DefaultMaxDuration = 10 * time.Second
)

// ErrStalled is the cause of the end of a transfer that exceeded one of its limits: it didn't begin, stopped or
// took too long.
var ErrStalled = eris.New("transfer: nothing arrives any more")

// Transfer is one answer in progress. Bytes is safe for concurrent use. Begin, the use of the Reader and End must
// follow each other.
type Transfer struct {
	counts   *Counts
	limits   Limits
	received atomic.Uint64
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// stallTimer ends the transfer unless data arrives and resets it, endTimer ends it in any case.
	stallTimer, endTimer *time.Timer
}

// Begin starts a transfer. The returned context is cancelled when the transfer exceeds a limit, with ErrStalled as
// its cause. End must be called.
func (c *Counts) Begin(ctx context.Context, l Limits) (context.Context, *Transfer) {
	c.Begun.Add(1)
	ctx, cancel := context.WithCancelCause(ctx)
	t := &Transfer{counts: c, limits: l, ctx: ctx, cancel: cancel}
	abort := func() { cancel(ErrStalled) }
	if l.FirstByteTimeout > 0 {
		t.stallTimer = time.AfterFunc(l.FirstByteTimeout, abort)
		t.endTimer = time.AfterFunc(l.FirstByteTimeout+cmp.Or(l.MaxDuration, DefaultMaxDuration), abort)
	}
	return ctx, t
}

// Bytes returns how many bytes have been received.
func (t *Transfer) Bytes() uint64 { return t.received.Load() }

// Reader returns a reader of r that counts the bytes received and restarts the stall timeout with each read that
// returns data.
func (t *Transfer) Reader(r io.Reader) io.Reader { return reader{t: t, r: r} }

// End records how the transfer ended; err is nil if it succeeded. It returns nil, err, or ErrStalled if the transfer
// exceeded a limit.
func (t *Transfer) End(err error) error {
	if t.stallTimer != nil {
		t.stallTimer.Stop()
		t.endTimer.Stop()
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

func (t *Transfer) addBytes(n int) {
	t.received.Add(uint64(n))
	t.counts.Bytes.Add(uint64(n))
	if n > 0 && t.stallTimer != nil {
		t.stallTimer.Reset(cmp.Or(t.limits.StallTimeout, DefaultStallTimeout))
	}
}

type reader struct {
	t *Transfer
	r io.Reader
}

// Read implements io.Reader.
func (r reader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	r.t.addBytes(n)
	return n, err
}
