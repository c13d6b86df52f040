package peer_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/standin/links"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// trackedZones is the number of zones of a links.Network.
const trackedZones = 3

func trackingConfig(perOtherZone int) peer.Config {
	return peer.Config{
		ProbePeriod: 500 * time.Millisecond, GossipPeriod: 200 * time.Millisecond, Updates: peer.MaxUpdates,
		TrackedPerOtherZone: perOtherZone,
	}
}

// exchangeLists makes each running member fetch the list of a random other one.
func exchangeLists(w *links.Network) {
	for _, m := range w.Members {
		if o := w.Members[w.Rng.IntN(len(w.Members))]; m.Running && o.Running {
			m.Merge(w.Now, o.MembersFor(m.Host.Zone))
		}
	}
}

// firstOf returns the running members of a zone that come first in reader order; all have one size.
func firstOf(w *links.Network, zone bundle.Zone, n int) []peer.ID {
	var ids []peer.ID
	for _, m := range w.Members {
		if m.Running && m.Host.Zone == zone {
			ids = append(ids, m.Host.ID)
		}
	}
	slices.SortFunc(ids, cmp.Compare)
	return ids[:n]
}

// trackedIn returns the members of a zone that a member tracks, in the order of their identifiers.
func trackedIn(m *links.Member, zone bundle.Zone) []peer.ID {
	var ids []peer.ID
	for _, o := range m.View().Members {
		if o.Zone == zone {
			ids = append(ids, o.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// Guards against a cost of the membership that grows with the whole fleet: hosts times hosts. Each
// daemon tracks its own zone and the first of each other one, also after those have died.
func TestMembersTrackTheirZoneAndTheFirstOfOthers(t *testing.T) {
	const hosts, tracked = 90, 4
	g := NewWithT(t)
	w := links.NewWithConfig(hosts, 1, trackingConfig(tracked))
	exchange := func(d time.Duration) {
		for range d / (500 * time.Millisecond) {
			w.Run(500 * time.Millisecond)
			exchangeLists(w)
		}
	}
	expectTracked := func() {
		t.Helper()
		for _, m := range w.Members {
			for _, zone := range []bundle.Zone{"a", "b", "c"} {
				if m.Running && zone != m.Host.Zone {
					g.Expect(trackedIn(m, zone)).To(Equal(firstOf(w, zone, tracked)), "%s of %s", zone, m.Host.Name)
				}
			}
			if m.Running {
				g.Expect(len(m.View().Members)).To(BeNumerically("<=", hosts/trackedZones+(trackedZones-1)*tracked))
			}
		}
	}
	exchange(8 * time.Second)
	expectTracked()
	for _, m := range w.Members {
		if slices.Contains(firstOf(w, "b", 2), m.Host.ID) {
			m.Running = false
		}
	}
	exchange(15 * time.Second)
	expectTracked()
}

// Guards against messages to every host of the fleet for each host that is stopped.
func TestLeavingMemberTellsItsZone(t *testing.T) {
	sent := func(hosts int) int {
		w := links.NewWithConfig(hosts, 1, trackingConfig(4))
		meet(w)
		return len(w.Members[0].AnnounceLeaving(w.Now))
	}
	g := NewWithT(t)
	for _, hosts := range []int{90, 900} {
		g.Expect(sent(hosts)).To(BeNumerically("<=", hosts/trackedZones+(trackedZones-1)*4))
	}
}

// Guards against a joining host that learns of nobody, since the seeds that it asks are of another
// zone and don't track it.
func TestSeedsOfAnotherZoneNameMembersOfOnesOwn(t *testing.T) {
	g := NewWithT(t)
	w := links.NewWithConfig(60, 1, trackingConfig(2))
	w.Run(3 * time.Second)
	joining := w.Add()
	w.Run(time.Second)
	own := trackedIn(joining, joining.Host.Zone)
	g.Expect(len(own)).To(BeNumerically(">", 2))
}
