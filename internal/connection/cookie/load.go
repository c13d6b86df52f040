package cookie

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// busyness is how many requests are in progress for each flow of a service, as this
// balancer sees it, smoothed.
type busyness struct {
	perFlow float64
}

const (
	// busySmoothing is the weight of one sample. Samples come each half second, so
	// about five seconds count.
	busySmoothing = 0.1
	// busyLeast is the number of flows below which a sample says too little.
	busyLeast = 4
)

// zoneService is a service in a zone.
type zoneService struct {
	zone    bundle.Zone
	service string
}

// zoneLoad is what is known of a zoneService.
type zoneLoad struct {
	perSlot float64
	at      time.Time
}

// zoneLoadFor is how long the word of another zone counts: four of its periods. A
// zone that is cut off is silent, and nothing spills there.
const zoneLoadFor = 2 * time.Second

// Sample takes in how many requests are in progress. It is called each half second.
func (e *Engine) Sample() {
	for name, list := range e.byService {
		var flows, requests int64
		for _, u := range list {
			flows += u.load.Flows.Load()
			requests += u.load.Requests.Load()
		}
		if flows < busyLeast {
			continue
		}
		b := e.busy[name]
		b.perFlow += busySmoothing * (float64(requests)/float64(flows) - b.perFlow)
		e.busy[name] = b
	}
}

// Busy returns how many requests are in progress for each flow of a service.
func (e *Engine) Busy(service string) float64 { return e.busy[service].perFlow }

// SetZones takes in the loads of other zones.
func (e *Engine) SetZones(list []peer.ZoneLoad, now time.Time) {
	for i := range list {
		l := &list[i]
		if l.Zone == e.opts.Zone || l.Slots == 0 {
			continue
		}
		e.zones[zoneService{zone: l.Zone, service: l.Service}] = zoneLoad{
			perSlot: float64(l.Flows) / float64(l.Slots), at: now,
		}
	}
	for k, l := range e.zones {
		if now.Sub(l.at) > zoneLoadFor {
			delete(e.zones, k)
		}
	}
}

// zoneFlows returns how many flows the upstream's zone holds for each slot, -1 if
// that isn't known, 0 for the own zone.
func (e *Engine) zoneFlows(u *Upstream) float64 {
	if u.Route.Zone == e.opts.Zone {
		return 0
	}
	l, ok := e.zones[zoneService{zone: u.Route.Zone, service: u.Route.Service.Name}]
	if !ok {
		return -1
	}
	return l.perSlot
}

// OwnZone returns the loads of the balancer's own zone: what all its members count
// at the upstreams that take flows.
func (e *Engine) OwnZone() []peer.ZoneLoad {
	var out []peer.ZoneLoad
	for name, list := range e.byService {
		z := peer.ZoneLoad{Zone: e.opts.Zone, Service: name}
		for _, u := range list {
			if u.Route.Zone != e.opts.Zone || !u.takes() {
				continue
			}
			z.Slots += uint32(u.Route.Slots)
			z.Flows += uint32(max(0, u.load.Total()))
		}
		if z.Slots > 0 {
			out = append(out, z)
		}
	}
	return out
}
