package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/fescueshed/fescueshed/internal/standin/metadata"
	"github.com/fescueshed/fescueshed/internal/standin/world"
)

// fault is one kind of fault that a run may inject.
type fault struct {
	name string
	// weight is how often the fault is chosen, relative to the others.
	weight int
	// planned is set for planned changes, during which the users' bounds on time hold.
	planned bool
	// inject injects the fault and describes what it did. It returns an empty text if the fault isn't possible now.
	inject func(r *run) string
}

// Shortest and longest duration of a fault. Faults overlap, as they are injected more often than they end.
const (
	minFault = 200 * time.Millisecond
	maxFault = 3 * time.Second
)

var faults = []fault{
	{name: "kill", weight: 3, inject: func(r *run) string { return r.signal(syscall.SIGKILL) }},
	{name: "terminate", weight: 3, inject: func(r *run) string { return r.signal(syscall.SIGTERM) }},
	{name: "hang up", weight: 1, planned: true, inject: func(r *run) string { return r.signal(syscall.SIGHUP) }},
	{name: "pause", weight: 3, inject: (*run).pause},
	{name: "kill many", weight: 1, inject: (*run).killMany},
	{name: "store link", weight: 4, inject: (*run).storeLinkFault},
	{name: "store", weight: 3, inject: (*run).storeFault},
	{name: "forget history", weight: 1, inject: (*run).dropHistory},
	{name: "store restored", weight: 2, inject: (*run).restore},
	{name: "router cut", weight: 2, inject: (*run).cutFromRouters},
	{name: "peer cut", weight: 3, inject: (*run).cutPeers},
	{name: "zone cut", weight: 2, inject: (*run).cutZone},
	{name: "upstream cut", weight: 2, inject: (*run).cutUpstream},
	{name: "bundle", weight: 4, planned: true, inject: func(r *run) string { r.w.Roll(); return "next version" }},
	{name: "bundle grows", weight: 2, planned: true, inject: (*run).grow},
	{name: "thin link", weight: 2, planned: true, inject: (*run).limitLink},
	{name: "drain", weight: 3, planned: true, inject: (*run).drain},
	{name: "crash", weight: 2, inject: func(r *run) string { return r.crash(false) }},
	{name: "crash and reuse", weight: 1, inject: func(r *run) string { return r.crash(true) }},
	{name: "restart of an upstream", weight: 3, inject: (*run).restart},
	{name: "foreign entries", weight: 2, inject: (*run).replaceEntries},
	{name: "add", weight: 3, planned: true, inject: (*run).add},
	{name: "evacuation", weight: 2, planned: true, inject: (*run).evacuate},
}

// shortage is the fault that each run with admission control has once.
var shortage = fault{name: "shortage", planned: true, inject: func(r *run) string {
	n := r.w.BeginShortage()
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("%d upstreams of a service drain and leave, as many come back", n)
}}

// pickFault picks a fault at random by weight.
func pickFault(rng *rand.Rand) *fault {
	sum := 0
	for i := range faults {
		sum += faults[i].weight
	}
	x := rng.IntN(sum)
	for i := range faults {
		if x -= faults[i].weight; x < 0 {
			return &faults[i]
		}
	}
	panic("unreachable: x is less than the sum of the weights")
}

// faultDuration returns a random duration of a fault.
func (r *run) faultDuration() time.Duration {
	return minFault + time.Duration(r.rng.Int64N(int64(maxFault-minFault)))
}

// randomHost returns the index of a random host.
func (r *run) randomHost() int { return r.rng.IntN(len(r.w.Hosts)) }

// signal sends a signal to the daemon of a random host.
func (r *run) signal(s syscall.Signal) string {
	i := r.randomHost()
	r.procs[i].Signal(s)
	return fmt.Sprintf("%s receives %v", r.w.Hosts[i].Name, s)
}

// pause stops the daemon of a random host for a time.
func (r *run) pause() string {
	i, d := r.randomHost(), r.faultDuration()
	r.procs[i].Pause(d)
	return fmt.Sprintf("%s is paused for %v", r.w.Hosts[i].Name, d)
}

