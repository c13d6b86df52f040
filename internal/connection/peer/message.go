package peer

import (
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Kind is the type of a membership message.
type Kind uint8

// The kinds of a membership message.
const (
	// KindPing requests a KindAck from the receiver, with the same sequence number.
	KindPing Kind = iota + 1
	KindAck
	// KindPingRequest requests that the receiver pings Target on behalf of the sender.
	KindPingRequest
	// KindGossip carries updates only. It isn't answered.
	KindGossip
	kindEnd
)

// Limits of a message.
const (
	// MaxUpdates is the largest number of updates in one message.
	MaxUpdates = 12
	// MaxMessageBytes is the largest size of an encoded message.
	MaxMessageBytes = 1400
	// maxNameBytes is the largest size of a member's name.
	maxNameBytes = 64
	// MaxFlowCounts bounds Message.Flows. It is more than the number of upstreams of one cell.
	MaxFlowCounts = 400
)

// Message is the failure detector's message, which daemons send each other over UDP.
type Message struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	// Seq identifies a ping among those of its sender. The acknowledgement repeats it.
	Seq uint32
	// From is the sender in its present state.
	From Member
	// Target is the member to ping for the sender, or the member on whose behalf an acknowledgement
	// is forwarded.
	Target netip.AddrPort
	// Bundle is the version that the sender has in force.
	Bundle bundle.Version
	// Flows counts the flows that the sender owns at each upstream of that version, in the order of
	// the upstreams' identifiers. Only KindPing carries them.
	Flows []uint32
	// Updates are states of other members that the sender passes on.
	Updates []Member
}

// ErrMessage is returned for a member's message whose content is invalid.
var ErrMessage = eris.New("peer: malformed message")

// Check returns ErrMessage if a decoded member is invalid.
func (m *Member) Check() error {
	switch {
	case m.ID == 0 || m.State >= stateEnd || len(m.Name) > maxNameBytes:
		return ErrMessage
	case !m.Data.IsValid() || !m.Control.IsValid() || !m.RPC.IsValid():
		return ErrMessage
	case m.Zone == "":
		return ErrMessage
	}
	return nil
}

// Check returns ErrMessage if the message or one of the members in it is invalid.
func (m *Message) Check() error {
	if m.Kind == 0 || m.Kind >= kindEnd || len(m.Updates) > MaxUpdates || len(m.Flows) > MaxFlowCounts {
		return ErrMessage
	}
	for i := range m.Updates {
		if err := m.Updates[i].Check(); err != nil {
			return err
		}
	}
	return m.From.Check()
}
