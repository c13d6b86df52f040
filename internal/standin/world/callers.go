package world

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/fescueshed/fescueshed/internal/standin/flows"
	"github.com/fescueshed/fescueshed/internal/standin/metadata"
)

// callerRetries is how often callers retry an idempotent request.
const callerRetries = 2

// RunCallers lets all callers send requests until ctx ends and returns the statistics of each.
func (w *World) RunCallers(ctx context.Context) ([]flows.CallerStats, error) {
	var wg sync.WaitGroup
	stats := make([]flows.CallerStats, w.opts.Callers)
	for i := range stats {
		c, stop, err := flows.NewCaller(w.callerOptions(i))
		if err != nil {
			return nil, err
		}
		wg.Go(func() {
			defer stop()
			stats[i] = c.Run(ctx)
		})
	}
	wg.Wait()
	return stats, nil
}

func (w *World) callerOptions(i int) flows.CallerOptions {
	o := flows.CallerOptions{
		IP: netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i + 1)}), Port: w.ports.Data,
		Idempotent: i%3 != 0, Period: callerPeriod, Deadline: callerDeadline, Retries: callerRetries,
		Router: w.Router, Codec: metadata.SegmentCodec{}, Rng: rand.New(rand.NewPCG(w.opts.Seed, uint64(i))),
		ResetAllowed: w.MayReset,
	}
	switch i % 4 {
	case 0, 1:
		o.Service, o.MayAnswer = feedAddress, onlyService(ServiceFeed)
	case 2:
		o.Service, o.MayAnswer = sheetsAddress, onlyService(ServiceSheets)
		if !w.opts.Admission {
			o.PickService, o.FlowPerRequest = w.NewestAddress, i%8 == 2
		}
	case 3:
		o.Service, o.MayAnswer, o.FlowPerRequest = switchAddress, w.MayServe, true
	}
	if w.opts.Admission {
		// Only new flows can be refused.
		switch i % 8 {
		case 0:
			o.FlowPerRequest = true
		case 1:
			o.Service, o.FlowPerRequest = urgentAddress, true
		}
	}
	return o
}

func onlyService(service string) func(string, time.Time) bool {
	return func(s string, _ time.Time) bool { return s == service }
}
