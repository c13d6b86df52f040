package emulator

import (
	"fmt"
	"io/fs"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/hujson"
)

// Pattern is a load with its disturbances, read from a file of JSON with comments.
type Pattern struct {
	Name string
	// Grounds states where the numbers come from.
	Grounds string
	// Length is the time during which callers start requests.
	Length   bundle.Duration
	Zones    []Zone
	Hosts    Hosts
	Delays   Delays
	Services []Service
	Classes  []Class
	Events   []Event
	// Admission says that hosts refuse new flows of less urgent classes while a service is short of
	// capacity.
	Admission bool
}

// Zone is an availability zone with its hosts and callers.
type Zone struct {
	Name bundle.Zone
	// Hosts is the number of balancers in the zone.
	Hosts int
	// Share is the zone's share of all requests, relative to the shares of the other zones.
	Share float64
	// Flows is the maximum number of long flows that the callers of the zone hold.
	Flows int
	// Callers is the number of addresses from which the zone's callers send. All attempts of a
	// request come from the same address. If it is zero, flows have addresses without a meaning,
	// and most share one.
	Callers int
}

// Hosts describes the speed of balancers.
type Hosts struct {
	// Packet is the time that a host needs to process one packet, with the share of a core that
	// the host has.
	Packet bundle.Duration
	// Start is the time from the start of a process until its sockets are open, Load the time
	// from then until it places flows. Packets that arrive during Load wait in the socket.
	Start, Load bundle.Duration
}

// Delays holds delays of the network and of the store.
type Delays struct {
	// Caller, Zone and Cross are one-way delays: between a caller and a host, within a zone and
	// between zones.
	Caller, Zone, Cross bundle.Duration
	// List is the minimum delay after which a host receives a changed registration. The maximum
	// is twice as long.
	List bundle.Duration
}

// Service is a service with its upstreams.
type Service struct {
	Name string
	// Upstreams is the number of upstreams in each zone, in the order of Pattern.Zones.
	Upstreams []int
	// Slots is the number of requests that an upstream processes concurrently, Queue the number
	// that may wait in addition. It sheds the rest.
	Slots, Queue int
	// Connections is how many flows an upstream holds, those that callers have abandoned included.
	// It resets further ones. The default is maxConnections.
	Connections int
	// IdleTimeout is how long an upstream holds an abandoned flow. The default is idleTimeout.
	IdleTimeout bundle.Duration
	// RejectionBytes is the length of the answer with which an upstream rejects a request. If it is
	// zero, callers don't acknowledge rejections, and hosts take the requests for open ones.
	RejectionBytes int
	// Warmup is how long an upstream is slow after its start, WarmupFactor by which factor its
	// processing time is longer then.
	Warmup       bundle.Duration
	WarmupFactor float64
}

// Class is a kind of request.
type Class struct {
	Name, Service string
	// PerSecond is the rate of requests of all callers together.
	PerSecond float64
	// Work is the mean processing time, Spread the standard deviation of its logarithm,
	// WorkAtMost its upper bound.
	Work       bundle.Duration
	Spread     float64
	WorkAtMost bundle.Duration
	// Objective is the time within which an answer is worth Worth. A later answer is worth Late.
	Objective   bundle.Duration
	Deadline    bundle.Duration
	Worth, Late float64
	// Retries is how often a caller retries a request.
	Retries int
	// Idempotent says that a request is retried after any failure. Other requests are retried
	// only if they certainly haven't run.
	Idempotent bool
	// Long says that requests share flows which stay open. Otherwise each request opens a flow of
	// its own.
	Long bool
	// Priority orders the classes of a service while it is short of capacity; 0 is the most urgent.
	Priority int
	// Abandons says that a caller whose request is rejected leaves the flow open without using it
	// again, and opens another for its next attempt.
	Abandons bool
	// RetryPause is the minimum time between a failed attempt and the next one. The maximum is twice
	// as long.
	RetryPause bundle.Duration
}

// EventKind names a disturbance.
type EventKind string

// The kinds of disturbance.
const (
	// EventHostsDown is a power loss of Share of the hosts. Each starts again after For and a
	// random part of Jitter.
	EventHostsDown EventKind = "HostsDown"
	// EventBurst multiplies the request rate of the callers of Zone, or of all zones, by Factor
	// during For: that of Class, or of all classes.
	EventBurst EventKind = "Burst"
	// EventShift makes Share of the callers of Zone send to zone To during For.
	EventShift EventKind = "Shift"
	// EventCrash makes Share of a service's upstreams silent during For, after which they start
	// again with the same identifiers. If For is zero, they stay silent.
	EventCrash EventKind = "Crash"
	// EventReplace replaces Share of a service's upstreams one after the other, at intervals of
	// Every: a new one starts and the old one drains.
	EventReplace EventKind = "Replace"
	// EventCut cuts Zone off from the other zones during For. Callers still reach it.
	EventCut EventKind = "Cut"
	// EventEvacuate evacuates Zone during For, or permanently if For is zero: it gets no new
	// flows. When the evacuation ends, the zone's upstreams are slow for the duration of their
	// warm-up.
	EventEvacuate EventKind = "Evacuate"
	// EventRemove makes Share of a service's upstreams drain at the same time, for good. At its end,
	// each resets the flows that are still open.
	EventRemove EventKind = "Remove"
	// EventPause stops the processes of Share of the hosts during For and a random part of Jitter.
	// Packets wait in their sockets.
	EventPause EventKind = "Pause"
)

var eventKinds = []EventKind{
	EventHostsDown, EventBurst, EventShift, EventCrash, EventReplace, EventCut, EventEvacuate, EventRemove, EventPause,
}

