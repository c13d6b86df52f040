package metadata

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/registry"
	"github.com/fescueshed/fescueshed/platform/wire"
)

// Register writes the registration entry of an upstream, replacing an earlier one.
func (s *Store) Register(r *registry.Registration) {
	state := wire.StateReady
	if r.Draining {
		state = wire.StateDraining
	}
	s.Put(wire.KindServers, EntryName(r.ID), &wire.Server{
		Service: r.Service, Address: r.Address, Zone: string(r.Zone), ConcurrencyLimit: r.Slots, State: state,
		WarmupLeftMs: r.Warmup.Milliseconds(), Version: "v1", Sequence: r.Sequence, Born: int64(r.StartTime),
	})
}

// EncodeSpec returns the JSON of an upstream's entry as the store holds it.
func EncodeSpec(s *wire.Server) string { return encode(s) }

// Deregister removes the registration entry of an upstream.
func (s *Store) Deregister(id bundle.UpstreamID) { s.Delete(wire.KindServers, EntryName(id)) }

// EntryName returns the name under which the store holds an upstream's registration entry.
func EntryName(id bundle.UpstreamID) string { return fmt.Sprintf("i-%010x", uint64(id)) }

// PutBundle writes a bundle to the store as the configuration object with the given version.
func (s *Store) PutBundle(v bundle.Version, b *bundle.Bundle) {
	c := &wire.Config{Version: uint64(v)}
	for i := range b.Services {
		o := &b.Services[i]
		c.Services = append(c.Services, wire.Service{
			ServiceName: wire.ServiceName{Name: o.Name, HealthPath: o.HealthPath},
			MaxConns:    o.Connections, WarmupPerS: o.WarmupRate,
		})
		c.Limits.IdleTimeoutMs = time.Duration(o.IdleTimeout).Milliseconds()
	}
	for i := range b.Routes {
		c.Routes = append(c.Routes, encodeRoute(&b.Routes[i]))
	}
	s.Put(wire.KindConfig, wire.NameConfig, c)
}

// encodeRoute returns a route in the platform's form.
func encodeRoute(r *bundle.Route) wire.Route {
	out := wire.Route{
		RouteTarget: wire.RouteTarget{
			Name: r.Name, Host: r.Address.Addr().String(), PathPrefix: fmt.Sprintf("/%d/", r.Address.Port()),
		},
		Kind: wire.RouteUnsafe, TimeoutMs: time.Duration(r.Deadline).Milliseconds(), Priority: r.Priority,
	}
	for _, region := range r.Regions {
		out.AllowedRegions = append(out.AllowedRegions, string(region))
	}
	for _, t := range r.Targets {
		out.TrafficSplit = append(out.TrafficSplit, wire.TrafficShare{Service: t.Service, Weight: t.Weight})
	}
	return out
}

// HealthHandler returns the handler for health checks of an upstream. Its answers name the upstream in a header.
func HealthHandler(id bundle.UpstreamID) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wire.HeaderUpstreamID, EntryName(id))
	})
}

// ReadinessURL returns the URL at which routers check whether the balancer at an address is ready.
func ReadinessURL(at netip.AddrPort) string { return "http://" + at.String() + wire.ReadinessPath }
