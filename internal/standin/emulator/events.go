package emulator

import (
	"math"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// planEvent plans a disturbance.
func (w *play) planEvent(e *Event) {
	do := map[EventKind]func(*Event){
		EventHostsDown: w.hostsDown, EventBurst: w.burst, EventShift: w.shift,
		EventCrash: w.crash, EventReplace: w.replace, EventCut: w.cutZone,
		EventEvacuate: w.evacuate,
	}[e.Kind]
	w.after(time.Duration(e.At), func() { do(e) })
}

// zonesOf returns the zone of an event, or all.
func (w *play) zonesOf(name bundle.Zone) []*zone {
	if name == "" {
		return w.zones
	}
	return []*zone{w.zoneOf(name)}
}

func (w *play) zoneOf(name bundle.Zone) *zone {
	for _, z := range w.zones {
		if z.Name == name {
			return z
		}
	}
	return w.zones[0]
}

func (w *play) hostsDown(e *Event) {
	for _, z := range w.zonesOf(e.Zone) {
		n := int(math.Ceil(e.Share * float64(len(z.hosts))))
		for _, i := range w.rng.Perm(len(z.hosts))[:n] {
			z.hosts[i].fail(time.Duration(e.For) + w.jitter(time.Duration(e.Jitter)))
		}
	}
}

func (w *play) burst(e *Event) {
	for _, z := range w.zonesOf(e.Zone) {
		z.factor *= e.Factor
		w.after(time.Duration(e.For), func() { z.factor /= e.Factor })
	}
}

func (w *play) shift(e *Event) {
	z := w.zoneOf(e.Zone)
	z.shifted, z.shiftedShare = w.zoneOf(e.To), e.Share
	w.after(time.Duration(e.For), func() { z.shifted = nil })
}

// serversOf returns a share of the live upstreams of a service, in any order.
func (w *play) serversOf(e *Event) []*server {
	var fits []*server
	for _, s := range w.servers {
		inZone := e.Zone == "" || s.zone.Name == e.Zone
		inService := e.Service == "" || s.service.Name == e.Service
		if inZone && inService && !s.dark && !s.draining {
			fits = append(fits, s)
		}
	}
	w.rng.Shuffle(len(fits), func(i, j int) { fits[i], fits[j] = fits[j], fits[i] })
	return fits[:int(math.Round(e.Share*float64(len(fits))))]
}

func (w *play) crash(e *Event) {
	for _, s := range w.serversOf(e) {
		s.crash()
		if e.For > 0 {
			w.after(time.Duration(e.For), func() { s.start(time.Duration(s.service.Warmup)) })
		}
	}
}

func (w *play) replace(e *Event) {
	for i, s := range w.serversOf(e) {
		w.after(time.Duration(i)*time.Duration(e.Every), func() {
			w.addServer(s.service, s.zone, time.Duration(s.service.Warmup))
			s.drain()
		})
	}
}

func (w *play) cutZone(e *Event) {
	z := w.zoneOf(e.Zone)
	z.cut = true
	w.after(time.Duration(e.For), func() { z.cut = false })
}

func (w *play) evacuate(e *Event) {
	z := w.zoneOf(e.Zone)
	z.evacuated = true
	w.tellEvacuated()
	if e.For == 0 {
		return
	}
	w.after(time.Duration(e.For), func() {
		z.evacuated = false
		for _, s := range w.servers {
			if s.zone == z && !s.dark {
				s.cool()
			}
		}
		w.tellEvacuated()
	})
}

// evacuated returns the evacuated zones.
func (w *play) evacuated() []bundle.Zone {
	var out []bundle.Zone
	for _, z := range w.zones {
		if z.evacuated {
			out = append(out, z.Name)
		}
	}
	return out
}

// tellEvacuated lets all hosts know of the evacuated zones, each after a delay of its own.
func (w *play) tellEvacuated() {
	list := w.evacuated()
	for _, z := range w.zones {
		for _, h := range z.hosts {
			d := time.Duration(w.pattern.Delays.List)
			w.after(d+w.jitter(d), func() {
				if h.ready {
					h.engine.SetEvacuatedZones(list, w.wall())
				}
			})
		}
	}
}
