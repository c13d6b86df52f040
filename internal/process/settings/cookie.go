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

// Cookie are the settings of a daemon that carries flows by cookie.
type Cookie struct {
	// Name identifies the host across restarts.
	Name string
	Zone bundle.Zone
	// Regions holds the region of each zone. Without it, no bundle may bind a route to regions.
	Regions map[bundle.Zone]bundle.Region
	// DataAddress takes callers' packets (UDP). Answers go to callers at its port.
	DataAddress netip.AddrPort
	// ReadinessAddress tells routers whether to send packets here (HTTP).
	ReadinessAddress netip.AddrPort
	// ControlAddress takes messages of other daemons (UDP) and JSON-RPC 2.0 (TCP).
	ControlAddress netip.AddrPort
	// AnnouncedAddress is where other daemons reach ControlAddress, if that differs, as
	// behind address translation.
	AnnouncedAddress netip.AddrPort
	// MetricsAddress serves metrics (HTTP).
	MetricsAddress netip.AddrPort
	// Store is the URL of the platform's object store.
	Store string
	// Seeds are control addresses of other hosts. They may be out of date.
	Seeds []netip.AddrPort
	// Secret authenticates daemons to each other, at least 16 bytes in base64. If it
	// is empty, a key that is the same on all hosts is derived from Store: enough
	// against strays, not against attackers within the network.
	Secret []byte
	// AcceptedSecrets are read too, though nothing is written with them: the next Secret
	// before it is one, and the last one until no daemon writes with it any more.
	AcceptedSecrets []Secret
	// FirstStart says that the whole system starts for the first time: no callers wait for it, so
	// a daemon leaves it to others to read the store.
	FirstStart bool
	// CPUShare is the host's share of a core. Larger hosts read the store for others.
	CPUShare float64
	// FlowLifetime is how long a flow may live.
	FlowLifetime bundle.Duration
	// Grace is the time from SIGTERM to the end of the process, at most.
	Grace bundle.Duration
	// Linger is how long a daemon serves on after SIGTERM at most. It ends sooner
	// once routers have stopped sending to it. Zero takes a part of Grace.
	Linger bundle.Duration
	// WatchWait is how long one watch of the store waits for changes. A watch may
	// hear nothing while changes are made, so this is part of the time in which a
	// bundle or a drain is in force.
	WatchWait bundle.Duration
	// ProbeTimeout bounds one attempt to connect to an upstream that is doubted.
	ProbeTimeout bundle.Duration
	// ProbePeriod is the time between two membership probes.
	ProbePeriod bundle.Duration
	// LogsPerSecond bounds the lines that decisions about flows write.
	LogsPerSecond int
}

// Secret is a key in base64.
type Secret []byte

// UnmarshalText reads base64.
func (s *Secret) UnmarshalText(b []byte) error {
	v, err := base64.StdEncoding.DecodeString(string(b))
	*s = v
	return eris.Wrap(err, "want base64")
}

// CookieDefaults returns the settings of a daemon that is told nothing else.
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

// LoadCookie reads and checks a file. Problems of its content are returned
// together as a *hujson.FindingsError.
func LoadCookie(file string) (*Cookie, error) { return load(file, DecodeCookie) }

// DecodeCookie reads and checks src, which stands in file.
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
		f.Add("Regions", "doesn't have the own zone %q", s.Zone)
	}
	checkAddress(f, "DataAddress", s.DataAddress)
	if !s.DataAddress.Addr().Is4() {
		f.Add("DataAddress", "is %q, want an IPv4 address: packets carry no other", s.DataAddress)
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
}

// lingerPart is the part of Grace for which a daemon serves on if Linger isn't set. The
// rest is for its end, which takes milliseconds, on a host that is short of processor
// time.
const lingerPart = 0.75

// LingerLimit returns how long a daemon serves on after SIGTERM at most.
func (s *Cookie) LingerLimit() time.Duration {
	if s.Linger > 0 {
		return time.Duration(s.Linger)
	}
	return time.Duration(lingerPart * float64(s.Grace))
}

// Announced returns the control address that others are told.
func (s *Cookie) Announced() netip.AddrPort {
	if s.AnnouncedAddress.IsValid() {
		return s.AnnouncedAddress
	}
	return s.ControlAddress
}

// KnownRegions returns the regions of all zones, in order.
func (s *Cookie) KnownRegions() []bundle.Region {
	return slices.Compact(slices.Sorted(maps.Values(s.Regions)))
}

// Print returns the settings as JSON, the secrets left out.
func (s Cookie) Print() []byte {
	s.Secret, s.AcceptedSecrets = nil, nil
	return printJSON(s)
}
