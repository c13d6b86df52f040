package peer

import (
	"net/netip"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Contacts are members by whom others are found. The reader of the store keeps them
// there in one object, for daemons whose seeds are out of date and for parts of the
// system that have lost each other: one object that is replaced needs nobody to clean
// up after members that died, and its calls don't grow with their number.
type Contacts struct {
	Members []Contact
}

// Contact is a member to be asked.
type Contact struct {
	Name    string
	Zone    bundle.Zone
	Control netip.AddrPort
	// Size is that of the member, zero if the daemon that wrote it didn't tell.
	Size uint32
}

const (
	// contactsInZone is how many members of each zone are kept: two may die at once.
	contactsInZone = 3
	// MaxContacts bounds the object: ten zones' members, and as many of before.
	MaxContacts = 60
)

// ErrContacts is returned for contacts that can't be used.
var ErrContacts = eris.New("peer: unusable contacts")

// Check implements the check of a wire type.
func (c *Contacts) Check() error {
	if len(c.Members) > MaxContacts {
		return eris.Wrapf(ErrContacts, "there are %d, want at most %d", len(c.Members), MaxContacts)
	}
	for i, m := range c.Members {
		if !m.Control.IsValid() || m.Control.Port() == 0 {
			return eris.Wrapf(ErrContacts, "Members[%d].Control is %q", i, m.Control)
		}
	}
	return nil
}

// Addresses returns the control addresses.
func (c *Contacts) Addresses() []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(c.Members))
	for _, m := range c.Members {
		out = append(out, m.Control)
	}
	return out
}

// Contacts returns the contacts to be kept in place of those that are: the first of each
// zone, and then the old ones as far as there is room. Those out of reach stay, since a
// zone that is cut off must not make others forget the rest.
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
		if len(out.Members) < MaxContacts && !out.has(o.Control) {
			out.Members = append(out.Members, o)
		}
	}
	return out
}

func (c *Contacts) has(at netip.AddrPort) bool {
	return slices.ContainsFunc(c.Members, func(m Contact) bool { return m.Control == at })
}

// ContactsOutdated reports whether contacts are to be replaced: none of a zone's largest members is
// among them. Any member would do to be found by, but after a loss of all power it is the largest
// who can tell the others soonest.
func (v *View) ContactsOutdated(c *Contacts) bool {
	largest := make(map[bundle.Zone]uint32)
	for i := range v.Members {
		m := &v.Members[i]
		largest[m.Zone] = max(largest[m.Zone], m.Size)
	}
	found := make(map[bundle.Zone]bool)
	for i := range v.Members {
		m := &v.Members[i]
		if m.Size == largest[m.Zone] && c.has(m.Control) {
			found[m.Zone] = true
		}
	}
	return len(found) < len(largest)
}

// LargerInZone returns the control addresses of those in a zone that Tells holds for.
func (c *Contacts) LargerInZone(zone bundle.Zone, self uint32) []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range c.Members {
		if m.Zone == zone && IsLargerSource(m.Size, self) {
			out = append(out, m.Control)
		}
	}
	return out
}
