package cookie

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// zoneSumMember is the member under which LoadTable keeps what the other balancers of the zone
// count.
const zoneSumMember upstream.MemberID = 1

// Report returns what this balancer counts, as its part of the sum over its zone. Loads are cut to
// the largest, dead upstreams and services to the bounds of the message.
func (e *Engine) Report(self peer.ID) *peer.Report {
	dead, services := e.DeadUpstreams(), e.ServiceLoads()
	return &peer.Report{
		From:     self,
		Loads:    peer.TopLoads(e.UpstreamLoads()),
		Dead:     dead[:min(len(dead), peer.MaxDead)],
		Services: services[:min(len(services), peer.MaxServices)],
	}
}

// ApplyZoneReport applies the counts of all balancers of the zone. Flows beyond this balancer's own
// are those of the other balancers. With these counts, many balancers that each see few flows spread
// them evenly, and find free capacity in a burst of their zone. It returns the upstreams that get no
// new flows from now on, since too many of their requests fail.
func (e *Engine) ApplyZoneReport(r *peer.Report, now time.Time) []bundle.UpstreamID {
	ids := make([]bundle.UpstreamID, 0, len(r.Loads))
	flows := make([]uint32, 0, len(r.Loads))
	for _, l := range r.Loads {
		id, ok := e.UpstreamByCookie(Cookie(l.Cookie))
		if !ok {
			continue // The upstream isn't known here yet, or any more.
		}
		others := int64(l.Flows) - e.LoadTable.Load(id).Flows.Load()
		ids = append(ids, id)
		flows = append(flows, uint32(max(0, others)))
	}
	e.SetZoneLoads(r.Zones, now)
	e.SampleServiceLoads(r.Services)
	ejected := e.EjectFailing(r.Loads, r.Services, now)
	e.addReported(-1)
	e.LoadTable.RetainMembers(nil)
	e.LoadTable.UpdateReported(zoneSumMember, ids, flows)
	e.reported = ids
	e.addReported(1)
	for _, id := range r.Dead {
		e.NoteReportedDead(id, now)
	}
	return ejected
}

// addReported adds the flows that other balancers reported to the sums of the upstreams' pools if n
// is 1, and removes them if n is -1.
func (e *Engine) addReported(n int64) {
	for _, id := range e.reported {
		if u := e.upstreams[id]; u != nil && u.has(setUsable) {
			u.pool.flows += n * (u.load.Total() - u.load.Flows.Load())
		}
	}
}
