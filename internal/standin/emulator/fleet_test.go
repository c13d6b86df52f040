package emulator_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/standin/emulator"
)

// fleet195 is the users' largest system: 195 hosts in five zones, three large ones in each.
func fleet195() emulator.Fleet {
	return emulator.Fleet{Zones: 5, Large: 3, Small: 36, Upstreams: 293, Length: 8 * time.Second}
}

// A system starts for the first time and its callers come 10 s later. When each host read the
// store for itself and followed it until it had found the others, 195 hosts made some 1,700
// calls. Here all are ready within the time that the users give, and few ask.
func TestFirstStartOfAFleetCostsTheStoreLittle(t *testing.T) {
	g := NewWithT(t)
	f := fleet195()
	f.FirstStart = true
	r := emulator.RunFleet(&f, 1)
	g.Expect(r.ReadyTimes).To(HaveLen(195))
	g.Expect(r.ReadyTimes[194]).To(BeNumerically("<", 5*time.Second))
	g.Expect(r.Calls).To(BeNumerically("<", 195), "less than one for each host")
}

// All power is lost and callers ask each host as soon as it is back. None may wait for another:
// each reads the store once, two calls, and then relies on those that follow it.
func TestReturnOfAFleetDelaysNobody(t *testing.T) {
	g := NewWithT(t)
	f := fleet195()
	f.CallerDelay, f.Length = 50*time.Millisecond, 4*time.Second
	r := emulator.RunFleet(&f, 1)
	g.Expect(r.ReadyTimes).To(HaveLen(195))
	g.Expect(r.ReadyTimes[194]).To(BeNumerically("<", 250*time.Millisecond))
	g.Expect(r.Calls).To(BeNumerically("<", 4*195))
}

// A loss of power hits a fleet of 500 hosts. What one host asks of the store doesn't grow
// with the number of the others, but for one call: the seeds take seconds to answer so many, and
// without the contacts in the store each host would follow it as one that is alone.
func TestCallsOfAReturnDoNotGrowFasterThanTheFleet(t *testing.T) {
	g := NewWithT(t)
	f := fleet195()
	f.CallerDelay, f.Length = 50*time.Millisecond, 3*time.Second
	small := emulator.RunFleet(&f, 1)
	f.Large, f.Small = 9, 91
	large := emulator.RunFleet(&f, 1)
	g.Expect(large.ReadyTimes).To(HaveLen(500))
	g.Expect(float64(large.Calls) / 500).To(BeNumerically("<=", 1.1*float64(small.Calls)/195+1))
}

// The seeds of the settings' time are all gone, at the first start and after a loss of power.
// Nobody finds anybody through them, so each host reads for itself; none may wait for ever.
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

// Members live but tell nothing, as when all are busy telling others or the port is closed.
// Each host waits for its turn by rank and then reads.
func TestFleetStartsThoughNobodyTells(t *testing.T) {
	g := NewWithT(t)
	f := fleet195()
	f.FirstStart, f.RefuseCatalogRequests = true, true
	r := emulator.RunFleet(&f, 1)
	g.Expect(r.ReadyTimes).To(HaveLen(195))
	g.Expect(r.ReadyTimes[194]).To(BeNumerically("<", 7*time.Second))
}

// The store refuses calls for 6.5 s while the fleet runs. Every host that hears nothing fresh
// turned to it, and went on asking: 1,500 calls more. The first in rank say that they have no
// answer.
func TestFewAskAStoreThatRefuses(t *testing.T) {
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

// Guards against a restore of the store that all hosts answer by listing it at once.
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
