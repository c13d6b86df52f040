package peer

import (
	"sync"

	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// PackedCatalog is a Catalog whose list of registrations is packed apart, so that one packed list
// serves all members that request it.
type PackedCatalog struct {
	_ struct{} `cbor:",toarray"`
	// Catalog is without Registrations, even if HasRegistrations is set.
	Catalog       Catalog
	Registrations Packed[[]registry.Registration]
}

// MethodPackedCatalog requests the PackedCatalog, sealed by its Codec, with CatalogParams.
const MethodPackedCatalog = "Catalog.GetPacked"

// Check returns the error of the first invalid part of the catalog; the registrations are checked by
// Unpack.
func (p *PackedCatalog) Check() error { return p.Catalog.Check() }

// Unpack returns the catalog with its registrations. It returns the error of the first invalid one.
func (p *PackedCatalog) Unpack() (*Catalog, error) {
	c := p.Catalog
	if !c.HasRegistrations {
		return &c, nil
	}
	list, err := p.Registrations.Unpack()
	if err != nil {
		return nil, err
	}
	c.Registrations = list
	return &c, c.Check()
}

// ListPacker packs a list of registrations once, however many members request it at the same time:
// when a fleet restarts, each copy of a list of 10,000 would take megabytes of the sender's memory. It
// is safe for concurrent use, and its zero value is ready to use.
type ListPacker struct {
	mu     sync.Mutex
	asOf   objects.Position
	digest uint64
	packed Packed[[]registry.Registration]
}

// Pack returns the packed list as of a position with a digest, or as of a later position, from the
// cache if possible. list returns the list and what identifies it, which may be later by then.
func (l *ListPacker) Pack(
	asOf objects.Position, digest uint64, list func() ([]registry.Registration, objects.Position, uint64),
) (Packed[[]registry.Registration], objects.Position, uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cached := l.packed != nil && (l.asOf > asOf || l.asOf == asOf && l.digest == digest); !cached {
		registrations, at, sum := list()
		packed, err := Pack(registrations)
		if err != nil {
			return nil, 0, 0, err
		}
		l.asOf, l.digest, l.packed = at, sum, packed
	}
	return l.packed, l.asOf, l.digest, nil
}
