package peer

import (
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// ErrReplayed is returned for a message that was received before, or whose number is too old to
// tell whether it was.
var ErrReplayed = eris.New("peer: replayed message")

// replayWindow is how many numbers below the highest one are tracked. A daemon that reads the store
// for a zone of 300 sends each of its members one message out of 300, so a datagram that is
// overtaken by the next one is 300 numbers behind.
const replayWindow = 1024

// maxSenders bounds the number of tracked senders: those of the largest fleet in one cell, each
// with a few restarts.
const maxSenders = 4096

// window is the anti-replay window of one sender (RFC 4303, section 3.4.3).
type window struct {
	highest uint64
	seen    [replayWindow / 64]uint64
}

// accept reports whether a number is new, and marks it as received.
func (w *window) accept(n uint64) bool {
	switch {
	case n > w.highest:
		w.advance(n)
	case w.highest-n >= replayWindow || w.seen[n/64%uint64(len(w.seen))]&(1<<(n%64)) != 0:
		return false
	}
	w.seen[n/64%uint64(len(w.seen))] |= 1 << (n % 64)
	return true
}

// advance moves the window up to n and clears the numbers that it takes in.
func (w *window) advance(n uint64) {
	from, to := w.highest/64+1, n/64
	if to-w.highest/64 >= uint64(len(w.seen)) {
		w.seen = [replayWindow / 64]uint64{}
	} else {
		for i := from; i <= to; i++ {
			w.seen[i%uint64(len(w.seen))] = 0
		}
	}
	w.highest = n
}

// SequencedCodec is a Codec whose messages carry a sequence number and an identifier of the
// sender's run, so that a message that somebody recorded and sends again is refused. Otherwise an
// old advertisement that is replayed would look recent: members would wait for a store reader that
// has died, and keep an old bundle. It is safe for concurrent use.
type SequencedCodec[T any, P checked[T]] struct {
	*Codec[T, P]
	// run distinguishes one start of the sender from the next.
	run        uint64
	lastNumber atomic.Uint64

	// mu guards windows. It is a leaf: no other lock is taken while it is held.
	mu      sync.Mutex
	windows map[uint64]*window
}

// numberBytes is the size of a run and a number, both big-endian, which precede the authentication
// code.
const numberBytes = 16

// NewSequencedCodec returns a codec like NewCodec whose messages are accepted only once.
func NewSequencedCodec[T any, P checked[T]](keys Keys, d Domain) (*SequencedCodec[T, P], error) {
	c, err := NewCodec[T, P](keys.Seal, d)
	if err != nil {
		return nil, err
	}
	c.SetKeys(keys)
	return &SequencedCodec[T, P]{Codec: c, run: rand.Uint64(), windows: make(map[uint64]*window)}, nil
}

// Encode returns the encoded message with the next sequence number and its authentication code.
func (c *SequencedCodec[T, P]) Encode(m P) ([]byte, error) {
	b, err := c.enc.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "peer: encode message")
	}
	b = binary.BigEndian.AppendUint64(b, c.run)
	b = binary.BigEndian.AppendUint64(b, c.lastNumber.Add(1))
	return c.seal(b), nil
}

// Decode authenticates, decodes and checks a message that Encode returned. It returns ErrReplayed
// for a message that was received before.
func (c *SequencedCodec[T, P]) Decode(b []byte) (P, error) {
	b, err := c.open(b)
	if err != nil {
		return nil, err
	}
	n := len(b) - numberBytes
	if n < 0 {
		return nil, ErrMessage
	}
	if !c.accept(binary.BigEndian.Uint64(b[n:]), binary.BigEndian.Uint64(b[n+8:])) {
		return nil, ErrReplayed
	}
	return c.unmarshal(b[:n])
}

func (c *SequencedCodec[T, P]) accept(run, number uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.windows[run]
	if w == nil {
		if len(c.windows) >= maxSenders {
			clear(c.windows) // Only members' messages get here, so most entries are of runs that ended long ago.
		}
		w = &window{}
		c.windows[run] = w
	}
	return w.accept(number)
}
