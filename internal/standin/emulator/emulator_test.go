package emulator_test

import (
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/standin/emulator"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

func read(t *testing.T, name string) *emulator.Pattern {
	t.Helper()
	p, err := emulator.ReadPattern(os.DirFS("patterns"), name+".hujson")
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func policy(t *testing.T, name string) emulator.NamedPolicy {
	t.Helper()
	for _, p := range emulator.Policies() {
		if p.Name == name {
			return p
		}
	}
	t.Fatalf("there is no policy %s", name)
	return emulator.NamedPolicy{}
}

// total is the sum of several seeds.
type total struct {
	worth, worst  float64
	shed, refused int
}

// sum plays a pattern with a few seeds.
func sum(t *testing.T, p *emulator.Pattern, by string) total {
	t.Helper()
	return sumOf(t, p, by, 4)
}

// sumOfLarge is sum with fewer seeds, for patterns of many hosts: they vary less, and take longer to play.
func sumOfLarge(t *testing.T, p *emulator.Pattern) total {
	t.Helper()
	return sumOf(t, p, "Present", 2)
}

func sumOf(t *testing.T, p *emulator.Pattern, by string, seeds int) total {
	t.Helper()
	var out total
	for seed := range seeds {
		r, err := emulator.Run(p, emulator.Options{Seed: uint64(seed + 1), Policy: policy(t, by)})
		if err != nil {
			t.Fatal(err)
		}
		out.worth += r.All.Worth() / float64(seeds)
		out.worst += r.WorstWindows() / float64(seeds)
		out.shed += r.Shed
		out.refused += r.All.Refused
	}
	return out
}

func TestPlayRepeats(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := read(t, "mixed-day")
	first, err := emulator.Run(p, emulator.Options{Seed: 5})
	g.Expect(err).NotTo(HaveOccurred())
	again, err := emulator.Run(p, emulator.Options{Seed: 5})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(first))
	other, err := emulator.Run(p, emulator.Options{Seed: 6})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(other.All).NotTo(Equal(first.All))
}

func TestCalmLoadIsServed(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	r := sum(t, read(t, "calm"), "Present")
	g.Expect(r.worth).To(BeNumerically(">", 0.999))
	g.Expect(r.shed).To(BeZero())
}

// One zone's callers ask nearly twice as much for four seconds. Their requests wait and are
// shed there while the zones beside it have slots free, since the load of the last seconds
// says that there is room. A host sees at once what it waits for itself.
func TestBurstOfOneZoneGoesToTheOthers(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := read(t, "burst")
	before, present, knowing := sum(t, p, "Before"), sum(t, p, "Present"), sum(t, p, "AllKnowing")
	g.Expect(present.shed).To(BeNumerically("<", before.shed/4), "before: %+v, present: %+v", before, present)
	g.Expect(present.worth).To(BeNumerically(">", before.worth+0.001))
	g.Expect(present.worth).To(BeNumerically(">", knowing.worth-0.0005), "knowing: %+v", knowing)
}

// All hosts lose power and come back with empty memories; nobody knows what the others place.
// Knowledge of all queues at each moment couldn't serve much more: what is lost is lost while
// hosts are away.
func TestReturnOfAllCallersIsServedNearlyAsByOneThatKnowsAll(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := read(t, "return-of-all-callers")
	before, present, knowing := sum(t, p, "Before"), sum(t, p, "Present"), sum(t, p, "AllKnowing")
	g.Expect(present.shed).To(BeNumerically("<", before.shed), "before: %+v, present: %+v", before, present)
	g.Expect(present.worth).To(BeNumerically(">", knowing.worth-0.005), "present: %+v, knowing: %+v", present, knowing)
}

// All hosts lose power under the day's highest load. Each millisecond that their processes
// take to start is one in which every caller waits: a start of 155 ms in place of 255 serves
// a tenth of a second's requests in time that would else be late.
func TestQuickStartServesTheReturnOfAllCallers(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := read(t, "return-of-all-callers")
	quick := sum(t, p, "Present")
	slow := *p
	slow.Hosts.Start += bundle.Duration(70 * time.Millisecond)
	slow.Hosts.Load += bundle.Duration(30 * time.Millisecond)
	g.Expect(quick.worst).To(BeNumerically(">", sum(t, &slow, "Present").worst+0.015))
}

// Many hosts see few flows each and hear of the others' half a second late. If all take the
// upstream that had the fewest, it is overloaded before they hear of it.
func TestTwoChoicesAtManyHosts(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := read(t, "wide")
	p.Length = bundle.Duration(3 * time.Second)
	p.Events = nil
	play := func(name string) *emulator.Result {
		r, err := emulator.Run(p, emulator.Options{Seed: 1, Policy: policy(t, name)})
		g.Expect(err).NotTo(HaveOccurred())
		return r
	}
	g.Expect(play("Present").Shed).To(BeZero())
	g.Expect(play("LeastOfAll").Shed).To(BeNumerically(">", 100))
}

// Upstreams crash and start again within their heartbeats, under the same identifiers. What
// is lost is what was under way and what was asked until they were found dead, not more than if
// they had stayed away.
func TestRestartCostsNoMoreThanACrash(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	restart, crash := sum(t, read(t, "restart"), "Present"), sum(t, read(t, "crash"), "Present")
	g.Expect(restart.worth).To(BeNumerically(">", crash.worth-0.002), "restart: %+v, crash: %+v", restart, crash)
}

// All upstreams of a zone fall silent at once. Each of its hosts has a flow or two at each of them and hears nobody any
// more, as if its own link were full. Requests in progress are lost with them, and those that are sent before flows are
// reset: half a second's at the most, a small part of one window.
func TestZoneOfSilentUpstreamsIsLeftWithinHalfASecond(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	r := sumOfLarge(t, read(t, "silent-zone"))
	const lost, share, window = 0.5, 555.0 / 1557, 2.0
	g.Expect(r.worst).To(BeNumerically(">", 1-lost*share/window), "%+v", r)
	g.Expect(r.shed).To(BeZero(), "the other zones bear it")
}

// A quarter of a service's upstreams fall silent at once, in all zones, while each host hears the others. Requests in
// progress there and those that are sent before the upstreams' flows are reset are lost or late: those of a third of a
// second, most of which passes until callers repeat a packet. Half of them are served late, which is worth some.
func TestSilentUpstreamsAreLeftWithinAThirdOfASecond(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	r := sumOfLarge(t, read(t, "silent-part"))
	const silent, share, lost, window = 0.35, 0.25, 0.5, 2.0
	g.Expect(r.worst).To(BeNumerically(">", 1-silent*share*lost/window), "%+v", r)
}

// An operator empties a zone while its callers ask as much as ever. All of its new flows go elsewhere: the other zones'
// upstreams have the slots, and must not shed for being asked all at once.
func TestEvacuatedZoneIsBorneByTheOthers(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := read(t, "evacuation")
	r := sumOfLarge(t, p)
	g.Expect(r.worth).To(BeNumerically(">", 0.999), "%+v", r)
	g.Expect(r.shed).To(BeZero())
	calm := *p
	calm.Events = nil
	g.Expect(r.worst).To(BeNumerically(">", sumOfLarge(t, &calm).worst-0.002))
}

func TestPatternsAreChecked(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ src, finding string }{
		"no grounds":      {`{"Name": "x", "Length": "5s", "Zones": [{"Name": "a", "Hosts": 1}]}`, "Grounds"},
		"unknown key":     {`{"Name": "x", "Hots": {}}`, "Hots"},
		"unknown kind":    {`{"Events": [{"At": "1s", "Kind": "Flood"}]}`, "Events[0].Kind"},
		"unknown zone":    {`{"Events": [{"Kind": "Cut", "Zone": "q"}]}`, "Events[0].Zone"},
		"missing numbers": {`{"Zones": [{"Name": "a", "Hosts": 1}], "Services": [{"Name": "s", "Slots": 1}]}`, "Services[0].Upstreams"},
		"no service":      {`{"Classes": [{"Name": "c", "Service": "s"}]}`, "Classes[0].Service"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			_, err := emulator.DecodePattern("p.hujson", []byte(c.src))
			g.Expect(err).To(MatchError(ContainSubstring(c.finding)))
		})
	}
}

