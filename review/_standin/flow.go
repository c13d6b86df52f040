package main

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/fescueshed/fescueshed/internal/standin/flows"
)

const (
	// heartbeat is the time between two writes of a backend's entry, otherPeriod that between two of the other writer's.
	heartbeat   = 1200 * time.Millisecond
	otherPeriod = 200 * time.Millisecond
	// restartGap is the pause between two planned restarts, quietAt when the first one begins, after the start of traffic.
	restartGap = 1200 * time.Millisecond
	quietAt    = 4 * time.Second
	// replaced is how many of the backends have their entries replaced by the other writer.
	replaced = 4
	// manyCallers is the number of clients, so that each balancer carries flows of each backend.
	manyCallers = 120
	// rareFreshFlows is one in how many clients opens a flow for each request.
	rareFreshFlows = 8
	// rounds is how many times each balancer is restarted.
	rounds = 2
	// otherService is a service that no configuration names.
	otherService = "legacy"
	// otherNet is the second byte of the addresses in the other writer's entries.
	otherNet = 3
)

// runFlow restarts all balancers in turn as planned, while another writer stores entries with a service that isn't named.
func runFlow(ctx context.Context, w *world, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, b := range w.backends {
		go w.sendHeartbeats(ctx, b)
	}
	callers, stop := context.WithCancel(ctx)
	defer stop()
	results := make(chan []flows.CallerStats)
	go func() { results <- w.runCallers(callers, manyCallers, rareFreshFlows) }()
	time.Sleep(quietAt)
	if trouble {
		w.record.note("another writer begins to store entries with service %q at the names of %d backends", otherService, replaced)
		go w.writeOthers(ctx)
	}
	for _, h := range slices.Repeat(w.hosts, rounds) {
		w.record.note("planned restart of %s", h.name)
		if err := w.restart(h); err != nil {
			return false, err
		}
		time.Sleep(restartGap)
	}
	time.Sleep(quietAt)
	stop()
	return w.judgeFlows(<-results), nil
}

// sendHeartbeats writes a backend's entry at each heartbeat. The store changes it only if another writer has.
func (w *world) sendHeartbeats(ctx context.Context, b *backend) {
	time.Sleep(rand.N(heartbeat))
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		w.store.put("servers", b.name(), b.entry("ready"))
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// writeOthers writes entries as another writer, at the names of some backends.
func (w *world) writeOthers(ctx context.Context) {
	t := time.NewTicker(otherPeriod)
	defer t.Stop()
	for {
		for _, b := range w.backends[:replaced] {
			e := b.entry("ready")
			e["service"], e["address"] = otherService, otherAddress(b.Address).String()
			w.store.put("servers", b.name(), e)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// otherAddress returns the address in the other writer's entry in place of a backend's. Nothing listens there.
func otherAddress(a netip.AddrPort) netip.AddrPort {
	ip := a.Addr().As4()
	ip[1] = otherNet
	return netip.AddrPortFrom(netip.AddrFrom4(ip), a.Port())
}

// judgeFlows writes what was sent, answered and run, and reports whether a reset ended an open flow whose backend lives
// and didn't send it.
func (w *world) judgeFlows(stats []flows.CallerStats) bool {
	var sent, answered, opened, resets, lost int
	for i := range stats {
		sent += stats[i].Requests
		answered += stats[i].Answered
		opened += stats[i].Opened
		for _, o := range stats[i].Outcomes {
			w.record.noteAt(o.At, "client %d sent a request, answered: %t", i+1, o.Answered)
			if !o.Answered {
				lost++
			}
		}
		for _, v := range stats[i].Violations {
			if strings.Contains(v, "was reset") {
				resets++
			}
			w.record.note("client %d: %s", i+1, v)
		}
	}
	w.noteRuns()
	w.record.note("flows opened: %d, requests sent: %d, answered: %d, never answered: %d", opened, sent, answered, lost)
	w.record.note("open flows that were reset although their backend lives and didn't reset them: %d", resets)
	return resets > 0
}
