package bundle

import (
	"fmt"
	"net/netip"
	"slices"
)

// Route leads new flows to one of several registered services. Open flows stay at their upstreams when a
// later bundle changes the weights. A bundle without the route ends them.
type Route struct {
	Name string
	// Address is the one that callers send to.
	Address netip.AddrPort
	Targets []Target
	// Idempotent says that callers may repeat the requests that the flows carry.
	Idempotent bool
	// Deadline bounds one request. Objective is the time within which it should be answered.
	Deadline  Duration
	Objective Duration
	// Priority orders routes if not all can be served; 0 is the highest.
	Priority int
	// Regions are those whose upstreams may get the route's flows, all regions if empty.
	Regions []Region
}

// Target is a service that a Route leads to, with its share of the new flows.
type Target struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight int
}

// MaxWeight bounds one target's weight, so that sums can't overflow.
const MaxWeight = 1 << 20

// Check fills in defaults and returns all problems of the bundle together as a *hujson.FindingsError. It is
// for bundles that weren't read by Decode.
func (b *Bundle) Check() error {
	f := newFindings()
	for i := range b.Services {
		b.Services[i].fillDefaults()
	}
	b.check(f)
	return f.Err()
}

// registered checks the fields that are special to a service with registered upstreams.
func (c *checker) registered(path string, s *Service) {
	if s.VNI != 0 || len(s.Addresses) != 0 || len(s.Upstreams) != 0 {
		c.findings.Add(path, "a registered service has no VNI, addresses or upstreams of its own")
	}
	if s.Connections < 1 {
		c.findings.Add(path+".Connections", "is %d, want at least 1", s.Connections)
	}
	if s.WarmupRate < 0 {
		c.findings.Add(path+".WarmupRate", "is %v, want at least 0", s.WarmupRate)
	}
	c.routable[s.Name] = true
}

func (c *checker) routes(b *Bundle) {
	for i := range b.Routes {
		c.route(i, &b.Routes[i])
	}
}

// route checks one route. It builds field paths only for findings: a bundle may have thousands of routes, and
// all are checked with each version.
func (c *checker) route(i int, r *Route) {
	at := func(field string) string { return fmt.Sprintf("Routes[%d].%s", i, field) }
	if !r.Address.IsValid() || r.Address.Port() == 0 {
		c.findings.Add(at("Address"), "is %q, want an IP address and a port", r.Address)
	}
	if first, ok := c.addresses[r.Address]; ok {
		c.findings.Add(at("Address"), "the same address is already used at %s", first)
	} else {
		c.addresses[r.Address] = "another route"
	}
	if len(r.Targets) == 0 {
		c.findings.Add(at("Targets"), "at least one service is needed")
	}
	for _, t := range r.Targets {
		if !c.routable[t.Service] {
			c.findings.Add(at("Targets"), "%q isn't a registered service", t.Service)
		}
		if t.Weight < 0 || t.Weight > MaxWeight {
			c.findings.Add(at("Targets"), "weight %d, want 0 to %d", t.Weight, MaxWeight)
		}
	}
}

// CheckRegions returns a *hujson.FindingsError with each route that names a region other than the known ones. With
// a mistyped region, the route would refuse every caller.
func (b *Bundle) CheckRegions(known []Region) error {
	f := newFindings()
	for i := range b.Routes {
		for j, r := range b.Routes[i].Regions {
			if !slices.Contains(known, r) {
				f.Add(fmt.Sprintf("Routes[%d].Regions[%d]", i, j), "%q is unknown; known regions: %v", r, known)
			}
		}
	}
	return f.Err()
}
