package caller

import (
	"sync"
	"sync/atomic"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Seconds is a time in whole seconds since the daemon's process started.
type Seconds uint32

// RecordState says how far the placement of a flow is agreed.
type RecordState uint8

// The states of a record.
const (
	// StateTentative is a proposed placement that no other member has confirmed yet.
	StateTentative RecordState = iota + 1
	// StateCommitted is a record that its backup has too, or that was received from a
	// member that held it.
	StateCommitted
	// StateDeferred is a flow that isn't placed yet, because its owner is on the other
	// side of a network partition and may have placed it there.
	StateDeferred
	// StateEnded is a closed TCP flow whose record is kept for its last segments.
	StateEnded
)

// RecordFlags qualify a record.
type RecordFlags uint16

// The flags of a record.
const (
	// RecordBackup marks a record that is kept as a replica for another daemon.
	RecordBackup RecordFlags = 1 << iota
	// RecordUncertain marks a flow that was placed while an earlier record of it may
	// have been lost.
	RecordUncertain
	// RecordForwarded marks a TCP flow of which payload was forwarded to the upstream.
	RecordForwarded
	// RecordAnswered marks a flow whose upstream has answered.
	RecordAnswered
	// RecordRetried marks a TCP flow that was placed a second time.
	RecordRetried
	// RecordFinCaller and RecordFinUpstream mark a TCP flow whose caller or upstream
	// has sent a FIN.
	RecordFinCaller
	RecordFinUpstream
	// RecordCounted marks a record that is counted as a flow in its upstream's load.
	RecordCounted
	// RecordLocal marks a flow on which this daemon has decided since its first packet,
	// so that it knows all its open requests.
	RecordLocal
	// RecordUnconfirmed marks a record that its owner has proposed but not yet
	// confirmed.
	RecordUnconfirmed
)

// Record is what a member knows of one flow: 32 bytes beside its key of 40 bytes.
type Record struct {
	Upstream bundle.UpstreamID
	// LastSeen is when the last packet of the flow passed, or the record was last
	// renewed.
	LastSeen Seconds
	// PlacedAt is when the flow was placed, in seconds since 1970. A flow that was
	// placed again because the members with its record seemed dead has two records
	// until one member receives both; the later one is valid.
	PlacedAt uint32
	// ReplicatedAt is when the record was last sent to the members that keep its
	// replicas, or confirmed by one of them. Until the placer of a new flow has
	// replied, it is when the record was made. In a deferred flow it counts the copies
	// of the message.
	ReplicatedAt Seconds
	// ReplicaTag is the tag of the other member, owner or backup, that has confirmed
	// the record, or zero. In a deferred flow it identifies the message.
	ReplicaTag uint32
	Flags      RecordFlags
	State      RecordState
	// CheckedView and ReplicatedView are numbers of views: CheckedView of the view
	// under which ReplicaTag was last found to be the right member, ReplicatedView of
	// the view under which the record was sent to the replicas of the other zones. The
	// numbers wrap; an update that is skipped because two views have the same number is
	// made up for when the record is renewed.
	CheckedView, ReplicatedView uint8
	// PauseCount is the number of this process's pauses, modulo 256, when the record
	// was last known to be valid.
	PauseCount uint8
}

const (
	// shardBits is how many high bits of a flow's hash choose its shard.
	shardBits = 6
	numShards = 1 << shardBits
	// chunkRecords is how many entries a shard allocates together, so that growing
	// neither copies records nor doubles their memory.
	chunkBits    = 8
	chunkRecords = 1 << chunkBits
	// minIndex is the number of slots of a shard's first index.
	minIndex = 64
	// An index is at most 4/5 full; up to there linear probing needs few steps.
	loadNum, loadDen = 4, 5
)

// slot is an element of an index: one more than the entry's number in the low 24 bits,
// and 8 bits of the entry's hash above them, so that probing seldom reads an entry of
// another key from memory. Zero is empty.
type slot uint32

const (
	// slotBits is the width of the entry's number in a slot.
	slotBits = 24
	// maxEntries is the largest number of entries in a shard.
	maxEntries = 1<<slotBits - 2
	// hashShift is the number of the lowest of the 8 bits of a hash that a slot holds.
	hashShift = 48
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

// Table holds records by key. It is safe for concurrent use: each shard has a mutex, and
// no two of them are held at the same time. The functions passed to Update and Visit run
// while a shard's mutex is held. The engine's take no other lock there than the mutex of
// its LoadTable.
type Table struct {
	shards [numShards]shard
	count  atomic.Int64
}

// shard is an open-addressing index into chunks of entries.
type shard struct {
	mu     sync.Mutex
	index  []slot
	chunks [][]entry
	// free holds the numbers of the entries that are free again, used is how many were ever
	// taken from the chunks, count how many hold a record.
	free  []uint32
	used  uint32
	count int
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

// Update calls f with the record of a flow, or with a zero record and false if there is
// none. If f returns true, the record is stored as f leaves it; if f returns false, it
// is removed or not created. f must not use the table.
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

// Visit calls f for each record of one shard, numbered from 0 to Shards()-1, and
// removes the records for which f returns false.
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

// Shards returns the number of shards.
func (t *Table) Shards() int { return numShards }

func (s *shard) entry(n uint32) *entry {
	return &s.chunks[n>>chunkBits][n&(chunkRecords-1)]
}

// find returns the position of a key in the index, or -1.
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

// insert adds a record. It returns false if the shard holds as many records as a slot
// can number, which is a billion in the whole table; the flow is then handled as one
// without a record.
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

// place puts entry n into the first empty slot for its hash.
func (s *shard) place(n uint32, h peer.FlowHash) {
	mask := uint64(len(s.index) - 1)
	i := uint64(h) & mask
	for s.index[i] != 0 {
		i = (i + 1) & mask
	}
	s.index[i] = newSlot(n, h)
}

// alloc returns the number of a free entry.
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

// grow doubles the index, or makes the first one.
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

// remove empties a position and moves later entries of the same run back, so that
// probing never stops before one of them.
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
