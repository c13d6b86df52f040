package peer

import (
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Kind says what a membership message asks for.
type Kind uint8

// The kinds of a membership message.
const (
	// KindPing asks the receiver to answer with KindAck.
	KindPing Kind = iota + 1
	KindAck
	// KindPingRequest asks the receiver to ping Target for the sender.
	KindPingRequest
	kindEnd
)

// Limits of a message.
const (
	// MaxUpdates is how many updates one message carries at most.
	MaxUpdates = 12
	// MaxMessageBytes is the size that no message exceeds.
	MaxMessageBytes = 1400
	maxNameBytes    = 64
	// MaxFlowCounts bounds Flows. It is more than the upstreams of one cell.
	MaxFlowCounts = 400
)

// Message is what daemons send each other over UDP to find out who is there.
type Message struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Seq  uint32
	// From is the sender as it is now.
	From Member
	// Target is whom to ping for the sender, or on whose behalf an
	// acknowledgement is passed on.
	Target netip.AddrPort
	// Bundle is the version that the sender has in force.
	Bundle bundle.Version
	// Flows counts the flows that the sender is home of at each upstream of that
	// version, in the order of their identifiers. Only KindPing carries them.
	Flows []uint32
	// Updates are what the sender heard of other members.
	Updates []Member
}

// ErrMessage is returned for a message of a member that can't be used.
var ErrMessage = eris.New("peer: malformed message")

// Check reports whether a decoded member can be used.
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

// Check implements the check of a wire type.
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
