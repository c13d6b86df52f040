package settings

import (
	"encoding/base64"
	"fmt"
	"maps"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/hujson"
)

// Cookie holds the settings of a daemon that forwards flows by cookie.
type Cookie struct {
	// Name identifies the host across restarts.
	Name string
	Zone bundle.Zone
	// Regions maps each zone to its region. If it is empty, no bundle may restrict a route to regions.
	Regions map[bundle.Zone]bundle.Region
	// DataAddress receives callers' packets (UDP). Responses are sent to callers at its port.
	DataAddress netip.AddrPort
	// ReadinessAddress serves the readiness checks by which routers decide whether to send
	// packets to this daemon (HTTP).
	ReadinessAddress netip.AddrPort
	// ControlAddress receives messages from other daemons (UDP) and JSON-RPC 2.0 (TCP).
	ControlAddress netip.AddrPort
	// AnnouncedAddress is the address at which other daemons reach ControlAddress, if it
	// differs from ControlAddress, for example behind network address translation.
	AnnouncedAddress netip.AddrPort
	// MetricsAddress serves metrics (HTTP).
	MetricsAddress netip.AddrPort
	// Store is the URL of the platform's object store.
	Store string
	// Seeds are the control addresses of other hosts. They may be out of date.
	Seeds []netip.AddrPort
	// Secret authenticates daemons to each other. It has at least 16 bytes, in base64. If
	// it is empty, a key that is the same on all hosts is derived from Store: this protects
	// against misdirected messages, but not against attackers within the network.
	Secret []byte
	// AcceptedSecrets are accepted in received messages, but no message is sent with them.
	// To rotate Secret, list the next one here before it becomes Secret, and the previous
	// one until no daemon sends with it any more.
	AcceptedSecrets []Secret
	// FirstStart says that the whole system starts for the first time: no callers wait for it, so
	// this daemon leaves it to others to read the store.
	FirstStart bool
	// CPUShare is the number of CPU cores that the host may use, such as 0.1. Larger hosts
	// read the store for others.
	CPUShare float64
	// FlowLifetime is the maximum lifetime of a flow.
	FlowLifetime bundle.Duration
	// Grace is the maximum time from SIGTERM to the end of the process.
	Grace bundle.Duration
	// Linger is the maximum time for which a daemon continues to serve after SIGTERM. It
	// stops earlier once routers no longer send to it. Zero means a fixed share of Grace.
	Linger bundle.Duration
	// WatchWait is how long one watch of the store waits for changes. A watch may
	// receive nothing although changes are made, so this wait is part of the time until
	// a bundle or a drain takes effect.
	WatchWait bundle.Duration
	// ProbeTimeout bounds one attempt to connect to a suspected upstream.
	ProbeTimeout bundle.Duration
	// ProbePeriod is the time between two membership probes.
	ProbePeriod bundle.Duration
	// LogsPerSecond limits the log lines per second about decisions on flows, for each cause.
	LogsPerSecond int
	// Admission switches admission control on: while the upstreams of a service can't serve all
	// callers, the daemon refuses the least urgent new flows. A change takes effect on restart.
	Admission bool
	// PlatformTerms are what the platform asks for, in its own words. The adapter of the platform
	// translates them; terms that it doesn't know have no effect. One of them may switch admission
	// control on like Admission. A change takes effect on restart.
	PlatformTerms []string
}

// Secret is a key that is encoded in base64 in the settings.
type Secret []byte

// UnmarshalText implements encoding.TextUnmarshaler. It decodes base64.
func (s *Secret) UnmarshalText(b []byte) error {
	v, err := base64.StdEncoding.DecodeString(string(b))
	*s = v
	return eris.Wrap(err, "secret isn't valid base64")
}

// CookieDefaults returns the default settings of a daemon that forwards flows by cookie.
func CookieDefaults() Cookie {
	return Cookie{
		FlowLifetime:  bundle.Duration(time.Minute),
		Grace:         bundle.Duration(6 * time.Second),
		WatchWait:     bundle.Duration(800 * time.Millisecond),
		ProbeTimeout:  bundle.Duration(250 * time.Millisecond),
		ProbePeriod:   bundle.Duration(500 * time.Millisecond),
		LogsPerSecond: 50,
	}
}

// LoadCookie reads and checks the settings in file. All problems of the content are
// returned together as a *hujson.FindingsError.
func LoadCookie(file string) (*Cookie, error) { return load(file, DecodeCookie) }

// DecodeCookie decodes and checks src, the content of file. Errors name file.
func DecodeCookie(file string, src []byte) (*Cookie, error) {
	return decode(file, src, CookieDefaults(), (*Cookie).check)
}

