package emulator

import (
	"fmt"
	"io/fs"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/hujson"
)

// Pattern is a load with its disturbances, read from a file of JSON with comments.
type Pattern struct {
	Name string
	// Grounds says where the figures come from.
	Grounds string
	// Length is how long requests are asked.
	Length   bundle.Duration
	Zones    []Zone
	Hosts    Hosts
	Delays   Delays
	Services []Service
	Classes  []Class
	Events   []Event
}

// Zone is an availability zone with its hosts and callers.
type Zone struct {
	Name bundle.Zone
	// Hosts is how many balancers it has.
	Hosts int
	// Share is its part of all requests, relative to the other zones' parts.
	Share float64
	// Flows is how many long flows its callers hold at most.
	Flows int
}

// Hosts says how balancers work.
type Hosts struct {
	// Packet is the processor time of one packet, as long as it takes on the host's share.
	Packet bundle.Duration
	// Start is how long a process takes until its sockets are open, Load how long then until
	// it places flows. Packets wait in the socket meanwhile.
	Start, Load bundle.Duration
}

// Delays are times on the way.
type Delays struct {
	// Caller, Zone and Cross are one way, between a caller and a host, within a zone and
	// between zones.
	Caller, Zone, Cross bundle.Duration
	// List is how long a change of the list takes to each host, at most twice as long.
	List bundle.Duration
}

// Service is a service with its upstreams.
type Service struct {
	Name string
	// Upstreams is how many each zone has, in the order of Zones.
	Upstreams []int
	// Slots is how many requests an upstream works on at once, Queue how many more wait
	// there; it sheds the rest.
	Slots, Queue int
	// Warmup is how long an upstream is slow after its start, WarmupFactor how much.
	Warmup       bundle.Duration
	WarmupFactor float64
}

// Class is a kind of request.
type Class struct {
	Name, Service string
	// PerSecond is how many all callers ask.
	PerSecond float64
	// Work is the mean time of work, Spread the deviation of its logarithm, WorkAtMost its
	// bound.
	Work       bundle.Duration
	Spread     float64
	WorkAtMost bundle.Duration
	// Objective is the time within which an answer is worth Worth; later it is worth Late.
	Objective   bundle.Duration
	Deadline    bundle.Duration
	Worth, Late float64
	// Retries is how often a caller tries again.
	Retries int
	// Idempotent requests are tried again after any failure, others only if they surely
	// haven't run.
	Idempotent bool
	// Long requests share flows that stay open; others open one each.
	Long bool
}

// EventKind names a disturbance.
type EventKind string

// The kinds of disturbance.
const (
	// EventHostsDown: Share of the hosts lose power For a time. They start again up to
	// Jitter later, each at its own moment.
	EventHostsDown EventKind = "HostsDown"
	// EventBurst: callers of Zone, or all, ask Factor times as much For a time.
	EventBurst EventKind = "Burst"
	// EventShift: Share of the callers of Zone ask in zone To For a time.
	EventShift EventKind = "Shift"
	// EventCrash: Share of a service's upstreams fall silent For a time, and then start again
	// under their identifiers; for good if For is zero.
	EventCrash EventKind = "Crash"
	// EventReplace: Share of a service's upstreams are replaced one after the other, Every so
	// often: a new one starts, the old one drains.
	EventReplace EventKind = "Replace"
	// EventCut: Zone is cut off from the other zones For a time; callers reach it.
	EventCut EventKind = "Cut"
	// EventEvacuate: Zone gets no new flow For a time, or for good if For is zero. Its upstreams are slow for their
	// warm-up when it is taken back.
	EventEvacuate EventKind = "Evacuate"
)

var eventKinds = []EventKind{EventHostsDown, EventBurst, EventShift, EventCrash, EventReplace, EventCut, EventEvacuate}

// Event is one disturbance.
type Event struct {
	At      bundle.Duration
	Kind    EventKind
	Zone    bundle.Zone
	To      bundle.Zone
	Service string
	Share   float64
	Factor  float64
	For     bundle.Duration
	Jitter  bundle.Duration
	Every   bundle.Duration
}

// ReadPattern reads a pattern from a file system. Its findings are returned together as a
// *hujson.FindingsError.
func ReadPattern(files fs.FS, name string) (*Pattern, error) {
	src, err := fs.ReadFile(files, name)
	if err != nil {
		return nil, eris.Wrap(err, "pattern")
	}
	return DecodePattern(name, src)
}

