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

// cookieFailure is something that goes wrong, or is changed as planned, while callers work with flows that carry a
// cookie.
type cookieFailure struct {
	what string
	// after is when it begins.
	after time.Duration
	run   func(w *world.World, procs []*world.Process)
}

// Times of the failures. The store is stable for long enough before an upstream drains that the bound for it holds.
const (
	restoreAfter = 3 * time.Second
	storeAway    = time.Second
	cutFor       = 4 * time.Second
	drainAfter   = 10 * time.Second
	// lostWrites are more than what is written again after the return, so that a drain comes under a revision that
	// the balancers have seen.
	lostWrites = 200
)

var cookieFailures = map[string]cookieFailure{
	"store-restore":  {"the store is away for a second and is restored from a snapshot", restoreAfter, restoreStore},
	"upstream-drain": {"an upstream drains and leaves", drainAfter, drainServer},
	"balancer-kill":  {"a balancer dies without notice", restoreAfter + storeAway, killBalancer},
	"zone-cut":       {"a zone is cut off from the others for four seconds and healed", restoreAfter, cutZone},
}

func restoreStore(w *world.World, _ []*world.Process) {
	restore := w.Store.Snapshot()
	for range lostWrites {
		w.RewriteBundle()
	}
	w.MarkUnstable(2 * storeAway)
	// The balancers must have heard what is lost.
	time.AfterFunc(storeAway, func() { w.RestoreStore(restore, storeAway) })
}

func drainServer(w *world.World, _ []*world.Process) { w.DrainUpstream() }

func killBalancer(w *world.World, procs []*world.Process) {
	w.MarkUnstable(storeAway)
	procs[0].Signal(syscall.SIGKILL)
}

func cutZone(w *world.World, _ []*world.Process) {
	w.MarkUnstable(cutFor)
	w.CutZone(w.Hosts[0].Zone, cutFor)
}

// findCookieFailures returns the failures of some names.
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

// startCookieFailures brings failures about, each at its time.
func startCookieFailures(ctx context.Context, list []cookieFailure, w *world.World, procs []*world.Process) {
	began := time.Now()
	for _, f := range list {
		t := time.AfterFunc(f.after, func() {
			fmt.Printf("%6.1fs  %s\n", time.Since(began).Seconds(), f.what)
			f.run(w, procs)
		})
		context.AfterFunc(ctx, func() { t.Stop() })
	}
}
