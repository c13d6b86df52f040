// Package caller decides what to do with each packet of a caller's flow. It holds the
// flow's key, its record, the table of records and the open requests.
//
// A call is a packet from the caller to the service, an answer is a packet from an
// upstream to the caller. The record of a flow says at which upstream the flow is
// placed. The owner of the flow, which all daemons compute from the hash of its key,
// decides on its packets. Other members keep replicas of the record: one in each zone,
// of which the one in the upstream's zone is the backup. The placer of a service
// chooses the upstreams of its new flows, so that one member sees all of them. Which
// member has which role is computed from a view of the members (peer.View), and two
// members may have different views for a while.
//
// The fabric sends callers' packets and receives answers, in Geneve with the service's
// VNI. Packets between daemons carry a hop too (geneve.Hop), which says what the next
// daemon is to do. The owner's choice of an upstream is a proposal, in a tentative
// record, until another member holds the record too; then the record is committed. A
// query is a packet that passes through the members that may hold the record. A request
// is a CoAP request of a flow, identified by its token.
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
	// keyBytes is the size of the input of Key.Hash.
	keyBytes = 40
	// protocolBits is how many low bits of Key.VNIProtocol hold the protocol number.
	protocolBits = 8
)

// Key identifies a flow in both directions: the addresses and ports of the caller and
// the service, the transport protocol and the VNI.
type Key struct {
	Caller, Service         [16]byte
	CallerPort, ServicePort uint16
	// VNIProtocol has the protocol number in its low 8 bits and the VNI above them.
	VNIProtocol uint32
}

// KeyOf returns the key of a packet's flow. answer says that the packet goes from the
// service to the caller.
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

// Hash returns the hash by which daemons rank the members for the flow.
func (k *Key) Hash() peer.FlowHash {
	var b [keyBytes]byte
	copy(b[:], k.Caller[:])
	copy(b[16:], k.Service[:])
	binary.BigEndian.PutUint16(b[32:], k.CallerPort)
	binary.BigEndian.PutUint16(b[34:], k.ServicePort)
	binary.BigEndian.PutUint32(b[36:], k.VNIProtocol)
	return peer.FlowHash(xxhash.Sum64(b[:]))
}

// VNI returns the service's virtual network identifier.
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
