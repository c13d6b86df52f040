package peer

import (
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// ErrReplayed is returned for a message that was received before, or that is older than what
// could still be told apart.
var ErrReplayed = eris.New("peer: message was received before")

// replayWindow is how many numbers below the highest one are told apart. A daemon that reads the
// store for a zone of 300 sends each of its members one message of 300, so a datagram that is
// passed by the next one is 300 numbers behind.
const replayWindow = 1024

// maxSenders bounds the senders that are remembered: those of the largest fleet in one cell,
// each with some restarts.
const maxSenders = 4096

// window is what was received of one sender (RFC 4303, section 3.4.3).
type window struct {
	highest uint64
	seen    [replayWindow / 64]uint64
}

// fresh reports whether a number is new, and notes it.
func (w *window) fresh(n uint64) bool {
	switch {
	case n > w.highest:
		w.advance(n)
	case w.highest-n >= replayWindow || w.seen[n/64%uint64(len(w.seen))]&(1<<(n%64)) != 0:
		return false
	}
	w.seen[n/64%uint64(len(w.seen))] |= 1 << (n % 64)
	return true
}

// advance clears what leaves the window.
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

// SequencedCodec is a Codec whose messages carry a number of their sender's run, so that one that
// somebody recorded and sends again is refused. Without it, old news that come again would look
// fresh: members would wait for a reader of the store that is gone, and keep an old bundle.
// It is safe for concurrent use.
type SequencedCodec[T any, P checked[T]] struct {
	*Codec[T, P]
	// run tells one start of the sender from the next.
	run  uint64
	last atomic.Uint64

	// mu guards what follows. It is a leaf.
	mu   sync.Mutex
	from map[uint64]*window
}

// numberBytes are those of a run and a number, big-endian, before the authentication code.
const numberBytes = 16

// NewSequencedCodec returns a codec like NewCodec for messages that arrive once.
func NewSequencedCodec[T any, P checked[T]](keys Keys, d Domain) (*SequencedCodec[T, P], error) {
	c, err := NewCodec[T, P](keys.Seal, d)
	if err != nil {
		return nil, err
	}
	c.SetKeys(keys)
	return &SequencedCodec[T, P]{Codec: c, run: rand.Uint64(), from: make(map[uint64]*window)}, nil
}

// Encode writes a message with the next number.
func (c *SequencedCodec[T, P]) Encode(m P) ([]byte, error) {
	b, err := c.enc.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "peer")
	}
	b = binary.BigEndian.AppendUint64(b, c.run)
	b = binary.BigEndian.AppendUint64(b, c.last.Add(1))
	return c.seal(b), nil
}

// Decode checks and reads what Encode wrote. It returns ErrReplayed for what came before.
func (c *SequencedCodec[T, P]) Decode(b []byte) (P, error) {
	b, err := c.open(b)
	if err != nil {
		return nil, err
	}
	n := len(b) - numberBytes
	if n < 0 {
		return nil, ErrMessage
	}
	if !c.fresh(binary.BigEndian.Uint64(b[n:]), binary.BigEndian.Uint64(b[n+8:])) {
		return nil, ErrReplayed
	}
	return c.read(b[:n])
}

func (c *SequencedCodec[T, P]) fresh(run, number uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.from[run]
	if w == nil {
		if len(c.from) >= maxSenders {
			clear(c.from) // Only members get here; runs of long ago are most of them.
		}
		w = &window{}
		c.from[run] = w
	}
	return w.fresh(number)
}
