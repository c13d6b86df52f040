package cookie

import (
	"maps"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// flowActivity is the smoothed number of requests in progress for each flow of a service, over all
// balancers of the zone.
type flowActivity struct {
	requestsPerFlow float64
}

const (
	// activitySmoothing is the weight of one sample, from 0 to 1. Samples arrive each half second,
	// so about the last five seconds count. In the first two seconds of a balancer they arrive
	// faster.
	activitySmoothing = 0.1
	// minSampleFlows is the number of flows below which a sample is ignored as too small.
	minSampleFlows = 20
)

// zoneService identifies a service in a zone.
type zoneService struct {
	zone    bundle.Zone
	service string
}

// zoneLoad is the load last received for a zoneService. A slot is one request that an upstream
// works on at a time, see registry.Registration.
type zoneLoad struct {
	flowsPerSlot float64
	receivedAt   time.Time
}

// zoneLoadTTL is how long a load received from another zone counts: two periods of its reports and
// the time on the way. A zone that is cut off sends none, so no flow spills over there.
const zoneLoadTTL = 1100 * time.Millisecond

// ServiceLoads returns what this balancer counts of each service, for those where any count isn't
// zero, sorted by name.
func (e *Engine) ServiceLoads() []peer.ServiceLoad {
	byName := make(map[string]peer.ServiceLoad)
	for _, u := range e.index.active.list {
		if !u.registered {
			continue
		}
		name := u.Route.Service.Name
		s := byName[name]
		s.Service = name
		s.Flows += uint32(max(0, u.load.Flows.Load()))
		s.Requests += uint32(max(0, u.load.Requests.Load()))
		s.Answered += u.outcomes.answered + u.outcomes.lastAnswered
		s.Failed += u.outcomes.failed + u.outcomes.lastFailed
		byName[name] = s
	}
	var out []peer.ServiceLoad
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		if s := byName[name]; s.Flows+s.Answered+s.Failed > 0 {
			out = append(out, s)
		}
	}
	return out
}

// SampleServiceLoads adds a sample of what the whole zone counts of each service. It is called for
// each report of the zone's sum. The flows of one balancer are too few: with fifty of them, the
// requests in progress vary by a half from sample to sample.
func (e *Engine) SampleServiceLoads(list []peer.ServiceLoad) {
	for _, s := range list {
		if s.Flows < minSampleFlows {
			continue
		}
		a := e.activity[s.Service]
		a.requestsPerFlow += activitySmoothing * (float64(s.Requests)/float64(s.Flows) - a.requestsPerFlow)
		e.activity[s.Service] = a
	}
}

// RequestsPerFlow returns the smoothed number of requests in progress for each flow of a service.
func (e *Engine) RequestsPerFlow(service string) float64 { return e.activity[service].requestsPerFlow }

// SetZoneLoads stores loads received from other zones and drops those older than zoneLoadTTL.
func (e *Engine) SetZoneLoads(list []peer.ZoneLoad, now time.Time) {
	for i := range list {
		l := &list[i]
		if l.Zone == e.opts.Zone || l.Slots == 0 {
			continue
		}
		e.zoneLoads[zoneService{zone: l.Zone, service: l.Service}] = zoneLoad{
			flowsPerSlot: float64(l.Flows) / float64(l.Slots), receivedAt: now,
		}
	}
	for k, l := range e.zoneLoads {
		if now.Sub(l.receivedAt) > zoneLoadTTL {
			delete(e.zoneLoads, k)
		}
	}
}

// zoneFlowsPerSlot returns the number of flows for each slot in a pool's zone, -1 if it isn't known
// or the zone may be cut off, 0 for the own zone.
func (e *Engine) zoneFlowsPerSlot(p *pool, now time.Time) float64 {
	if p.zone == e.opts.Zone {
		return 0
	}
	if p.health.isSuspect(now) {
		return -1
	}
	l, ok := e.zoneLoads[zoneService{zone: p.zone, service: p.service}]
	if !ok {
		return -1
	}
	return l.flowsPerSlot
}

// OwnZoneLoads returns the loads of the balancer's own zone: what all its members count at the
// upstreams that take new flows. It returns none if the zone is evacuated.
func (e *Engine) OwnZoneLoads() []peer.ZoneLoad {
	if _, evacuated := e.evacuated[e.opts.Zone]; evacuated {
		return nil
	}
	var out []peer.ZoneLoad
	for _, name := range slices.Sorted(maps.Keys(e.index.pools)) {
		for _, p := range e.index.pools[name] {
			if p.zone == e.opts.Zone && p.slots > 0 {
				out = append(out, peer.ZoneLoad{
					Zone: p.zone, Service: name, Slots: uint32(p.slots), Flows: uint32(max(0, p.flows)),
				})
			}
		}
	}
	return out
}
