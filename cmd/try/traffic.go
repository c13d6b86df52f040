package main

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/standin/caller"
	"github.com/fescueshed/fescueshed/internal/standin/fabric"
	"github.com/fescueshed/fescueshed/internal/standin/upstream"
)

func (t *trial) startFabric(ctx context.Context) error {
	cfg := fabric.Config{Address: fabricAddress(), Delay: t.deploy.clientDelay}
	for i, s := range t.deploy.services {
		cfg.Services = append(cfg.Services, fabric.Service{VNI: s.vni, Address: serviceAddress(i)})
	}
	var err error
	t.fabric, err = startStandIn(ctx, "fabric", "fabric", t.dir, cfg)
	return err
}

func (t *trial) startUpstreams(ctx context.Context) error {
	for i, s := range t.deploy.services {
		for n := range s.upstreams {
			name := fmt.Sprintf("%s-%d", s.name, n+1)
			u, err := startStandIn(ctx, "upstream", name, t.dir, upstream.Config{
				Service: s.name, Name: name, Zone: t.deploy.zones[n%len(t.deploy.zones)], VNI: s.vni,
				Address: upstreamAddress(i, n), Services: []netip.AddrPort{serviceAddress(i)},
				Slots: s.slots, ServiceTime: s.serviceTime, FeedPeriod: s.feed,
			})
			if err != nil {
				return err
			}
			t.upstreams = append(t.upstreams, u)
		}
	}
	t.logf("%d upstreams", len(t.upstreams))
	return nil
}

func (t *trial) startCallers(ctx context.Context) error {
	for i, s := range t.deploy.services {
		callers := s.callers
		if i == 0 && t.opts.Callers > 0 {
			callers = t.opts.Callers
		}
		c, err := startStandIn(ctx, "caller", "callers-of-"+s.name, t.dir, caller.Config{
			Name: s.name, Service: s.name, Address: serviceAddress(i), Callers: callers,
			Period: t.opts.Period, FeedSilence: 5*time.Second + s.feed, RequestTimeout: 12 * time.Second,
			Seed: t.opts.Seed + uint64(i),
		})
		if err != nil {
			return err
		}
		t.callers = append(t.callers, c)
	}
	return nil
}

// routeToAll makes the fabric and the upstreams send to all balancers.
func (t *trial) routeToAll(ctx context.Context) error {
	t.mu.Lock()
	t.routed = nil
	for _, b := range t.balancers {
		t.routed = append(t.routed, b.data)
	}
	t.mu.Unlock()
	return t.updateFabric(ctx)
}

// setRouted adds a balancer to those that the fabric and the upstreams send to, or removes it.
func (t *trial) setRouted(ctx context.Context, b *balancer, on bool) error {
	t.mu.Lock()
	t.routed = slices.DeleteFunc(t.routed, func(a netip.AddrPort) bool { return a == b.data })
	if on {
		t.routed = append(t.routed, b.data)
	}
	t.mu.Unlock()
	return t.updateFabric(ctx)
}

// updateFabric sends the list of balancers in use to the fabric and all upstreams.
func (t *trial) updateFabric(ctx context.Context) error {
	t.mu.Lock()
	routed := slices.Clone(t.routed)
	t.mu.Unlock()
	for _, s := range append([]*standIn{t.fabric}, t.upstreams...) {
		if err := s.call(ctx, methodBalancers, routed, nil); err != nil {
			return err
		}
	}
	return nil
}
