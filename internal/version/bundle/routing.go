package bundle

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Routing is the lookup table that a daemon derives from a bundle. It is immutable and safe for concurrent use.
type Routing struct {
	Version   Version
	services  map[VNI]*ServiceRoute
	upstreams map[UpstreamID]*UpstreamRoute
	byAddress map[netip.Addr]*UpstreamRoute
	ids       []UpstreamID
	// registered holds the services with registered upstreams by name, routes the routes that lead to them.
	registered map[string]*ServiceRoute
	routes     map[netip.AddrPort]*CallerRoute
}

// CallerRoute is a Route as part of a Routing.
type CallerRoute struct {
	Name       string
	Idempotent bool
	// Objective is the time within which the route's requests should be answered, zero if none is set.
	Objective time.Duration
	// Priority orders routes while not all can be served; 0 is the most urgent.
	Priority int
	Targets  []RouteTarget
	// Weight is the sum of the targets' weights.
	Weight uint64
	// Regions are those whose upstreams may get the route's flows, all regions if empty.
	Regions []Region
}

// Allows reports whether upstreams of a region may get the route's flows. An unknown region is only allowed if
// every region is.
func (r *CallerRoute) Allows(region Region) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// RouteTarget is a service of a CallerRoute with its weight.
type RouteTarget struct {
	Service *ServiceRoute
	Weight  uint64
}

// Pick returns the service for a new flow. The same seed gives the same service. If all weights are zero, it
// returns the first target.
func (r *CallerRoute) Pick(seed uint64) *ServiceRoute {
	if r.Weight > 0 {
		x := seed % r.Weight
		for i := range r.Targets {
			if x < r.Targets[i].Weight {
				return r.Targets[i].Service
			}
			x -= r.Targets[i].Weight
		}
	}
	return r.Targets[0].Service
}

// ServiceRoute is a Service as part of a Routing.
type ServiceRoute struct {
	Name        string
	VNI         VNI
	Protocol    Protocol
	Addresses   map[netip.AddrPort]struct{}
	Upstreams   []*UpstreamRoute
	IdleTimeout time.Duration
	Deadline    time.Duration
	// HealthPath, Connections and WarmupRate are set for registered services only.
	HealthPath  string
	Connections int
	WarmupRate  float64
}

// SameSettings reports whether both services are the same apart from their addresses and upstreams, which
// registered services don't have. It returns false if o is nil.
func (s *ServiceRoute) SameSettings(o *ServiceRoute) bool {
	return o != nil && s.Name == o.Name && s.VNI == o.VNI && s.Protocol == o.Protocol &&
		s.IdleTimeout == o.IdleTimeout && s.Deadline == o.Deadline &&
		s.HealthPath == o.HealthPath && s.Connections == o.Connections && s.WarmupRate == o.WarmupRate
}

// UpstreamRoute is an upstream as part of a Routing.
type UpstreamRoute struct {
	ID          UpstreamID
	Name        string
	Service     *ServiceRoute
	Address     netip.AddrPort
	Zone        Zone
	Slots       int
	Connections int
	// Drain says that the upstream must get no new flow, because the bundle drains it or evacuates its zone, or
	// because the present version no longer lists it.
	Drain bool
	// Created orders registered upstreams by their time of registration.
	Created uint64
}

// NewRouting builds the table of bundle b. Upstreams of prev that b no longer lists are kept as draining, so
// that their open flows go on.
func NewRouting(v Version, b *Bundle, prev *Routing) *Routing {
	t := &Routing{
		Version:    v,
		registered: make(map[string]*ServiceRoute),
		routes:     make(map[netip.AddrPort]*CallerRoute, len(b.Routes)),
		services:   make(map[VNI]*ServiceRoute, len(b.Services)),
		upstreams:  make(map[UpstreamID]*UpstreamRoute),
		byAddress:  make(map[netip.Addr]*UpstreamRoute),
	}
	for i := range b.Services {
		t.addService(&b.Services[i], b.Evacuated)
	}
	for i := range b.Routes {
		t.addRoute(&b.Routes[i])
	}
	t.ids = slices.Sorted(maps.Keys(t.upstreams))
	if prev != nil {
		t.keepRemoved(prev)
	}
	return t
}

