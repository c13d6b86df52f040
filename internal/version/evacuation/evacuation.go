// Package evacuation keeps the zones that are evacuated: an operator requested that no new flow enters them until
// their evacuation ends.
package evacuation

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// Zones are the evacuated zones as of one position in the store's history. There are few of them, and they are always
// sent as a whole: whoever has the zones as of a position needs none of an earlier one. The zero value has no
// zones and no position. It isn't safe for concurrent use.
type Zones struct {
	_    struct{} `cbor:",toarray"`
	AsOf objects.Position
	// List is sorted and contains each zone once.
	List []bundle.Zone
}

// NewZones returns the zones of a list, sorted and without duplicates, as of a position.
func NewZones(list []bundle.Zone, asOf objects.Position) Zones {
	list = slices.Clone(list)
	slices.Sort(list)
	return Zones{AsOf: asOf, List: slices.Compact(list)}
}

// Has reports whether a zone is evacuated.
func (z *Zones) Has(zone bundle.Zone) bool {
	_, ok := slices.BinarySearch(z.List, zone)
	return ok
}

// Change says that a zone is evacuated, or that its evacuation ended if Lifted is set.
type Change struct {
	Zone   bundle.Zone
	Lifted bool
}

// WithChanges returns a copy of the zones with changes applied, as of a later position.
func (z *Zones) WithChanges(changes []Change, asOf objects.Position) Zones {
	list := slices.Clone(z.List)
	for _, ch := range changes {
		list = slices.DeleteFunc(list, func(o bundle.Zone) bool { return o == ch.Zone })
		if !ch.Lifted {
			list = append(list, ch.Zone)
		}
	}
	return NewZones(list, asOf)
}

// Limit removes zones beyond MaxZones, which no other daemon would accept: first those that known doesn't report, then the
// last ones. It returns how many it removed.
func (z *Zones) Limit(known func(bundle.Zone) bool) int {
	excess := len(z.List) - MaxZones
	if excess <= 0 {
		return 0
	}
	kept, others := make([]bundle.Zone, 0, MaxZones), make([]bundle.Zone, 0, len(z.List))
	for _, zone := range z.List {
		if known(zone) && len(kept) < MaxZones {
			kept = append(kept, zone)
		} else {
			others = append(others, zone)
		}
	}
	*z = NewZones(append(kept, others[:MaxZones-len(kept)]...), z.AsOf)
	return excess
}

// Supersedes reports whether these zones are of a later position than old and so replace it. A delayed message
// must not undo a later one.
func (z *Zones) Supersedes(old *Zones) bool { return z.AsOf > old.AsOf }

// SameZones reports whether both contain the same zones, regardless of their positions.
func (z *Zones) SameZones(o *Zones) bool { return slices.Equal(z.List, o.List) }

// Digest returns a hash of the zones' names. It doesn't depend on the position.
func (z *Zones) Digest() uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, name := range z.List {
		_, _ = h.WriteString(string(name)) // It never returns an error.
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// ErrZones is returned for zones that are unusable.
var ErrZones = eris.New("evacuation: unusable zones")

// MaxZones bounds the number of zones in a message. The system is designed for 10 zones.
const MaxZones = 256

// Check returns an error that says why decoded zones are unusable, or nil.
func (z *Zones) Check() error {
	if len(z.List) > MaxZones {
		return eris.Wrapf(ErrZones, "%d zones, want at most %d", len(z.List), MaxZones)
	}
	for i, name := range z.List {
		switch {
		case name == "":
			return eris.Wrapf(ErrZones, "zone %d has no name", i+1)
		case i > 0 && z.List[i-1] >= name:
			return eris.Wrapf(ErrZones, "zone %q is out of order", name)
		}
	}
	return nil
}
