package cookiedaemon

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/admission"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// zoneClasses sums up what this daemon and its children in the report tree count by class of new
// flows, as zoneLoads does for the counts at upstreams. It is safe for concurrent use.
type zoneClasses struct {
	// zone is this daemon's.
	zone    bundle.Zone
	reports *recentReports[peer.ID, *peer.ClassReport]
	// zoneReports holds the counts of other zones, by zone: while a zone's members disagree about
	// their zone reader, two of them send the counts of the same flows.
	zoneReports *recentReports[bundle.Zone, *peer.ClassReport]
	// relayed records the sums that were applied and relayed. Their sequence numbers are looked up
	// apart from those of loads: of two messages sent together, the second may arrive first.
	relayed *relayedSequences
}

// phasePeriod is the time in which the rotation of callers that are admitted goes round once.
const phasePeriod = 8 * time.Second

func newZoneClasses(zone bundle.Zone) *zoneClasses {
	return &zoneClasses{
		zone:        zone,
		reports:     newRecentReports[peer.ID, *peer.ClassReport](reportTTL),
		zoneReports: newRecentReports[bundle.Zone, *peer.ClassReport](zoneReportTTL),
		relayed:     newRelayedSequences(),
	}
}

// put stores the last report of this daemon, of a member that takes it for its parent, or of the
// zone reader of another zone.
func (z *zoneClasses) put(r *peer.ClassReport, now time.Time) {
	if r.Zone == z.zone {
		z.reports.put(r.From, r, now)
		return
	}
	z.zoneReports.put(r.Zone, r, now)
}

// sum returns the sum of this daemon's last report and those of its children. Reports of other
// members are left out, as in zoneLoads.sum.
func (z *zoneClasses) sum(self peer.ID, children []*peer.Member, now time.Time) *peer.ClassReport {
	return peer.SumClassReports(self, z.zone, z.reports.get(now, isSelfOrIn(self, children)))
}

// total returns the sum of this zone's counts, which own holds, and those of other zones received
// within zoneReportTTL.
func (z *zoneClasses) total(own *peer.ClassReport, now time.Time) *peer.ClassReport {
	reports := z.zoneReports.get(now, func(bundle.Zone) bool { return true })
	return peer.SumClassReports(own.From, z.zone, append(reports, own))
}

// phase returns the position of the rotation of callers after an uptime of the zone reader.
func phase(uptime time.Duration) uint16 {
	return uint16(peer.PhaseSteps * (max(0, uptime) % phasePeriod) / phasePeriod)
}

// sendClasses sends the counts by class of this daemon and its children to its parent. The zone
// reader instead sends the sum to the zone readers of other zones, and the total over all zones to
// its whole zone. Without admission control, it only passes on what other members count: while the
// settings change, some members of a zone have admission control and others don't.
func (m *members) sendClasses(now time.Time) {
	v := m.view.Load()
	if own := m.daemon.ownClasses(v.Self, now); own != nil {
		m.classes.put(own, now)
	}
	sum := m.classes.sum(v.Self, v.Reporters(), now)
	if p := v.Parent(); p != nil {
		m.sendClassReport(sum, []*peer.Member{p})
		return
	}
	m.sendClassReport(sum, v.OtherZoneReaders())
	total := m.classes.total(sum, now)
	total.IsSum, total.Sequence = true, m.lastSequence.Add(1)
	total.Phase = phase(now.Sub(m.daemon.started))
	m.daemon.applyClasses(total, now)
	m.sendClassReport(total, v.Children(peer.TreeForward, true))
}

// sendClassReport sends a report. Without admission control, it sends only one that has counts.
func (m *members) sendClassReport(r *peer.ClassReport, to []*peer.Member) {
	if m.daemon.admission || len(r.Classes) > 0 {
		send(m, protocolClasses, m.classReports, r, to)
	}
}

// receiveClasses handles a received report of counts by class.
func (m *members) receiveClasses(b []byte, now time.Time) error {
	return receive(m.classReports, b, func(r *peer.ClassReport) {
		switch {
		case !r.IsSum:
			m.classes.put(r, now)
		case r.Zone == m.classes.zone && m.classes.relayed.isNew(r.From, r.Sequence, now):
			m.daemon.applyClasses(r, now)
			m.sendClassReport(r, m.view.Load().Children(peer.TreeForward, false))
		}
	})
}

// rotateClasses ends a window of the counts by class and deletes what no longer counts.
func (m *members) rotateClasses(now time.Time) {
	m.classes.relayed.expire(now)
	m.daemon.mu.Lock()
	defer m.daemon.mu.Unlock()
	m.daemon.engine.RotateClasses()
}

// ownClasses returns what this daemon counts by class.
func (d *Daemon) ownClasses(self peer.ID, now time.Time) *peer.ClassReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engine.ClassReport(self, now)
}

// applyClasses applies the total of the counts by class.
func (d *Daemon) applyClasses(total *peer.ClassReport, now time.Time) {
	d.mu.Lock()
	changed := d.engine.ApplyClassReport(total, now)
	d.mu.Unlock()
	logTransitions(changed)
}

// logTransitions logs the services whose shortage began or ended.
func logTransitions(list []admission.Transition) {
	for i := range list {
		t := &list[i]
		line := "Service has capacity again"
		if t.Short {
			line = "Service is short of capacity"
		}
		klog.InfoS(line, "Service", t.Service, "Utilization", t.Utilization, "Shares", t.Shares)
	}
}
