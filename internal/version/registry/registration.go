// Package registry keeps the registrations of upstreams in the platform's store: what is known of each
// upstream, as of which revision, and when an upstream whose entry was removed counts as removed.
//
// An upstream has one entry in the store, an object that it writes again with each heartbeat and that
// expires without heartbeats. A Registration is the decoded entry. An incarnation is one run of the
// upstream's process; the next one may have the same identifier. The list is the set of all entries as
// of one position of the store (objects.Position): an epoch, which grows when the store is restored
// from a snapshot, and a revision within it. A removal is suspect, and the entry retained for a while, if
// the store may have lost the entry although the upstream runs.
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

// UnixMilli is a point in time in milliseconds since 1970. It distinguishes and orders the incarnations of
// one upstream; it is never compared with a clock of this host.
type UnixMilli int64

// Registration is what an upstream reports of itself. An upstream may restart under the same identifier;
// Restarted distinguishes one incarnation from the next.
type Registration struct {
	// The wire form is an array, since field names would make up most of its bytes.
	_       struct{} `cbor:",toarray"`
	ID      bundle.UpstreamID
	Service string
	// Address receives datagrams of flows (UDP) and health requests (TCP).
	Address netip.AddrPort
	Zone    bundle.Zone
	// Slots is how many requests the upstream works on concurrently.
	Slots int
	// Draining upstreams get no new flow; they keep their open flows.
	Draining bool
	// Warmup is for how much longer the upstream is slow after its start, counted from the entry's
	// last change.
	Warmup time.Duration
	// Created is the position at which the entry was created, Revision that of its last change, see
	// objects.Object.
	Created, Revision objects.Position
	// StartTime is when the upstream started, zero if it doesn't say.
	StartTime UnixMilli
	// Sequence counts the upstream's heartbeats since its start.
	Sequence uint64
	// Unusable says that the store's entry can't be read or isn't an upstream's, for example because
	// another writer has replaced it. The other fields then hold what was known before, so that the
	// upstream's open flows can go on, or are empty. The upstream gets no new flow.
	Unusable bool
}

// ErrRegistration is returned for an entry that is unusable.
var ErrRegistration = eris.New("registry: unusable entry")

// Check returns an error that says why a decoded registration is unusable, or nil.
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
	case len(r.Zone) > maxNameBytes || len(r.Service) > maxNameBytes:
		return eris.Wrapf(ErrRegistration, "zone and service have %d and %d bytes, want at most %d each",
			len(r.Zone), len(r.Service), maxNameBytes)
	case !r.Address.IsValid() || !r.Address.Addr().Is4() || r.Address.Port() == 0:
		return eris.Wrapf(ErrRegistration, "address is %q, want an IPv4 address and a port", r.Address)
	case r.Slots < 1:
		return eris.Wrapf(ErrRegistration, "slots are %d, want at least 1", r.Slots)
	case r.Warmup < 0 || r.Warmup > maxWarmup:
		return eris.Wrapf(ErrRegistration, "warm-up is %v, want at most %v", r.Warmup, maxWarmup)
	case r.StartTime < 0:
		return eris.Wrapf(ErrRegistration, "start time is %d, want at least 0", r.StartTime)
	}
	return nil
}

// maxNameBytes bounds the names of zones and services, as DNS does its own. Without a bound a few entries could make the
// list too large for any message between daemons.
const maxNameBytes = 253

// maxWarmup bounds what an entry may claim. The users' upstreams are slow for seconds after their start; an entry
// that claims days is an error of its writer.
const maxWarmup = time.Hour

// HasContent reports whether the registration has a content, be it the former content of an unusable entry.
func (r *Registration) HasContent() bool { return r.Address.IsValid() }

// SameContent reports whether both registrations are equal apart from their positions.
func (r *Registration) SameContent(o *Registration) bool {
	same := *r
	same.Created, same.Revision = o.Created, o.Revision
	return same == *o
}

// Restart says how strongly an entry indicates a new incarnation of its upstream.
type Restart uint8

// The strengths of the indication.
const (
	RestartNone Restart = iota
	// RestartLikely means that the sequence fell or a warm-up began. A write of the same incarnation
	// that reached the store late looks like this too, so no flow may be ended because of it.
	RestartLikely
	// RestartCertain means that the upstream reports a later start, or belongs to another service.
	RestartCertain
)

// Restarted reports whether the entry, compared with the one known before, shows that the upstream restarted.
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
		// Its clock was set back between the two, or a write of an earlier incarnation arrived late.
		return RestartLikely
	case r.Sequence < before.Sequence, r.Warmup > before.Warmup:
		return RestartLikely
	}
	return RestartNone
}

// supersedes reports whether the entry replaces another entry of the same upstream. At the same revision, an
// unusable entry replaces a usable one, so that daemons agree whatever the order in which they receive the
// two. Between two unusable ones, the one with the former content wins.
func (r *Registration) supersedes(old *Registration) bool {
	switch {
	case r.Revision != old.Revision:
		return r.Revision > old.Revision
	case r.Unusable != old.Unusable:
		return r.Unusable
	}
	return r.Unusable && r.HasContent() && !old.HasContent()
}

// precedes reports whether an entry of a snapshot is older than what is known of the same upstream: of a
// former incarnation, or of an earlier heartbeat. Positions don't show that, since those of a restored
// store are of its new epoch.
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

// digest returns the entry's contribution to the digest of a catalog.
func (r *Registration) digest() uint64 {
	var b [17]byte
	binary.BigEndian.PutUint64(b[:8], uint64(r.ID))
	binary.BigEndian.PutUint64(b[8:], uint64(r.Revision))
	if r.Unusable {
		b[16] = 1
	}
	return xxhash.Sum64(b[:])
}

// Change is a registration that was added, changed or removed.
type Change struct {
	_ struct{} `cbor:",toarray"`
	Registration
	Removed bool
}