// killMany kills each daemon with a probability of three quarters.
func (r *run) killMany() string {
	for _, p := range r.procs {
		if r.rng.IntN(4) > 0 {
			p.Signal(syscall.SIGKILL)
		}
	}
	return "most balancers are killed"
}

// storeLinkFault sets a random fault on a random host's connections to the store for a time.
func (r *run) storeLinkFault() string {
	h := r.w.Hosts[r.randomHost()]
	f := world.LinkFault(1 + r.rng.IntN(int(world.LinkFaultCount)-1))
	d := r.faultDuration()
	h.StoreProxy.SetFault(f)
	time.AfterFunc(d, func() { h.StoreProxy.SetFault(world.LinkOK) })
	return fmt.Sprintf("%s's link to the store is %v for %v", h.Name, f, d)
}

// storeFault makes the whole store fail in a random manner for a time. A store that was deaf, that is, whose watches
// reported no changes, drops its history at the end, so that clients must list again.
func (r *run) storeFault() string {
	faultsByName := map[string]metadata.Faults{
		"down":   {Status: http.StatusServiceUnavailable},
		"busy":   {Status: http.StatusTooManyRequests},
		"cut":    {ResetConnections: true},
		"silent": {NoAnswers: true},
		"slow":   {Delay: 250 * time.Millisecond},
		"deaf":   {HideEvents: true},
	}
	names := []string{"down", "busy", "cut", "silent", "slow", "deaf"}
	name, d := names[r.rng.IntN(len(names))], r.faultDuration()
	r.w.Store.SetFaults(faultsByName[name])
	time.AfterFunc(d, func() {
		if name == "deaf" {
			r.w.Store.DropHistory()
		}
		r.w.Store.SetFaults(metadata.Faults{})
	})
	return fmt.Sprintf("the store is %s for %v", name, d)
}

// dropHistory makes the store drop the history of its changes.
func (r *run) dropHistory() string {
	r.w.Store.DropHistory()
	return "the store drops its history"
}

// restore makes the store unavailable for a time and then restores it from a random recent snapshot.
func (r *run) restore() string {
	c, d := r.snapshots[r.rng.IntN(len(r.snapshots))], r.faultDuration()/2
	r.w.RestoreStore(c.restore, d)
	return fmt.Sprintf("the store is unavailable for %v and restored as it was %v ago", d, time.Since(c.at))
}

// storeSnapshot is a snapshot of the store with its time and the function that restores it.
type storeSnapshot struct {
	at      time.Time
	restore func()
}

// snapshotAge is the largest age of a snapshot that the store is restored from.
const snapshotAge = 4 * time.Second

// takeSnapshot takes a snapshot and drops those older than snapshotAge.
func (r *run) takeSnapshot() {
	r.snapshots = slices.DeleteFunc(r.snapshots, func(c storeSnapshot) bool { return time.Since(c.at) > snapshotAge })
	r.snapshots = append(r.snapshots, storeSnapshot{at: time.Now(), restore: r.w.Store.Snapshot()})
}

// cutFromRouters drops the callers' packets to a random host for a time.
func (r *run) cutFromRouters() string {
	h, d := r.w.Hosts[r.randomHost()], r.faultDuration()
	at := r.w.DataAddress(h)
	r.w.Router.SetUnreachable(at, true)
	time.AfterFunc(d, func() { r.w.Router.SetUnreachable(at, false) })
	return fmt.Sprintf("packets to %s are dropped for %v", h.Name, d)
}

// cutPeers cuts a random host off from the other hosts for a time, in both directions or in one.
func (r *run) cutPeers() string {
	h, d := r.w.Hosts[r.randomHost()], r.faultDuration()
	ways := []struct {
		receives, sends bool
		effect          string
	}{{effect: "cut off from"}, {receives: true, effect: "unable to send to"}, {sends: true, effect: "unable to receive from"}}
	way := ways[r.rng.IntN(len(ways))]
	r.w.CutPeers(h, way.receives, way.sends, d)
	return fmt.Sprintf("%s is %s the others for %v", h.Name, way.effect, d)
}

