package main

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/standin/flows"
)

// Times of the case "recover", from the start of traffic.
const (
	writerAt   = 8 * time.Second
	faultAt    = 12 * time.Second
	recoverIn  = 12 * time.Second
	judgedFor  = 12 * time.Second
	allCallers = 32
	// sheetsCallers is one in how many clients uses the service for sheets.
	sheetsCallers = 4
	// freshFlows is one in how many clients opens a flow for each request.
	freshFlows = 3
	// minServed is the share of requests that the rule asks for.
	minServed = 0.25
)

// runRecover lets another writer store one entry beside each backend's own, and kills all processes of the system
// some seconds later.
func runRecover(ctx context.Context, w *world, trouble bool) (bool, error) {
	began := time.Now()
	callers, stop := context.WithCancel(ctx)
	defer stop()
	results := make(chan []flows.CallerStats)
	go func() { results <- w.runCallers(callers, allCallers, freshFlows) }()
	time.Sleep(time.Until(began.Add(writerAt)))
	if trouble {
		for _, b := range w.backends {
			w.store.put("servers", "backup-"+b.name(), b.entry("archived"))
		}
		w.record.note("another writer has stored %d entries, such as servers/backup-%s with state \"archived\"",
			len(w.backends), w.backends[0].name())
	}
	time.Sleep(time.Until(began.Add(faultAt)))
	fault := time.Now()
	w.record.note("final fault: all balancers are killed")
	for _, h := range w.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range w.hosts {
		h.end()
	}
	time.Sleep(restartDelay)
	for _, h := range w.hosts {
		if err := w.start(h); err != nil {
			return false, err
		}
	}
	back := time.Now()
	w.record.note("all balancers are started again")
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case <-time.After(recoverIn + judgedFor):
	}
	stop()
	return w.judgeRecovery(<-results, fault, back), nil
}

// runCallers runs n clients until ctx ends. One in fresh of them opens a flow for each request, the others keep their
// flow open.
func (w *world) runCallers(ctx context.Context, n, fresh int) []flows.CallerStats {
	out := make([]flows.CallerStats, n)
	var wg sync.WaitGroup
	for i := range out {
		service := liveAddress
		if i%sheetsCallers == sheetsCallers-1 {
			service = sheetsAddress
		}
		o := w.caller(i+1, service)
		o.Idempotent, o.FlowPerRequest = i%2 == 0, i%fresh == 0
		c, closeCaller, err := flows.NewCaller(o)
		if err != nil {
			w.record.note("client %d doesn't run: %v", i+1, err)
			continue
		}
		wg.Go(func() {
			defer closeCaller()
			out[i] = c.Run(ctx)
		})
	}
	wg.Wait()
	return out
}

// judgeRecovery writes what was sent, answered and run, and applies the rule.
func (w *world) judgeRecovery(stats []flows.CallerStats, fault, back time.Time) bool {
	var before, after, beforeServed, afterServed int
	for i := range stats {
		for _, o := range stats[i].Outcomes {
			w.record.noteAt(o.At, "client %d sent a request, answered: %t", i+1, o.Answered)
			served := 0
			if o.Answered {
				served = 1
			}
			switch {
			case o.At.Before(fault):
				before++
				beforeServed += served
			case o.At.After(back.Add(recoverIn)):
				after++
				afterServed += served
			}
		}
	}
	w.noteRuns()
	w.record.note("sent before the final fault: %d, answered: %d", before, beforeServed)
	w.record.note("sent later than %v after the balancers were back: %d, answered: %d", recoverIn, after, afterServed)
	return float64(beforeServed) >= minServed*float64(before) && float64(afterServed) < minServed*float64(after)
}

// noteRuns writes how many requests each backend has run, and how many it ran more than once.
func (w *world) noteRuns() {
	for _, b := range w.backends {
		runs, again := b.Runs(), 0
		for n := range maps.Values(runs) {
			if n > 1 {
				again++
			}
		}
		w.record.note("backend %s of %s in %s ran %d requests, %d more than once", b.name(), b.Service, b.Zone, len(runs), again)
	}
}

// resetAllowed reports whether a client's open flow may be reset: its backend has ended or has itself reset the flow.
func (w *world) resetAllowed(_ cookie.Cookie, caller netip.AddrPort) bool {
	b := w.backendOf(caller)
	return b == nil || !b.Alive() || slices.ContainsFunc(w.backends, func(o *backend) bool { return o == b && o.HasReset(caller) })
}
