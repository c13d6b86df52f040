package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/fescueshed/fescueshed/internal/standin/world"
)

// cookieFailure is a failure or a planned change that a trial of the cookie data path injects while callers send
// requests.
type cookieFailure struct {
	description string
	// delay is the time from the start of the callers to the failure.
	delay time.Duration
	run   func(w *world.World, procs []*world.Process)
}

// Times of the failures. An upstream drains so late that the store has been stable for long enough: the bound on
// the time of a drain holds only then.
const (
	restoreAfter = 3 * time.Second
	storeOutage  = time.Second
	cutFor       = 4 * time.Second
	drainAfter   = 10 * time.Second
	// shortAfter is early enough that a trial of the default length covers the end of the refusals.
	shortAfter = time.Second
	// lostWrites is the number of writes that the restore loses. It is larger than the number of objects written
	// again afterwards, so that a drain after the restore gets a revision that the balancers have already seen.
	lostWrites = 200
)

// shortageName is the name of the failure that needs admission control.
const shortageName = "shortage"

var cookieFailures = map[string]cookieFailure{
	"store-restore":  {"the store is unavailable for a second and is restored from a snapshot", restoreAfter, restoreStore},
	"upstream-drain": {"an upstream drains and leaves", drainAfter, drainServer},
	"balancer-kill":  {"a balancer is killed without notice", restoreAfter + storeOutage, killBalancer},
	"zone-cut":       {"a zone is cut off from the others for four seconds", restoreAfter, cutZone},
	shortageName:     {"most upstreams of a service drain and leave; they are back six seconds later", shortAfter, beginShortage},
}

func restoreStore(w *world.World, _ []*world.Process) {
	restore := w.Store.Snapshot()
	for range lostWrites {
		w.RewriteBundle()
	}
	w.MarkUnstable(2 * storeOutage)
	// Wait until the balancers have received the writes that the restore loses.
	time.AfterFunc(storeOutage, func() { w.RestoreStore(restore, storeOutage) })
}

func beginShortage(w *world.World, _ []*world.Process) { w.BeginShortage() }

func drainServer(w *world.World, _ []*world.Process) { w.DrainUpstream() }

func killBalancer(w *world.World, procs []*world.Process) {
	w.MarkUnstable(storeOutage)
	procs[0].Signal(syscall.SIGKILL)
}

func cutZone(w *world.World, _ []*world.Process) {
	w.MarkUnstable(cutFor)
	w.CutZone(w.Hosts[0].Zone, cutFor)
}

// findCookieFailures returns the failures with the given names, or an error if there is none of a name.
func findCookieFailures(names []string) ([]cookieFailure, error) {
	var out []cookieFailure
	for _, n := range names {
		f, ok := cookieFailures[strings.TrimSpace(n)]
		if !ok {
			return nil, fmt.Errorf("no failure of --carriage cookie is named %q, there are %s; go run ./cmd/soak injects more",
				n, strings.Join(slices.Sorted(maps.Keys(cookieFailures)), ", "))
		}
		out = append(out, f)
	}
	return out, nil
}

// startCookieFailures schedules each failure at its time, until ctx ends.
func startCookieFailures(ctx context.Context, list []cookieFailure, w *world.World, procs []*world.Process) {
	began := time.Now()
	for _, f := range list {
		t := time.AfterFunc(f.delay, func() {
			fmt.Printf("%6.1fs  %s\n", time.Since(began).Seconds(), f.description)
			f.run(w, procs)
		})
		context.AfterFunc(ctx, func() { t.Stop() })
	}
}
