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
		changes = append(changes, evacuation.Change{Zone: evacuatedZone(&ch.List[i].Object), Taken: ch.List[i].Deleted})
	}
	c.readEvacuations(now, func(z *evacuation.Zones) evacuation.Zones { return z.After(changes, ch.AsOf) })
}

// evacuatedZone returns the zone that an object names. That it is there is the request, whatever it
// holds: if one that can't be read counted for nothing, flows would enter a zone that somebody
// is about to switch off.
func evacuatedZone(o *objects.Object[bundle.Zone]) bundle.Zone { return bundle.Zone(o.Name) }

// readEvacuations takes in what this daemon itself has read. next makes it from what it knew.
func (c *Carrier) readEvacuations(now time.Time, next func(*evacuation.Zones) evacuation.Zones) {
	c.mu.Lock()
	defer c.mu.Unlock()
	z := next(&c.known.evacuated)
	c.takeEvacuations(z, bundleSource{source: "Store"}, now)
	if z.AsOf >= c.known.evacuated.AsOf {
		c.confirmEvacuations(now)
	}
	c.readHere()
}

// takeEvacuations puts evacuated zones in force unless a later revision's are. c.mu is held.
func (c *Carrier) takeEvacuations(z evacuation.Zones, from bundleSource, now time.Time) {
	old := c.known.evacuated
	if !z.Supersedes(&old) {
		return
	}
	c.known.evacuated = z
	if z.Same(&old) {
		return
	}
	c.engine.Evacuate(z.List, now)
	for _, zone := range z.List {
		if !old.Has(zone) {
			klog.InfoS("Zone evacuated", "Zone", zone, "AsOf", z.AsOf, "Source", from.source, "Name", from.name, "Age", from.age,
				"Flows", c.engine.FlowsIn(zone))
		}
	}
	for _, zone := range old.List {
		if !z.Has(zone) {
			klog.InfoS("Zone taken back", "Zone", zone, "AsOf", z.AsOf, "Source", from.source, "Name", from.name, "Age", from.age,
				"Flows", c.engine.FlowsIn(zone))
		}
	}
}

// confirmEvacuations notes as of when the evacuated zones are known. c.mu is held.
func (c *Carrier) confirmEvacuations(at time.Time) {
	c.known.confirm(kindEvacuations, at)
	c.noteReady()
}

// knownEvacuations returns the revision from which evacuations are to be watched, zero if they must be
// listed.
func (c *Carrier) knownEvacuations() objects.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ready() {
		return 0
	}
	return c.known.evacuated.AsOf
}

// Evacuated returns the zones that get no new flow here, in order.
func (c *Carrier) Evacuated() []bundle.Zone {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.known.evacuated.List)
}

// evacuationStatus tells since when zones are evacuated here and how many flows are still open
// there. c.mu is held.
func (c *Carrier) evacuationStatus() []status.EvacuationStatus {
	out := make([]status.EvacuationStatus, 0, len(c.known.evacuated.List))
	for _, zone := range c.known.evacuated.List {
		out = append(out, status.EvacuationStatus{Zone: zone, Since: c.engine.EvacuatedSince(zone), Flows: c.engine.FlowsIn(zone)})
	}
	return out
}
