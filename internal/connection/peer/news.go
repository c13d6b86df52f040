package peer

import (
	"net/netip"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/evacuation"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// Advertisement is what a daemon that knows the store's content tells others. It
// carries the latest changes, so that a member that heard the one before needs
// nothing else.
type Advertisement struct {
	_ struct{} `cbor:",toarray"`
	// From is the daemon that read the store, or that told its zone what it heard from
	// another. Members of a large zone pass its news on.
	From ID
	// Age is how long ago the store last confirmed all of this.
	Age time.Duration
	// SuspicionPeriod is for how long the sender keeps upstreams that vanish from the store.
	SuspicionPeriod time.Duration
	// AsOf and Digest identify the sender's registrations, see registry.Catalog.
	AsOf   objects.Position
	Digest uint64
	// Bundle is the version that the sender has in force, BundleAsOf the revision up to which the
	// store is known to have no newer one.
	Bundle     bundle.Version
	BundleAsOf objects.Position
	Changes    []registry.Change
	Evacuated  AdvertisedZones
}

// AdvertisedZones are the evacuated zones as news tell them: whole if they are few, else by their
// digest.
type AdvertisedZones struct {
	_      struct{} `cbor:",toarray"`
	Zones  evacuation.Zones
	Digest uint64
}

// NewAdvertisedZones returns what news tell of evacuated zones.
func NewAdvertisedZones(z *evacuation.Zones) AdvertisedZones {
	out := AdvertisedZones{Zones: evacuation.Zones{AsOf: z.AsOf}, Digest: z.Digest()}
	if len(z.List) <= MaxAdvertisedZones {
		out.Zones.List = z.List
	}
	return out
}

// Complete reports whether the news hold the zones whole.
func (e *AdvertisedZones) Complete() bool { return e.Zones.Digest() == e.Digest }

// MissingFrom reports whether a daemon that knows z lacks what the news announce.
func (e *AdvertisedZones) MissingFrom(z *evacuation.Zones) bool {
	return e.Zones.AsOf >= z.AsOf && e.Digest != z.Digest()
}

// Limits of a News and a Report, so that each fits one datagram.
const (
	// MaxAdvertisedChanges bounds Changes: one takes up to 75 bytes. A member that misses
	// more fetches them.
	MaxAdvertisedChanges = 14
	// MaxAdvertisedZones bounds the evacuated zones beside them: one takes about 12 bytes. A member that misses
	// more fetches them.
	MaxAdvertisedZones = 12
	// MaxLoads bounds Loads: one takes about 11 bytes.
	MaxLoads = 64
	// MaxDead bounds Dead.
	MaxDead = 16
	// MaxZones bounds Zones. One takes about 30 bytes; what is more than fits beside
	// the loads of a large zone isn't told, and nothing spills there.
	MaxZones = 12
	// MaxServices bounds Services.
	MaxServices = 16
)

// Check implements the check of a wire type.
func (n *Advertisement) Check() error {
	if n.From == 0 || n.Age < 0 || n.SuspicionPeriod < 0 || len(n.Changes) > MaxAdvertisedChanges {
		return ErrMessage
	}
	if err := n.Evacuated.Zones.Check(); err != nil {
		return err
	}
	for i := range n.Changes {
		if err := n.Changes[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// Load is what somebody counts at an upstream: its flows, and how requests on them
// ended in the last while.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Cookie names the upstream, as in the packets of its flows: in four bytes less than
	// its identifier, of a message that is mostly these.
	Cookie uint32
	Flows  uint32
	// Answered is left out of a sum in which Failed is zero: it is there for the share of
	// failures.
	Answered, Failed uint32
}

// ZoneLoad is how many flows the usable upstreams of a service hold in a zone, and
// how many requests they work on at once.
type ZoneLoad struct {
	_       struct{} `cbor:",toarray"`
	Zone    bundle.Zone
	Service string
	Flows   uint32
	Slots   uint32
}

// MissingFrom reports what a daemon lacks of what the news announce. Only news that lack
// nothing count as heard: a member that can't fetch the rest from the sender must
// read the store itself, however fresh the news are, or it would keep an old bundle
// for as long as they come.
func (n *Advertisement) MissingFrom(version bundle.Version, asOf objects.Position, digest uint64) (bundle, list bool) {
	return n.Bundle > version, n.AsOf >= asOf && n.Digest != digest
}

// ServiceLoad is how many flows of a service somebody counts, how many requests are in
// progress on them, and how requests ended in the last while.
type ServiceLoad struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Flows    uint32
	Requests uint32

	Answered, Failed uint32
}

// Report is what a member tells its parent, with what its children told it, up to the
// daemon that reads the store for its zone, and, summed up over all members, what that
// one tells them.
type Report struct {
	_    struct{} `cbor:",toarray"`
	From ID
	// IsSum says that Loads are the sums over the zone.
	IsSum bool
	Loads []Load
	// Dead are upstreams that the sender found dead.
	Dead []bundle.UpstreamID
	// DeadOnly says that Dead were found just now and that the rest isn't filled in.
	DeadOnly bool
	// Services are counted like Loads.
	Services []ServiceLoad
	// Zones are the loads of whole zones: of the sender's own if it reads the store
	// for its zone and tells that of another, of all if it tells its members.
	Zones []ZoneLoad
	// Sequence grows with each report of a daemon that others pass on.
	Sequence uint64
	// StoreLost says that the sender lives and has no fresh word of the store's: its own calls
	// aren't answered, or nobody tells it what another's were.
	StoreLost bool
}

// Check implements the check of a wire type.
func (r *Report) Check() error {
	switch {
	case r.From == 0, len(r.Loads) > MaxLoads, len(r.Dead) > MaxDead:
		return ErrMessage
	case len(r.Zones) > MaxZones, len(r.Services) > MaxServices:
		return ErrMessage
	}
	return nil
}

// Catalog is all that a daemon knows of the store, for one that lacks some of it.
type Catalog struct {
	_ struct{} `cbor:",toarray"`
	// Complete says that the sender holds all of the store's content, Age how long ago
	// the store last confirmed it.
	Complete bool
	Age      time.Duration
	// Version is the bundle that the sender has in force, BundleAsOf as that of News. Update leads
	// there from what the asker has; it is empty if that is this version or a newer one.
	Version         bundle.Version
	BundleAsOf      objects.Position
	Update          PackedUpdate
	AsOf            objects.Position
	Digest          uint64
	SuspicionPeriod time.Duration
	// Evacuated are all evacuated zones that the sender knows.
	Evacuated evacuation.Zones
	// HasRegistrations says that Registrations is the list as of AsOf. Changed says that Changes
	// lead there from what the asker knows. Neither is sent to one that knows as much.
	HasRegistrations bool
	Registrations    []registry.Registration
	HasChanges       bool
	Changes          []registry.Change
	// Members are the daemons that the sender knows, for one that joins.
	Members []Member
	// Deregistered are upstreams that left the list and were found dead, for one that joins. A
	// daemon that started after they went can look for itself and tell the callers of
	// their flows.
	Deregistered []DeregisteredUpstream
	// Held is, for one that joins, what the sender goes by in place of what the store says, which was restored
	// from a snapshot.
	Held HeldContent
}

// HeldContent is what a daemon goes by in place of what the store says, which was restored from a snapshot.
type HeldContent struct {
	_ struct{} `cbor:",toarray"`
	// Upstreams are of a later content than their entries, Zones are evacuated though the store lacks them. Each
	// stays for a time.
	Upstreams    []registry.Registration
	UpstreamsFor time.Duration
	Zones        []bundle.Zone
	ZonesFor     time.Duration
}

// Check implements the check of a wire type.
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

// DeregisteredUpstream is an upstream that left the list.
type DeregisteredUpstream struct {
	_       struct{} `cbor:",toarray"`
	ID      bundle.UpstreamID
	Address netip.AddrPort
}

// Check implements the check of a wire type.
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

// MethodCatalog asks for the Catalog, sealed by its Codec.
const MethodCatalog = "Catalog.Get"

// CatalogParams are the parameters of MethodCatalog.
type CatalogParams struct {
	// Version is the bundle that the asker has in force, AsOf and Digest what it
	// knows of registrations.
	Version bundle.Version
	AsOf    objects.Position
	Digest  uint64
	// Whole asks for the whole list: the changes didn't lead to the same digest.
	Whole bool
	// Joining says that the asker started lately, and asks for Gone too and for Members
	// if it doesn't know the same as MembersDigest tells. Others hear of these by gossip
	// and by reports; at 300 hosts the members alone are 50 KB.
	Joining       bool
	MembersDigest uint64
	// Zone is that of an asker that can't place flows yet. In place of all members it is told
	// of those that Membership.Introductions names: callers may wait for it, and to take in 195
	// members takes a small host longer than the list of upstreams.
	Zone bundle.Zone
}
