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
	// MaxToVisit is the largest number of members that one hop option can list.
	MaxToVisit = 10
	// signedInner is how many bytes of the inner packet the tag covers: the IP and
	// transport headers, which identify the flow.
	signedInner = 48
)

// Kind says what a daemon asks the next daemon to do with the packet.
type Kind uint8

// The kinds of a hop.
const (
	// KindNone is the kind of a packet without a hop option, which no daemon has
	// handled yet.
	KindNone Kind = iota
	// KindForward asks the owner of the flow to handle the packet.
	KindForward
	// KindQuery sends the packet through the members that may hold a replica of the
	// flow's record. A member that has the record delivers the packet and sends the
	// record to the owner.
	KindQuery
	// KindPlacementRequest asks the placer of the service to choose an upstream.
	KindPlacementRequest
	// KindPlacementReply returns the packet to the owner with the upstream that the
	// placer chose.
	KindPlacementReply
	// KindRefresh renews the record at all members that keep a replica of it, while the
	// packet passes through them on its way.
	KindRefresh
	// KindPropose sends a proposal, as KindReplicate sends a record.
	KindPropose
	// KindReplicate sends a record. The inner packet has only the headers of a packet
	// of the flow.
	KindReplicate
	kindEnd
)

// Flags qualify a hop.
type Flags uint8

// The flags of a hop.
const (
	// FlagAnswer marks a packet from the upstream to the caller.
	FlagAnswer Flags = 1 << iota
	// FlagPlace allows the last member queried to commit the proposed upstream.
	FlagPlace
	// FlagUncertain says that all replicas of the flow's record may have been lost. In
	// a record that is sent, it says that the record was made in such a case.
	FlagUncertain
	// FlagBackup marks a record that is sent to a backup and not to an owner.
	FlagBackup
	// FlagRetried marks the second placement of a TCP flow.
	FlagRetried
	// FlagConfirm asks the receiver of a record to send it back as a confirmation.
	FlagConfirm
	// FlagFoundUncertain says that the record in Found was made when all replicas of an
	// earlier record may have been lost.
	FlagFoundUncertain
	// FlagOverridden says that Upstream isn't the upstream that the owner proposed.
	FlagOverridden
)

// Hop is the Geneve option that daemons add to packets that they send to each other.
type Hop struct {
	Kind  Kind
	Flags Flags
	// Count is how many times the packet was sent from one daemon to another.
	Count uint8
	// Upstream is the upstream that sent the answer, or the upstream that is proposed
	// or recorded for the flow.
	Upstream bundle.UpstreamID
	// Found is the upstream in the newest record that the owner and the members queried
	// so far hold. It is set only if that record may be outdated and the remaining members must be
	// queried too.
	Found bundle.UpstreamID
	// PlacedAt is when the flow was placed at Found, or at Upstream if Found is zero,
	// in seconds since 1970. Of two records of a flow the later one is valid.
	PlacedAt uint32
	// Owner is the member that receives the record from the member that has it.
	Owner uint64
	// ToVisit are the members that the packet still has to visit, the next one first.
	ToVisit [MaxToVisit]uint64
	// NumToVisit is the number of entries in use in ToVisit.
	NumToVisit uint8
}

// Has reports whether all of flags are set.
func (h *Hop) Has(flags Flags) bool {
	return h.Flags&flags == flags
}

// AddToVisit appends a member to ToVisit. It does nothing if the member is already
// listed or ToVisit is full.
func (h *Hop) AddToVisit(id uint64) {
	for _, have := range h.ToVisit[:h.NumToVisit] {
		if have == id {
			return
		}
	}
	if h.NumToVisit == MaxToVisit {
		return
	}
	h.ToVisit[h.NumToVisit] = id
	h.NumToVisit++
}

// MoveLast moves a member to the end of ToVisit, or adds it there. If ToVisit is
// full, the member replaces the last one.
func (h *Hop) MoveLast(id uint64) {
	kept := h.ToVisit[:0]
	for _, have := range h.ToVisit[:h.NumToVisit] {
		if have != id {
			kept = append(kept, have)
		}
	}
	if len(kept) == MaxToVisit {
		kept = kept[:MaxToVisit-1]
	}
	kept = append(kept, id)
	h.NumToVisit = uint8(len(kept))
}

// NextToVisit removes the first member from ToVisit and returns it. It returns false
// if ToVisit is empty.
func (h *Hop) NextToVisit() (uint64, bool) {
	if h.NumToVisit == 0 {
		return 0, false
	}
	id := h.ToVisit[0]
	copy(h.ToVisit[:], h.ToVisit[1:h.NumToVisit])
	h.NumToVisit--
	return id, true
}

func (h *Hop) decode(b []byte) error {
	if len(b) < hopFixedBytes+tagBytes {
		return ErrHopOption
	}
	n := int(b[3])
	if n > MaxToVisit || len(b) != hopFixedBytes+n*memberBytes+tagBytes {
		return ErrHopOption
	}
	h.Kind = Kind(b[0])
	if h.Kind == KindNone || h.Kind >= kindEnd {
		return ErrHopOption
	}
	h.Flags = Flags(b[1])
	h.Count = b[2]
	h.NumToVisit = b[3]
	h.Upstream = bundle.UpstreamID(binary.BigEndian.Uint64(b[4:]))
	h.Owner = binary.BigEndian.Uint64(b[12:])
	h.Found = bundle.UpstreamID(binary.BigEndian.Uint64(b[20:]))
	h.PlacedAt = binary.BigEndian.Uint32(b[28:])
	for i := range n {
		h.ToVisit[i] = binary.BigEndian.Uint64(b[hopFixedBytes+i*memberBytes:])
	}
	return nil
}

func (h *Hop) append(b []byte, k *Key, vni bundle.VNI, inner []byte) []byte {
	n := hopFixedBytes + int(h.NumToVisit)*memberBytes + tagBytes
	b = binary.BigEndian.AppendUint16(b, hopClass)
	b = append(b, hopType|criticalType, byte(n/wordBytes))
	start := len(b)
	b = append(b, byte(h.Kind), byte(h.Flags), h.Count, h.NumToVisit)
	b = binary.BigEndian.AppendUint64(b, uint64(h.Upstream))
	b = binary.BigEndian.AppendUint64(b, h.Owner)
	b = binary.BigEndian.AppendUint64(b, uint64(h.Found))
	b = binary.BigEndian.AppendUint32(b, h.PlacedAt)
	for _, id := range h.ToVisit[:h.NumToVisit] {
		b = binary.BigEndian.AppendUint64(b, id)
	}
	return binary.BigEndian.AppendUint64(b, k.tag(vni, b[start:], inner))
}

// Key authenticates hop options between the daemons of one installation.
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

// Verify reports whether the hop option of h, which Decode filled, was written with
// this key for this VNI and inner packet. It returns false for a packet without a hop
// option.
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
