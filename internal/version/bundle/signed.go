package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
)

const publicKeyBytes = ed25519.PublicKeySize

// signatureDomain separates signatures of bundles from those of anything else.
const signatureDomain = "fescueshed bundle 1\n"

// The reasons for which a signed bundle is refused.
var (
	ErrSignature         = eris.New("bundle: signature is invalid")
	ErrUntrustedApprover = eris.New("bundle: approver isn't a trusted operator")
	ErrSelfApproved      = eris.New("bundle: preparer and approver must differ")
	ErrNoVersion         = eris.New("bundle: version is zero, want at least 1")
	ErrNoContents        = eris.New("bundle: content is missing")
)

// Signed is a bundle that was approved, in the form that the platform stores and daemons send each other.
type Signed struct {
	Version    Version
	PreparedBy string
	ApprovedBy string
	// OperationID identifies an operator's write, so that they can find it again if its answer was lost.
	OperationID string
	// Earlier are the operation ids of the bundles that were in force before, the latest last, maxEarlier at
	// most. An operator whose write was answered late finds its id here even if another bundle has been rolled
	// since. Without these ids, they would be told that their bundle was never in force. The ids aren't signed,
	// since daemons don't use them.
	Earlier []string `json:",omitempty"`
	// Content is the bundle as its preparer wrote it, in JSON with comments.
	Content []byte
	// Signature is the approver's ed25519 signature (RFC 8032).
	Signature []byte
}

// maxEarlier exceeds the number of bundles that a team rolls in the minute for which an operator retries a roll.
const maxEarlier = 64

// Successor returns an unsigned bundle with the version after s, or version 1 if s is nil.
func (s *Signed) Successor(by, operationID string, content []byte) *Signed {
	next := &Signed{Version: 1, PreparedBy: by, OperationID: operationID, Content: content}
	if s == nil {
		return next
	}
	next.Version = s.Version + 1
	next.Earlier = append(slices.Clone(s.Earlier), s.OperationID)
	next.Earlier = next.Earlier[max(0, len(next.Earlier)-maxEarlier):]
	return next
}

// WasInForce reports whether the bundle of an operation is in force or was so before, as far as Earlier goes back.
func (s *Signed) WasInForce(operationID string) bool {
	return s.OperationID == operationID || slices.Contains(s.Earlier, operationID)
}

// Sign returns s with the approver's signature, made with the private key. The version and content of s must be set.
func Sign(s Signed, key ed25519.PrivateKey) (*Signed, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	s.Signature = ed25519.Sign(key, s.message())
	return &s, nil
}

// Verify checks that a trusted operator signed the bundle, and returns the decoded content.
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
	return nil, ErrUntrustedApprover
}

func (s *Signed) check() error {
	switch {
	case s.Version == 0:
		return ErrNoVersion
	case len(s.Content) == 0:
		return ErrNoContents
	case s.PreparedBy == s.ApprovedBy:
		return ErrSelfApproved
	}
	return nil
}

// message returns the bytes that are signed. Each text is preceded by its length, so that no two different
// bundles give the same bytes.
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

// DecodeSigned decodes what Encode returns, and checks its version, content and signers, but not the signature.
func DecodeSigned(src []byte) (*Signed, error) {
	var s Signed
	if err := json.Unmarshal(src, &s); err != nil {
		return nil, eris.Wrap(err, "decode signed bundle")
	}
	return &s, s.check()
}

// Encode returns the signed bundle as JSON.
func (s *Signed) Encode() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // A struct of strings, bytes and integers always encodes.
	}
	return b
}
