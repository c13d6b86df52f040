package carrier

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/process/status"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/evacuation"
	"github.com/fescueshed/fescueshed/internal/version/objects"
)

func (c *Carrier) listEvacuations(s objects.Snapshot[bundle.Zone], now time.Time) {
	list := make([]bundle.Zone, 0, len(s.Objects))
	for i := range s.Objects {
		list = append(list, evacuatedZone(&s.Objects[i]))
	}
	c.readEvacuations(now, func(*evacuation.Zones) evacuation.Zones { return evacuation.NewZones(list, s.AsOf) })
}

func (c *Carrier) changeEvacuations(ch objects.Changes[bundle.Zone], now time.Time) {
	changes := make([]evacuation.Change, 0, len(ch.List))
	for i := range ch.List {
		changes = append(changes, evacuation.Change{Zone: evacuatedZone(&ch.List[i].Object), Lifted: ch.List[i].Deleted})
	}
	c.readEvacuations(now, func(z *evacuation.Zones) evacuation.Zones { return z.WithChanges(changes, ch.AsOf) })
}

// evacuatedZone returns the zone that an object names. That it is there is the request, whatever it
// holds: if one that can't be read counted for nothing, flows would enter a zone that somebody
// is about to switch off.
func evacuatedZone(o *objects.Object[bundle.Zone]) bundle.Zone { return bundle.Zone(o.Name) }

// readEvacuations takes in what this daemon itself has read. next makes it from what it knew.
func (c *Carrier) readEvacuations(now time.Time, next func(*evacuation.Zones) evacuation.Zones) {
	c.mu.Lock()
	defer c.mu.Unlock()
	z := next(&c.known.evacuated.Stored)
	c.takeEvacuations(z, bundleSource{source: "Store"}, now)
	if z.AsOf >= c.known.evacuated.Stored.AsOf {
		c.confirmEvacuations(now)
	}
	c.readHere()
}

// takeEvacuations takes in evacuated zones unless a later position's are known. c.mu is held.
func (c *Carrier) takeEvacuations(z evacuation.Zones, from bundleSource, now time.Time) {
	before := c.known.evacuated.Zones()
	if c.known.evacuated.Update(z, now) {
		c.putEvacuations(before, from, now)
	}
}

// expireEvacuations lets zones be used again that the store lacks since it was restored from a snapshot. c.mu is held.
func (c *Carrier) expireEvacuations(now time.Time) {
	before := c.known.evacuated.Zones()
	if c.known.evacuated.Expire(now) {
		c.putEvacuations(before, bundleSource{source: "StoreRestored"}, now)
	}
}

// putEvacuations puts evacuated zones in force in place of those before. c.mu is held.
func (c *Carrier) putEvacuations(before []bundle.Zone, from bundleSource, now time.Time) {
	zones := c.known.evacuated.Zones()
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
			c.logEvacuation("Zone taken back", zone, from)
		}
	}
}

func (c *Carrier) logEvacuation(what string, zone bundle.Zone, from bundleSource) {
	klog.InfoS(what, "Zone", zone, "AsOf", c.known.evacuated.Stored.AsOf, "Source", from.source, "Name", from.name,
		"Age", from.age, "Flows", c.engine.FlowsIn(zone))
}

// confirmEvacuations notes as of when the evacuated zones are known. c.mu is held.
func (c *Carrier) confirmEvacuations(at time.Time) {
	c.known.confirm(kindEvacuations, at)
	c.noteReady()
}

// knownEvacuations returns the position from which evacuations are to be watched, zero if they must be
// listed.
func (c *Carrier) knownEvacuations() objects.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ready() {
		return 0
	}
	return c.known.evacuated.Stored.AsOf
}

// Evacuated returns the zones that get no new flow here, in order.
func (c *Carrier) Evacuated() []bundle.Zone {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known.evacuated.Zones()
}

// evacuationStatus tells since when zones are evacuated here and how many flows are still open
// there. c.mu is held.
func (c *Carrier) evacuationStatus() []status.EvacuationStatus {
	zones := c.known.evacuated.Zones()
	out := make([]status.EvacuationStatus, 0, len(zones))
	for _, zone := range zones {
		out = append(out, status.EvacuationStatus{Zone: zone, Since: c.engine.EvacuatedSince(zone), Flows: c.engine.FlowsIn(zone)})
	}
	return out
}
