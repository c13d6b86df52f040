package caller

import (
	"sync"
	"sync/atomic"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Seconds is a time in whole seconds since the daemon's process started.
type Seconds uint32

// RecordState says how sure a record is.
type RecordState uint8

// The states of a record.
const (
	// StateTentative is a placing that no other member has confirmed yet.
	StateTentative RecordState = iota + 1
	// StateCommitted is a record that its backup knows, or that came from a holder.
	StateCommitted
	// StateDeferred is a flow that isn't placed yet, since its home is beyond a cut and
	// may have placed it there.
	StateDeferred
	// StateEnded keeps a closed TCP flow for its last segments.
	StateEnded
)

// RecordFlags qualify a record.
type RecordFlags uint16

// The flags of a record.
const (
	// RecordBackup marks a record that is kept for another daemon.
	RecordBackup RecordFlags = 1 << iota
	// RecordUncertain marks a flow that was placed while an earlier record of it
	// may have been lost.
	RecordUncertain
	// RecordForwarded marks a TCP flow of which a payload byte went to the upstream.
	RecordForwarded
	// RecordAnswered marks a flow whose upstream has answered.
	RecordAnswered
	// RecordRetried marks a TCP flow that was placed a second time.
	RecordRetried
	// RecordFinCaller and RecordFinUpstream mark the half-closed sides of TCP.
	RecordFinCaller
	RecordFinUpstream
	// RecordCounted marks a record that counts as a flow in its upstream's load.
	RecordCounted
	// RecordLocal marks a flow that this daemon has decided for since its first
	// packet, so that it knows all its open requests.
	RecordLocal
	// RecordUnconfirmed marks a record whose home has proposed it but hasn't said
	// that it holds.
	RecordUnconfirmed
)

// Record is what is known of one flow: 32 bytes beside its key of 40.
type Record struct {
	Upstream bundle.UpstreamID
	// LastSeen is when the last packet passed.
	LastSeen Seconds
	// PlacedAt is when the flow was placed, in seconds since 1970. A flow that was
	// placed again, since its holders seemed dead, has two records until they
	// meet; the later one holds.
	PlacedAt uint32
	// ConfirmedAt is when the other holder last confirmed the record. While a flow is
	// held it counts the packets held.
	ConfirmedAt Seconds
	// ReplicaTag is the tag of the other holder, home or backup, that has confirmed the
	// record, or zero. While a flow is held it names the message held.
	ReplicaTag uint32
	Flags      RecordFlags
	State      RecordState
	// CheckedView and ReplicatedView are numbers of views: that under which the other
	// holder was last found to be the right one, and that under which the other
	// zones were told. They wrap; renewing the record mends what that hides.
	CheckedView, ReplicatedView uint8
	// PauseCount is the number of this process's pauses when the record was last
	// known to hold.
	PauseCount uint8
}

const (
	shardBits = 6
	numShards = 1 << shardBits
	// chunkRecords is how many entries a shard allocates at once, so that
	// growing neither copies records nor doubles their memory.
	chunkBits    = 8
	chunkRecords = 1 << chunkBits
	minIndex     = 64
	// An index is at most 4/5 full: linear probing stays short up to there.
	loadNum, loadDen = 4, 5
)

// slot is a place in an index: one more than the entry's number in the low 24
// bits, and 8 bits of its hash above, so that probing reads no entry of another
// key from memory. Zero is empty.
type slot uint32

const (
	slotBits   = 24
	maxEntries = 1<<slotBits - 2
	hashShift  = 48
)

func newSlot(n uint32, h peer.FlowHash) slot {
	return slot(uint8(h>>hashShift))<<slotBits | slot(n+1)
}

func (s slot) entry() uint32 { return uint32(s)&(1<<slotBits-1) - 1 }

func (s slot) matches(h peer.FlowHash) bool { return uint8(s>>slotBits) == uint8(h>>hashShift) }

type entry struct {
	key Key
	rec Record
}

// Table holds records by key. It is safe for concurrent use: each shard has a
// mutex, no two of which are held at once and none while anything else is
// locked, so there is no lock order to break.
type Table struct {
	shards [numShards]shard
	count  atomic.Int64
}

// shard is an open-addressing index into chunks of entries.
type shard struct {
	mu     sync.Mutex
	index  []slot
	chunks [][]entry
	free   []uint32
	used   uint32
	count  int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{}
}

// Len returns the number of records.
func (t *Table) Len() int {
	return int(t.count.Load())
}

func (t *Table) shard(h peer.FlowHash) *shard {
	return &t.shards[h>>(64-shardBits)]
}

// Get returns the record of a flow.
func (t *Table) Get(k *Key, h peer.FlowHash) (Record, bool) {
	s := t.shard(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.find(k, h); n >= 0 {
		return s.entry(s.index[n].entry()).rec, true
	}
	return Record{}, false
}

// Update calls f with the record of a flow, or with a zero record and false if
// there is none. The record is kept as f leaves it if f returns true, and
// removed (or not made) if it returns false. f must not use the table.
func (t *Table) Update(k *Key, h peer.FlowHash, f func(r *Record, found bool) bool) {
	s := t.shard(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.find(k, h)
	if n >= 0 {
		if !f(&s.entry(s.index[n].entry()).rec, true) {
			s.remove(n)
			t.count.Add(-1)
		}
		return
	}
	var r Record
	if f(&r, false) && s.insert(k, h, r) {
		t.count.Add(1)
	}
}

// Visit calls f for the records of one shard, numbered from 0 to Shards()-1, and
// removes those for which it returns false.
func (t *Table) Visit(n int, f func(k *Key, r *Record) bool) {
	s := &t.shards[n]
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 0; i < len(s.index); {
		if s.index[i] == 0 {
			i++
			continue
		}
		e := s.entry(s.index[i].entry())
		if f(&e.key, &e.rec) {
			i++
			continue
		}
		s.remove(i) // Moves a later entry to i, which is visited next.
		t.count.Add(-1)
	}
}

// Shards returns the number of parts that Visit takes.
func (t *Table) Shards() int { return numShards }

func (s *shard) entry(n uint32) *entry {
	return &s.chunks[n>>chunkBits][n&(chunkRecords-1)]
}

// find returns the place of a key in the index, or -1.
func (s *shard) find(k *Key, h peer.FlowHash) int {
	if len(s.index) == 0 {
		return -1
	}
	mask := uint64(len(s.index) - 1)
	for i := uint64(h) & mask; s.index[i] != 0; i = (i + 1) & mask {
		if s.index[i].matches(h) && s.entry(s.index[i].entry()).key == *k {
			return int(i)
		}
	}
	return -1
}

// insert adds a record. It returns false if the shard holds as many as slots can
// number, a billion in the whole table; the flow is then as one without record.
func (s *shard) insert(k *Key, h peer.FlowHash, r Record) bool {
	if s.count == maxEntries {
		return false
	}
	if (s.count+1)*loadDen > len(s.index)*loadNum {
		s.grow()
	}
	n := s.alloc()
	*s.entry(n) = entry{key: *k, rec: r}
	s.place(n, h)
	s.count++
	return true
}

func (s *shard) place(n uint32, h peer.FlowHash) {
	mask := uint64(len(s.index) - 1)
	i := uint64(h) & mask
	for s.index[i] != 0 {
		i = (i + 1) & mask
	}
	s.index[i] = newSlot(n, h)
}

func (s *shard) alloc() uint32 {
	if last := len(s.free) - 1; last >= 0 {
		n := s.free[last]
		s.free = s.free[:last]
		return n
	}
	if s.used == uint32(len(s.chunks)<<chunkBits) {
		s.chunks = append(s.chunks, make([]entry, chunkRecords))
	}
	s.used++
	return s.used - 1
}

func (s *shard) grow() {
	old := s.index
	s.index = make([]slot, max(minIndex, 2*len(old)))
	for _, at := range old {
		if at != 0 {
			n := at.entry()
			s.place(n, s.entry(n).key.Hash())
		}
	}
}

// remove empties a place and moves later entries of the same run back, so that
// probing never stops short of one.
func (s *shard) remove(i int) {
	s.free = append(s.free, s.index[i].entry())
	s.count--
	mask := len(s.index) - 1
	for j := (i + 1) & mask; s.index[j] != 0; j = (j + 1) & mask {
		want := int(uint64(s.entry(s.index[j].entry()).key.Hash()) & uint64(mask))
		if (j-want)&mask >= (j-i)&mask {
			s.index[i] = s.index[j]
			i = j
		}
	}
	s.index[i] = 0
}
