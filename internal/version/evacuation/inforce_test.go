package evacuation_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/evacuation"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// Guards against flows that enter an evacuated zone after the store was restored from a snapshot that lacks the evacuation
// or has a lower revision.
func TestZonesInForceAfterRestoreOfStore(t *testing.T) {
	none := []bundle.Zone(nil)
	for name, tc := range map[string]struct {
		known, restored, later  []bundle.Zone
		withinGrace, afterGrace []bundle.Zone
	}{
		"kept": {known: zones("a"), restored: zones("a"), later: zones("a"), withinGrace: zones("a"), afterGrace: zones("a")},
		"lost": {
			known: zones("a", "b"), restored: zones("b"), later: zones("b"), withinGrace: zones("a", "b"), afterGrace: zones("b"),
		},
		"lost and requested again":       {known: zones("a"), later: zones("a"), withinGrace: zones("a"), afterGrace: zones("a")},
		"requested after the restore":    {later: zones("a"), withinGrace: zones("a"), afterGrace: zones("a")},
		"ended after the restore":        {known: zones("a"), restored: zones("a"), withinGrace: none, afterGrace: none},
		"ended, but not in the snapshot": {restored: zones("a"), later: none, withinGrace: none, afterGrace: none},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var f evacuation.InForce
			now := time.Unix(0, 0)
			update := func(list []bundle.Zone, epoch objects.Epoch, revision uint64) bool {
				p, err := objects.NewPosition(epoch, revision)
				g.Expect(err).NotTo(HaveOccurred())
				return f.Update(evacuation.NewZones(list, p), now)
			}
			g.Expect(update(tc.known, 0, 27)).To(BeTrue())
			g.Expect(update(tc.restored, 1, 20)).To(BeTrue())
			g.Expect(update(tc.known, 0, 99)).To(BeFalse(), "a message that arrives late")
			g.Expect(update(tc.later, 1, 21)).To(BeTrue())
			g.Expect(f.Expire(now.Add(objects.RestoreGrace - 1))).To(BeFalse())
			g.Expect(f.Zones()).To(Equal(tc.withinGrace))
			f.Expire(now.Add(objects.RestoreGrace))
			g.Expect(f.Zones()).To(Equal(tc.afterGrace))
		})
	}
}

// Guards against a daemon that starts after a restore of the store and sends flows into an evacuated zone that the snapshot
// lacks, though the other daemons know it.
func TestHeldZonesAreTakenOverFromAnotherDaemon(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	var old, joining evacuation.InForce
	epoch, err := objects.NewPosition(1, 20)
	g.Expect(err).NotTo(HaveOccurred())
	old.Update(evacuation.NewZones(zones("a", "b"), 27), now)
	for _, f := range []*evacuation.InForce{&old, &joining} {
		f.Update(evacuation.NewZones(zones("b"), epoch), now)
	}
	held, left := old.HeldZones(now.Add(time.Second))
	g.Expect(held).To(Equal(zones("a")))
	g.Expect(joining.HoldZones(held, left, now.Add(time.Second))).To(BeTrue())
	g.Expect(joining.HoldZones(held, left, now.Add(time.Second))).To(BeFalse())
	g.Expect(joining.Zones()).To(Equal(zones("a", "b")))
	g.Expect(joining.Expire(now.Add(objects.RestoreGrace))).To(BeTrue())
	g.Expect(joining.Zones()).To(Equal(zones("b")))
}

func zones(names ...bundle.Zone) []bundle.Zone { return names }
