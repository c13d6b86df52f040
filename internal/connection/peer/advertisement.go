package peer

import (
	"net/netip"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/evacuation"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// Advertisement is what a daemon that holds the store's content sends to others: the positions as
// of which it holds the bundle, the registrations and the evacuated zones, a digest of each list,
// and the latest changes of the registrations, so that a member that received the previous
// advertisement needs nothing else, unless there is a newer bundle.
type Advertisement struct {
	_ struct{} `cbor:",toarray"`
	// From is the daemon that read the store, or that sent its zone what it received from another
	// zone. Members of a large zone relay its advertisements.
	From ID
	// Age is how long ago the store last confirmed all of this.
	Age time.Duration
	// SuspicionPeriod is for how much longer the sender keeps upstreams in use that vanish from the
	// store, see registry.Catalog.RemovalSuspicion.
	SuspicionPeriod time.Duration
	// AsOf and Digest identify the sender's registrations, see registry.Catalog.
	AsOf   objects.Position
	Digest uint64
	// Bundle is the version that the sender has in force, BundleAsOf the position up to which the
	// store is known to contain no newer one.
	Bundle     bundle.Version
	BundleAsOf objects.Position
	Changes    []registry.Change
	Evacuated  AdvertisedZones
}

// AdvertisedZones are the evacuated zones in an advertisement: the whole list if it is short, else
// only its digest.
type AdvertisedZones struct {
	_      struct{} `cbor:",toarray"`
	Zones  evacuation.Zones
	Digest uint64
}

// NewAdvertisedZones returns the form in which the evacuated zones z are advertised. The list is
// left out if it holds more than MaxAdvertisedZones.
func NewAdvertisedZones(z *evacuation.Zones) AdvertisedZones {
	out := AdvertisedZones{Zones: evacuation.Zones{AsOf: z.AsOf}, Digest: z.Digest()}
	if len(z.List) <= MaxAdvertisedZones {
		out.Zones.List = z.List
	}
	return out
}

// Complete reports whether the advertisement contains the whole list of evacuated zones.
func (a *AdvertisedZones) Complete() bool { return a.Zones.Digest() == a.Digest }

// MissingFrom reports whether a daemon that holds z lacks the zones that are advertised.
func (a *AdvertisedZones) MissingFrom(z *evacuation.Zones) bool {
	return a.Zones.AsOf >= z.AsOf && a.Digest != z.Digest()
}

// Limits of an Advertisement and a Report, so that each fits into one datagram.
const (
	// MaxRepeatedChanges is how many changes an advertisement holds that repeats what the one before
	// it held. One change takes up to 75 bytes, so that they fit in a datagram.
	MaxRepeatedChanges = 14
	// MaxAdvertisedChanges bounds Advertisement.Changes. More than MaxRepeatedChanges are sent once,
	// in fragments. A member that misses some of them fetches them.
	MaxAdvertisedChanges = 512
	// maxAdvertisedBytes bounds the size of Changes, so that the fragments can hold them even if they
	// don't compress. changeBytes is the size of a change without the names of its zone and service.
	maxAdvertisedBytes = 60 << 10
	changeBytes        = 60
	// MaxAdvertisedZones bounds the evacuated zones in the same datagram. One zone takes about 12
	// bytes. A member that misses more zones fetches them.
	MaxAdvertisedZones = 12
	// MaxLoads bounds Report.Loads. One load takes about 11 bytes.
	MaxLoads = 64
	// MaxDead bounds Report.Dead.
	MaxDead = 16
	// MaxZones bounds Report.Zones. One takes about 30 bytes. Zones that don't fit beside the loads
	// of a large zone aren't sent, and no flows spill over to them.
	MaxZones = 12
	// MaxServices bounds Report.Services.
	MaxServices = 16
)

// CanAdvertise reports whether an advertisement can hold the changes. Otherwise its receivers fetch them.
func CanAdvertise(changes []registry.Change) bool {
	size := 0
	for i := range changes {
		size += changeBytes + len(changes[i].Zone) + len(changes[i].Service)
	}
	return len(changes) <= MaxAdvertisedChanges && size <= maxAdvertisedBytes
}

// Check returns ErrMessage if the advertisement exceeds a limit, or the error of an invalid entry.
func (a *Advertisement) Check() error {
	if a.From == 0 || a.Age < 0 || a.SuspicionPeriod < 0 || len(a.Changes) > MaxAdvertisedChanges {
		return ErrMessage
	}
	if err := a.Evacuated.Zones.Check(); err != nil {
		return err
	}
	for i := range a.Changes {
		if err := a.Changes[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// Load is what a daemon counts at an upstream: its flows, and how the recent requests on them
// ended.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Cookie identifies the upstream, as in the packets of its flows. It takes four bytes less than
	// the upstream's identifier, in a message that consists mostly of loads.
	Cookie uint32
	Flows  uint32
	// Answered is left out of a sum in which Failed is zero. It serves only to compute the share of
	// failures.
	Answered, Failed uint32
}

// ZoneLoad is how many flows the usable upstreams of a service hold in a zone, and how many
// requests they can process at the same time (Slots).
type ZoneLoad struct {
	_       struct{} `cbor:",toarray"`
	Zone    bundle.Zone
	Service string
	Flows   uint32
	Slots   uint32
}

// MissingFrom reports which part of the advertised content, bundle or list of registrations, a
// daemon lacks that holds the given versions. Only an advertisement of which nothing is missing
// counts as received: a member that can't fetch the rest from the sender must read the store
// itself, however recent the advertisement is. Otherwise it would keep an old bundle for as long as
// advertisements arrive.
func (a *Advertisement) MissingFrom(version bundle.Version, asOf objects.Position, digest uint64) (bundle, list bool) {
	return a.Bundle > version, a.AsOf >= asOf && a.Digest != digest
}

// ServiceLoad is how many flows of a service a daemon counts, how many requests are in progress on
// them, and how the recent requests ended.
type ServiceLoad struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Flows    uint32
	Requests uint32

	Answered, Failed uint32
}

// Report is what a member sends to its parent, together with what its children sent it, up to the
// zone reader, which sends the sum over all members back to them. Zone readers also send each other
// the loads of their zones, and any daemon reports upstreams that it found dead.
type Report struct {
	_    struct{} `cbor:",toarray"`
	From ID
	// IsSum says that Loads are the sums over the zone.
	IsSum bool
	Loads []Load
	// Dead are upstreams that the sender has detected as dead.
	Dead []bundle.UpstreamID
	// DeadOnly says that Dead were detected just now and that Loads, Services and Zones aren't
	// filled in.
	DeadOnly bool
	// Services are counted like Loads.
	Services []ServiceLoad
	// Zones are the loads of whole zones: that of the sender's own zone if the zone reader sends to
	// another zone, those of other zones if it sends to its members.
	Zones []ZoneLoad
	// Sequence grows with each report of a daemon that others relay.
	Sequence uint64
	// StoreLost says that the sender is alive but has no recent content of the store: its own calls
	// aren't answered, or nobody advertises to it the answers that another daemon received.
	StoreLost bool
}

// Check returns ErrMessage if the report has no sender or exceeds a limit.
func (r *Report) Check() error {
	switch {
	case r.From == 0, len(r.Loads) > MaxLoads, len(r.Dead) > MaxDead:
		return ErrMessage
	case len(r.Zones) > MaxZones, len(r.Services) > MaxServices:
		return ErrMessage
	}
	return nil
}

// Catalog is all that a daemon knows of the store's content, for a daemon that lacks some of it. It
// is a message, unlike registry.Catalog, which holds a daemon's registrations.
type Catalog struct {
	_ struct{} `cbor:",toarray"`
	// Complete says that the sender holds all of the store's content, Age how long ago the store
	// last confirmed it.
	Complete bool
	Age      time.Duration
	// Version is the bundle that the sender has in force, BundleAsOf is as in Advertisement. Update
	// leads to Version from the version that the requester has. It is empty if the requester has
	// Version or a newer one.
	Version    bundle.Version
	BundleAsOf objects.Position
	Update     PackedUpdate
	// AsOf, Digest and SuspicionPeriod are as in Advertisement.
	AsOf            objects.Position
	Digest          uint64
	SuspicionPeriod time.Duration
	// Evacuated are all evacuated zones that the sender knows.
	Evacuated evacuation.Zones
	// HasRegistrations says that Registrations is the whole list as of AsOf. HasChanges says that
	// Changes lead to AsOf from what the requester holds. Neither is sent to a requester that holds
	// the same registrations.
	HasRegistrations bool
	Registrations    []registry.Registration
	HasChanges       bool
	Changes          []registry.Change
	// Members are the daemons that the sender knows, for a joining member.
	Members []Member
	// Deregistered are upstreams that were deregistered and found dead, for a joining member. A
	// daemon that started after they were removed can probe them itself and notify the callers of
	// their flows.
	Deregistered []DeregisteredUpstream
	// Held is, for a joining member, the content that the sender uses in place of the store's after
	// the store was restored from a snapshot.
	Held HeldContent
}

// HeldContent is what a daemon uses in place of the store's content after the store was restored
// from a snapshot.
type HeldContent struct {
	_ struct{} `cbor:",toarray"`
	// Upstreams are registrations that are newer than their entries in the restored store. Zones
	// are evacuated although the store doesn't say so. Each set stays in use for the time that the
	// field after it gives.
	Upstreams    []registry.Registration
	UpstreamsFor time.Duration
	Zones        []bundle.Zone
	ZonesFor     time.Duration
}

// Check returns ErrMessage if a limit is exceeded, or the error of an invalid registration.
func (h *HeldContent) Check() error {
	if len(h.Zones) > evacuation.MaxZones || h.UpstreamsFor < 0 || h.ZonesFor < 0 {
		return ErrMessage
	}
	for i := range h.Upstreams {
		if err := h.Upstreams[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// DeregisteredUpstream is an upstream that was deregistered.
type DeregisteredUpstream struct {
	_       struct{} `cbor:",toarray"`
	ID      bundle.UpstreamID
	Address netip.AddrPort
}

// Check returns the error of the first invalid part.
func (c *Catalog) Check() error {
	for i := range c.Members {
		if err := c.Members[i].Check(); err != nil {
			return err
		}
	}
	for i := range c.Changes {
		if err := c.Changes[i].Check(); err != nil {
			return err
		}
	}
	if err := c.Evacuated.Check(); err != nil {
		return err
	}
	if err := c.Held.Check(); err != nil {
		return err
	}
	for i := range c.Registrations {
		if err := c.Registrations[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// MethodCatalog requests the Catalog, sealed by its Codec.
const MethodCatalog = "Catalog.Get"

// CatalogParams are the parameters of MethodCatalog. The names of its fields are keys on the wire.
type CatalogParams struct {
	// Version is the bundle that the requester has in force, AsOf and Digest identify the
	// registrations that it holds.
	Version bundle.Version
	AsOf    objects.Position
	Digest  uint64
	// Whole requests the whole list of registrations, after changes that didn't lead to the
	// advertised digest.
	Whole bool
	// Joining says that the requester started recently. It requests Deregistered too, and Members
	// if the requester's members don't match MembersDigest. Others receive these by gossip and by
	// reports; at 300 hosts the members alone are 50 KB.
	Joining       bool
	MembersDigest uint64
	// WithoutMembers says that the requester fetches the members by MethodMembers.
	WithoutMembers bool
	// Zone is the zone of a requester that can't place flows yet. Instead of all members it is sent
	// those of Membership.BootstrapMembers: callers may be waiting for it, and a small host takes
	// longer to process 195 members than the list of upstreams.
	Zone bundle.Zone
}
