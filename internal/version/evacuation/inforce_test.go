package evacuation_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/evacuation"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// Guards against flows that enter an evacuated zone, since the store was restored from a snapshot that lacks its evacuation
// or has a lower revision.
func TestZonesInForceOverARestoreOfTheStore(t *testing.T) {
	none := []bundle.Zone(nil)
	for name, tc := range map[string]struct {
		known, restored, later []bundle.Zone
		held, believed         []bundle.Zone
	}{
		"kept": {known: zones("a"), restored: zones("a"), later: zones("a"), held: zones("a"), believed: zones("a")},
		"lost": {
			known: zones("a", "b"), restored: zones("b"), later: zones("b"), held: zones("a", "b"), believed: zones("b"),
		},
		"lost and asked for again":         {known: zones("a"), later: zones("a"), held: zones("a"), believed: zones("a")},
		"asked for after the restore":      {later: zones("a"), held: zones("a"), believed: zones("a")},
		"taken back after the restore":     {known: zones("a"), restored: zones("a"), held: none, believed: none},
		"taken back, and the snapshot not": {restored: zones("a"), later: none, held: none, believed: none},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var f evacuation.InForce
			now := time.Unix(0, 0)
			take := func(list []bundle.Zone, epoch objects.Epoch, revision uint64) bool {
				p, err := objects.NewPosition(epoch, revision)
				g.Expect(err).NotTo(HaveOccurred())
				return f.Update(evacuation.NewZones(list, p), now)
			}
			g.Expect(take(tc.known, 0, 27)).To(BeTrue())
			g.Expect(take(tc.restored, 1, 20)).To(BeTrue())
			g.Expect(take(tc.known, 0, 99)).To(BeFalse(), "a word that comes late")
			g.Expect(take(tc.later, 1, 21)).To(BeTrue())
			g.Expect(f.Expire(now.Add(objects.RestoreGrace - 1))).To(BeFalse())
			g.Expect(f.Zones()).To(Equal(tc.held))
			f.Expire(now.Add(objects.RestoreGrace))
			g.Expect(f.Zones()).To(Equal(tc.believed))
		})
	}
}

// Guards against flows that a daemon which starts after a restore of the store sends into an evacuated zone that the
// snapshot lacks: the others know it.
func TestZonesHeldBackByAnotherAreTakenOver(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	var old, newcomer evacuation.InForce
	epoch, err := objects.NewPosition(1, 20)
	g.Expect(err).NotTo(HaveOccurred())
	old.Update(evacuation.NewZones(zones("a", "b"), 27), now)
	for _, f := range []*evacuation.InForce{&old, &newcomer} {
		f.Update(evacuation.NewZones(zones("b"), epoch), now)
	}
	held, left := old.HeldZones(now.Add(time.Second))
	g.Expect(held).To(Equal(zones("a")))
	g.Expect(newcomer.HoldZones(held, left, now.Add(time.Second))).To(BeTrue())
	g.Expect(newcomer.HoldZones(held, left, now.Add(time.Second))).To(BeFalse())
	g.Expect(newcomer.Zones()).To(Equal(zones("a", "b")))
	g.Expect(newcomer.Expire(now.Add(objects.RestoreGrace))).To(BeTrue())
	g.Expect(newcomer.Zones()).To(Equal(zones("b")))
}

func zones(names ...bundle.Zone) []bundle.Zone { return names }
