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

// rollPause is the time between two tries of a write whose outcome is unknown.
const rollPause = 500 * time.Millisecond

// Prepare checks a bundle and writes it as the successor of the one in force.
func Prepare(ctx context.Context, c *platform.Client, by, from, to string) (*bundle.Signed, error) {
	src, err := os.ReadFile(from)
	if err != nil {
		return nil, eris.Wrap(err, "bundle")
	}
	if _, err := bundle.Decode(from, src); err != nil {
		return nil, err
	}
	head, _, err := c.Head(ctx)
	if err != nil {
		return nil, err
	}
	s := head.Successor(by, rand.Text(), src)
	return s, eris.Wrap(os.WriteFile(to, s.Encode(), fileMode), "bundle")
}

// Approve signs a prepared bundle with the approver's key.
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
	return signed, eris.Wrap(os.WriteFile(to, signed.Encode(), fileMode), "bundle")
}

// Roll puts an approved bundle in force.
func Roll(ctx context.Context, c *platform.Client, from string) (*bundle.Signed, error) {
	s, err := readSigned(from)
	if err != nil {
		return nil, err
	}
	if len(s.Signature) == 0 {
		return nil, eris.Errorf("bundle: %s isn't approved yet", from)
	}
	return s, c.Roll(ctx, s, rollPause)
}

func readSigned(file string) (*bundle.Signed, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "bundle")
	}
	s, err := bundle.DecodeSigned(b)
	return s, eris.Wrapf(err, "bundle: %s", file)
}
