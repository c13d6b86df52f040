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

// signatureDomain keeps a signature of a bundle from being taken for anything else.
const signatureDomain = "fescueshed bundle 1\n"

// The reasons for which a signed bundle is refused.
var (
	ErrSignature         = eris.New("bundle: the signature doesn't hold")
	ErrUntrustedApprover = eris.New("bundle: signed by an operator who isn't trusted")
	ErrSelfApproved      = eris.New("bundle: preparer and approver must differ")
	ErrNoVersion         = eris.New("bundle: the version must be at least 1")
	ErrNoContents        = eris.New("bundle: the content is missing")
)

// Signed is a bundle that was approved. It is what the platform keeps and what
// daemons pass to each other.
type Signed struct {
	Version    Version
	PreparedBy string
	ApprovedBy string
	// OperationID lets an operator find a write again whose answer was lost.
	OperationID string
	// Earlier are the operation ids of the bundles that were in force before, the latest last,
	// maxEarlier at most. An operator whose write was answered late finds it here though another
	// bundle was rolled since; without them they are told that theirs never was in force. They
	// aren't signed: daemons don't use them.
	Earlier []string `json:",omitempty"`
	// Content is the bundle as the preparer wrote it, JSON with comments.
	Content []byte
	// Signature is the approver's ed25519 signature (RFC 8032).
	Signature []byte
}

// maxEarlier is more bundles than a team rolls in the minute for which a roll is tried.
const maxEarlier = 64

// Successor returns an unsigned bundle that follows s, or the first one if s is nil.
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

// WasInForce reports whether the bundle of an operation was in force, now or before.
func (s *Signed) WasInForce(operationID string) bool {
	return s.OperationID == operationID || slices.Contains(s.Earlier, operationID)
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