func (s *Cookie) check(f *hujson.Findings) {
	if s.Name == "" {
		f.Add("Name", "is missing")
	}
	if s.Zone == "" {
		f.Add("Zone", "is missing")
	}
	if _, ok := s.Regions[s.Zone]; len(s.Regions) > 0 && !ok {
		f.Add("Regions", "has no entry for the daemon's own zone %q", s.Zone)
	}
	checkAddress(f, "DataAddress", s.DataAddress)
	if !s.DataAddress.Addr().Is4() {
		f.Add("DataAddress", "is %q, want an IPv4 address: the packet format supports no other", s.DataAddress)
	}
	checkAddress(f, "ReadinessAddress", s.ReadinessAddress)
	checkAddress(f, "ControlAddress", s.ControlAddress)
	if s.AnnouncedAddress.IsValid() {
		checkAddress(f, "AnnouncedAddress", s.AnnouncedAddress)
	}
	checkAddress(f, "MetricsAddress", s.MetricsAddress)
	if u, err := url.Parse(s.Store); err != nil || u.Host == "" {
		f.Add("Store", "is %q, want a URL such as http://192.0.2.1:7080", s.Store)
	}
	for i, a := range s.Seeds {
		checkAddress(f, fmt.Sprintf("Seeds[%d]", i), a)
	}
	if n := len(s.Secret); n != 0 && n < minSecretBytes {
		f.Add("Secret", "has %d bytes, want at least %d or none", n, minSecretBytes)
	}
	for i, a := range s.AcceptedSecrets {
		if len(a) < minSecretBytes {
			f.Add(fmt.Sprintf("AcceptedSecrets[%d]", i), "has %d bytes, want at least %d", len(a), minSecretBytes)
		}
	}
	if s.CPUShare <= 0 || s.CPUShare > maxWorkers {
		f.Add("CPUShare", "is %v, want more than 0 and at most %d", s.CPUShare, maxWorkers)
	}
	checkDuration(f, "FlowLifetime", s.FlowLifetime, time.Second, 30*24*time.Hour)
	checkDuration(f, "Grace", s.Grace, 0, time.Hour)
	checkDuration(f, "Linger", s.Linger, 0, time.Duration(s.Grace))
	checkDuration(f, "WatchWait", s.WatchWait, 10*time.Millisecond, 30*time.Second)
	checkDuration(f, "ProbeTimeout", s.ProbeTimeout, 10*time.Millisecond, 10*time.Second)
	checkDuration(f, "ProbePeriod", s.ProbePeriod, 10*time.Millisecond, time.Minute)
	checkRange(f, "LogsPerSecond", s.LogsPerSecond, 1, 1_000_000)
	s.checkTerms(f)
}

// maxPlatformTerms bounds Cookie.PlatformTerms, which is searched at the start and at each change of
// the settings. It is far more than the platform has terms.
const maxPlatformTerms = 64

func (s *Cookie) checkTerms(f *hujson.Findings) {
	if n := len(s.PlatformTerms); n > maxPlatformTerms {
		f.Add("PlatformTerms", "has %d terms, want at most %d", n, maxPlatformTerms)
	}
	for i, t := range s.PlatformTerms {
		if t == "" {
			f.Add(fmt.Sprintf("PlatformTerms[%d]", i), "is empty")
		}
	}
}

// defaultLingerShare is the share of Grace for which a daemon continues to serve if Linger isn't
// set. The rest of Grace is for the shutdown itself, which takes milliseconds, on a host that is
// short of CPU time.
const defaultLingerShare = 0.75

// LingerLimit returns the maximum time for which a daemon continues to serve after SIGTERM.
func (s *Cookie) LingerLimit() time.Duration {
	if s.Linger > 0 {
		return time.Duration(s.Linger)
	}
	return time.Duration(defaultLingerShare * float64(s.Grace))
}

// Announced returns the control address that the daemon announces to other daemons.
func (s *Cookie) Announced() netip.AddrPort {
	if s.AnnouncedAddress.IsValid() {
		return s.AnnouncedAddress
	}
	return s.ControlAddress
}

// KnownRegions returns the regions of all zones, sorted and without duplicates.
func (s *Cookie) KnownRegions() []bundle.Region {
	return slices.Compact(slices.Sorted(maps.Values(s.Regions)))
}

// Print returns the settings as JSON without the secrets.
func (s Cookie) Print() []byte {
	s.Secret, s.AcceptedSecrets = nil, nil
	return printJSON(s)
}
