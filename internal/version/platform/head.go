package platform

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// HeadKey is the key of the object that holds the bundle in force.
const HeadKey = "bundle-head"

// ErrRaced is returned if another bundle was rolled first.
var ErrRaced = eris.New("platform: another bundle was rolled first")

// Head reads the bundle in force and its object version. It returns nil if no bundle has been rolled yet.
func (c *Client) Head(ctx context.Context) (*bundle.Signed, ObjectVersion, error) {
	o, err := c.Get(ctx, HeadKey)
	if eris.Is(err, ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	s, err := bundle.DecodeSigned(o.Body)
	return s, o.Version, err
}

// Roll puts s in force if its version is the next one. After an error other than ErrRaced it retries, each time after a
// pause, until ctx ends. If the answer of a write was lost, the operation ids in the object, which
// it reads before each attempt, tell whether the write took effect. So it is never made twice nor reported wrongly.
func (c *Client) Roll(ctx context.Context, s *bundle.Signed, pause time.Duration) error {
	for {
		err := c.tryRoll(ctx, s)
		if err == nil || eris.Is(err, ErrRaced) {
			return err
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(err, "the write may have taken effect; roll the same file again to find out")
		case <-time.After(pause):
		}
	}
}

func (c *Client) tryRoll(ctx context.Context, s *bundle.Signed) error {
	head, version, err := c.Head(ctx)
	if err != nil {
		return err
	}
	if head == nil && s.Version != 1 {
		return eris.Wrapf(ErrRaced, "no bundle is in force, so the next version is 1, not %d", s.Version)
	}
	if head != nil {
		if head.WasInForce(s.OperationID) {
			return nil
		}
		if head.Version+1 != s.Version {
			return eris.Wrapf(ErrRaced, "version %d by %s, approved by %s, is in force; prepare again on it",
				head.Version, head.PreparedBy, head.ApprovedBy)
		}
	}
	_, err = c.Put(ctx, HeadKey, s.Encode(), version)
	return err
}
