package emulator_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/standin/emulator"
)

// fleet195 returns a fleet of the size of the users' largest system: 195 hosts in five zones,
// with three large ones in each.
func fleet195() emulator.Fleet {
	return emulator.Fleet{Zones: 5, Large: 3, Small: 36, Upstreams: 293, Length: 8 * time.Second}
}

// Guards against a first start in which every host reads the store. If each of 195 hosts read it
// until it had found the others, they would make about 1,700 calls. All must be ready within the
// users' bound, before callers arrive 10 s later.
func TestFirstStartMakesFewStoreCalls(t *testing.T) {
	g := NewWithT(t)
	f := fleet195()
	f.FirstStart = true
	r := emulator.RunFleet(&f, 1)
	g.Expect(r.ReadyTimes).To(HaveLen(195))
	g.Expect(r.ReadyTimes[194]).To(BeNumerically("<", 5*time.Second))
	g.Expect(r.Calls).To(BeNumerically("<", 195), "less than one for each host")
}

// Guards against hosts that wait for each other after a power loss, when callers send to each
// host as soon as it is back. Each host reads the store once, with two calls, and then relies on
// the store readers.
func TestHostsAreReadyQuicklyAfterPowerLoss(t *testing.T) {
	g := NewWithT(t)
	f := fleet195()
	f.CallerDelay, f.Length = 50*time.Millisecond, 4*time.Second
	r := emulator.RunFleet(&f, 1)
	g.Expect(r.ReadyTimes).To(HaveLen(195))
	g.Expect(r.ReadyTimes[194]).To(BeNumerically("<", 250*time.Millisecond))
	g.Expect(r.Calls).To(BeNumerically("<", 4*195))
}

// Guards against store calls per host that grow with the fleet, by more than one call, after a
// power loss. The seeds of a fleet of 500 hosts need seconds to answer all of them. Without the
// contacts in the store, each host would read it as if it were alone.
func TestStoreCallsPerHostDoNotGrowWithFleet(t *testing.T) {
	g := NewWithT(t)
	f := fleet195()
	f.CallerDelay, f.Length = 50*time.Millisecond, 3*time.Second
	small := emulator.RunFleet(&f, 1)
	f.Large, f.Small = 9, 91
	large := emulator.RunFleet(&f, 1)
	g.Expect(large.ReadyTimes).To(HaveLen(500))
	g.Expect(float64(large.Calls) / 500).To(BeNumerically("<=", 1.1*float64(small.Calls)/195+1))
}

// Guards against hosts that never become ready because all configured seeds are down, at the
// first start and after a power loss. No host can find another through them, so each must read
// the store itself.
func TestFleetStartsWithoutSeeds(t *testing.T) {
	for name, first := range map[string]bool{"first start": true, "loss of power": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := fleet195()
			f.SeedsDown, f.FirstStart, f.Length = true, first, 3*time.Second
			r := emulator.RunFleet(&f, 1)
			g.Expect(r.ReadyTimes).To(HaveLen(195))
			g.Expect(r.ReadyTimes[194]).To(BeNumerically("<", 2*time.Second))
		})
	}
}

// Guards against hosts that never become ready because the members refuse to send their catalogs,
// as when all are busy or the port is closed. Each host waits according to its rank and then
// reads the store.
func TestFleetStartsWithoutCatalogsFromMembers(t *testing.T) {
	g := NewWithT(t)
	f := fleet195()
	f.FirstStart, f.RefuseCatalogRequests = true, true
	r := emulator.RunFleet(&f, 1)
	g.Expect(r.ReadyTimes).To(HaveLen(195))
	g.Expect(r.ReadyTimes[194]).To(BeNumerically("<", 7*time.Second))
}

// Guards against a store that refuses calls for 6.5 s and is called by every host that receives
// no recent advertisement, again and again: 1,500 additional calls. The hosts that rank first
// report that the store doesn't answer them.
func TestFewHostsCallRefusingStore(t *testing.T) {
	g := NewWithT(t)
	f := fleet195()
	f.FirstStart, f.Length = true, 14*time.Second
	calm := emulator.RunFleet(&f, 1)
	f.StoreFrom, f.StoreUntil = 5*time.Second, 11500*time.Millisecond
	r := emulator.RunFleet(&f, 1)
	g.Expect(r.Refused).To(BeNumerically(">", 0))
	g.Expect(r.Calls - calm.Calls).To(BeNumerically("<", 700))
	g.Expect(r.StoreReaders).To(BeNumerically("<=", 5))
}

// Guards against all hosts listing the store at the same time after it was restored from a
// snapshot.
func TestFewHostsListARestoredStore(t *testing.T) {
	for name, f := range map[string]emulator.Fleet{
		"8 hosts":   {Zones: 2, Large: 1, Small: 3, Upstreams: 50},
		"84 hosts":  {Zones: 3, Large: 2, Small: 26, Upstreams: 150},
		"195 hosts": fleet195(),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f.FirstStart, f.Length = true, 14*time.Second
			f.StoreFrom, f.StoreUntil = 6*time.Second, 8500*time.Millisecond
			away := emulator.RunFleet(&f, 1)
			f.StoreRestored = true
			r := emulator.RunFleet(&f, 1)
			hosts := f.Zones * (f.Large + f.Small)
			t.Logf("%d calls, %d without the restore, %d listed, the last host caught up after %v",
				r.Calls, away.Calls, r.Relisted, r.CatchUpTimes[len(r.CatchUpTimes)-1])
			g.Expect(r.CatchUpTimes).To(HaveLen(hosts))
			g.Expect(r.CatchUpTimes[hosts-1]).To(BeNumerically("<", 1500*time.Millisecond), "half of the bound for a drain")
			g.Expect(r.Calls-away.Calls).To(BeNumerically("<=", 4*f.Zones*4), "the first in rank of each zone")
		})
	}
}
