// Package settings reads the settings of a daemon: JSON with comments, every
// value checked, all findings reported together.
package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/hujson"
)

// Settings are what one daemon is told at its start.
type Settings struct {
	// Name identifies the host across restarts.
	Name string
	Zone bundle.Zone
	// DataAddress takes Geneve packets (UDP).
	DataAddress netip.AddrPort
	// ControlAddress takes membership messages (UDP) and JSON-RPC 2.0 (TCP).
	ControlAddress netip.AddrPort
	// AdminAddress serves status, metrics and health (HTTP).
	AdminAddress netip.AddrPort
	// Platform is the URL of the platform's object service.
	Platform string
	// Seeds are control addresses of other hosts, asked beside the platform's list,
	// so that a new host finds the others while the platform is down.
	Seeds []netip.AddrPort
	// Fabrics are the addresses that bring callers' packets and take answers.
	Fabrics []netip.AddrPort
	// Secret authenticates daemons to each other, at least 16 bytes in base64.
	Secret []byte
	// Operators are trusted to approve bundles.
	Operators []bundle.Operator
	// Workers is how many goroutines handle packets.
	Workers int
	// BatchPackets is how many packets one system call moves at most.
	BatchPackets int
	// SocketBufferBytes is the size of each socket's buffers.
	SocketBufferBytes int
	// Lease is for how long the daemon may lose sight of its clock before it
	// asks others about its records.
	Lease bundle.Duration
	// ProbePeriod is the time between two membership probes.
	ProbePeriod bundle.Duration
	// HandoverPerSecond bounds the records told to other members each second.
	HandoverPerSecond int
	// LeaveTimeout bounds a graceful shutdown.
	LeaveTimeout bundle.Duration
	// LeaveLinger is how long a leaving daemon still takes packets that the
	// fabric sends it after all records were handed over.
	LeaveLinger bundle.Duration
	// Debug serves pprof and the list of blocked networks at the admin address.
	Debug bool
}

const (
	minSecretBytes = 16
	maxWorkers     = 256
	maxBatch       = 1024
)

// Defaults returns the settings of a daemon that is told nothing else.
func Defaults() Settings {
	return Settings{
		Workers:           2,
		BatchPackets:      64,
		SocketBufferBytes: 4 << 20,
		Lease:             bundle.Duration(time.Second),
		ProbePeriod:       bundle.Duration(250 * time.Millisecond),
		HandoverPerSecond: 5000,
		LeaveTimeout:      bundle.Duration(30 * time.Second),
		LeaveLinger:       bundle.Duration(2 * time.Second),
	}
}

// Load reads and checks a file. Problems of its content are returned together
// as a *hujson.FindingsError.
func Load(file string) (*Settings, error) { return load(file, Decode) }

// Decode reads and checks src, which stands in file.
func Decode(file string, src []byte) (*Settings, error) {
	return decode(file, src, Defaults(), (*Settings).check)
}

func load[T any](file string, decode func(string, []byte) (*T, error)) (*T, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	return decode(file, src)
}

func decode[T any](file string, src []byte, def T, check func(*T, *hujson.Findings)) (*T, error) {
	s, f := hujson.Decode(file, src, def)
	check(&s, f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

func (s *Settings) check(f *hujson.Findings) {
	if s.Name == "" {
		f.Add("Name", "is missing")
	}
	if s.Zone == "" {
		f.Add("Zone", "is missing")
	}
	checkAddress(f, "DataAddress", s.DataAddress)
	checkAddress(f, "ControlAddress", s.ControlAddress)
	checkAddress(f, "AdminAddress", s.AdminAddress)
	if u, err := url.Parse(s.Platform); err != nil || u.Host == "" {
		f.Add("Platform", "is %q, want a URL such as http://192.0.2.1:7080", s.Platform)
	}
	if len(s.Fabrics) == 0 {
		f.Add("Fabrics", "at least one address is needed")
	}
	for i, a := range s.Fabrics {
		checkAddress(f, fmt.Sprintf("Fabrics[%d]", i), a)
	}
	for i, a := range s.Seeds {
		checkAddress(f, fmt.Sprintf("Seeds[%d]", i), a)
	}
	if len(s.Secret) < minSecretBytes {
		f.Add("Secret", "has %d bytes, want at least %d", len(s.Secret), minSecretBytes)
	}
	if len(s.Operators) == 0 {
		f.Add("Operators", "at least one operator is needed")
	}
	checkRange(f, "Workers", s.Workers, 1, maxWorkers)
	checkRange(f, "BatchPackets", s.BatchPackets, 1, maxBatch)
	checkRange(f, "SocketBufferBytes", s.SocketBufferBytes, 1<<16, 1<<30)
	checkRange(f, "HandoverPerSecond", s.HandoverPerSecond, 1, 1_000_000)
	checkDuration(f, "Lease", s.Lease, 100*time.Millisecond, time.Minute)
	checkDuration(f, "ProbePeriod", s.ProbePeriod, 10*time.Millisecond, time.Minute)
	checkDuration(f, "LeaveTimeout", s.LeaveTimeout, 0, time.Hour)
	checkDuration(f, "LeaveLinger", s.LeaveLinger, 0, time.Hour)
}

func checkAddress(f *hujson.Findings, path string, a netip.AddrPort) {
	if !a.IsValid() || a.Port() == 0 {
		f.Add(path, "is %q, want an IP address and a port", a)
	}
}

func checkRange(f *hujson.Findings, path string, v, low, high int) {
	if v < low || v > high {
		f.Add(path, "is %d, want %d to %d", v, low, high)
	}
}

func checkDuration(f *hujson.Findings, path string, d bundle.Duration, low, high time.Duration) {
	if v := time.Duration(d); v < low || v > high {
		f.Add(path, "is %v, want %v to %v", v, low, high)
	}
}

// Print returns the settings as JSON, the secret left out.
func (s Settings) Print() []byte {
	s.Secret = nil
	return printJSON(s)
}

func printJSON(v any) []byte {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		panic(err) // All fields are of types that encode.
	}
	return b
}
