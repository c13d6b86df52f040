package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
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
	// MaxUpdates is how many updates one message carries.
	MaxUpdates = 4
	// MaxMessageBytes is the size that no message exceeds.
	MaxMessageBytes = 1400
	macBytes        = 16
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

// The reasons for which a message is dropped.
var (
	ErrMAC     = eris.New("peer: message wasn't written by a member")
	ErrMessage = eris.New("peer: malformed message")
)

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

func (m *Message) check() error {
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

// Codec encodes and authenticates messages. It is safe for concurrent use.
type Codec struct {
	key []byte
	enc cbor.EncMode
	dec cbor.DecMode
}

// NewCodec returns a codec whose key is derived from the shared secret.
func NewCodec(secret []byte) (*Codec, error) {
	key := sha256.Sum256(append([]byte("fescueshed membership 1\n"), secret...))
	enc, err := cbor.EncOptions{
		TextMarshaler: cbor.TextMarshalerNone,
	}.EncMode()
	if err != nil {
		return nil, eris.Wrap(err, "peer")
	}
	dec, err := cbor.DecOptions{MaxArrayElements: MaxFlowCounts, MaxMapPairs: 16, MaxNestedLevels: 4}.DecMode()
	return &Codec{key: key[:], enc: enc, dec: dec}, eris.Wrap(err, "peer")
}

// Encode writes a message and its authentication code (HMAC-SHA-256, truncated
// to 128 bits; RFC 2104, section 5).
func (c *Codec) Encode(m *Message) ([]byte, error) {
	b, err := c.enc.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "peer")
	}
	return append(b, c.mac(b)...), nil
}

// Decode checks and reads what Encode wrote.
func (c *Codec) Decode(b []byte) (*Message, error) {
	n := len(b) - macBytes
	if n < 0 || !hmac.Equal(b[n:], c.mac(b[:n])) {
		return nil, ErrMAC
	}
	var m Message
	if err := c.dec.Unmarshal(b[:n], &m); err != nil {
		return nil, eris.Wrap(err, "peer")
	}
	return &m, m.check()
}

func (c *Codec) mac(b []byte) []byte {
	h := hmac.New(sha256.New, c.key)
	h.Write(b)
	return h.Sum(nil)[:macBytes]
}
