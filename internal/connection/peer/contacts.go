package peer

import (
	"net/netip"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Contacts are members through which other members are discovered. The daemon that reads the store
// keeps them there in one object, for daemons whose seeds are outdated and for parts of the system
// that lost contact with each other. A single object that is replaced needs no removal of members
// that died, and the number of its calls doesn't grow with their number.
type Contacts struct {
	Members []Contact
}

// Contact is a member that can be queried for others.
type Contact struct {
	Name    string
	Zone    bundle.Zone
	Control netip.AddrPort
	// Size is Member.Size, zero if the daemon that wrote the contact didn't send it.
	Size uint32
}

const (
	// contactsInZone is the number of members kept for each zone, enough to survive the death of
	// two at the same time.
	contactsInZone = 3
	// MaxContacts bounds the object: the members of ten zones, and the same number of older
	// contacts.
	MaxContacts = 60
)

// ErrContacts is returned for contacts that are too many or that have an invalid address.
var ErrContacts = eris.New("peer: unusable contacts")

// Check returns ErrContacts if there are too many contacts or if one has no valid control address.
func (c *Contacts) Check() error {
	if len(c.Members) > MaxContacts {
		return eris.Wrapf(ErrContacts, "got %d contacts, want at most %d", len(c.Members), MaxContacts)
	}
	for i, m := range c.Members {
		if !m.Control.IsValid() || m.Control.Port() == 0 {
			return eris.Wrapf(ErrContacts, "Members[%d].Control is %q", i, m.Control)
		}
	}
	return nil
}

// Addresses returns the control addresses of all contacts.
func (c *Contacts) Addresses() []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(c.Members))
	for _, m := range c.Members {
		out = append(out, m.Control)
	}
	return out
}

// Contacts returns the contacts that replace the old ones: the first members of each zone in reader
// order, followed by old contacts up to MaxContacts. Old contacts that are unreachable are kept,
// since a zone that is partitioned from the others must not remove theirs.
func (v *View) Contacts(old *Contacts) Contacts {
	var out Contacts
	inZone := make(map[bundle.Zone]int)
	members := make([]*Member, 0, len(v.Members))
	for i := range v.Members {
		members = append(members, &v.Members[i])
	}
	slices.SortFunc(members, compareReaders)
	for _, m := range members {
		if inZone[m.Zone]++; inZone[m.Zone] <= contactsInZone && len(out.Members) < MaxContacts {
			out.Members = append(out.Members, Contact{Name: m.Name, Zone: m.Zone, Control: m.Control, Size: m.Size})
		}
	}
	for _, o := range old.Members {
		if len(out.Members) < MaxContacts && !out.contains(o.Control) {
			out.Members = append(out.Members, o)
		}
	}
	return out
}

func (c *Contacts) contains(at netip.AddrPort) bool {
	return slices.ContainsFunc(c.Members, func(m Contact) bool { return m.Control == at })
}

// ContactsOutdated reports whether contacts are to be replaced because they contain none of the
// largest members of some zone. Any member can be used for discovery, but after a power loss of the
// whole system the largest members are the first that can send the store's content to others.
func (v *View) ContactsOutdated(c *Contacts) bool {
	largest := make(map[bundle.Zone]uint32)
	for i := range v.Members {
		m := &v.Members[i]
		largest[m.Zone] = max(largest[m.Zone], m.Size)
	}
	found := make(map[bundle.Zone]bool)
	for i := range v.Members {
		m := &v.Members[i]
		if m.Size == largest[m.Zone] && c.contains(m.Control) {
			found[m.Zone] = true
		}
	}
	return len(found) < len(largest)
}

// LargerInZone returns the control addresses of the contacts in a zone that IsLargerSource accepts
// for a daemon of size self.
func (c *Contacts) LargerInZone(zone bundle.Zone, self uint32) []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range c.Members {
		if m.Zone == zone && IsLargerSource(m.Size, self) {
			out = append(out, m.Control)
		}
	}
	return out
}
