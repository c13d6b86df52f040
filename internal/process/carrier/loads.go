package carrier

import (
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// zoneLoads sums up what this daemon and its children count at upstreams, which at the
// zone's reader is the whole zone. Each member sends one report to its parent and gets
// one sum, so the cost of a member doesn't grow with their number. It is safe for
// concurrent use.
type zoneLoads struct {
	mu   sync.Mutex
	told map[peer.ID]toldLoads
	// others are the loads of other zones, by the daemon that told them.
	others map[peer.ID]toldZone
}

type toldZone struct {
	at    time.Time
	zones []peer.ZoneLoad
}

type toldLoads struct {
	at     time.Time
	report *peer.Report
}

const (
	// reportFor is how long a report counts: four of its periods.
	reportFor = 4 * sweepPeriod
	// zoneReportFor is how long the word of another zone counts: two of its periods and the
	// way. A zone that is cut off is silent, and each new flow that goes there meanwhile is lost
	// for 200 ms.
	zoneReportFor = 2*sweepPeriod + 100*time.Millisecond
)

func newZoneLoads() *zoneLoads {
	return &zoneLoads{told: make(map[peer.ID]toldLoads), others: make(map[peer.ID]toldZone)}
}

func (z *zoneLoads) put(r *peer.Report, now time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.told[r.From] = toldLoads{at: now, report: r}
}

func (z *zoneLoads) putZone(r *peer.Report, now time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.others[r.From] = toldZone{at: now, zones: r.Zones}
}

// zones returns the loads of other zones of the last while.
func (z *zoneLoads) zones(now time.Time) []peer.ZoneLoad {
	z.mu.Lock()
	defer z.mu.Unlock()
	var out []peer.ZoneLoad
	for id, t := range z.others {
		if now.Sub(t.at) > zoneReportFor {
			delete(z.others, id)
			continue
		}
		out = append(out, t.zones...)
	}
	return out[:min(len(out), peer.MaxZones)]
}

// sum returns this daemon's last report and those of its children added up, the busiest
// upstreams first. Reports of others are left out: they were sent here while this daemon
// was taken for their parent, and the parent that they have now counts them too. A zone
// whose reader is cut off one way, and comes and goes in the others' view, would else
// seem twice as busy as it is, and send its flows to other zones.
func (z *zoneLoads) sum(self peer.ID, children []*peer.Member, now time.Time) *peer.Report {
	z.mu.Lock()
	defer z.mu.Unlock()
	var reports []*peer.Report
	for id, t := range z.told {
		if now.Sub(t.at) > reportFor {
			delete(z.told, id)
			continue
		}
		if id == self || slices.ContainsFunc(children, func(m *peer.Member) bool { return m.ID == id }) {
			reports = append(reports, t.report)
		}
	}
	return peer.SumReports(self, reports)
}

// tellLoads sends what this daemon and its children count to its parent, or the sum to
// all if it reads for the zone, and the zone's load to the readers of others.
func (m *members) tellLoads(now time.Time) {
	v := m.view.Load()
	m.loads.put(m.c.ownReport(v.Self), now)
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
	ownLost, lost := m.c.storeLost(now)
	sum.IsSum, sum.Zones, sum.Sequence, sum.StoreLost = true, m.loads.zones(now), m.stamp.Add(1), lost
	m.c.takeLoads(sum, now)
	send(m, protocolReport, m.reports, sum, v.Children(peer.TreeForward, true))
	own := &peer.Report{From: v.Self, Zones: m.c.ownZone(), StoreLost: ownLost}
	send(m, protocolReport, m.reports, own, v.OtherZoneReaders())
}

func (c *Carrier) ownZone() []peer.ZoneLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.engine.OwnZoneLoads()
	return list[:min(len(list), peer.MaxZones)]
}

func (m *members) heardReport(r *peer.Report, now time.Time) {
	v := m.view.Load()
	if r.StoreLost && m.c.hearStoreLost(now) && !r.IsSum {
		m.tellLoads(now) // Its own zone waits for it.
	}
	switch {
	case r.DeadOnly:
		m.c.hint(r.Dead, now)
		m.passOn(r, v.Recipients(false), now)
	case r.IsSum:
		m.c.takeLoads(r, now)
		m.passOn(r, v.Children(peer.TreeForward, false), now)
	case len(r.Zones) > 0:
		m.loads.putZone(r, now)
	default:
		m.loads.put(r, now)
	}
}

// passOn sends a report on to this daemon's children, once.
func (m *members) passOn(r *peer.Report, to []*peer.Member, now time.Time) {
	if len(to) > 0 && m.passed.first(r.From, r.Sequence, now) {
		send(m, protocolReport, m.reports, r, to)
	}
}

// ownReport returns what this daemon counts.
func (c *Carrier) ownReport(self peer.ID) *peer.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.engine.Report(self)
}

// takeLoads takes in the zone's sum.
func (c *Carrier) takeLoads(r *peer.Report, now time.Time) {
	c.mu.Lock()
	ejected := c.engine.ApplyZoneReport(r, now)
	c.mu.Unlock()
	for _, id := range ejected {
		klog.InfoS("Upstream gets no new flows: too many requests fail", "ID", id)
	}
}

// tellFound tells the zone at once of upstreams that were found dead: the others
// would find out by requests that fail. It tells as many as one message holds: where more fall silent together, the
// others have found some by themselves.
func (m *members) tellFound(ids []bundle.UpstreamID) {
	v := m.view.Load()
	r := &peer.Report{From: v.Self, DeadOnly: true, Dead: ids[:min(len(ids), peer.MaxDead)], Sequence: m.stamp.Add(1)}
	send(m, protocolReport, m.reports, r, v.Recipients(true))
}

// hint has upstreams looked at that another daemon found dead.
func (c *Carrier) hint(ids []bundle.UpstreamID, now time.Time) {
	c.mu.Lock()
	for _, id := range ids {
		c.engine.ReportedDead(id, now)
	}
	due := c.engine.DueProbes(now)
	c.mu.Unlock()
	c.probes.send(due)
}
