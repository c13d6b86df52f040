package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Domain separates the protocols: a message of one protocol fails authentication in another one.
type Domain string

// The protocols between daemons.
const (
	DomainMembership Domain = "fescueshed membership 1\n"
	// DomainSequencedMembership is the domain of membership messages with sequence numbers.
	DomainSequencedMembership Domain = "fescueshed membership 2\n"
	DomainAdvertisement       Domain = "fescueshed news 5\n"
	DomainReport              Domain = "fescueshed report 3\n"
	DomainClasses             Domain = "fescueshed classes 1\n"
	DomainPlacements          Domain = "fescueshed placements 1\n"
	DomainCatalog             Domain = "fescueshed catalog 5\n"
	DomainPackedCatalog       Domain = "fescueshed packed catalog 1\n"
	DomainMemberList          Domain = "fescueshed members 1\n"
	DomainAdmission           Domain = "fescueshed admission 1\n"
)

// checked is a pointer to a wire type that validates itself after decoding.
type checked[T any] interface {
	*T
	Check() error
}

// Codec encodes and authenticates messages of one protocol as CBOR (RFC 8949).
// It is safe for concurrent use.
type Codec[T any, P checked[T]] struct {
	domain Domain
	// keys are the accepted keys. The first one seals messages.
	keys atomic.Pointer[[][]byte]
	enc  cbor.EncMode
	dec  cbor.DecMode
}

// Keys are the secrets that the daemons share.
type Keys struct {
	// Seal is the secret with which messages are written.
	Seal []byte
	// Accept are further secrets whose messages are read: the next secret before any daemon writes
	// with it, or the previous one while some daemons still do.
	Accept [][]byte
}

// ErrMAC is returned for a message that wasn't written by a daemon with an accepted secret, or that
// is of another protocol.
var ErrMAC = eris.New("peer: message authentication failed")

const (
	// macBytes is the size of an authentication code.
	macBytes = 16
	// maxElements bounds the elements of an array, maxMapPairs the pairs of a map and
	// maxNestedLevel the depth of nesting, before anything is allocated. The largest arrays are
	// those of the upstreams, of which a system has up to 110,000.
	maxElements    = 1 << 17
	maxMapPairs    = 16
	maxNestedLevel = 8
)

// NewCodec returns a codec whose key is derived from the shared secret and the domain.
func NewCodec[T any, P checked[T]](secret []byte, d Domain) (*Codec[T, P], error) {
	enc, err := cbor.EncOptions{
		TextMarshaler: cbor.TextMarshalerNone,
	}.EncMode()
	if err != nil {
		return nil, eris.Wrap(err, "peer: create encoder")
	}
	dec, err := decMode()
	c := &Codec[T, P]{domain: d, enc: enc, dec: dec}
	c.SetKeys(Keys{Seal: secret})
	return c, err
}

// decMode returns a decoder that checks the sizes of arrays, maps and nesting before it allocates.
func decMode() (cbor.DecMode, error) {
	dec, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevel,
	}.DecMode()
	return dec, eris.Wrap(err, "peer: create decoder")
}

// SetKeys replaces the secrets. Messages in transit are read if their secret is still among the new
// ones.
func (c *Codec[T, P]) SetKeys(k Keys) {
	keys := make([][]byte, 0, 1+len(k.Accept))
	for _, secret := range append([][]byte{k.Seal}, k.Accept...) {
		key := sha256.Sum256(append([]byte(c.domain), secret...))
		keys = append(keys, key[:])
	}
	c.keys.Store(&keys)
}

// Encode returns the encoded message and its authentication code (HMAC-SHA-256, truncated to 128
// bits; RFC 2104, section 5).
func (c *Codec[T, P]) Encode(m P) ([]byte, error) {
	b, err := c.enc.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "peer: encode message")
	}
	return c.seal(b), nil
}

// Decode authenticates, decodes and checks a message that Encode returned. It returns ErrMAC if the
// authentication code doesn't match any accepted secret.
func (c *Codec[T, P]) Decode(b []byte) (P, error) {
	b, err := c.open(b)
	if err != nil {
		return nil, err
	}
	return c.unmarshal(b)
}

// seal appends the authentication code.
func (c *Codec[T, P]) seal(b []byte) []byte {
	return append(b, mac((*c.keys.Load())[0], b)...)
}

// open verifies the authentication code and removes it.
func (c *Codec[T, P]) open(b []byte) ([]byte, error) {
	n := len(b) - macBytes
	if n < 0 {
		return nil, ErrMAC
	}
	for _, key := range *c.keys.Load() {
		if hmac.Equal(b[n:], mac(key, b[:n])) {
			return b[:n], nil
		}
	}
	return nil, ErrMAC
}

func (c *Codec[T, P]) unmarshal(b []byte) (P, error) {
	m := P(new(T))
	if err := c.dec.Unmarshal(b, m); err != nil {
		return nil, eris.Wrap(err, "peer: decode message")
	}
	if err := m.Check(); err != nil {
		return nil, err
	}
	return m, nil
}

func mac(key, b []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(b)
	return h.Sum(nil)[:macBytes]
}
