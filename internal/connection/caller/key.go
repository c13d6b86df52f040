// Package caller holds what lives as long as a caller's flow: its key, its
// record, the table of records and the decision for each of its packets.
package caller

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/request/ip"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

const (
	keyBytes     = 40
	protocolBits = 8
)

// Key names a flow in both directions: the caller's and the service's address
// and port, the transport protocol and the VNI.
type Key struct {
	Caller, Service         [16]byte
	CallerPort, ServicePort uint16
	// VNIProtocol is the VNI above the 8 bits of the protocol number.
	VNIProtocol uint32
}

// KeyOf returns the key of a packet. An answer goes from the service to the caller.
func KeyOf(vni bundle.VNI, p *ip.Packet, answer bool) Key {
	c, s := p.Src, p.Dst
	if answer {
		c, s = s, c
	}
	return Key{
		Caller:      c.Addr().As16(),
		Service:     s.Addr().As16(),
		CallerPort:  c.Port(),
		ServicePort: s.Port(),
		VNIProtocol: uint32(vni)<<protocolBits | uint32(p.Protocol),
	}
}

// Hash returns the hash by which daemons rank each other for the flow.
func (k *Key) Hash() peer.FlowHash {
	var b [keyBytes]byte
	copy(b[:], k.Caller[:])
	copy(b[16:], k.Service[:])
	binary.BigEndian.PutUint16(b[32:], k.CallerPort)
	binary.BigEndian.PutUint16(b[34:], k.ServicePort)
	binary.BigEndian.PutUint32(b[36:], k.VNIProtocol)
	return peer.FlowHash(xxhash.Sum64(b[:]))
}

// VNI returns the service's network identifier.
func (k *Key) VNI() bundle.VNI {
	return bundle.VNI(k.VNIProtocol >> protocolBits)
}

// Protocol returns the transport protocol.
func (k *Key) Protocol() ip.Protocol {
	return ip.Protocol(k.VNIProtocol & (1<<protocolBits - 1))
}

// CallerAddr returns the caller's address and port.
func (k *Key) CallerAddr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.Caller).Unmap(), k.CallerPort)
}

// ServiceAddr returns the service's address and port.
func (k *Key) ServiceAddr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.Service).Unmap(), k.ServicePort)
}