// Event is one disturbance.
type Event struct {
	At      bundle.Duration
	Kind    EventKind
	Zone    bundle.Zone
	To      bundle.Zone
	Service string
	Class   string
	Share   float64
	Factor  float64
	For     bundle.Duration
	Jitter  bundle.Duration
	Every   bundle.Duration
}

// ReadPattern reads a pattern from a file system and checks it. It returns all findings together
// as a *hujson.FindingsError.
func ReadPattern(files fs.FS, name string) (*Pattern, error) {
	src, err := fs.ReadFile(files, name)
	if err != nil {
		return nil, eris.Wrap(err, "pattern")
	}
	return DecodePattern(name, src)
}

// DecodePattern decodes a pattern and checks it. It returns all findings together as a
// *hujson.FindingsError.
func DecodePattern(file string, src []byte) (*Pattern, error) {
	p, f := hujson.Decode(file, src, Pattern{})
	p.check(f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return &p, nil
}

// Bounds of a pattern. A simulation within them fits in memory and takes well under a minute.
const (
	maxLength    = 10 * time.Minute
	maxHosts     = 2000
	maxPerSecond = 100_000
	// minIdleTimeout is the minimum that a bundle accepts.
	minIdleTimeout = time.Second
	// maxCallers is how many addresses a zone has in makeKey.
	maxCallers = 1 << 16
)

func (p *Pattern) check(f *hujson.Findings) {
	if p.Name == "" {
		f.Add("Name", "is missing")
	}
	if p.Grounds == "" {
		f.Add("Grounds", "is missing: state where the numbers come from")
	}
	if d := time.Duration(p.Length); d < time.Second || d > maxLength {
		f.Add("Length", "is %v, want 1s to %v", d, maxLength)
	}
	if len(p.Zones) == 0 {
		f.Add("Zones", "at least one zone is needed")
	}
	for i, z := range p.Zones {
		if z.Name == "" || z.Hosts < 1 || z.Hosts > maxHosts || z.Share < 0 {
			f.Add(fmt.Sprintf("Zones[%d]", i), "needs a name, 1 to %d hosts and a share that isn't negative", maxHosts)
		}
		if z.Callers < 0 || z.Callers > maxCallers {
			f.Add(fmt.Sprintf("Zones[%d].Callers", i), "is %d, want 0 to %d", z.Callers, maxCallers)
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
		f.Add(at, "needs at least one slot and a queue that isn't negative")
	}
	if s.Warmup > 0 && s.WarmupFactor < 1 {
		f.Add(at+".WarmupFactor", "is %v, want at least 1", s.WarmupFactor)
	}
	if s.Connections < 0 || s.RejectionBytes < 0 {
		f.Add(at, "needs connections and rejection bytes that aren't negative")
	}
	if d := time.Duration(s.IdleTimeout); d != 0 && d < minIdleTimeout {
		f.Add(at+".IdleTimeout", "is %v, want at least %v", d, minIdleTimeout)
	}
}

func (p *Pattern) checkClass(f *hujson.Findings, i int) {
	c, at := &p.Classes[i], fmt.Sprintf("Classes[%d]", i)
	if !slices.ContainsFunc(p.Services, func(s Service) bool { return s.Name == c.Service }) {
		f.Add(at+".Service", "is %q, which isn't one of the services", c.Service)
	}
	if c.PerSecond <= 0 || c.PerSecond > maxPerSecond {
		f.Add(at+".PerSecond", "is %v, want more than 0 and at most %d", c.PerSecond, maxPerSecond)
	}
	if c.Work <= 0 || c.Objective <= 0 || c.Deadline < c.Objective {
		f.Add(at, "needs a work time, an objective, and a deadline that isn't shorter than the objective")
	}
	if c.Retries < 0 || c.Worth <= 0 || c.Late < 0 {
		f.Add(at, "needs a positive worth, and retries and a late worth that aren't negative")
	}
	if c.Priority < 0 || c.Priority > peer.MaxClassPriority {
		f.Add(at+".Priority", "is %d, want 0 to %d", c.Priority, peer.MaxClassPriority)
	}
	if c.RetryPause < 0 {
		f.Add(at+".RetryPause", "is negative")
	}
}

func (p *Pattern) checkEvent(f *hujson.Findings, i int) {
	e, at := &p.Events[i], fmt.Sprintf("Events[%d]", i)
	if !slices.Contains(eventKinds, e.Kind) {
		f.Add(at+".Kind", "is %q, want one of %v", e.Kind, eventKinds)
	}
	if e.At < 0 || e.At > p.Length || e.For < 0 || e.Jitter < 0 || e.Every < 0 {
		f.Add(at, "needs a start within the pattern's length and no negative times")
	}
	for field, z := range map[string]bundle.Zone{"Zone": e.Zone, "To": e.To} {
		if z != "" && !slices.ContainsFunc(p.Zones, func(o Zone) bool { return o.Name == z }) {
			f.Add(at+"."+field, "is %q, which isn't one of the zones", z)
		}
	}
	if e.Service != "" && !slices.ContainsFunc(p.Services, func(s Service) bool { return s.Name == e.Service }) {
		f.Add(at+".Service", "is %q, which isn't one of the services", e.Service)
	}
	if e.Class != "" && !slices.ContainsFunc(p.Classes, func(c Class) bool { return c.Name == e.Class }) {
		f.Add(at+".Class", "is %q, which isn't one of the classes", e.Class)
	}
	if e.Class != "" && e.Kind != EventBurst {
		f.Add(at+".Class", "has no meaning for %s", e.Kind)
	}
	if e.Kind == EventRemove && e.For != 0 {
		f.Add(at+".For", "has no meaning for %s: upstreams leave for good", e.Kind)
	}
	if e.Share < 0 || e.Share > 1 {
		f.Add(at+".Share", "is %v, want 0 to 1", e.Share)
	}
}
