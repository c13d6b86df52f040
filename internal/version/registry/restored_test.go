package registry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// at returns the position of a revision in an era.
func at(era objects.Era, revision uint64) objects.Position {
	p, err := objects.NewPosition(era, revision)
	if err != nil {
		panic(err) // Tests name positions that there are.
	}
	return p
}

// beat returns an upstream's entry as of a position, written at one of its heartbeats.
func beat(id int, p objects.Position, sequence uint64, draining bool) registry.Registration {
	r := entry(id)
	r.Revision, r.Sequence, r.Draining = p, sequence, draining
	return r
}

// inUse returns an upstream's entry as it is routed by, and whether there is one.
func inUse(c *registry.Catalog, id bundle.UpstreamID) (registry.Registration, bool) {
	for _, r := range c.InUse() {
		if r.ID == id {
			return r, true
		}
	}
	return registry.Registration{}, false
}

// Guards against a list that is kept though the store came back from a copy under lower revisions.
func TestCatalogTakesTheListOfALaterEra(t *testing.T) {
	g := NewWithT(t)
	c, now := registry.NewCatalog(), time.Unix(0, 0)
	c.Replace([]registry.Registration{beat(1, at(0, 27), 5, false)}, at(0, 27), now)
	c.Replace([]registry.Registration{beat(1, at(1, 20), 6, true)}, at(1, 21), now)
	g.Expect(c.AsOf).To(Equal(at(1, 21)))
	r, _ := inUse(c, 1)
	g.Expect(r.Draining).To(BeTrue())
	g.Expect(c.Replace([]registry.Registration{beat(1, at(0, 99), 9, false)}, at(0, 99), now)).To(BeFalse(), "an answer that comes late")
	g.Expect(c.AsOf).To(Equal(at(1, 21)))
}

// Guards against changes that are put onto a list of another era, from which they don't lead on.
func TestCatalogRefusesChangesOfAnotherEra(t *testing.T) {
	g := NewWithT(t)
	c, now := registry.NewCatalog(), time.Unix(0, 0)
	c.Replace([]registry.Registration{beat(1, at(0, 20), 5, false)}, at(0, 27), now)
	drains := []registry.Change{{Registration: beat(1, at(1, 28), 6, true)}}
	g.Expect(c.Apply(drains, at(1, 28), now)).To(BeFalse())
	g.Expect(c.Hear(drains, at(1, 28), 0, now)).To(BeFalse())
	g.Expect(c.AsOf).To(Equal(at(0, 27)))

	c.Replace([]registry.Registration{beat(1, at(1, 20), 5, false)}, at(1, 24), now)
	_, ok := c.Since(at(0, 27))
	g.Expect(ok).To(BeFalse(), "whoever is of the era before needs the whole list")
	_, ok = c.Since(at(1, 24))
	g.Expect(ok).To(BeTrue())
}
