package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Times of the case "drain", from the start of traffic.
const (
	entryAt = 4 * time.Second
	drainAt = 8 * time.Second
	// drainWithin is the bound drainMs. The backend serves for longer, as the pages allow.
	drainWithin = 3 * time.Second
	// openWithin is the longest time from a flow's opening packet until the flow is open: its client gives up then. A flow
	// that opens later than drainWithin plus this has an opening packet that arrived after the bound.
	openWithin = 1400 * time.Millisecond
	servesFor  = 9 * time.Second
	drainUntil = 24 * time.Second
	// entryDepth is the nesting of the other writer's entry. A call that writes it stays within the 10,000 levels that a
	// JSON parser such as Go's accepts.
	entryDepth = 9998
)

// runDrain lets another writer store one entry with a field of another type. Some seconds later a backend reports that
// it drains.
func runDrain(ctx context.Context, w *world, trouble bool) (bool, error) {
	began := time.Now()
	callers, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		stats := w.runCallers(callers, allCallers, freshFlows)
		for i := range stats {
			for _, o := range stats[i].Outcomes {
				w.record.noteAt(o.At, "client %d sent a request, answered: %t", i+1, o.Answered)
			}
		}
	}()
	time.Sleep(time.Until(began.Add(entryAt)))
	if trouble {
		if err := w.postOtherEntry(ctx); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(began.Add(drainAt)))
	b := w.backends[0]
	w.store.put("servers", b.name(), b.entry("draining"))
	b.Drain()
	acked := time.Now()
	w.record.note("the store has acknowledged that backend %s drains", b.name())
	time.Sleep(servesFor)
	ended := time.Now()
	late := b.OpenedBetween(acked.Add(drainWithin+openWithin), ended)
	w.record.note("backend %s ends", b.name())
	b.stop()
	w.store.remove("servers", b.name())
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case <-time.After(time.Until(began.Add(drainUntil))):
	}
	stop()
	<-done
	w.noteRuns()
	w.record.note("flows opened at backend %s up to %v after the acknowledgement: %d", b.name(), drainWithin,
		b.OpenedBetween(acked, acked.Add(drainWithin)))
	w.record.note("flows opened there later than %v after it: %d", drainWithin+openWithin, late)
	return late > 0, nil
}

// postOtherEntry writes an entry of another writer by a call of the store. One field is of another type.
func (w *world) postOtherEntry(ctx context.Context) error {
	nested := strings.Repeat("[", entryDepth-1) + strings.Repeat("]", entryDepth-1)
	body := `{"meta":{"name":"report"},"spec":{"service":` + nested + `}}`
	url := "http://" + at(storeIP(), w.ports.store).String() + "/v1/objects/servers"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the store refused the other writer's entry: status %d", resp.StatusCode)
	}
	w.record.note("another writer has stored servers/report, %d bytes, with a list in place of the service's name", len(body))
	return nil
}
