// Package peer knows the other daemons: who is a member, who of them holds the
// record of a flow, and the messages by which they find each other alive.
package peer

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// ID identifies a host across its restarts. Zero is none.
type ID uint64

// IDOf derives the identifier of a host from its name.
func IDOf(name string) ID {
	return ID(xxhash.Sum64String(name))
}

// Incarnation tells a restarted host from its predecessor, and a refuted
// suspicion from a current one. It grows.
type Incarnation uint64

// State is what a member is known to be.
type State uint8

// The states of a member, in the order in which they overrule each other at
// the same incarnation.
const (
	StateAlive State = iota
	StateLeaving
	StateSuspect
	StateDead
	// StateLeft is a member that ended after handing its records over.
	StateLeft
	stateEnd
)

var stateNames = [...]string{"Alive", "Leaving", "Suspect", "Dead", "Left"}

// String names the state.
func (s State) String() string {
	if s >= stateEnd {
		return "Unknown"
	}
	return stateNames[s]
}

// Member is one daemon as others know it.
type Member struct {
	// The wire form is an array: the names of fields would be most of its bytes.
	_    struct{} `cbor:",toarray"`
	ID   ID
	Name string
	Zone bundle.Zone
	// Data takes Geneve packets, Control takes membership messages (both UDP).
	// RPC takes JSON-RPC 2.0 connections (TCP).
	Data, Control, RPC netip.AddrPort
	Incarnation        Incarnation
	// Boot tells one run of the process from the next, which has no records.
	Boot  uint64
	State State
	// Size is the host's share of a core, in thousandths. Larger hosts do more of
	// what one daemon does for many.
	Size uint32
}

// Tag tells whether a record was given to this run of the member: a restarted
// host has lost what its predecessor was told.
func (m *Member) Tag() uint32 {
	tag := uint32(Mix(uint64(m.ID) ^ m.Boot))
	if tag == 0 {
		return 1
	}
	return tag
}

// digest is the member's part of the digest of a membership.
func (m *Member) digest() uint64 {
	return Mix(uint64(m.ID) ^ Mix(m.Boot^Mix(uint64(m.Incarnation)^uint64(m.State)<<56)))
}

// Mix spreads the bits of x: the finalizer of SplitMix64.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
