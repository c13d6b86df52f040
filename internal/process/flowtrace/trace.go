package flowtrace

import (
	"slices"
	"time"
)

// Trace is what logs tell of one flow.
type Trace struct {
	// Lines are those of the flow, and those around them that explain them, in the order
	// of time.
	Lines []Line
	// Meaning says what the last decision about the flow means, and where to look next.
	Meaning string
}

// around is how long before the first and after the last line of a flow other lines may
// explain it: a cut is noticed within a second, a dead upstream within two, and callers
// wait for three at most.
const around = 3 * time.Second

// ofHost are the messages that tell what a host was at.
var ofHost = []string{
	"Daemon started", "Leaving", "Left", "Ended",
	"Settings in force", "Settings refused", "Bundle in force", "Bundle refused",
	"Store lost", "Store regained", "Process was paused: first packets that waited are dropped",
}

// ofUpstream are the messages that tell what was found out of an upstream.
var ofUpstream = []string{"Upstream probed", "Upstream gets no new flows: too many requests fail"}

// Build puts the story of a flow together. caller is the caller's address and port.
func Build(lines []Line, caller string) Trace {
	flow := selectLines(lines, func(l *Line) bool { return l.Get("Caller") == caller })
	if len(flow) == 0 {
		return Trace{Meaning: "no line names this caller: its packets were of an established flow, which write none, " +
			"or reached no balancer whose log is here, or the line was left out (LeftOut, " +
			"fescueshed_log_lines_left_out_total); see whether a balancer of its zone started, left or stood still then"}
	}
	hosts, upstreams := named(flow)
	from, to := flow[0].Time.Add(-around), flow[len(flow)-1].Time.Add(around)
	all := selectLines(lines, func(l *Line) bool {
		switch {
		case l.Get("Caller") == caller:
			return true
		case l.Time.Before(from) || l.Time.After(to):
			return false
		case !hosts[l.Host]:
			return false // The hosts that decided wrote down what they knew.
		case slices.Contains(ofUpstream, l.Message):
			return upstreams[l.Get("ID")]
		}
		return slices.Contains(ofHost, l.Message)
	})
	last := &flow[len(flow)-1]
	return Trace{Lines: all, Meaning: meaning(last.Get("Cause"))}
}

// selectLines returns the lines for which f holds, in the order of time.
func selectLines(lines []Line, f func(l *Line) bool) []Line {
	var out []Line
	for i := range lines {
		if f(&lines[i]) {
			out = append(out, lines[i])
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// named returns the hosts that decided about a flow and the upstreams it was led to.
func named(flow []Line) (hosts, upstreams map[string]bool) {
	hosts, upstreams = make(map[string]bool), make(map[string]bool)
	for i := range flow {
		hosts[flow[i].Host] = true
		if id := flow[i].Get("ID"); id != "" {
			upstreams[id] = true
		}
	}
	return hosts, upstreams
}

// meanings are those of the causes, for an engineer on call.
var meanings = map[string]string{
	"Placed":        "the flow was placed and no balancer ended it: see what its upstream says of the request",
	"Spilled":       "the flow was placed in another zone, its own was crowded or had no upstream; a cut between them breaks it",
	"Repeated":      "a copy of the first packet went to the same upstream, which answered others: the first was lost",
	"Silent":        "a copy went to another upstream, since the first gave no sign of life",
	"Evacuated":     "a copy of the first packet came after the zone that it went to was evacuated; nothing has run for it there",
	"NoRoute":       "the bundle in force has no route for the address; nothing has run unless the flow was open before",
	"NoUpstream":    "no upstream of the service could take the flow; nothing has run",
	"Gone":          "the flow's upstream had left or crashed; whether an open request ran, only its log says",
	"Dead":          "the flow's upstream didn't answer, or another did at its address; its log says whether a request ran",
	"Restarted":     "the flow's upstream started again under its identifier and knew nothing of the flow",
	"UnknownCookie": "this balancer didn't know the flow's upstream yet or any more; it tells the caller after 3 s",
	"NoCookie":      "not a first packet, and it names no upstream: its first packet reached no balancer",
	"StaleOpen":     "a first packet waited while the process stood still; its caller sends copies",
	"Malformed":     "the bytes are no packet",
}

func meaning(cause string) string {
	if m, ok := meanings[cause]; ok {
		return m
	}
	return "the cause " + cause + " isn't known to this version"
}
