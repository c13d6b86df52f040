package transfer_test

import (
	"context"
	"io"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/version/transfer"
)

// patience bounds what is awaited; how long it took isn't judged.
const patience = 30 * time.Second

// drops brings a byte each time, as often as left says, and then nothing until the transfer is given
// up.
type drops struct {
	ctx  context.Context
	left int
}

// Read implements io.Reader.
func (d *drops) Read(b []byte) (int, error) {
	pause := time.Millisecond
	if d.left == 0 {
		pause = time.Hour
	}
	d.left--
	select {
	case <-d.ctx.Done():
		return 0, d.ctx.Err()
	case <-time.After(pause):
		return copy(b, "."), nil
	}
}

// A daemon fetches one catalog at once. Each of these answers would hold up all that it is told later.
func TestTransferIsGivenUp(t *testing.T) {
	for name, tc := range map[string]struct {
		limits transfer.Limits
		left   int
	}{
		"one that doesn't begin": {
			limits: transfer.Limits{FirstByteTimeout: 50 * time.Millisecond, StallTimeout: time.Hour, MaxDuration: time.Hour},
		},
		"one that stops": {
			limits: transfer.Limits{FirstByteTimeout: time.Hour, StallTimeout: time.Second, MaxDuration: time.Hour},
			left:   3,
		},
		"one that comes in drops": {
			limits: transfer.Limits{FirstByteTimeout: time.Second, StallTimeout: time.Hour, MaxDuration: 100 * time.Millisecond},
			left:   math.MaxInt,
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var counts transfer.Counts
			ctx, tr := counts.Begin(t.Context(), tc.limits)
			ended := make(chan error, 1)
			go func() {
				_, err := io.Copy(io.Discard, tr.Reader(&drops{ctx: ctx, left: tc.left}))
				ended <- tr.End(err)
			}()
			g.Eventually(ended, patience).Should(Receive(MatchError(transfer.ErrStalled)))
			g.Expect(counts.Failed.Load()).To(BeEquivalentTo(1))
			g.Expect(counts.Wasted.Load()).To(Equal(counts.Bytes.Load()))
		})
	}
}

// The caller ends, as when a daemon is stopped. That is no trouble of the link.
func TestTransferThatItsCallerEndsDidNotStall(t *testing.T) {
	g := NewWithT(t)
	var counts transfer.Counts
	parent, cancel := context.WithCancel(t.Context())
	ctx, tr := counts.Begin(parent, transfer.Limits{FirstByteTimeout: time.Hour, StallTimeout: time.Hour})
	cancel()
	_, err := io.Copy(io.Discard, tr.Reader(&drops{ctx: ctx}))
	g.Expect(tr.End(err)).To(MatchError(context.Canceled))
}
