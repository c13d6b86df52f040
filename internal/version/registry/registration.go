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

// UnixMilli is a time of the day as milliseconds since 1970. It tells incarnations of one
// upstream apart and orders them; it is never compared with a clock of this host.
type UnixMilli int64

// Registration is what an upstream says of itself. It may start again under the
// identifier that it had; Restarted tells one incarnation from the next.
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
	Created, Revision objects.Position
	// StartTime is when the upstream started, zero if it doesn't tell.
	StartTime UnixMilli
	// Sequence counts the upstream's heartbeats from its start.
	Sequence uint64
	// Unusable says that the store's entry can't be read or isn't an upstream's, as after
	// another writer has replaced it. The rest is what was known before, for the flows
	// that are open there, or empty. It takes no new flow.
	Unusable bool
}

// ErrRegistration is returned for an entry that can't be used.
var ErrRegistration = eris.New("registry: unusable entry")

// Check reports why a decoded registration can't be used, or nil.
func (r *Registration) Check() error {
	switch {
	case r.ID == 0:
		return eris.Wrap(ErrRegistration, "identifier is zero")
	case r.Unusable && !r.HasContent():
		return nil
	case r.Zone == "":
		return eris.Wrap(ErrRegistration, "zone is missing")
	case r.Service == "":
		return eris.Wrap(ErrRegistration, "service is missing")
	case !r.Address.IsValid() || !r.Address.Addr().Is4() || r.Address.Port() == 0:
		return eris.Wrapf(ErrRegistration, "address is %q, want an IPv4 address and a port", r.Address)
	case r.Slots < 1:
		return eris.Wrapf(ErrRegistration, "slots are %d, want at least 1", r.Slots)
	case r.Warmup < 0 || r.Warmup > maxWarmup:
		return eris.Wrapf(ErrRegistration, "warm-up is %v, want at most %v", r.Warmup, maxWarmup)
	case r.StartTime < 0:
		return eris.Wrapf(ErrRegistration, "start is %d", r.StartTime)
	}
	return nil
}

// maxWarmup bounds what an entry may claim. The users' upstreams are slow for seconds; an
// entry that claims days is a mistake of its writer.
const maxWarmup = time.Hour

// HasContent reports whether there is a content, be it that of before.
func (r *Registration) HasContent() bool { return r.Address.IsValid() }

// SameContent reports whether both say the same, as of whatever position.
func (r *Registration) SameContent(o *Registration) bool {
	same := *r
	same.Created, same.Revision = o.Created, o.Revision
	return same == *o
}

// Restart is what an entry shows of a new incarnation of its upstream.
type Restart uint8

// The kinds of evidence.
const (
	RestartNone Restart = iota
	// RestartLikely: a sequence that falls or a warm-up that begins. A write of the same
	// incarnation that reached the store late looks like this too, so nothing may be ended
	// by it.
	RestartLikely
	// RestartCertain: the upstream tells a later start, or is of another service.
	RestartCertain
)

// Restarted reports what an entry shows beside the one that was known before.
func (r *Registration) Restarted(before *Registration) Restart {
	switch {
	case !r.HasContent() || !before.HasContent() || r.Unusable:
		return RestartNone
	case r.Service != before.Service:
		return RestartCertain
	case r.StartTime > before.StartTime && before.StartTime != 0:
		return RestartCertain
	case r.StartTime != 0 && r.StartTime == before.StartTime:
		return RestartNone
	case r.StartTime < before.StartTime && r.StartTime != 0:
		// Its clock was set back between the two, or an earlier incarnation's write came late.
		return RestartLikely
	case r.Sequence < before.Sequence, r.Warmup > before.Warmup:
		return RestartLikely
	}
	return RestartNone
}

// supersedes reports whether the entry takes the place of one of the same upstream. At one
// revision the word that it is unusable counts, so that daemons agree in whatever order they
// hear the two, and what was known of it before is taken from whoever knows it.
func (r *Registration) supersedes(old *Registration) bool {
	switch {
	case r.Revision != old.Revision:
		return r.Revision > old.Revision
	case r.Unusable != old.Unusable:
		return r.Unusable
	}
	return r.Unusable && r.HasContent() && !old.HasContent()
}

// precedes reports whether an entry of a snapshot is of an earlier time than what is known of the same
// upstream: of a former incarnation, or of an earlier heartbeat.
func (r *Registration) precedes(known *Registration) bool {
	switch {
	case !r.HasContent() || !known.HasContent() || r.Unusable || known.Unusable:
		return false
	case r.StartTime != known.StartTime && r.StartTime != 0 && known.StartTime != 0:
		return r.StartTime < known.StartTime
	case r.Service != known.Service:
		return false
	}
	return r.Sequence < known.Sequence
}

// digest is the entry's part of the digest of a list.
func (r *Registration) digest() uint64 {
	var b [17]byte
	binary.BigEndian.PutUint64(b[:8], uint64(r.ID))
	binary.BigEndian.PutUint64(b[8:], uint64(r.Revision))
	if r.Unusable {
		b[16] = 1
	}
	return xxhash.Sum64(b[:])
}

// Change is a registration that came, changed or went.
type Change struct {
	_ struct{} `cbor:",toarray"`
	Registration
	Removed bool
}
