package cookiedaemon

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A rolling restart stops hosts one after the other. Guards against a host that leaves after a
// fixed pause and is still out of rotation when the next one leaves: routers then see fewer than
// half of the zone's hosts and use all of them, and packets for the host that has just ended are
// lost. So a host ends as soon as routers have stopped sending to it, and not before.
var _ = Describe("A departure", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	newDeparture := func() *departure {
		d := &departure{}
		d.begin(start, 4*time.Second)
		return d
	}

	It("goes on until routers have taken the daemon out of rotation", func() {
		d := newDeparture()
		d.readinessRefused(at(300))
		Expect(d.mayEnd(at(2000))).To(BeFalse())
	})

	It("ends after the quiet period once the daemon is out of rotation", func() {
		d := newDeparture()
		d.readinessRefused(at(300))
		d.readinessRefused(at(800))
		Expect(d.mayEnd(at(1100))).To(BeFalse())
		Expect(d.mayEnd(at(1200))).To(BeTrue())
	})

	It("goes on while packets arrive", func() {
		d := newDeparture()
		d.readinessRefused(at(300))
		d.readinessRefused(at(800))
		d.received(at(1700))
		Expect(d.mayEnd(at(2000))).To(BeFalse())
		Expect(d.mayEnd(at(2100))).To(BeTrue())
	})

	It("isn't delayed by further readiness checks", func() {
		d := newDeparture()
		for ms := 300; ms <= 3300; ms += 500 {
			d.readinessRefused(at(ms))
		}
		Expect(d.mayEnd(at(1200))).To(BeTrue())
	})

	It("ends at its limit in any case", func() {
		d := newDeparture()
		d.received(at(3990))
		Expect(d.mayEnd(at(3999))).To(BeFalse())
		Expect(d.mayEnd(at(4000))).To(BeTrue())
	})

	It("doesn't count readiness checks from before it began", func() {
		d := &departure{}
		d.readinessRefused(at(-500))
		d.readinessRefused(at(-100))
		d.begin(start, 4*time.Second)
		Expect(d.mayEnd(at(900))).To(BeFalse())
	})
})
