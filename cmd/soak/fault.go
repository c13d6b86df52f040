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

// fault is one kind of fault of the plan. It says what it did, or nothing if it
// didn't fit.
type fault struct {
	name string
	// weight is how often it comes, relative to the others.
	weight int
	// planned faults leave the users' bounds in force.
	planned bool
	inject  func(r *run) string
}

// Times of the faults. They overlap, since faults come more often than they end.
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
	{name: "store link", weight: 4, inject: (*run).storeLink},
	{name: "store", weight: 3, inject: (*run).store},
	{name: "forget history", weight: 1, inject: (*run).forget},
	{name: "store restored", weight: 2, inject: (*run).restore},
	{name: "router cut", weight: 2, inject: (*run).routerCut},
	{name: "peer cut", weight: 3, inject: (*run).peerCut},
	{name: "zone cut", weight: 2, inject: (*run).zoneCut},
	{name: "upstream cut", weight: 2, inject: (*run).upstreamCut},
	{name: "bundle", weight: 4, planned: true, inject: func(r *run) string { r.w.Roll(); return "next version" }},
	{name: "bundle grows", weight: 2, planned: true, inject: (*run).grow},
	{name: "thin link", weight: 2, planned: true, inject: (*run).thinLink},
	{name: "drain", weight: 3, planned: true, inject: (*run).drain},
	{name: "crash", weight: 2, inject: func(r *run) string { return r.crash(false) }},
	{name: "crash and reuse", weight: 1, inject: func(r *run) string { return r.crash(true) }},
	{name: "restart of an upstream", weight: 3, inject: (*run).restart},
	{name: "foreign entries", weight: 2, inject: (*run).foreign},
	{name: "add", weight: 3, planned: true, inject: (*run).add},
	{name: "evacuation", weight: 2, planned: true, inject: (*run).evacuate},
}

// draw picks a fault by weight.
func draw(rng *rand.Rand) *fault {
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
	panic("the weights add up")
}

func (r *run) duration() time.Duration {
	return minFault + time.Duration(r.rng.Int64N(int64(maxFault-minFault)))
}

func (r *run) host() int { return r.rng.IntN(len(r.w.Hosts)) }

func (r *run) signal(s syscall.Signal) string {
	i := r.host()
	r.procs[i].Signal(s)
	return fmt.Sprintf("%s gets %v", r.w.Hosts[i].Name, s)
}

func (r *run) pause() string {
	i, d := r.host(), r.duration()
	r.procs[i].Pause(d)
	return fmt.Sprintf("%s stands still for %v", r.w.Hosts[i].Name, d)
}

func (r *run) killMany() string {
	for _, p := range r.procs {
		if r.rng.IntN(4) > 0 {
			p.Signal(syscall.SIGKILL)
		}
	}
	return "most balancers are killed"
}

func (r *run) storeLink() string {
	h := r.w.Hosts[r.host()]
	f := world.LinkFault(1 + r.rng.IntN(int(world.LinkFaultCount)-1))
	d := r.duration()
	h.StoreProxy.SetFault(f)
	time.AfterFunc(d, func() { h.StoreProxy.SetFault(world.LinkOK) })
	return fmt.Sprintf("%s's link to the store is %v for %v", h.Name, f, d)
}

func (r *run) store() string {
	troubles := map[string]metadata.Faults{
		"down":   {Status: http.StatusServiceUnavailable},
		"busy":   {Status: http.StatusTooManyRequests},
		"cut":    {ResetConnections: true},
		"silent": {NoAnswers: true},
		"slow":   {Delay: 250 * time.Millisecond},
		"deaf":   {HideEvents: true},
	}
	names := []string{"down", "busy", "cut", "silent", "slow", "deaf"}
	name, d := names[r.rng.IntN(len(names))], r.duration()
	r.w.Store.SetFaults(troubles[name])
	time.AfterFunc(d, func() {
		if name == "deaf" {
			r.w.Store.DropHistory()
		}
		r.w.Store.SetFaults(metadata.Faults{})
	})
	return fmt.Sprintf("the store is %s for %v", name, d)
}

func (r *run) forget() string {
	r.w.Store.DropHistory()
	return "the store forgets its history"
}

// restore restores the store from one of the latest snapshots.
func (r *run) restore() string {
	c, d := r.snapshots[r.rng.IntN(len(r.snapshots))], r.duration()/2
	r.w.RestoreStore(c.restore, d)
	return fmt.Sprintf("the store is away for %v and restored as it was %v ago", d, time.Since(c.at))
}

// storeSnapshot is a snapshot that was taken at a time.
type storeSnapshot struct {
	at      time.Time
	restore func()
}

