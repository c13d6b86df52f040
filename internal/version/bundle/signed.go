package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"

	"github.com/rotisserie/eris"
)

const publicKeyBytes = ed25519.PublicKeySize

// signatureDomain keeps a signature of a bundle from being taken for anything else.
const signatureDomain = "fescueshed bundle 1\n"

// The reasons for which a signed bundle is refused.
var (
	ErrSignature  = eris.New("bundle: the signature doesn't hold")
	ErrStranger   = eris.New("bundle: signed by an operator who isn't trusted")
	ErrOneSigner  = eris.New("bundle: preparer and approver must differ")
	ErrNoVersion  = eris.New("bundle: the version must be at least 1")
	ErrNoContents = eris.New("bundle: the content is missing")
)

// Signed is a bundle that was approved. It is what the platform keeps and what
// daemons pass to each other.
type Signed struct {
	Version    Version
	PreparedBy string
	ApprovedBy string
	// OperationID lets an operator find a write again whose answer was lost.
	OperationID string
	// Content is the bundle as the preparer wrote it, JSON with comments.
	Content []byte
	// Signature is the approver's ed25519 signature (RFC 8032).
	Signature []byte
}

// Sign approves content as version v with the approver's private key.
func Sign(s Signed, key ed25519.PrivateKey) (*Signed, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	s.Signature = ed25519.Sign(key, s.message())
	return &s, nil
}

// Verify checks the signature against the trusted operators and decodes the content.
func (s *Signed) Verify(trusted []Operator) (*Bundle, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	for _, o := range trusted {
		if o.Name != s.ApprovedBy || len(o.Key) != publicKeyBytes {
			continue
		}
		if !ed25519.Verify(o.Key, s.message(), s.Signature) {
			return nil, ErrSignature
		}
		return Decode("bundle", s.Content)
	}
	return nil, ErrStranger
}

func (s *Signed) check() error {
	switch {
	case s.Version == 0:
		return ErrNoVersion
	case len(s.Content) == 0:
		return ErrNoContents
	case s.PreparedBy == s.ApprovedBy:
		return ErrOneSigner
	}
	return nil
}

// message is what is signed: each part with its length before it, so that no
// two different bundles give the same bytes.
func (s *Signed) message() []byte {
	sum := sha256.Sum256(s.Content)
	m := []byte(signatureDomain)
	m = binary.BigEndian.AppendUint64(m, uint64(s.Version))
	for _, part := range []string{s.PreparedBy, s.ApprovedBy, s.OperationID} {
		m = binary.BigEndian.AppendUint32(m, uint32(len(part)))
		m = append(m, part...)
	}
	return append(m, sum[:]...)
}

// DecodeSigned reads what Encode wrote.
func DecodeSigned(src []byte) (*Signed, error) {
	var s Signed
	if err := json.Unmarshal(src, &s); err != nil {
		return nil, eris.Wrap(err, "signed bundle")
	}
	return &s, s.check()
}

// Encode writes the signed bundle as JSON.
func (s *Signed) Encode() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // A struct of strings, bytes and integers always encodes.
	}
	return b
}
