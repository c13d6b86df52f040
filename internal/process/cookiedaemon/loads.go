package cookiedaemon

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// zoneLoads sums up what this daemon and its children in the report tree count at upstreams. At the
// zone reader, which is the root, the sum covers the whole zone. Each member sends one report to its
// parent and receives one sum, so the cost of a member doesn't grow with the number of members.
// zoneLoads is safe for concurrent use.
type zoneLoads struct {
	reports *recentReports[peer.ID, *peer.Report]
	// zoneReports holds the loads of other zones, by the daemon that sent them.
	zoneReports *recentReports[peer.ID, []peer.ZoneLoad]
}

const (
	// reportTTL is how long a report counts: four of its periods.
	reportTTL = 4 * sweepPeriod
	// zoneReportTTL is how long the loads of another zone count: two of their periods and the
	// transit time. A zone that is cut off sends nothing, and each new flow that is sent there
	// meanwhile is lost for 200 ms.
	zoneReportTTL = 2*sweepPeriod + 100*time.Millisecond
)

func newZoneLoads() *zoneLoads {
	return &zoneLoads{
		reports:     newRecentReports[peer.ID, *peer.Report](reportTTL),
		zoneReports: newRecentReports[peer.ID, []peer.ZoneLoad](zoneReportTTL),
	}
}

// putReport stores the last report of this daemon or of a member that takes it for its parent.
func (z *zoneLoads) putReport(r *peer.Report, now time.Time) { z.reports.put(r.From, r, now) }

// putZoneReport stores the loads that the zone reader of another zone sent.
func (z *zoneLoads) putZoneReport(r *peer.Report, now time.Time) {
	z.zoneReports.put(r.From, r.Zones, now)
}

// zones returns the loads of other zones received within zoneReportTTL.
func (z *zoneLoads) zones(now time.Time) []peer.ZoneLoad {
	out := slices.Concat(z.zoneReports.get(now, func(peer.ID) bool { return true })...)
	return out[:min(len(out), peer.MaxZones)]
}

// sum returns the sum of this daemon's last report and those of its children, the busiest upstreams
// first. Reports of other members are left out: they were sent here while this daemon was taken for
// their parent, and their present parent counts them too. Otherwise, a zone whose zone reader is
// cut off in one direction, and is seen alive and dead alternately by the others, would seem twice
// as loaded as it is, and would send its flows to other zones.
func (z *zoneLoads) sum(self peer.ID, children []*peer.Member, now time.Time) *peer.Report {
	return peer.SumReports(self, z.reports.get(now, isSelfOrIn(self, children)))
}

// isSelfOrIn returns a function that accepts this daemon and the given members.
func isSelfOrIn(self peer.ID, list []*peer.Member) func(peer.ID) bool {
	return func(id peer.ID) bool {
		return id == self || slices.ContainsFunc(list, func(m *peer.Member) bool { return m.ID == id })
	}
}

// sendLoads sends the counts of this daemon and its children to its parent. The zone reader instead
// sends the sum to its whole zone, and the zone's load to the zone readers of other zones.
func (m *members) sendLoads(now time.Time) {
	v := m.view.Load()
	m.loads.putReport(m.daemon.ownReport(v.Self), now)
	sum := m.loads.sum(v.Self, v.Reporters(), now)
	if p := v.Parent(); p != nil {
		send(m, protocolReport, m.reports, sum, []*peer.Member{p})
		return
	}
	for i := range sum.Loads {
		if l := &sum.Loads[i]; l.Failed == 0 {
			l.Answered = 0
		}
	}
	ownLost, lost := m.daemon.storeLost(now)
	sum.IsSum, sum.Zones, sum.Sequence, sum.StoreLost = true, m.loads.zones(now), m.lastSequence.Add(1), lost
	m.daemon.applyLoads(sum, now)
	send(m, protocolReport, m.reports, sum, v.Children(peer.TreeForward, true))
	own := &peer.Report{From: v.Self, Zones: m.daemon.ownZone(), StoreLost: ownLost}
	send(m, protocolReport, m.reports, own, v.OtherZoneReaders())
}

// ownZone returns the loads of this daemon's zone by service, as many as fit in a report.
func (d *Daemon) ownZone() []peer.ZoneLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.engine.OwnZoneLoads()
	return list[:min(len(list), peer.MaxZones)]
}

// receiveReport handles the four forms of a report: upstreams found dead, the sum of this daemon's
// zone, the load of another zone, and the counts of a member and its children.
func (m *members) receiveReport(r *peer.Report, now time.Time) {
	v := m.view.Load()
	if !r.StoreLost && !r.DeadOnly && v.RanksBefore(r.From) {
		m.daemon.noteReaderHeard(now)
	}
	if r.StoreLost && m.daemon.noteStoreLost(now) && !r.IsSum {
		m.sendLoads(now) // Its own zone needs this report.
	}
	switch {
	case r.DeadOnly:
		m.daemon.probeSuspects(r.Dead, now)
		m.relayReport(r, v.Recipients(false), now)
	case r.IsSum:
		m.daemon.applyLoads(r, now)
		m.relayReport(r, v.Children(peer.TreeForward, false), now)
	case len(r.Zones) > 0:
		m.loads.putZoneReport(r, now)
	default:
		m.loads.putReport(r, now)
	}
}

// relayReport relays a report to the given members, once.
func (m *members) relayReport(r *peer.Report, to []*peer.Member, now time.Time) {
	if len(to) > 0 && m.relayed.isNew(r.From, r.Sequence, now) {
		send(m, protocolReport, m.reports, r, to)
	}
}

// ownReport returns what this daemon counts at upstreams.
func (d *Daemon) ownReport(self peer.ID) *peer.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engine.Report(self)
}

// applyLoads applies the sum of the zone's loads.
func (d *Daemon) applyLoads(r *peer.Report, now time.Time) {
	d.mu.Lock()
	ejected := d.engine.ApplyZoneReport(r, now)
	d.mu.Unlock()
	for _, id := range ejected {
		klog.InfoS("Upstream gets no new flows: too many requests fail", "ID", id)
	}
}

// announceDead immediately announces to the zone the upstreams that this daemon found dead; the
// other daemons would otherwise detect it by failing requests. It announces as many as one message
// holds: where more fail together, the others have detected some themselves.
func (m *members) announceDead(ids []bundle.UpstreamID) {
	v := m.view.Load()
	r := &peer.Report{From: v.Self, DeadOnly: true, Dead: ids[:min(len(ids), peer.MaxDead)], Sequence: m.lastSequence.Add(1)}
	send(m, protocolReport, m.reports, r, v.Recipients(true))
}

// probeSuspects probes upstreams that another daemon found dead.
func (d *Daemon) probeSuspects(ids []bundle.UpstreamID, now time.Time) {
	d.mu.Lock()
	for _, id := range ids {
		d.engine.NoteReportedDead(id, now)
	}
	due := d.engine.DueProbes(now)
	d.mu.Unlock()
	d.probes.send(due)
}
