package carrier

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/connection/upstream"
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

// reportFor is how long a report counts: four of its periods.
const reportFor = 4 * sweepPeriod

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
		if now.Sub(t.at) > reportFor {
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
	out := &peer.Report{From: self}
	loads := make(map[uint32]peer.Load)
	services := make(map[string]peer.ServiceLoad)
	for id, t := range z.told {
		if now.Sub(t.at) > reportFor {
			delete(z.told, id)
			continue
		}
		if id != self && !slices.ContainsFunc(children, func(m *peer.Member) bool { return m.ID == id }) {
			continue
		}
		for _, l := range t.report.Loads {
			have := loads[l.Cookie]
			loads[l.Cookie] = peer.Load{
				Cookie: l.Cookie, Flows: have.Flows + l.Flows,
				Answered: have.Answered + l.Answered, Failed: have.Failed + l.Failed,
			}
		}
		for _, s := range t.report.Services {
			have := services[s.Service]
			services[s.Service] = peer.ServiceLoad{
				Service: s.Service, Flows: have.Flows + s.Flows, Requests: have.Requests + s.Requests,
				Answered: have.Answered + s.Answered, Failed: have.Failed + s.Failed,
			}
		}
		for _, d := range t.report.Dead {
			if !slices.Contains(out.Dead, d) && len(out.Dead) < peer.MaxDead {
				out.Dead = append(out.Dead, d)
			}
		}
	}
	out.Loads = topLoads(slices.Collect(maps.Values(loads)))
	for _, s := range services {
		if len(out.Services) < peer.MaxServices {
			out.Services = append(out.Services, s)
		}
	}
	return out
}

// topLoads returns the loads with most flows, as many as fit a report.
func topLoads(list []peer.Load) []peer.Load {
	slices.SortFunc(list, func(a, b peer.Load) int {
		return cmp.Or(cmp.Compare(b.Flows, a.Flows), cmp.Compare(a.Cookie, b.Cookie))
	})
	return list[:min(len(list), peer.MaxLoads)]
}

// zoneMember is the member under which Board keeps what the rest of the zone counts.
const zoneMember upstream.MemberID = 1

// ownReport returns what this daemon counts.
func (c *Carrier) ownReport(self peer.ID) *peer.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	dead, services := c.engine.Dead(), c.engine.Services()
	return &peer.Report{
		From:     self,
		Loads:    topLoads(c.engine.Loads()),
		Dead:     dead[:min(len(dead), peer.MaxDead)],
		Services: services[:min(len(services), peer.MaxServices)],
	}
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
	sum.Sum, sum.Zones, sum.Stamp = true, m.loads.zones(now), m.stamp.Add(1)
	m.c.takeLoads(sum, now)
	send(m, protocolReport, m.reports, sum, v.Children(peer.TreeForward, true))
	own := &peer.Report{From: v.Self, Zones: m.c.ownZone()}
	send(m, protocolReport, m.reports, own, v.OtherReaders())
}

func (c *Carrier) ownZone() []peer.ZoneLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.engine.OwnZone()
	return list[:min(len(list), peer.MaxZones)]
}

func (m *members) heardReport(r *peer.Report, now time.Time) {
	v := m.view.Load()
	switch {
	case r.Found:
		m.c.hint(r.Dead, now)
		m.passOn(r, v.Audience(false), now)
	case r.Sum:
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
	if len(to) > 0 && m.passed.first(r.From, r.Stamp, now) {
		send(m, protocolReport, m.reports, r, to)
	}
}

// takeLoads takes in the zone's sum: what is more than this daemon's own flows is
// with the others.
func (c *Carrier) takeLoads(r *peer.Report, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]bundle.UpstreamID, 0, len(r.Loads))
	flows := make([]uint32, 0, len(r.Loads))
	for _, l := range r.Loads {
		id, ok := c.engine.Named(cookie.Cookie(l.Cookie))
		if !ok {
			continue // It isn't known here yet, or any more.
		}
		others := int64(l.Flows) - c.engine.Board.Load(id).Flows.Load()
		ids = append(ids, id)
		flows = append(flows, uint32(max(0, others)))
	}
	c.engine.SetZones(r.Zones, now)
	c.engine.Sample(r.Services)
	for _, id := range c.engine.Judge(r.Loads, r.Services, now) {
		klog.InfoS("Upstream gets no new flows: too many requests fail", "ID", id)
	}
	c.engine.Board.Keep(nil)
	c.engine.Board.Heard(zoneMember, ids, flows)
	for _, id := range r.Dead {
		c.engine.Hint(id, now)
	}
}

// tellFound tells the zone at once of an upstream that was found dead: the others
// would find out by requests that fail.
func (m *members) tellFound(id bundle.UpstreamID) {
	v := m.view.Load()
	r := &peer.Report{From: v.Self, Found: true, Dead: []bundle.UpstreamID{id}, Stamp: m.stamp.Add(1)}
	send(m, protocolReport, m.reports, r, v.Audience(true))
}

// hint has upstreams looked at that another daemon found dead.
func (c *Carrier) hint(ids []bundle.UpstreamID, now time.Time) {
	c.mu.Lock()
	for _, id := range ids {
		c.engine.Hint(id, now)
	}
	due := c.engine.DueProbes(now)
	c.mu.Unlock()
	c.probes.send(due)
}