// DecodePattern decodes a pattern and checks it.
func DecodePattern(file string, src []byte) (*Pattern, error) {
	p, f := hujson.Decode(file, src, Pattern{})
	p.check(f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return &p, nil
}

// Bounds of a pattern: what a play in memory takes well under a minute for.
const (
	maxLength    = 10 * time.Minute
	maxHosts     = 2000
	maxPerSecond = 100_000
)

func (p *Pattern) check(f *hujson.Findings) {
	if p.Name == "" {
		f.Add("Name", "is missing")
	}
	if p.Grounds == "" {
		f.Add("Grounds", "is missing: say where the figures come from")
	}
	if d := time.Duration(p.Length); d < time.Second || d > maxLength {
		f.Add("Length", "is %v, want 1s to %v", d, maxLength)
	}
	if len(p.Zones) == 0 {
		f.Add("Zones", "at least one zone is needed")
	}
	for i, z := range p.Zones {
		if z.Name == "" || z.Hosts < 1 || z.Hosts > maxHosts || z.Share < 0 {
			f.Add(fmt.Sprintf("Zones[%d]", i), "wants a name, 1 to %d hosts and a share", maxHosts)
		}
	}
	for i := range p.Services {
		p.checkService(f, i)
	}
	for i := range p.Classes {
		p.checkClass(f, i)
	}
	for i := range p.Events {
		p.checkEvent(f, i)
	}
}

func (p *Pattern) checkService(f *hujson.Findings, i int) {
	s, at := &p.Services[i], fmt.Sprintf("Services[%d]", i)
	if s.Name == "" {
		f.Add(at+".Name", "is missing")
	}
	if len(s.Upstreams) != len(p.Zones) {
		f.Add(at+".Upstreams", "has %d numbers, want one for each of %d zones", len(s.Upstreams), len(p.Zones))
	}
	if s.Slots < 1 || s.Queue < 0 {
		f.Add(at, "wants at least one slot and no negative queue")
	}
	if s.Warmup > 0 && s.WarmupFactor < 1 {
		f.Add(at+".WarmupFactor", "is %v, want at least 1", s.WarmupFactor)
	}
}

func (p *Pattern) checkClass(f *hujson.Findings, i int) {
	c, at := &p.Classes[i], fmt.Sprintf("Classes[%d]", i)
	if !slices.ContainsFunc(p.Services, func(s Service) bool { return s.Name == c.Service }) {
		f.Add(at+".Service", "is %q, which isn't among the services", c.Service)
	}
	if c.PerSecond <= 0 || c.PerSecond > maxPerSecond {
		f.Add(at+".PerSecond", "is %v, want more than 0 and at most %d", c.PerSecond, maxPerSecond)
	}
	if c.Work <= 0 || c.Objective <= 0 || c.Deadline < c.Objective {
		f.Add(at, "wants times of work and objective, and a deadline that isn't before the objective")
	}
	if c.Retries < 0 || c.Worth <= 0 || c.Late < 0 {
		f.Add(at, "wants a worth and no negative numbers")
	}
}

func (p *Pattern) checkEvent(f *hujson.Findings, i int) {
	e, at := &p.Events[i], fmt.Sprintf("Events[%d]", i)
	if !slices.Contains(eventKinds, e.Kind) {
		f.Add(at+".Kind", "is %q, want one of %v", e.Kind, eventKinds)
	}
	if e.At < 0 || e.At > p.Length || e.For < 0 || e.Jitter < 0 || e.Every < 0 {
		f.Add(at, "wants times within the pattern's length")
	}
	for field, z := range map[string]bundle.Zone{"Zone": e.Zone, "To": e.To} {
		if z != "" && !slices.ContainsFunc(p.Zones, func(o Zone) bool { return o.Name == z }) {
			f.Add(at+"."+field, "is %q, which isn't among the zones", z)
		}
	}
	if e.Service != "" && !slices.ContainsFunc(p.Services, func(s Service) bool { return s.Name == e.Service }) {
		f.Add(at+".Service", "is %q, which isn't among the services", e.Service)
	}
	if e.Share < 0 || e.Share > 1 {
		f.Add(at+".Share", "is %v, want 0 to 1", e.Share)
	}
}
