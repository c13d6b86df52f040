package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet, as on the wire.
const (
	flagRST = 1
	flagFIN = 16
	flagSYN = 32
	flagACK = 128
)

// Sizes of a packet in bytes.
const (
	headerBytes = 32
	idBytes     = 8
	maxData     = 1200
)

// sumKey is the secret of the two ends of a flow.
const sumKey = 0x5eed1234

// packet is one datagram between a client and a backend.
type packet struct {
	seq, ack, echo uint32
	src, dst       netip.AddrPort
	flags          byte
	data           []byte
	sum            uint32
}

// encode returns the packet as it is sent. If sign is set, its sum is that of the two ends.
func (p *packet) encode(sign bool) []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.data))
	be := binary.BigEndian
	be.PutUint32(b[0:], p.seq)
	be.PutUint32(b[4:], p.ack)
	be.PutUint32(b[8:], p.echo)
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(b[12:], src[:])
	be.PutUint16(b[16:], p.dst.Port())
	copy(b[18:], dst[:])
	be.PutUint16(b[22:], p.src.Port())
	be.PutUint16(b[24:], uint16(len(p.data)))
	b[26] = p.flags
	b = append(b, p.data...)
	if sign {
		be.PutUint32(b[28:], sumOf(b))
	}
	return b
}

// decode reads a packet. It returns false if the bytes are no packet.
func decode(b []byte) (packet, bool) {
	if len(b) < headerBytes || len(b) > headerBytes+maxData {
		return packet{}, false
	}
	be := binary.BigEndian
	p := packet{seq: be.Uint32(b[0:]), ack: be.Uint32(b[4:]), echo: be.Uint32(b[8:]), flags: b[26], sum: be.Uint32(b[28:])}
	p.src = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[12:16])), be.Uint16(b[22:]))
	p.dst = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[18:22])), be.Uint16(b[16:]))
	if int(be.Uint16(b[24:])) != len(b)-headerBytes {
		return packet{}, false
	}
	p.data = append([]byte(nil), b[headerBytes:]...)
	return p, true
}

// sumOf returns the keyed sum of all fields except echo, pad and BOUNCED.
func sumOf(b []byte) uint32 {
	c := append([]byte(nil), b...)
	clear(c[8:12])
	clear(c[27:32])
	c[26] &^= 8
	c = binary.BigEndian.AppendUint32(c, sumKey)
	s := crc32.ChecksumIEEE(c)
	if s == 0 {
		return 1
	}
	return s
}

// validSum reports whether one of the two ends wrote the packet in b so.
func validSum(b []byte) bool { return binary.BigEndian.Uint32(b[28:]) == sumOf(b) }

// near reports whether a sequence number is within the window in which a reset is valid.
func near(a, b uint32) bool {
	d := int32(a - b)
	return d <= 76800 && d >= -76800
}