func TestAllPatternsCanBePlayed(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	files, err := os.ReadDir("patterns")
	g.Expect(err).NotTo(HaveOccurred())
	for _, f := range files {
		p, err := emulator.ReadPattern(os.DirFS("patterns"), f.Name())
		g.Expect(err).NotTo(HaveOccurred())
		p.Length = min(p.Length, bundle.Duration(3*time.Second))
		p.Events = nil
		r, err := emulator.Run(p, emulator.Options{Seed: 1})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.All.Worth()).To(BeNumerically(">", 0.99), f.Name())
	}
}

func BenchmarkPlay(b *testing.B) {
	p, err := emulator.ReadPattern(os.DirFS("patterns"), "mixed-day.hujson")
	if err != nil {
		b.Fatal(err)
	}
	packets := 0
	for b.Loop() {
		r, err := emulator.Run(p, emulator.Options{Seed: 1})
		if err != nil {
			b.Fatal(err)
		}
		packets += r.Packets
	}
	b.ReportMetric(float64(packets)/b.Elapsed().Seconds(), "packets/s")
}

// A fifth of the upstreams is gone when all hosts lose power. In the half second of their
// return the rest takes more than its slots. Hosts that hear of each other's flows only each
// half second send them to the same upstreams, which shed while others have room.
func TestReturnToFewerUpstreamsIsServedNearlyAsByOneThatKnowsAll(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := read(t, "return-to-fewer-upstreams")
	present, knowing := sum(t, p, "Present"), sum(t, p, "AllKnowing")
	g.Expect(present.worth).To(BeNumerically(">", knowing.worth-0.005), "present: %+v, knowing: %+v", present, knowing)
}
