// Package registry keeps the upstreams that register themselves with the
// platform's store: what is known of each, as of which revision, and when an
// entry that vanished is believed to be gone.
package registry

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// Registration is what an upstream says of itself. Each start of an upstream has
// an identifier of its own.
type Registration struct {
	// The wire form is an array: the names of fields would be most of its bytes.
	_       struct{} `cbor:",toarray"`
	ID      bundle.UpstreamID
	Service string
	// Address takes datagrams of flows (UDP) and health requests (TCP).
	Address netip.AddrPort
	Zone    bundle.Zone
	// Slots is how many requests it works on at once.
	Slots int
	// Draining upstreams get no new flow; they keep those they have.
	Draining bool
	// Warmup is how much longer the upstream is slow after its start, counted from
	// the entry's last change.
	Warmup time.Duration
	// Created and Revision order entries: see objects.Object.
	Created, Revision objects.Revision
}

// ErrRegistration is returned for an entry that can't be used.
var ErrRegistration = eris.New("registry: unusable entry")

// Check reports why a decoded registration can't be used, or nil.
func (r *Registration) Check() error {
	switch {
	case r.ID == 0:
		return eris.Wrap(ErrRegistration, "identifier is zero")
	case r.Service == "":
		return eris.Wrap(ErrRegistration, "service is missing")
	case !r.Address.IsValid() || !r.Address.Addr().Is4() || r.Address.Port() == 0:
		return eris.Wrapf(ErrRegistration, "address is %q, want an IPv4 address and a port", r.Address)
	case r.Slots < 1:
		return eris.Wrapf(ErrRegistration, "slots are %d, want at least 1", r.Slots)
	case r.Warmup < 0:
		return eris.Wrapf(ErrRegistration, "warm-up is %v", r.Warmup)
	}
	return nil
}

// digest is the entry's part of the digest of a list.
func (r *Registration) digest() uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(r.ID))
	binary.BigEndian.PutUint64(b[8:], uint64(r.Revision))
	return xxhash.Sum64(b[:])
}

// Change is a registration that came, changed or went.
type Change struct {
	_ struct{} `cbor:",toarray"`
	Registration
	Gone bool
}
