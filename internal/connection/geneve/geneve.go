// Package geneve encodes and decodes Geneve headers (RFC 8926) and the hop option that
// daemons add to packets that they send to each other.
//
// The gopacket layer isn't used for decoding on the packet path: it allocates two
// objects for each option, and its 8-bit offset overflows at more than 247 bytes of
// options. The tests compare this codec with it instead.
package geneve

import (
	"encoding/binary"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// EtherType is the protocol of the inner packet.
type EtherType uint16

// The supported protocols of the inner packet.
const (
	EtherTypeIPv4 EtherType = 0x0800
	EtherTypeIPv6 EtherType = 0x86dd
)

const (
	// HeaderBytes is the size of a header without options.
	HeaderBytes       = 8
	optionHeaderBytes = 4
	flagControl       = 0x80
	flagCritical      = 0x40
	versionShift      = 6
	lengthMask        = 0x3f
	optionLengthMask  = 0x1f
	wordBytes         = 4
)

// The errors that Decode returns.
var (
	ErrShort       = eris.New("geneve: packet is too short")
	ErrVersion     = eris.New("geneve: unsupported version")
	ErrCritical    = eris.New("geneve: unknown critical option")
	ErrEtherType   = eris.New("geneve: inner packet is neither IPv4 nor IPv6")
	ErrHopOption   = eris.New("geneve: malformed hop option")
	ErrHopRepeated = eris.New("geneve: more than one hop option")
)

// Header is a decoded Geneve header. The zero value has no hop option.
type Header struct {
	VNI       bundle.VNI
	EtherType EtherType
	// Control marks a packet between daemons whose inner packet must not be delivered
	// to an upstream or a caller.
	Control bool
	// Hop is the hop option. It is present if Hop.Kind isn't KindNone.
	Hop Hop
	// hopBytes is the data of the hop option in the decoded buffer, from which
	// Key.Verify computes the tag.
	hopBytes []byte
}

// Decode decodes the header at the start of b into h and returns the inner packet,
// which aliases b. It doesn't verify the tag of a hop option; see Key.Verify. It
// doesn't allocate.
func Decode(b []byte, h *Header) ([]byte, error) {
	*h = Header{}
	if len(b) < HeaderBytes {
		return nil, ErrShort
	}
	if b[0]>>versionShift != 0 {
		return nil, ErrVersion
	}
	end := HeaderBytes + int(b[0]&lengthMask)*wordBytes
	if len(b) < end {
		return nil, ErrShort
	}
	h.Control = b[1]&flagControl != 0
	h.EtherType = EtherType(binary.BigEndian.Uint16(b[2:]))
	h.VNI = bundle.VNI(binary.BigEndian.Uint32(b[4:]) >> 8)
	if h.EtherType != EtherTypeIPv4 && h.EtherType != EtherTypeIPv6 {
		return nil, ErrEtherType
	}
	if err := h.decodeOptions(b[HeaderBytes:end]); err != nil {
		return nil, err
	}
	return b[end:], nil
}

func (h *Header) decodeOptions(b []byte) error {
	for len(b) > 0 {
		if len(b) < optionHeaderBytes {
			return ErrShort
		}
		n := optionHeaderBytes + int(b[3]&optionLengthMask)*wordBytes
		if len(b) < n {
			return ErrShort
		}
		if err := h.decodeOption(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

func (h *Header) decodeOption(b []byte) error {
	ours := binary.BigEndian.Uint16(b) == hopClass && b[2]&^criticalType == hopType
	if !ours {
		// RFC 8926, section 3.5: a packet with an unknown critical option is dropped.
		if b[2]&criticalType != 0 {
			return ErrCritical
		}
		return nil
	}
	if h.Hop.Kind != KindNone {
		return ErrHopRepeated
	}
	h.hopBytes = b[optionHeaderBytes:]
	return h.Hop.decode(h.hopBytes)
}

// Append appends the header h and the packet inner to b and returns the extended slice.
// A hop option is authenticated with k. Append doesn't allocate if b has enough
// capacity.
func Append(b []byte, h *Header, k *Key, inner []byte) []byte {
	start := len(b)
	b = append(b, 0, 0)
	b = binary.BigEndian.AppendUint16(b, uint16(h.EtherType))
	b = binary.BigEndian.AppendUint32(b, uint32(h.VNI)<<8)
	if h.Control {
		b[start+1] |= flagControl
	}
	if h.Hop.Kind != KindNone {
		b[start+1] |= flagCritical
		b = h.Hop.append(b, k, h.VNI, inner)
	}
	b[start] = byte((len(b) - start - HeaderBytes) / wordBytes)
	return append(b, inner...)
}
