package bundle

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/hujson"
)

// Accepted is a bundle that the platform has accepted, which counts as its approval.
type Accepted struct {
	Version Version
	Bundle  *Bundle
	// Findings are the parts of the bundle that were changed or left out since they can't be used as written. Only the
	// daemon that read the bundle from the platform knows them.
	Findings []hujson.Finding
}

// MinIdleTimeout is the shortest time without packets for which a daemon keeps the record of a flow.
const MinIdleTimeout = Duration(time.Second)

// unboundedConnections is the bound of an upstream whose service doesn't say how many flows it holds.
const unboundedConnections = math.MaxInt32

// Normalize makes a bundle usable that the platform has accepted, whatever this package would ask of the operator who
// writes one: it brings values into their range, and leaves out what can't be used, so that the rest comes into force.
// Afterwards, Check finds nothing but that there is no service at all. It adds what it changes to findings.
func (b *Bundle) Normalize(findings *hujson.Findings) {
	n := normalizer{findings: findings, services: make(map[string]bool)}
	n.normalizeServices(b)
	n.normalizeRoutes(b)
}

type normalizer struct {
	findings *hujson.Findings
	services map[string]bool
}

func (n *normalizer) normalizeServices(b *Bundle) {
	kept := b.Services[:0]
	for i := range b.Services {
		s := &b.Services[i]
		at := func(field string) string { return fmt.Sprintf("Services[%d].%s", i, field) }
		if s.Name == "" || n.services[s.Name] {
			n.findings.Add(at("Name"), "is missing or used twice: the service is left out")
			continue
		}
		n.services[s.Name] = true
		s.fillDefaults()
		if s.IdleTimeout < MinIdleTimeout {
			n.findings.Add(at("IdleTimeout"), "is %v: flows are kept for %v", time.Duration(s.IdleTimeout), time.Duration(MinIdleTimeout))
			s.IdleTimeout = MinIdleTimeout
		}
		if s.Deadline < 0 {
			n.findings.Add(at("Deadline"), "is negative: %v is used", time.Duration(DefaultDeadline))
			s.Deadline = DefaultDeadline
		}
		if s.Connections < 1 {
			n.findings.Add(at("Connections"), "is %d: the service's upstreams have no bound", s.Connections)
			s.Connections = unboundedConnections
		}
		if s.WarmupRate < 0 {
			n.findings.Add(at("WarmupRate"), "is %v: there is no limit", s.WarmupRate)
			s.WarmupRate = 0
		}
		kept = append(kept, *s)
	}
	b.Services = kept
}

func (n *normalizer) normalizeRoutes(b *Bundle) {
	seen := make(map[netip.AddrPort]bool, len(b.Routes))
	kept := b.Routes[:0]
	for i := range b.Routes {
		r := &b.Routes[i]
		at := func(field string) string { return fmt.Sprintf("Routes[%d].%s", i, field) }
		switch {
		case !r.Address.IsValid() || r.Address.Port() == 0:
			n.findings.Add(at("Address"), "is %q, want an IP address and a port: route %q is left out", r.Address, r.Name)
			continue
		case seen[r.Address]:
			n.findings.Add(at("Address"), "%v is used by an earlier route: route %q is left out", r.Address, r.Name)
			continue
		}
		if n.normalizeTargets(r, at("Targets")); len(r.Targets) == 0 {
			n.findings.Add(at("Targets"), "none can be used: route %q is left out", r.Name)
			continue
		}
		r.Deadline, r.Objective = max(0, r.Deadline), max(0, r.Objective)
		seen[r.Address] = true
		kept = append(kept, *r)
	}
	b.Routes = kept
}

// normalizeTargets leaves out targets that don't exist, and scales weights down if one is larger than MaxWeight.
func (n *normalizer) normalizeTargets(r *Route, path string) {
	largest := 0
	r.Targets = slices.DeleteFunc(r.Targets, func(t Target) bool {
		unusable := !n.services[t.Service] || t.Weight < 0
		if unusable {
			n.findings.Add(path, "%q with weight %d can't be used and is left out", t.Service, t.Weight)
		} else {
			largest = max(largest, t.Weight)
		}
		return unusable
	})
	if largest <= MaxWeight {
		return
	}
	divisor := (largest + MaxWeight - 1) / MaxWeight
	for i := range r.Targets {
		if w := r.Targets[i].Weight; w > 0 {
			r.Targets[i].Weight = max(1, w/divisor)
		}
	}
}
