package emulator

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
)

// Periods of admission control, as in package cookiedaemon.
const (
	// zoneClassesLifetime is how long the counts of another zone stay in use.
	zoneClassesLifetime = 1100 * time.Millisecond
	// phaseTurn is the time in which the rotation of callers goes round once.
	phaseTurn = 8 * time.Second
)

// exchangeClassReports sends the sum of the counts by class of a zone's hosts and of the latest sums
// of the other zones that are reachable to each host of the zone. reader is the zone's store reader.
func (sim *simulation) exchangeClassReports(z *zone, reader *host) {
	var reports []*peer.ClassReport
	for _, h := range z.hosts {
		if h.joined() {
			r := h.engine.ClassReport(h.id, sim.wallTime())
			if sim.changeClassReport != nil {
				sim.changeClassReport(h, r)
			}
			reports = append(reports, r)
		}
	}
	sum := peer.SumClassReports(reader.id, z.Name, reports)
	z.classes, z.classesAt = sum, sim.now
	sums := []*peer.ClassReport{sum}
	for _, o := range sim.zones {
		if o != z && o.classes != nil && reachable(z, o) && sim.now-o.classesAt <= zoneClassesLifetime {
			sums = append(sums, o.classes)
		}
	}
	total := peer.SumClassReports(reader.id, z.Name, sums)
	total.IsSum, total.Phase = true, phaseAt(sim.now-reader.readySince)
	for _, h := range z.hosts {
		if !h.joined() {
			continue
		}
		apply := func() { h.afterIfUp(0, func() { h.engine.ApplyClassReport(total, sim.wallTime()) }) }
		if sim.deliverClassSum != nil {
			sim.deliverClassSum(apply)
		} else {
			h.engine.ApplyClassReport(total, sim.wallTime())
		}
	}
}

// phaseAt returns the position of the rotation of callers at a store reader's uptime.
func phaseAt(uptime time.Duration) uint16 {
	return uint16(uptime % phaseTurn * peer.PhaseSteps / phaseTurn)
}