// cutZone cuts a random host's zone off from the other zones for a time.
func (r *run) cutZone() string {
	h, d := r.w.Hosts[r.randomHost()], r.faultDuration()
	r.w.CutZone(h.Zone, d)
	return fmt.Sprintf("%s is cut off from the other zones for %v", h.Zone, d)
}

// cutUpstream cuts an upstream off from what the hosts send, for a time.
func (r *run) cutUpstream() string {
	d := r.faultDuration()
	if !r.w.CutUpstream(d) {
		return ""
	}
	return fmt.Sprintf("an upstream receives nothing from the hosts for %v", d)
}

// grow rolls a bundle with more routes. Several calls make a bundle that takes long over a slow link; beyond
// maxGrownRoutes, the next one is small again.
func (r *run) grow() string {
	if r.w.AddIdleRoutes(routesPerGrowth) > maxGrownRoutes {
		r.w.AddIdleRoutes(-maxGrownRoutes)
	}
	r.w.Roll()
	return "next version, of another size"
}

// routesPerGrowth is the number of routes that grow adds. They take 80 KB as stored in the store. maxGrownRoutes
// keeps the bundle below the store's limit for an object, one megabyte.
const (
	routesPerGrowth = 500
	maxGrownRoutes  = 4000
)

// limitLink limits a random host's link to 10 Mbit/s for a time, the slowest link that users have.
func (r *run) limitLink() string {
	h, d := r.w.Hosts[r.randomHost()], r.faultDuration()
	r.w.LimitLink(h, 10e6/8)
	time.AfterFunc(d, func() { r.w.UnlimitLink(h) })
	return fmt.Sprintf("%s has a link of 10 Mbit/s for %v", h.Name, d)
}

// drain makes an upstream drain and leave.
func (r *run) drain() string {
	if !r.w.DrainUpstream() {
		return ""
	}
	return "an upstream drains and leaves"
}

// crash crashes an upstream. If reuse is set, an upstream of the other service starts at its address later.
func (r *run) crash(reuse bool) string {
	if !r.w.CrashUpstream(reuse) {
		return ""
	}
	return fmt.Sprintf("an upstream crashes, address reused: %v", reuse)
}

// restart crashes an upstream and starts it again after a random time.
func (r *run) restart() string {
	d := time.Duration(r.rng.Int64N(int64(maxFault)))
	if !r.w.RestartUpstream(d) {
		return ""
	}
	return fmt.Sprintf("an upstream crashes and starts again after %v", d)
}

// replaceEntries lets another writer overwrite the store's entries of up to maxReplacedEntries upstreams. The
// upstreams write them again after a random time.
func (r *run) replaceEntries() string {
	names, restore := r.w.ReplaceEntries(1 + r.rng.IntN(maxReplacedEntries))
	d := r.faultDuration()
	time.AfterFunc(d, restore)
	return fmt.Sprintf("another writer has replaced the entries of %v for %v", names, d)
}

// maxReplacedEntries is less than the number of a service's upstreams in one zone.
const maxReplacedEntries = 3

// add starts an upstream of a random service in a random host's zone.
func (r *run) add() string {
	services := []string{world.ServiceFeed, world.ServiceSheets}
	h := r.w.Hosts[r.randomHost()]
	if err := r.w.AddUpstream(services[r.rng.IntN(len(services))], h.Zone, r.newAddress); err != nil {
		return ""
	}
	return "an upstream joins in " + h.Zone
}

// minEvacuation is the shortest time that a zone stays evacuated. It is longer than the bound after which no new
// flow may enter the zone, so that flows that enter too late are detected.
const minEvacuation = 7 * time.Second

// maxEvacuation is the longest time that a zone stays evacuated.
const maxEvacuation = minEvacuation + maxFault

// evacuate evacuates a random host's zone and ends the evacuation after a random time.
func (r *run) evacuate() string {
	zone := r.w.Hosts[r.randomHost()].Zone
	if !r.w.Evacuate(zone) {
		return ""
	}
	d := minEvacuation + r.faultDuration()
	time.AfterFunc(d, func() { r.w.EndEvacuation(zone) })
	return fmt.Sprintf("%s is evacuated for %v", zone, d)
}