// snapshotAge is how old a snapshot may be when the store is lost.
const snapshotAge = 4 * time.Second

// takeSnapshot takes a snapshot and forgets those that are too old.
func (r *run) takeSnapshot() {
	r.snapshots = slices.DeleteFunc(r.snapshots, func(c storeSnapshot) bool { return time.Since(c.at) > snapshotAge })
	r.snapshots = append(r.snapshots, storeSnapshot{at: time.Now(), restore: r.w.Store.Snapshot()})
}

func (r *run) routerCut() string {
	h, d := r.w.Hosts[r.host()], r.duration()
	at := r.w.DataAddress(h)
	r.w.Router.SetUnreachable(at, true)
	time.AfterFunc(d, func() { r.w.Router.SetUnreachable(at, false) })
	return fmt.Sprintf("packets to %s are lost for %v", h.Name, d)
}

// peerCut cuts a host off from the other hosts, both ways or one way.
func (r *run) peerCut() string {
	h, d := r.w.Hosts[r.host()], r.duration()
	ways := []struct {
		hears, heard bool
		what         string
	}{{what: "cut off from"}, {hears: true, what: "not heard by"}, {heard: true, what: "deaf to"}}
	way := ways[r.rng.IntN(len(ways))]
	r.w.CutPeers(h, way.hears, way.heard, d)
	return fmt.Sprintf("%s is %s the others for %v", h.Name, way.what, d)
}

func (r *run) zoneCut() string {
	h, d := r.w.Hosts[r.host()], r.duration()
	r.w.CutZone(h.Zone, d)
	return fmt.Sprintf("%s is cut off from the other zones for %v", h.Zone, d)
}

func (r *run) upstreamCut() string {
	d := r.duration()
	if !r.w.CutUpstream(d) {
		return ""
	}
	return fmt.Sprintf("an upstream hears no host for %v", d)
}

// grow makes a bundle that is large on a thin link, after some times.
func (r *run) grow() string {
	if r.w.AddIdleRoutes(grownRoutes) > maxGrown {
		r.w.AddIdleRoutes(-maxGrown)
	}
	r.w.Roll()
	return "next version, of another size"
}

// grownRoutes take 80 KB in the store's form. maxGrown keeps the bundle below the store's largest
// object, a megabyte.
const (
	grownRoutes = 500
	maxGrown    = 4000
)

// thinLink gives a host the thinnest link that users have, 10 Mbit/s.
func (r *run) thinLink() string {
	h, d := r.w.Hosts[r.host()], r.duration()
	r.w.LimitLink(h, 10e6/8)
	time.AfterFunc(d, func() { r.w.UnlimitLink(h) })
	return fmt.Sprintf("%s has a link of 10 Mbit/s for %v", h.Name, d)
}

func (r *run) drain() string {
	if !r.w.DrainUpstream() {
		return ""
	}
	return "an upstream drains and leaves"
}

func (r *run) crash(reuse bool) string {
	if !r.w.CrashUpstream(reuse) {
		return ""
	}
	return fmt.Sprintf("an upstream crashes, address used again: %v", reuse)
}

func (r *run) restart() string {
	d := time.Duration(r.rng.Int64N(int64(maxFault)))
	if !r.w.RestartUpstream(d) {
		return ""
	}
	return fmt.Sprintf("an upstream crashes and starts again after %v", d)
}

// foreign lets another writer replace entries of upstreams, which write them again later.
func (r *run) foreign() string {
	names, restore := r.w.ReplaceEntries(1 + r.rng.IntN(maxForeign))
	d := r.duration()
	time.AfterFunc(d, restore)
	return fmt.Sprintf("the entries of %v are another writer's for %v", names, d)
}

// maxForeign is less than the upstreams of a service in one zone.
const maxForeign = 3

func (r *run) add() string {
	services := []string{world.ServiceFeed, world.ServiceSheets}
	h := r.w.Hosts[r.host()]
	if err := r.w.AddUpstream(services[r.rng.IntN(len(services))], h.Zone, r.none); err != nil {
		return ""
	}
	return "an upstream joins in " + h.Zone
}

// evacuationFor is how long a zone stays evacuated at least: longer than the bound, so that what
// enters it too late shows.
const evacuationFor = 7 * time.Second

func (r *run) evacuate() string {
	zone := r.w.Hosts[r.host()].Zone
	if !r.w.Evacuate(zone) {
		return ""
	}
	d := evacuationFor + r.duration()
	time.AfterFunc(d, func() { r.w.EndEvacuation(zone) })
	return fmt.Sprintf("%s is evacuated for %v", zone, d)
}
