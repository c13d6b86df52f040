// Package operator implements the operators' tasks: generating keys, preparing, approving
// and rolling bundles, and evacuating zones.
package operator

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"
)

// KeyFile is the content of a file with an operator's private key.
type KeyFile struct {
	Name string
	// Private is the ed25519 seed followed by the public key (RFC 8032).
	Private ed25519.PrivateKey
}

const (
	keyFileMode         = 0o600
	fileMode            = 0o644
	nonOwnerPermissions = 0o077
)

// NewKey generates a key and writes it to file, which must not exist yet.
func NewKey(name, file string) (*KeyFile, error) {
	_, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "key: generate")
	}
	k := &KeyFile{Name: name, Private: private}
	b, err := json.Marshal(k)
	if err != nil {
		return nil, eris.Wrap(err, "key: encode")
	}
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return nil, eris.Wrap(err, "key: create file")
	}
	if _, err := f.Write(b); err != nil {
		_ = f.Close()
		return nil, eris.Wrap(err, "key: write file")
	}
	return k, eris.Wrap(f.Close(), "key: close file")
}

// LoadKey reads a key file. It rejects one that users other than its owner have any access to.
func LoadKey(file string) (*KeyFile, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, eris.Wrap(err, "key: check permissions of file")
	}
	if info.Mode().Perm()&nonOwnerPermissions != 0 {
		return nil, eris.Errorf("key: %s has mode %o, which gives other users access; want 600", file, info.Mode().Perm())
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "key: read file")
	}
	var k KeyFile
	if err := json.Unmarshal(b, &k); err != nil {
		return nil, eris.Wrapf(err, "key: decode %s", file)
	}
	if k.Name == "" || len(k.Private) != ed25519.PrivateKeySize {
		return nil, eris.Errorf("key: %s has no name or no valid private key", file)
	}
	return &k, nil
}

// Public returns the public key in base64, as it is written in bundles and settings.
func (k *KeyFile) Public() string {
	return base64.StdEncoding.EncodeToString(k.Private.Public().(ed25519.PublicKey))
}