func (t *Routing) addService(s *Service, evacuated []Zone) {
	r := &ServiceRoute{
		Name:        s.Name,
		VNI:         s.VNI,
		Protocol:    s.Protocol,
		Addresses:   make(map[netip.AddrPort]struct{}, len(s.Addresses)),
		IdleTimeout: time.Duration(s.IdleTimeout),
		Deadline:    time.Duration(s.Deadline),
		HealthPath:  s.HealthPath,
		Connections: s.Connections,
		WarmupRate:  s.WarmupRate,
	}
	if s.Registered {
		t.registered[s.Name] = r
		return
	}
	for _, a := range s.Addresses {
		r.Addresses[a] = struct{}{}
	}
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		t.addUpstream(r, &UpstreamRoute{
			ID:          UpstreamIDOf(s.Name, u.Name),
			Name:        u.Name,
			Service:     r,
			Address:     u.Address,
			Zone:        u.Zone,
			Slots:       u.Slots,
			Connections: u.Connections,
			Drain:       u.Drain || slices.Contains(evacuated, u.Zone),
		})
	}
	t.services[s.VNI] = r
}

func (t *Routing) addRoute(r *Route) {
	c := &CallerRoute{
		Name: r.Name, Idempotent: r.Idempotent, Objective: time.Duration(r.Objective), Priority: r.Priority,
		Targets: make([]RouteTarget, 0, len(r.Targets)), Regions: r.Regions,
	}
	for _, target := range r.Targets {
		w := uint64(target.Weight)
		c.Targets = append(c.Targets, RouteTarget{Service: t.registered[target.Service], Weight: w})
		c.Weight += w
	}
	t.routes[r.Address] = c
}

func (t *Routing) addUpstream(s *ServiceRoute, u *UpstreamRoute) {
	s.Upstreams = append(s.Upstreams, u)
	t.upstreams[u.ID] = u
	t.byAddress[u.Address.Addr()] = u
}

// keepRemoved keeps upstreams that the new version no longer lists, if their service still exists with the same
// VNI and name. An address that the new version gives to another upstream belongs to that one: packets must not
// be forwarded between services because of its former meaning.
func (t *Routing) keepRemoved(prev *Routing) {
	for id, old := range prev.upstreams {
		if _, ok := t.upstreams[id]; ok {
			continue
		}
		s, ok := t.services[old.Service.VNI]
		if !ok || s.Name != old.Service.Name {
			continue
		}
		if _, taken := t.byAddress[old.Address.Addr()]; taken {
			continue
		}
		u := *old
		u.Service = s
		u.Drain = true
		t.addUpstream(s, &u)
	}
}

// UpstreamIDs returns the upstreams that the bundle lists, in an order that all daemons with the same version
// share. The caller must not modify the result.
func (t *Routing) UpstreamIDs() []UpstreamID {
	return t.ids
}

// Service returns the service with a VNI, or nil.
func (t *Routing) Service(v VNI) *ServiceRoute {
	return t.services[v]
}

// RouteAt returns the route of an address that callers send to, or nil.
func (t *Routing) RouteAt(a netip.AddrPort) *CallerRoute {
	return t.routes[a]
}

// Registered returns the service with registered upstreams of a name, or nil.
func (t *Routing) Registered(name string) *ServiceRoute {
	return t.registered[name]
}

// Upstream returns the upstream with an identifier, or nil.
func (t *Routing) Upstream(id UpstreamID) *UpstreamRoute {
	return t.upstreams[id]
}

// UpstreamAt returns the upstream whose host sends Geneve packets from address a, or nil. The source port
// doesn't identify the upstream, since it spreads flows (RFC 8926, section 3.3).
func (t *Routing) UpstreamAt(a netip.Addr) *UpstreamRoute {
	return t.byAddress[a]
}

// Upstreams returns all upstreams, in no particular order.
func (t *Routing) Upstreams() []*UpstreamRoute {
	out := make([]*UpstreamRoute, 0, len(t.upstreams))
	for _, u := range t.upstreams {
		out = append(out, u)
	}
	return out
}
