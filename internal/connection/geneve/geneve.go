// Package geneve reads and writes Geneve headers (RFC 8926) and the option that
// daemons add to packets they pass to each other.
//
// The gopacket layer isn't used for reading on the packet path: it allocates
// two objects for each option, and its 8-bit offset wraps at more than 247
// bytes of options. It judges this codec in the tests instead.
package geneve

import (
	"encoding/binary"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// EtherType is the protocol of the packet behind the header.
type EtherType uint16

// The protocols that are carried.
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

// The reasons for which a packet can't be read.
var (
	ErrShort       = eris.New("geneve: packet is too short")
	ErrVersion     = eris.New("geneve: unknown version")
	ErrCritical    = eris.New("geneve: unknown critical option")
	ErrEtherType   = eris.New("geneve: neither IPv4 nor IPv6 inside")
	ErrHopOption   = eris.New("geneve: hop option is malformed")
	ErrHopRepeated = eris.New("geneve: hop option stands twice")
)

// Header is a decoded Geneve header. The zero value has no hop option.
type Header struct {
	VNI       bundle.VNI
	EtherType EtherType
	// Control marks a packet between daemons that must not be delivered.
	Control bool
	// Hop is set if Hop.Kind isn't KindNone.
	Hop Hop
	// hopBytes is where the hop option's data stands, for the tag check.
	hopBytes []byte
}

// Decode reads the header of b into h and returns the packet inside, which
// aliases b. It doesn't allocate.
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
		// RFC 8926, section 3.5: a critical option that isn't known drops the packet.
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

// Append writes the header of h and the packet inner to b. A hop option is
// signed with k. It doesn't allocate if b has room.
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
