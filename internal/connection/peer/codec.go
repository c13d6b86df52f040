package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Domain keeps a message of one protocol from being taken for one of another.
type Domain string

// The protocols between daemons.
const (
	DomainMembership Domain = "fescueshed membership 1\n"
	// DomainSequencedMembership is that of membership messages with numbers.
	DomainSequencedMembership Domain = "fescueshed membership 2\n"
	DomainAdvertisement       Domain = "fescueshed news 5\n"
	DomainReport              Domain = "fescueshed report 3\n"
	DomainCatalog             Domain = "fescueshed catalog 5\n"
)

// checked is a pointer to a wire type that checks itself when decoded.
type checked[T any] interface {
	*T
	Check() error
}

// Codec encodes and authenticates messages of one protocol as CBOR (RFC 8949).
// It is safe for concurrent use.
type Codec[T any, P checked[T]] struct {
	domain Domain
	// keys are those accepted, the first is the one to seal with.
	keys atomic.Pointer[[][]byte]
	enc  cbor.EncMode
	dec  cbor.DecMode
}

// Keys are the secrets that daemons share.
type Keys struct {
	// Seal is the one that messages are written with.
	Seal []byte
	// Accept are others that are read too: the next one before any daemon writes with it, or
	// the last one while some still do.
	Accept [][]byte
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
	enc, err := cbor.EncOptions{
		TextMarshaler: cbor.TextMarshalerNone,
	}.EncMode()
	if err != nil {
		return nil, eris.Wrap(err, "peer")
	}
	dec, err := decMode()
	c := &Codec[T, P]{domain: d, enc: enc, dec: dec}
	c.SetKeys(Keys{Seal: secret})
	return c, err
}

// decMode bounds what is decoded before it is allocated.
func decMode() (cbor.DecMode, error) {
	dec, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevel,
	}.DecMode()
	return dec, eris.Wrap(err, "peer")
}

// SetKeys replaces the secrets. Messages that are under way are read if their secret is still
// among them.
func (c *Codec[T, P]) SetKeys(k Keys) {
	keys := make([][]byte, 0, 1+len(k.Accept))
	for _, secret := range append([][]byte{k.Seal}, k.Accept...) {
		key := sha256.Sum256(append([]byte(c.domain), secret...))
		keys = append(keys, key[:])
	}
	c.keys.Store(&keys)
}

// Encode writes a message and its authentication code (HMAC-SHA-256, truncated
// to 128 bits; RFC 2104, section 5).
func (c *Codec[T, P]) Encode(m P) ([]byte, error) {
	b, err := c.enc.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "peer")
	}
	return c.seal(b), nil
}

// Decode checks and reads what Encode wrote.
func (c *Codec[T, P]) Decode(b []byte) (P, error) {
	b, err := c.open(b)
	if err != nil {
		return nil, err
	}
	return c.read(b)
}

// seal adds the authentication code.
func (c *Codec[T, P]) seal(b []byte) []byte {
	return append(b, mac((*c.keys.Load())[0], b)...)
}

// open checks the authentication code and takes it off.
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

func (c *Codec[T, P]) read(b []byte) (P, error) {
	m := P(new(T))
	if err := c.dec.Unmarshal(b, m); err != nil {
		return nil, eris.Wrap(err, "peer")
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
