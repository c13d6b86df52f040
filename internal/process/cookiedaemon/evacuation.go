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

func (c *Daemon) listEvacuations(s objects.Snapshot[bundle.Zone], now time.Time) {
	list := make([]bundle.Zone, 0, len(s.Objects))
	for i := range s.Objects {
		list = append(list, evacuatedZone(&s.Objects[i]))
	}
	c.applyStoredEvacuations(now, func(*evacuation.Zones) evacuation.Zones { return evacuation.NewZones(list, s.AsOf) })
}

func (c *Daemon) changeEvacuations(ch objects.Changes[bundle.Zone], now time.Time) {
	changes := make([]evacuation.Change, 0, len(ch.List))
	for i := range ch.List {
		changes = append(changes, evacuation.Change{Zone: evacuatedZone(&ch.List[i].Object), Lifted: ch.List[i].Deleted})
	}
	c.applyStoredEvacuations(now, func(z *evacuation.Zones) evacuation.Zones { return z.WithChanges(changes, ch.AsOf) })
}

// evacuatedZone returns the zone that an object names. The object's existence is the request,
// whatever its content is: if an object that can't be decoded were ignored, flows would enter a
// zone that somebody is about to switch off.
func evacuatedZone(o *objects.Object[bundle.Zone]) bundle.Zone { return bundle.Zone(o.Name) }

// applyStoredEvacuations applies evacuations that this daemon itself has read from the store. next
// builds the new state from the stored one.
func (c *Daemon) applyStoredEvacuations(now time.Time, next func(*evacuation.Zones) evacuation.Zones) {
	c.mu.Lock()
	defer c.mu.Unlock()
	z := next(&c.state.evacuated.Stored)
	c.applyEvacuations(z, contentSource{source: "Store"}, now)
	if z.AsOf >= c.state.evacuated.Stored.AsOf {
		c.confirmEvacuations(now)
	}
	c.noteOwnRead()
}

// applyEvacuations applies evacuated zones unless those of a later position are held. c.mu must be
// held.
func (c *Daemon) applyEvacuations(z evacuation.Zones, from contentSource, now time.Time) {
	before := c.state.evacuated.Zones()
	if c.state.evacuated.Update(z, now) {
		c.enforceEvacuations(before, from, now)
	}
}

// expireEvacuations ends the evacuations that the store lacks since it was restored from a
// snapshot, once they have been held for long enough. c.mu must be held.
func (c *Daemon) expireEvacuations(now time.Time) {
	before := c.state.evacuated.Zones()
	if c.state.evacuated.Expire(now) {
		c.enforceEvacuations(before, contentSource{source: "StoreRestored"}, now)
	}
}

// enforceEvacuations makes the engine use the evacuated zones in force, and logs the differences
// from before. c.mu must be held.
func (c *Daemon) enforceEvacuations(before []bundle.Zone, from contentSource, now time.Time) {
	zones := c.state.evacuated.Zones()
	if slices.Equal(zones, before) {
		return
	}
	c.engine.SetEvacuatedZones(zones, now)
	for _, zone := range zones {
		if !slices.Contains(before, zone) {
			c.logEvacuation("Zone evacuated", zone, from)
		}
	}
	for _, zone := range before {
		if !slices.Contains(zones, zone) {
			c.logEvacuation("Zone evacuation ended", zone, from)
		}
	}
}

func (c *Daemon) logEvacuation(what string, zone bundle.Zone, from contentSource) {
	klog.InfoS(what, "Zone", zone, "AsOf", c.state.evacuated.Stored.AsOf, "Source", from.source, "Name", from.name,
		"Age", from.age, "Flows", c.engine.FlowsIn(zone))
}

// confirmEvacuations records the time as of which the evacuated zones are known. c.mu must be held.
func (c *Daemon) confirmEvacuations(at time.Time) {
	c.state.confirm(kindEvacuations, at)
	c.signalIfReady()
}

// evacuationsPosition returns the position from which to watch evacuations, or zero if they must be
// listed.
func (c *Daemon) evacuationsPosition() objects.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.canPlaceFlowsLocked() {
		return 0
	}
	return c.state.evacuated.Stored.AsOf
}

// Evacuated returns the zones that get no new flows from this daemon, in order.
func (c *Daemon) Evacuated() []bundle.Zone {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.evacuated.Zones()
}

// evacuationStatus returns since when zones are evacuated on this daemon and how many of its flows
// are still open there. c.mu must be held.
func (c *Daemon) evacuationStatus() []status.EvacuationStatus {
	zones := c.state.evacuated.Zones()
	out := make([]status.EvacuationStatus, 0, len(zones))
	for _, zone := range zones {
		out = append(out, status.EvacuationStatus{Zone: zone, Since: c.engine.EvacuatedSince(zone), Flows: c.engine.FlowsIn(zone)})
	}
	return out
}
