// Package settings reads the settings of a daemon from JSON with comments. It checks
// every value and reports all findings together.
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

// Settings holds the settings of a daemon that forwards Geneve packets. It reads them at
// its start.
type Settings struct {
	// Name identifies the host across restarts.
	Name string
	Zone bundle.Zone
	// DataAddress receives Geneve packets (UDP).
	DataAddress netip.AddrPort
	// ControlAddress receives membership messages (UDP) and JSON-RPC 2.0 (TCP).
	ControlAddress netip.AddrPort
	// AdminAddress serves status, metrics and health (HTTP).
	AdminAddress netip.AddrPort
	// Platform is the URL of the platform's object service.
	Platform string
	// Seeds are control addresses of other hosts. The daemon contacts them in addition to
	// the hosts listed by the platform, so that a new host finds the others while the
	// platform is down.
	Seeds []netip.AddrPort
	// Fabrics are the addresses of the fabric that sends callers' packets and receives the
	// responses.
	Fabrics []netip.AddrPort
	// Secret authenticates daemons to each other. It has at least 16 bytes, in base64.
	Secret []byte
	// Operators are trusted to approve bundles.
	Operators []bundle.Operator
	// Workers is the number of goroutines that handle packets.
	Workers int
	// BatchPackets is the maximum number of packets per system call.
	BatchPackets int
	// SocketBufferBytes is the size of each socket's buffers.
	SocketBufferBytes int
	// Lease is how long the daemon may run without checking the clock before it must
	// ask other members to confirm its records.
	Lease bundle.Duration
	// ProbePeriod is the time between two membership probes.
	ProbePeriod bundle.Duration
	// HandoverPerSecond limits the records that the daemon sends to other members per second.
	HandoverPerSecond int
	// LeaveTimeout is the maximum time of a graceful shutdown.
	LeaveTimeout bundle.Duration
	// LeaveLinger is how long a leaving daemon continues to receive packets from the
	// fabric after it has handed over all its records.
	LeaveLinger bundle.Duration
	// Debug enables pprof and the list of blocked networks at the admin address.
	Debug bool
}

const (
	minSecretBytes = 16
	maxWorkers     = 256
	maxBatch       = 1024
)

// Defaults returns the default settings of a daemon that forwards Geneve packets.
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

// Load reads and checks the settings in file. All problems of the content are returned
// together as a *hujson.FindingsError.
func Load(file string) (*Settings, error) { return load(file, Decode) }

// Decode decodes and checks src, the content of file. Errors name file.
func Decode(file string, src []byte) (*Settings, error) {
	return decode(file, src, Defaults(), (*Settings).check)
}

func load[T any](file string, decode func(string, []byte) (*T, error)) (*T, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "settings: read file")
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

// Print returns the settings as JSON without the secret.
func (s Settings) Print() []byte {
	s.Secret = nil
	return printJSON(s)
}

func printJSON(v any) []byte {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		panic(err) // All fields have types that can be encoded as JSON.
	}
	return b
}
