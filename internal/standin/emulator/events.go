package emulator

import (
	"math"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// scheduleEvent schedules a disturbance.
func (sim *simulation) scheduleEvent(e *Event) {
	do := map[EventKind]func(*Event){
		EventHostsDown: sim.hostsDown, EventBurst: sim.burst, EventShift: sim.shift,
		EventCrash: sim.crash, EventReplace: sim.replace, EventCut: sim.isolateZone,
		EventEvacuate: sim.evacuate, EventRemove: sim.remove,
		EventPause: sim.pauseHosts,
	}[e.Kind]
	sim.after(time.Duration(e.At), func() { do(e) })
}

// eventZones returns the zone of an event, or all zones if it has none.
func (sim *simulation) eventZones(name bundle.Zone) []*zone {
	if name == "" {
		return sim.zones
	}
	return []*zone{sim.zoneByName(name)}
}

func (sim *simulation) zoneByName(name bundle.Zone) *zone {
	for _, z := range sim.zones {
		if z.Name == name {
			return z
		}
	}
	return sim.zones[0]
}

func (sim *simulation) hostsDown(e *Event) { sim.stopHosts(e, (*host).powerOff) }

func (sim *simulation) pauseHosts(e *Event) { sim.stopHosts(e, (*host).pause) }

// stopHosts stops a random share of the hosts of each of an event's zones, each for a time of its own.
func (sim *simulation) stopHosts(e *Event, stop func(*host, time.Duration)) {
	for _, z := range sim.eventZones(e.Zone) {
		n := int(math.Ceil(e.Share * float64(len(z.hosts))))
		for _, i := range sim.rng.Perm(len(z.hosts))[:n] {
			stop(z.hosts[i], time.Duration(e.For)+sim.jitter(time.Duration(e.Jitter)))
		}
	}
}

func (sim *simulation) burst(e *Event) {
	for _, z := range sim.eventZones(e.Zone) {
		rate := &z.rateFactor
		for _, c := range sim.classes {
			if c.Name == e.Class {
				rate = &c.rateFactors[z.index]
			}
		}
		*rate *= e.Factor
		sim.after(time.Duration(e.For), func() { *rate /= e.Factor })
	}
}

func (sim *simulation) shift(e *Event) {
	z := sim.zoneByName(e.Zone)
	z.shiftTarget, z.shiftedShare = sim.zoneByName(e.To), e.Share
	sim.after(time.Duration(e.For), func() { z.shiftTarget = nil })
}

// pickServers returns a random share of the running upstreams that match an event's zone and
// service.
func (sim *simulation) pickServers(e *Event) []*server {
	var fits []*server
	for _, s := range sim.servers {
		inZone := e.Zone == "" || s.zone.Name == e.Zone
		inService := e.Service == "" || s.service.Name == e.Service
		if inZone && inService && !s.silent && !s.draining {
			fits = append(fits, s)
		}
	}
	sim.rng.Shuffle(len(fits), func(i, j int) { fits[i], fits[j] = fits[j], fits[i] })
	return fits[:int(math.Round(e.Share*float64(len(fits))))]
}

func (sim *simulation) crash(e *Event) {
	for _, s := range sim.pickServers(e) {
		s.crash()
		if e.For > 0 {
			sim.after(time.Duration(e.For), func() { s.start(time.Duration(s.service.Warmup)) })
		}
	}
}

func (sim *simulation) replace(e *Event) {
	for i, s := range sim.pickServers(e) {
		sim.after(time.Duration(i)*time.Duration(e.Every), func() {
			sim.addServer(s.service, s.zone, time.Duration(s.service.Warmup))
			s.drain()
		})
	}
}

func (sim *simulation) remove(e *Event) {
	sim.removeServers(sim.pickServers(e))
}

func (sim *simulation) isolateZone(e *Event) {
	z := sim.zoneByName(e.Zone)
	z.isolated = true
	sim.after(time.Duration(e.For), func() { z.isolated = false })
}

func (sim *simulation) evacuate(e *Event) {
	z := sim.zoneByName(e.Zone)
	z.evacuated = true
	sim.announceEvacuatedZones()
	if e.For == 0 {
		return
	}
	sim.after(time.Duration(e.For), func() {
		z.evacuated = false
		for _, s := range sim.servers {
			if s.zone == z && !s.silent {
				s.restartWarmup()
			}
		}
		sim.announceEvacuatedZones()
	})
}

// evacuatedZones returns the zones that are evacuated now.
func (sim *simulation) evacuatedZones() []bundle.Zone {
	var out []bundle.Zone
	for _, z := range sim.zones {
		if z.evacuated {
			out = append(out, z.Name)
		}
	}
	return out
}

// announceEvacuatedZones sends the evacuated zones to all hosts, each after a delay of its own.
func (sim *simulation) announceEvacuatedZones() {
	list := sim.evacuatedZones()
	for _, z := range sim.zones {
		for _, h := range z.hosts {
			d := time.Duration(sim.pattern.Delays.List)
			sim.after(d+sim.jitter(d), func() {
				if h.ready {
					h.engine.SetEvacuatedZones(list, sim.wallTime())
				}
			})
		}
	}
}
