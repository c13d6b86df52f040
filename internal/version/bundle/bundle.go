// Package bundle implements the versioned configuration that operators prepare, approve and roll: its
// format, its checks, its signature, and the routing table that a daemon derives from it.
package bundle

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/version/hujson"
)

// Bundle is the content that operators write. It contains no version: a bundle gets one when it is
// approved.
type Bundle struct {
	Services []Service
	// Routes lead from addresses that callers send to, to registered services. Services with
	// addresses of their own need none.
	Routes []Route
	// Operators are those who may prepare and approve the next bundle.
	Operators []Operator
	// Evacuated are zones whose upstreams get no new flow. This only concerns upstreams that the
	// bundle lists. For registered upstreams, a zone is evacuated in the platform's store, which needs
	// no new bundle version.
	Evacuated []Zone
}

// Operator is a person with a signing key.
type Operator struct {
	Name string
	// Key is the ed25519 public key, 32 bytes in base64 (RFC 8032).
	Key []byte
}

// Service is a set of addresses and the upstreams that serve them.
type Service struct {
	Name     string
	Team     string
	VNI      VNI
	Protocol Protocol
	// Addresses are those that callers send to, each an IP address and port.
	Addresses []netip.AddrPort
	Upstreams []Upstream
	// IdleTimeout is after how long without a packet a flow ends.
	IdleTimeout Duration
	// Deadline bounds one request from its first packet to its answer.
	Deadline Duration
	// Registered says that the upstreams register themselves with the platform. The bundle then gives
	// neither a VNI nor addresses nor upstreams of the service; Routes lead to it.
	Registered bool
	// HealthPath is the HTTP path at which an upstream's health is probed. Only registered services
	// have one.
	HealthPath string
	// Connections is how many flows each registered upstream holds at most.
	Connections int
	// WarmupRate is how many new flows per second each registered upstream can take from all balancers together
	// while it is slow after its start. If it is zero, only the upstream's load limits them.
	WarmupRate float64 `json:",omitempty"`
}

// Upstream is one back end of a service.
type Upstream struct {
	Name string
	// Address is where the upstream's host receives Geneve packets (UDP). The IP address identifies the
	// upstream, so no two share one.
	Address netip.AddrPort
	Zone    Zone
	// Slots is how many requests the upstream works on concurrently.
	Slots int
	// Connections is how many flows the upstream holds at most.
	Connections int
	// Drain says that the upstream gets no new flow; its open flows go on.
	Drain bool
}

// Default values of fields that a service leaves out.
const (
	DefaultIdleTimeout = Duration(10 * time.Minute)
	DefaultDeadline    = Duration(10 * time.Second)
)

