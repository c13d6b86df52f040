package world

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/process/flowtrace"
	"github.com/fescueshed/fescueshed/internal/standin/flows"
)

// Priorities of the routes with admission control.
const (
	urgentPriority = 1
	otherPriority  = 2
)

const (
	// shortageLength is the time from the start of a shortage until upstreams come back. It is longer than their
	// drain of 4 s, so that they are away for a while.
	shortageLength = 6 * time.Second
	// refusalsEnd is the time after the end of a shortage in which flows may still be refused: the users' bound of two
	// seconds and a second for the upstreams to register.
	refusalsEnd = 3 * time.Second
	// minRefusals is the number of refusals from which the shares of the classes are compared. Fewer may hit a class
	// by chance: a refused caller tries three times.
	minRefusals = 30
)

// shortage is a time in which the feed service has too few upstreams.
type shortage struct{ from, until time.Time }

// BeginShortage makes all upstreams of the feed service drain and leave but one. As many start after shortageLength.
// BeginShortage returns the number of upstreams that leave. It does nothing without admission control, or if a shortage
// lasts already.
func (w *World) BeginShortage() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if n := len(w.shortages); !w.opts.Admission || n > 0 && now.Before(w.shortages[n-1].until) {
		return 0
	}
	var serving []*Upstream
	for _, s := range w.upstreams {
		if s.Service == ServiceFeed && s.drainedAt.IsZero() {
			serving = append(serving, s)
		}
	}
	if len(serving) < 2 {
		return 0
	}
	w.shortages = append(w.shortages, shortage{from: now, until: now.Add(shortageLength)})
	stays := w.rng.IntN(len(serving))
	leaving := append(serving[:stays:stays], serving[stays+1:]...)
	for _, s := range leaving {
		w.drain(s)
	}
	time.AfterFunc(shortageLength, func() {
		for _, s := range leaving {
			_ = w.AddUpstream(s.Service, string(s.Zone), netip.AddrPort{}) // Fails only for want of sockets.
		}
	})
	return len(leaving)
}

// Refusals counts the attempts to open a flow of a class in shortages, and those that were refused.
type Refusals struct{ Attempts, Refused int }

// share returns the part of the attempts that was refused.
func (r Refusals) share() float64 { return float64(r.Refused) / float64(max(1, r.Attempts)) }

// CountRefusals returns what the callers of the feed service saw in shortages: the urgent ones, and the others. stats
// are those of RunCallers.
func (w *World) CountRefusals(stats []flows.CallerStats) (urgent, others Refusals) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range stats {
		r := &others
		switch w.callerOptions(i).Service {
		case urgentAddress:
			r = &urgent
		case sheetsAddress:
			continue
		}
		for _, o := range stats[i].Opens {
			if !w.isShort(o.At, 0) {
				continue
			}
			r.Attempts++
			if o.Refused {
				r.Refused++
			}
		}
	}
	return urgent, others
}

// isShort reports whether a time lies in a shortage or up to the time grace after it. w.mu must be held.
func (w *World) isShort(at time.Time, grace time.Duration) bool {
	for _, s := range w.shortages {
		if !at.Before(s.from) && !at.After(s.until.Add(grace)) {
			return true
		}
	}
	return false
}

// countOverload returns the attempts in shortages with the refusals that balancers logged. Callers can't tell those from
// resets for want of any upstream, which other faults cause.
func (w *World) countOverload(refused []flowtrace.Line, stats []flows.CallerStats) (urgent, others Refusals) {
	urgent, others = w.CountRefusals(stats)
	urgent.Refused, others.Refused = 0, 0
	for i := range refused {
		switch refused[i].Get("To") {
		case urgentAddress.String():
			urgent.Refused++
		case sheetsAddress.String():
		default:
			others.Refused++
		}
	}
	return urgent, others
}

// AdmissionViolations describes the violated guarantees of admission control, by the balancers' logs and what callers
// and upstreams saw: refused flows that were opened, refusals while upstreams are idle, and more refusals of urgent
// callers than of the others.
func (w *World) AdmissionViolations(stats []flows.CallerStats) ([]string, error) {
	refused, err := w.loggedRefusals()
	if err != nil {
		return nil, err
	}
	var out []string
	if len(refused) >= minRefusals {
		urgent, others := w.countOverload(refused, stats)
		if urgent.share() >= others.share() {
			out = append(out, fmt.Sprintf("in a shortage, %+v of urgent callers and %+v of the others", urgent, others))
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range refused {
		r := &refused[i]
		at := r.Time.Format("15:04:05.000")
		if !w.mayRefuse(r) {
			out = append(out, fmt.Sprintf("%s: %s refused flow %s to %s while upstreams are idle",
				at, r.Host, r.Get("Caller"), r.Get("To")))
		}
		if caller, err := netip.ParseAddrPort(r.Get("Caller")); err != nil || w.wasOpened(caller) {
			out = append(out, fmt.Sprintf("%s: flow %s, which %s refused, was opened at an upstream", at, r.Get("Caller"), r.Host))
		}
	}
	return out, nil
}

// mayRefuse reports whether the feed service was short of capacity when a flow was refused. After a shortage, balancers
// that other faults affect may learn later that upstreams are back. w.mu must be held.
func (w *World) mayRefuse(r *flowtrace.Line) bool {
	if r.Get("To") == sheetsAddress.String() || len(w.shortages) == 0 || r.Time.Before(w.shortages[0].from) {
		return false
	}
	return w.isShort(r.Time, refusalsEnd) || !w.boundsHold(r.Time)
}

// wasOpened reports whether the flow of a caller's address was opened at any upstream. w.mu must be held.
func (w *World) wasOpened(caller netip.AddrPort) bool {
	for _, list := range [][]*Upstream{w.upstreams, w.removed} {
		for _, s := range list {
			if s.Opened(caller) {
				return true
			}
		}
	}
	return false
}

// loggedRefusals returns the lines of the balancers' logs about flows that were refused for want of capacity.
func (w *World) loggedRefusals() ([]flowtrace.Line, error) {
	var out []flowtrace.Line
	for _, h := range w.Hosts {
		f, err := os.Open(filepath.Join(w.logs, h.Name+".log"))
		if err != nil {
			return nil, eris.Wrap(err, "world: log")
		}
		lines, err := flowtrace.Parse(f, h.Name)
		_ = f.Close()
		if err != nil {
			return nil, eris.Wrap(err, "world: log")
		}
		for i := range lines {
			if l := &lines[i]; l.Get("Cause") == "Overload" {
				t := l.Time // Without a year and a time zone.
				l.Time = time.Date(time.Now().Year(), t.Month(), t.Day(), t.Hour(), t.Minute(), t.Second(), t.Nanosecond(), time.Local)
				out = append(out, *l)
			}
		}
	}
	return out, nil
}
