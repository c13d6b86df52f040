package peer

import (
	"encoding/binary"
	"net/netip"
	"sync"
	"time"
)

// A message that is longer than a datagram is compressed and sent in fragments. Each begins with the
// number of the message, which its sender uses once, the fragment's index and the number of fragments.
const (
	fragmentHeaderBytes = 8 + 1 + 1
	maxFragmentBytes    = MaxMessageBytes - fragmentHeaderBytes
	// maxFragments bounds the fragments of a message. Longer content is fetched, see Catalog.
	maxFragments = 48
	// maxPartialMessages bounds the messages of which fragments are missing, partialMessageTTL how
	// long they are kept.
	maxPartialMessages = 64
	partialMessageTTL  = time.Second
)

// Fragment returns the fragments of a message. number must be different for each message of this
// sender. It returns ErrMessage if the message is too long.
func Fragment(number uint64, message []byte) ([][]byte, error) {
	packed, err := Pack(message)
	if err != nil {
		return nil, err
	}
	count := (len(packed) + maxFragmentBytes - 1) / maxFragmentBytes
	if count > maxFragments {
		return nil, ErrMessage
	}
	out := make([][]byte, 0, count)
	for i := range count {
		part := packed[i*maxFragmentBytes : min(len(packed), (i+1)*maxFragmentBytes)]
		b := binary.BigEndian.AppendUint64(make([]byte, 0, fragmentHeaderBytes+len(part)), number)
		out = append(out, append(append(b, byte(i), byte(count)), part...))
	}
	return out, nil
}

// messageID identifies a message in fragments.
type messageID struct {
	from   netip.AddrPort
	number uint64
}

// partialMessage holds the fragments that have arrived of a message.
type partialMessage struct {
	since   time.Time
	parts   [][]byte
	missing int
}

// Reassembler puts messages together from their fragments. It is safe for concurrent use.
type Reassembler struct {
	mu      sync.Mutex
	partial map[messageID]*partialMessage
}

// NewReassembler returns a Reassembler without fragments.
func NewReassembler() *Reassembler {
	return &Reassembler{partial: make(map[messageID]*partialMessage)}
}

// Add adds a fragment that arrived from an address. It returns the message, which isn't
// authenticated, once all its fragments have arrived. A fragment that isn't valid is ignored.
func (r *Reassembler) Add(from netip.AddrPort, b []byte, now time.Time) (message []byte, complete bool) {
	if len(b) <= fragmentHeaderBytes {
		return nil, false
	}
	id := messageID{from: from, number: binary.BigEndian.Uint64(b)}
	index, count := int(b[8]), int(b[9])
	if count > maxFragments || index >= count {
		return nil, false
	}
	packed := r.put(id, index, count, b[fragmentHeaderBytes:], now)
	if packed == nil {
		return nil, false
	}
	message, err := Packed[[]byte](packed).Unpack()
	return message, err == nil && len(message) > 0
}

// put stores a fragment. It returns all fragments of its message joined once none is missing.
func (r *Reassembler) put(id messageID, index, count int, part []byte, now time.Time) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.partial[id]
	if p == nil {
		r.expire(now)
		if len(r.partial) >= maxPartialMessages {
			return nil
		}
		p = &partialMessage{since: now, parts: make([][]byte, count), missing: count}
		r.partial[id] = p
	}
	if len(p.parts) != count || p.parts[index] != nil {
		return nil
	}
	p.parts[index] = append([]byte(nil), part...)
	p.missing--
	if p.missing > 0 {
		return nil
	}
	delete(r.partial, id)
	var out []byte
	for _, b := range p.parts {
		out = append(out, b...)
	}
	return out
}

// expire removes the messages whose fragments didn't arrive in time.
func (r *Reassembler) expire(now time.Time) {
	for id, p := range r.partial {
		if now.Sub(p.since) > partialMessageTTL {
			delete(r.partial, id)
		}
	}
}