// Decode reads a bundle in JSON with comments and checks it. It returns all problems together as a
// *hujson.FindingsError.
func Decode(file string, src []byte) (*Bundle, error) {
	b, f := hujson.Decode(file, src, Bundle{})
	for i := range b.Services {
		b.Services[i].fillDefaults()
	}
	b.check(f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return &b, nil
}

func (s *Service) fillDefaults() {
	if s.IdleTimeout == 0 {
		s.IdleTimeout = DefaultIdleTimeout
	}
	if s.Deadline == 0 {
		s.Deadline = DefaultDeadline
	}
	if s.Protocol == "" {
		s.Protocol = ProtocolCoAP
	}
}

// checker holds the values that must be unique in a whole bundle, each with the path where it occurred first.
type checker struct {
	findings  *hujson.Findings
	names     map[string]string
	vnis      map[VNI]string
	addresses map[netip.AddrPort]string
	upstreams map[netip.Addr]string
	ids       map[UpstreamID]string
	// routable holds the services that a route may lead to.
	routable map[string]bool
}

// newFindings returns a collector for the problems of a bundle that wasn't read from a file.
func newFindings() *hujson.Findings { return &hujson.Findings{File: "bundle"} }

func (b *Bundle) check(f *hujson.Findings) {
	if len(b.Services) == 0 {
		f.Add("Services", "at least one service is needed")
	}
	b.checkParts(f)
}

// checkParts checks all parts of a bundle, which may have none.
func (b *Bundle) checkParts(f *hujson.Findings) {
	c := checker{
		findings:  f,
		names:     make(map[string]string),
		vnis:      make(map[VNI]string),
		addresses: make(map[netip.AddrPort]string),
		upstreams: make(map[netip.Addr]string),
		ids:       make(map[UpstreamID]string),
		routable:  make(map[string]bool),
	}
	for i := range b.Services {
		c.service(fmt.Sprintf("Services[%d]", i), &b.Services[i])
	}
	c.routes(b)
	c.evacuated(b)
	for i, o := range b.Operators {
		path := fmt.Sprintf("Operators[%d]", i)
		if o.Name == "" {
			f.Add(path+".Name", "is missing")
		}
		if len(o.Key) != publicKeyBytes {
			f.Add(path+".Key", "has %d bytes, want %d", len(o.Key), publicKeyBytes)
		}
	}
}

func (c *checker) service(path string, s *Service) {
	if s.Name == "" {
		c.findings.Add(path+".Name", "is missing")
	}
	if s.Protocol != ProtocolCoAP && s.Protocol != ProtocolTCP {
		c.findings.Add(path+".Protocol", "is %q, want %q or %q", s.Protocol, ProtocolCoAP, ProtocolTCP)
	}
	if s.IdleTimeout < Duration(time.Second) {
		c.findings.Add(path+".IdleTimeout", "is %v, want at least 1s", time.Duration(s.IdleTimeout))
	}
	if s.Deadline <= 0 {
		c.findings.Add(path+".Deadline", "is %v, want more than 0", time.Duration(s.Deadline))
	}
	unique(c, c.names, s.Name, path+".Name", "name")
	if s.Registered {
		c.registered(path, s)
		return
	}
	if s.VNI == 0 || s.VNI > MaxVNI {
		c.findings.Add(path+".VNI", "is %d, want 1 to %d", s.VNI, MaxVNI)
	}
	unique(c, c.vnis, s.VNI, path+".VNI", "VNI")
	if len(s.Addresses) == 0 {
		c.findings.Add(path+".Addresses", "at least one address is needed")
	}
	for i, a := range s.Addresses {
		at := fmt.Sprintf("%s.Addresses[%d]", path, i)
		c.address(at, a)
		unique(c, c.addresses, a, at, "address")
	}
	if len(s.Upstreams) == 0 {
		c.findings.Add(path+".Upstreams", "at least one upstream is needed")
	}
	for i := range s.Upstreams {
		c.upstream(fmt.Sprintf("%s.Upstreams[%d]", path, i), s, &s.Upstreams[i])
	}
}

func (c *checker) upstream(path string, s *Service, u *Upstream) {
	if u.Name == "" {
		c.findings.Add(path+".Name", "is missing")
	}
	if u.Zone == "" {
		c.findings.Add(path+".Zone", "is missing")
	}
	if u.Slots < 1 {
		c.findings.Add(path+".Slots", "is %d, want at least 1", u.Slots)
	}
	if u.Connections < 1 {
		c.findings.Add(path+".Connections", "is %d, want at least 1", u.Connections)
	}
	c.address(path+".Address", u.Address)
	unique(c, c.upstreams, u.Address.Addr(), path+".Address", "upstream address")
	unique(c, c.ids, UpstreamIDOf(s.Name, u.Name), path+".Name", "upstream name")
}

// evacuated checks that each evacuated zone has an upstream. A mistyped zone would otherwise seem to be evacuated.
func (c *checker) evacuated(b *Bundle) {
	seen := make(map[Zone]string)
	for i, z := range b.Evacuated {
		at := fmt.Sprintf("Evacuated[%d]", i)
		if !b.hasZone(z) {
			c.findings.Add(at, "%q is the zone of no upstream", z)
		}
		unique(c, seen, z, at, "zone")
	}
}

func (b *Bundle) hasZone(z Zone) bool {
	for i := range b.Services {
		if slices.ContainsFunc(b.Services[i].Upstreams, func(u Upstream) bool { return u.Zone == z }) {
			return true
		}
	}
	return false
}

func (c *checker) address(path string, a netip.AddrPort) {
	if !a.IsValid() || a.Port() == 0 {
		c.findings.Add(path, "is %q, want an IP address and a port", a)
	}
}

func unique[K comparable](c *checker, seen map[K]string, k K, path, what string) {
	if first, ok := seen[k]; ok {
		c.findings.Add(path, "the same %s is already used at %s", what, first)
		return
	}
	seen[k] = path
}
