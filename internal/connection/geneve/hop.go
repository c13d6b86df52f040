package geneve

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/dchest/siphash"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

const (
	// hopClass is in the range for experimental use (RFC 8926, section 7).
	hopClass     = 0xff5c
	hopType      = 1
	criticalType = 0x80

	hopFixedBytes = 32
	tagBytes      = 8
	memberBytes   = 8
	// MaxReplicas is how many members one hop option names at most.
	MaxReplicas = 10
	// signedInner is how much of the inner packet the tag covers: the IP and
	// transport headers, which name the flow.
	signedInner = 48
)

// Kind says what a daemon asks of the next one.
type Kind uint8

// The kinds of a hop.
const (
	// KindNone is the kind of a packet that no daemon has seen yet.
	KindNone Kind = iota
	// KindForward asks the home to handle the packet.
	KindForward
	// KindAsk goes through the members that may hold the flow's record. One that
	// has it delivers the packet and tells the home.
	KindAsk
	// KindChoose asks the placer of the service for an upstream.
	KindChoose
	// KindChosen brings the packet back to the home with the upstream chosen.
	KindChosen
	// KindRefresh renews the flow's record at all who keep it, on the packet's way.
	KindRefresh
	// KindPropose tells a proposal, as KindLearn tells a record.
	KindPropose
	// KindLearn tells a record and carries only the headers of a packet.
	KindLearn
	kindEnd
)

// Flags qualify a hop.
type Flags uint8

// The flags of a hop.
const (
	// FlagAnswer marks a packet from the upstream to the caller.
	FlagAnswer Flags = 1 << iota
	// FlagPlace lets the last member asked record the proposed upstream.
	FlagPlace
	// FlagUnsure says that every holder of the flow's record may have died. Of a
	// record that is told, it says that it was made in such a case.
	FlagUnsure
	// FlagBackup marks a record told to a backup, not to a home.
	FlagBackup
	// FlagRetried marks the second placing of a TCP flow.
	FlagRetried
	// FlagConfirm asks who is told a record to tell it back.
	FlagConfirm
	// FlagFoundUnsure says that the record in Found was made when every holder of
	// an earlier one may have died.
	FlagFoundUnsure
	// FlagOverruled says that Upstream isn't what the home has proposed.
	FlagOverruled
)

// Hop is the option between daemons.
type Hop struct {
	Kind  Kind
	Flags Flags
	// Count is how often the packet was passed between daemons.
	Count uint8
	// Upstream is who sent the answer, or the upstream proposed or recorded.
	Upstream bundle.UpstreamID
	// Found is the newest record that those asked so far had, if there is doubt.
	Found bundle.UpstreamID
	// Placed is when the flow was placed at Found, or at Upstream if that is zero,
	// in seconds since 1970. Of two records of a flow the later one holds.
	Placed uint32
	// Owner is the member that is told who has the record.
	Owner uint64
	// Replicas are the members yet to be asked, the next one first.
	Replicas [MaxReplicas]uint64
	// NumReplicas is how many of Holders are set.
	NumReplicas uint8
}

// Has reports whether all of flags are set.
func (h *Hop) Has(flags Flags) bool {
	return h.Flags&flags == flags
}

// AddReplica appends a member that isn't there yet, as far as there is room.
func (h *Hop) AddReplica(id uint64) {
	for _, have := range h.Replicas[:h.NumReplicas] {
		if have == id {
			return
		}
	}
	if h.NumReplicas == MaxReplicas {
		return
	}
	h.Replicas[h.NumReplicas] = id
	h.NumReplicas++
}

// MoveLast puts a member at the end of the list, whether or not it is there.
func (h *Hop) MoveLast(id uint64) {
	kept := h.Replicas[:0]
	for _, have := range h.Replicas[:h.NumReplicas] {
		if have != id {
			kept = append(kept, have)
		}
	}
	if len(kept) == MaxReplicas {
		kept = kept[:MaxReplicas-1]
	}
	kept = append(kept, id)
	h.NumReplicas = uint8(len(kept))
}

// NextReplica takes the first holder off the list.
func (h *Hop) NextReplica() (uint64, bool) {
	if h.NumReplicas == 0 {
		return 0, false
	}
	id := h.Replicas[0]
	copy(h.Replicas[:], h.Replicas[1:h.NumReplicas])
	h.NumReplicas--
	return id, true
}

func (h *Hop) decode(b []byte) error {
	if len(b) < hopFixedBytes+tagBytes {
		return ErrHopOption
	}
	n := int(b[3])
	if n > MaxReplicas || len(b) != hopFixedBytes+n*memberBytes+tagBytes {
		return ErrHopOption
	}
	h.Kind = Kind(b[0])
	if h.Kind == KindNone || h.Kind >= kindEnd {
		return ErrHopOption
	}
	h.Flags = Flags(b[1])
	h.Count = b[2]
	h.NumReplicas = b[3]
	h.Upstream = bundle.UpstreamID(binary.BigEndian.Uint64(b[4:]))
	h.Owner = binary.BigEndian.Uint64(b[12:])
	h.Found = bundle.UpstreamID(binary.BigEndian.Uint64(b[20:]))
	h.Placed = binary.BigEndian.Uint32(b[28:])
	for i := range n {
		h.Replicas[i] = binary.BigEndian.Uint64(b[hopFixedBytes+i*memberBytes:])
	}
	return nil
}

func (h *Hop) append(b []byte, k *Key, vni bundle.VNI, inner []byte) []byte {
	n := hopFixedBytes + int(h.NumReplicas)*memberBytes + tagBytes
	b = binary.BigEndian.AppendUint16(b, hopClass)
	b = append(b, hopType|criticalType, byte(n/wordBytes))
	start := len(b)
	b = append(b, byte(h.Kind), byte(h.Flags), h.Count, h.NumReplicas)
	b = binary.BigEndian.AppendUint64(b, uint64(h.Upstream))
	b = binary.BigEndian.AppendUint64(b, h.Owner)
	b = binary.BigEndian.AppendUint64(b, uint64(h.Found))
	b = binary.BigEndian.AppendUint32(b, h.Placed)
	for _, id := range h.Replicas[:h.NumReplicas] {
		b = binary.BigEndian.AppendUint64(b, id)
	}
	return binary.BigEndian.AppendUint64(b, k.tag(vni, b[start:], inner))
}

// Key authenticates hops between the daemons of one installation.
type Key struct {
	k0, k1 uint64
}

// NewKey derives the key from a shared secret.
func NewKey(secret []byte) *Key {
	sum := sha256.Sum256(append([]byte("fescueshed hop 1\n"), secret...))
	return &Key{
		k0: binary.BigEndian.Uint64(sum[:]),
		k1: binary.BigEndian.Uint64(sum[8:]),
	}
}

// Verify reports whether the hop of h was written with the key for this inner
// packet. A packet without a hop doesn't verify.
func (k *Key) Verify(h *Header, inner []byte) bool {
	n := len(h.hopBytes) - tagBytes
	if n < 0 {
		return false
	}
	return k.tag(h.VNI, h.hopBytes[:n], inner) == binary.BigEndian.Uint64(h.hopBytes[n:])
}

func (k *Key) tag(vni bundle.VNI, option, inner []byte) uint64 {
	inner = inner[:min(len(inner), signedInner)]
	return siphash.Hash(k.k0^uint64(vni), k.k1, option) ^ siphash.Hash(k.k0, k.k1^uint64(vni), inner)
}
