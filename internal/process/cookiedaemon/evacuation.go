package cookiedaemon

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/process/status"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/evacuation"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

func (d *Daemon) listEvacuations(s objects.Snapshot[bundle.Zone], now time.Time) {
	list := make([]bundle.Zone, 0, len(s.Objects))
	for i := range s.Objects {
		list = append(list, evacuatedZone(&s.Objects[i]))
	}
	d.applyStoredEvacuations(now, func(*evacuation.Zones) evacuation.Zones { return evacuation.NewZones(list, s.AsOf) })
}

func (d *Daemon) changeEvacuations(ch objects.Changes[bundle.Zone], now time.Time) {
	changes := make([]evacuation.Change, 0, len(ch.List))
	for i := range ch.List {
		changes = append(changes, evacuation.Change{Zone: evacuatedZone(&ch.List[i].Object), Lifted: ch.List[i].Deleted})
	}
	d.applyStoredEvacuations(now, func(z *evacuation.Zones) evacuation.Zones { return z.WithChanges(changes, ch.AsOf) })
}

// evacuatedZone returns the zone that an object names. The object's existence is the request,
// whatever its content is: if an object that can't be decoded were ignored, flows would enter a
// zone that somebody is about to switch off.
func evacuatedZone(o *objects.Object[bundle.Zone]) bundle.Zone { return bundle.Zone(o.Name) }

// applyStoredEvacuations applies evacuations that this daemon itself has read from the store. next
// builds the new state from the stored one.
func (d *Daemon) applyStoredEvacuations(now time.Time, next func(*evacuation.Zones) evacuation.Zones) {
	d.mu.Lock()
	defer d.mu.Unlock()
	z := next(&d.state.evacuated.Stored)
	if left := z.Limit(func(zone bundle.Zone) bool { return d.cfg.Load().Regions[zone] != "" }); left > 0 {
		d.unusable.Add(uint64(left))
		klog.InfoS("Evacuations left out, there are too many", "Count", left, "AsOf", z.AsOf)
	}
	d.applyEvacuations(z, contentSource{source: "Store"}, now)
	if z.AsOf >= d.state.evacuated.Stored.AsOf {
		d.confirmEvacuations(now)
	}
	d.noteOwnRead()
}

// applyEvacuations applies evacuated zones unless those of a later position are held. d.mu must be
// held.
func (d *Daemon) applyEvacuations(z evacuation.Zones, from contentSource, now time.Time) {
	before := d.state.evacuated.Zones()
	if d.state.evacuated.Update(z, now) {
		d.enforceEvacuations(before, from, now)
	}
}

// expireEvacuations ends the evacuations that the store lacks since it was restored from a
// snapshot, once they have been held for long enough. d.mu must be held.
func (d *Daemon) expireEvacuations(now time.Time) {
	before := d.state.evacuated.Zones()
	if d.state.evacuated.Expire(now) {
		d.enforceEvacuations(before, contentSource{source: "StoreRestored"}, now)
	}
}

// enforceEvacuations makes the engine use the evacuated zones in force, and logs the differences
// from before. d.mu must be held.
func (d *Daemon) enforceEvacuations(before []bundle.Zone, from contentSource, now time.Time) {
	zones := d.state.evacuated.Zones()
	if slices.Equal(zones, before) {
		return
	}
	d.engine.SetEvacuatedZones(zones, now)
	for _, zone := range zones {
		if !slices.Contains(before, zone) {
			d.logEvacuation("Zone evacuated", zone, from)
		}
	}
	for _, zone := range before {
		if !slices.Contains(zones, zone) {
			d.logEvacuation("Zone taken back", zone, from)
		}
	}
}

func (d *Daemon) logEvacuation(what string, zone bundle.Zone, from contentSource) {
	klog.InfoS(what, "Zone", zone, "AsOf", d.state.evacuated.Stored.AsOf, "Source", from.source, "Name", from.name,
		"Age", from.age, "Flows", d.engine.FlowsIn(zone))
}

// confirmEvacuations records the time as of which the evacuated zones are known. d.mu must be held.
func (d *Daemon) confirmEvacuations(at time.Time) {
	d.state.confirm(kindEvacuations, at)
	d.signalIfReady()
}

// evacuationsPosition returns the position from which to watch evacuations, or zero if they must be
// listed.
func (d *Daemon) evacuationsPosition() objects.Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.canPlaceFlowsLocked() {
		return 0
	}
	return d.state.evacuated.Stored.AsOf
}

// Evacuated returns the zones that get no new flows from this daemon, in order.
func (d *Daemon) Evacuated() []bundle.Zone {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.evacuated.Zones()
}

// evacuationStatus returns since when zones are evacuated on this daemon and how many of its flows
// are still open there. d.mu must be held.
func (d *Daemon) evacuationStatus() []status.EvacuationStatus {
	zones := d.state.evacuated.Zones()
	out := make([]status.EvacuationStatus, 0, len(zones))
	for _, zone := range zones {
		out = append(out, status.EvacuationStatus{Zone: zone, Since: d.engine.EvacuatedSince(zone), Flows: d.engine.FlowsIn(zone)})
	}
	return out
}
