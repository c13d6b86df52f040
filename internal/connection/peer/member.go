// Package peer tracks the other daemons: which of them are members, which of them own or replicate
// the record of a flow, and the messages by which they detect each other's failure and share the
// store's content.
//
// A host runs one daemon, the load balancer's process, and keeps its ID when that restarts. The
// members are the daemons that know each other, of all zones. A message that one of them writes is
// accepted by the others if they share its secret (Codec).
//
//   - Membership detects by probes which members are alive. A member that doesn't answer them is
//     suspected: it is declared dead unless it refutes the suspicion in time. Changes reach all
//     members by gossip: updates in the probes' messages and, in large fleets, in messages of their
//     own. Where hosts are many, a daemon tracks its own zone and the first members of each other
//     one (tracking.go), and daemons exchange MemberLists. A View is a snapshot of the members.
//   - The owner of a flow is the member that decides on its packets, the replicas are the members
//     with copies of its record, and the backup is the replica in the upstream's zone. The placer of
//     a service chooses the upstreams of its new flows. View computes all of them by rendezvous
//     hashing. Only forwarding by Geneve uses them (package caller).
//   - The store is the platform's object store. Its content is the newest bundle, the registrations
//     of upstreams and the evacuated zones. A store reader is a daemon that reads it itself; all
//     others rely on the Advertisements of a store reader. The ReaderElection and, while a daemon
//     starts, Startup decide who reads, by the rank of a daemon in reader order (compareReaders).
//     The zone reader is the first member of a zone in this order. It sends its zone what it
//     receives from other zones, and needn't be a store reader.
//   - A Catalog is the answer to a daemon that fetches what advertisements don't cover.
//   - A Report holds what a daemon counts at upstreams. Reports are summed up along a tree of the
//     zone's members, and the sum is sent back to them.
//
// An upstream that is suspected (package cookie) and a removal of an entry that is suspect (package
// registry) have nothing to do with the suspicion of a member.
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
// was set back before a restart. The incarnation of an upstream is something else: one run of its
// process.
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
