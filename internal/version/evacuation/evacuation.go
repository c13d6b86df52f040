// Package evacuation knows which zones are evacuated: an operator has asked that no new flow
// enters them until they are taken back.
package evacuation

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// Zones are the evacuated zones as of one position in the store's history. They are few and travel whole: whoever
// holds those of a position lacks nothing of the positions before it. The zero value is none, as
// of no position. It isn't safe for concurrent use.
type Zones struct {
	_    struct{} `cbor:",toarray"`
	AsOf objects.Position
	// List is in order and holds each zone once.
	List []bundle.Zone
}

// NewZones returns the zones of a list as of a revision.
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

// Change says that a zone is evacuated or was taken back.
type Change struct {
	Zone   bundle.Zone
	Lifted bool
}

// WithChanges returns the zones once changes up to a revision have been made to these.
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

// Supersedes reports whether these zones are to replace others: those of an earlier revision. A word
// that was on its way for long must not undo what a later one said.
func (z *Zones) Supersedes(old *Zones) bool { return z.AsOf > old.AsOf }

// SameZones reports whether both are the same zones, as of whatever revision.
func (z *Zones) SameZones(o *Zones) bool { return slices.Equal(z.List, o.List) }

// Digest tells zones apart by their names.
func (z *Zones) Digest() uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, name := range z.List {
		_, _ = h.WriteString(string(name)) // It never fails.
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// ErrZones is returned for zones that can't be used.
var ErrZones = eris.New("evacuation: unusable zones")

// MaxZones bounds what a message may claim. The size to design for has 10 zones.
const MaxZones = 256

// Check reports why decoded zones can't be used, or nil.
func (z *Zones) Check() error {
	if len(z.List) > MaxZones {
		return eris.Wrapf(ErrZones, "%d zones, want at most %d", len(z.List), MaxZones)
	}
	for i, name := range z.List {
		switch {
		case name == "":
			return eris.Wrapf(ErrZones, "zone %d has no name", i+1)
		case i > 0 && z.List[i-1] >= name:
			return eris.Wrapf(ErrZones, "zone %q isn't in order", name)
		}
	}
	return nil
}
