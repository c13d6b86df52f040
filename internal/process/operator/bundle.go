package operator

import (
	"context"
	"crypto/rand"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/platform"
)

// rollRetryDelay is the time between two attempts of a write whose outcome is unknown.
const rollRetryDelay = 500 * time.Millisecond

// Prepare checks the bundle in file from and writes it to file to, as the successor of the
// bundle in force. by names the operator who prepares it.
func Prepare(ctx context.Context, c *platform.Client, by, from, to string) (*bundle.Signed, error) {
	src, err := os.ReadFile(from)
	if err != nil {
		return nil, eris.Wrap(err, "bundle: read file")
	}
	if _, err := bundle.Decode(from, src); err != nil {
		return nil, err
	}
	head, _, err := c.Head(ctx)
	if err != nil {
		return nil, err
	}
	s := head.Successor(by, rand.Text(), src)
	return s, eris.Wrap(os.WriteFile(to, s.Encode(), fileMode), "bundle: write file")
}

// Approve signs the prepared bundle in file from with the approver's key and writes it to file to.
func Approve(keyFile, from, to string) (*bundle.Signed, error) {
	k, err := LoadKey(keyFile)
	if err != nil {
		return nil, err
	}
	s, err := readSigned(from)
	if err != nil {
		return nil, err
	}
	if _, err := bundle.Decode(from, s.Content); err != nil {
		return nil, err
	}
	s.ApprovedBy = k.Name
	signed, err := bundle.Sign(*s, k.Private)
	if err != nil {
		return nil, err
	}
	return signed, eris.Wrap(os.WriteFile(to, signed.Encode(), fileMode), "bundle: write file")
}

// Roll puts the approved bundle in file from in force.
func Roll(ctx context.Context, c *platform.Client, from string) (*bundle.Signed, error) {
	s, err := readSigned(from)
	if err != nil {
		return nil, err
	}
	if len(s.Signature) == 0 {
		return nil, eris.Errorf("bundle: %s isn't approved yet", from)
	}
	return s, c.Roll(ctx, s, rollRetryDelay)
}

func readSigned(file string) (*bundle.Signed, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "bundle: read file")
	}
	s, err := bundle.DecodeSigned(b)
	return s, eris.Wrapf(err, "bundle: decode %s", file)
}
