package peer

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Domain keeps a message of one protocol from being taken for one of another.
type Domain string

// The protocols between daemons.
const (
	DomainMembership Domain = "fescueshed membership 1\n"
	DomainNews       Domain = "fescueshed news 2\n"
	DomainReport     Domain = "fescueshed report 1\n"
	DomainCatalog    Domain = "fescueshed catalog 2\n"
)

// checked is a pointer to a wire type that checks itself when decoded.
type checked[T any] interface {
	*T
	Check() error
}

// Codec encodes and authenticates messages of one protocol as CBOR (RFC 8949).
// It is safe for concurrent use.
type Codec[T any, P checked[T]] struct {
	key []byte
	enc cbor.EncMode
	dec cbor.DecMode
}

// ErrMAC is returned for a message that no daemon with the same secret wrote.
var ErrMAC = eris.New("peer: message wasn't written by a member")

const (
	macBytes = 16
	// maxElements bounds arrays before they are allocated. The largest are the
	// upstreams of the size to design for, 110,000.
	maxElements    = 1 << 17
	maxMapPairs    = 16
	maxNestedLevel = 8
)

// NewCodec returns a codec whose key is derived from the shared secret.
func NewCodec[T any, P checked[T]](secret []byte, d Domain) (*Codec[T, P], error) {
	key := sha256.Sum256(append([]byte(d), secret...))
	enc, err := cbor.EncOptions{
		TextMarshaler: cbor.TextMarshalerNone,
	}.EncMode()
	if err != nil {
		return nil, eris.Wrap(err, "peer")
	}
	dec, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevel,
	}.DecMode()
	return &Codec[T, P]{key: key[:], enc: enc, dec: dec}, eris.Wrap(err, "peer")
}

// Encode writes a message and its authentication code (HMAC-SHA-256, truncated
// to 128 bits; RFC 2104, section 5).
func (c *Codec[T, P]) Encode(m P) ([]byte, error) {
	b, err := c.enc.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "peer")
	}
	return append(b, c.mac(b)...), nil
}

// Decode checks and reads what Encode wrote.
func (c *Codec[T, P]) Decode(b []byte) (P, error) {
	n := len(b) - macBytes
	if n < 0 || !hmac.Equal(b[n:], c.mac(b[:n])) {
		return nil, ErrMAC
	}
	m := P(new(T))
	if err := c.dec.Unmarshal(b[:n], m); err != nil {
		return nil, eris.Wrap(err, "peer")
	}
	if err := m.Check(); err != nil {
		return nil, err
	}
	return m, nil
}

func (c *Codec[T, P]) mac(b []byte) []byte {
	h := hmac.New(sha256.New, c.key)
	h.Write(b)
	return h.Sum(nil)[:macBytes]
}
