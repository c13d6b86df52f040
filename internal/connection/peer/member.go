// Package peer tracks the other daemons: which of them are members, which of them own or replicate
// the record of a flow, and the messages by which they detect each other's failure.
package peer

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// ID identifies a host across its restarts. Zero means no host.
type ID uint64

// IDOf derives the identifier of a host from its name.
func IDOf(name string) ID {
	return ID(xxhash.Sum64String(name))
}

// Incarnation orders the claims about one host. A host that restarts, or that refutes a suspicion,
// takes a higher incarnation, which supersedes all claims at a lower one. It grows, unless the clock
// was set back before a restart.
type Incarnation uint64

// State is the state that other members believe a member to be in.
type State uint8

// The states of a member. At the same incarnation a later state supersedes an earlier one.
const (
	StateAlive State = iota
	StateLeaving
	StateSuspect
	StateDead
	// StateLeft is the state of a member that ended after it handed its records over.
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

// Member is one daemon as the others know it.
type Member struct {
	// The wire form is an array, because the names of the fields would take most of its bytes.
	_    struct{} `cbor:",toarray"`
	ID   ID
	Name string
	Zone bundle.Zone
	// Data receives Geneve packets, Control receives membership messages (both over UDP). RPC
	// accepts JSON-RPC 2.0 connections (TCP).
	Data, Control, RPC netip.AddrPort
	Incarnation        Incarnation
	// Boot distinguishes one run of the process from the next, which starts without records.
	Boot  uint64
	State State
	// Size is the host's share of a core, in thousandths. Larger hosts take on more of the work
	// that one daemon does for many.
	Size uint32
}

// Tag identifies this run of the member, and is never zero. A record that carries another tag was
// given to an earlier run: a restarted host has lost the records that it held before.
func (m *Member) Tag() uint32 {
	tag := uint32(Mix(uint64(m.ID) ^ m.Boot))
	if tag == 0 {
		return 1
	}
	return tag
}

// digest returns the member's contribution to the digest of a membership.
func (m *Member) digest() uint64 {
	return Mix(uint64(m.ID) ^ Mix(m.Boot^Mix(uint64(m.Incarnation)^uint64(m.State)<<56)))
}

// Mix distributes the bits of x. It is the finalizer of SplitMix64.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
