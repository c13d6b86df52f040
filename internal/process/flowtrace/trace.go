package flowtrace

import (
	"fmt"
	"slices"
	"time"
)

// Trace is what the logs say about one flow.
type Trace struct {
	// Lines are the log lines about the flow, and others at about the same time that help to
	// explain them, sorted by time.
	Lines []Line
	// Meaning says what the last decision about the flow means, and where to look next.
	Meaning string
}

// contextWindow is how long before the first and after the last line of a flow other lines may
// help to explain it: a network partition is detected within a second, a dead upstream within
// two, and callers wait for at most three.
const contextWindow = 3 * time.Second

// hostMessages are the messages about the state of a host.
var hostMessages = []string{
	"Daemon started", "Leaving", "Left", "Ended",
	"Settings in force", "Settings refused", "Bundle in force", "Bundle refused",
	"Service is short of capacity", "Service has capacity again",
	"Store lost", "Store regained", "Process was paused: first packets that waited are dropped",
}

// upstreamMessages are the messages about the state of an upstream.
var upstreamMessages = []string{"Upstream probed", "Upstream gets no new flows: too many requests fail"}

// Build builds the trace of a flow from lines. caller is the address and port of the flow's caller.
func Build(lines []Line, caller string) Trace {
	flow := selectLines(lines, func(l *Line) bool { return l.Get("Caller") == caller })
	if len(flow) == 0 {
		return Trace{Meaning: "no line names this caller: its packets belonged to an established flow, which isn't logged, " +
			"or reached no balancer whose log was given, or the line was left out by the rate limit (LeftOut, " +
			"fescueshed_log_lines_left_out_total); check whether a balancer of its zone started, left or was paused then"}
	}
	hosts, upstreams := hostsAndUpstreams(flow)
	from, to := flow[0].Time.Add(-contextWindow), flow[len(flow)-1].Time.Add(contextWindow)
	all := selectLines(lines, func(l *Line) bool {
		switch {
		case l.Get("Caller") == caller:
			return true
		case l.Time.Before(from) || l.Time.After(to):
			return false
		case !hosts[l.Host]:
			return false // Only hosts that made decisions about the flow matter: their logs say what they knew.
		case slices.Contains(upstreamMessages, l.Message):
			return upstreams[l.Get("ID")]
		}
		return slices.Contains(hostMessages, l.Message)
	})
	last := &flow[len(flow)-1]
	return Trace{Lines: all, Meaning: causeMeaning(last.Get("Cause")) + admissionInputs(last)}
}

// selectLines returns the lines for which f returns true, sorted by time.
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

// hostsAndUpstreams returns the hosts that made decisions about a flow and the IDs of the upstreams
// that its lines name.
func hostsAndUpstreams(flow []Line) (hosts, upstreams map[string]bool) {
	hosts, upstreams = make(map[string]bool), make(map[string]bool)
	for i := range flow {
		hosts[flow[i].Host] = true
		if id := flow[i].Get("ID"); id != "" {
			upstreams[id] = true
		}
	}
	return hosts, upstreams
}

// causeMeanings explains each cause to an engineer on call.
var causeMeanings = map[string]string{
	"Placed":    "the flow was placed and no balancer ended it: check what its upstream's log says about the request",
	"Spilled":   "the flow went to another zone: its own was at capacity or had no upstream; a partition between them breaks it",
	"Repeated":  "a copy of the first packet went to the same upstream, which answered other callers: the first was lost",
	"Silent":    "a copy of the first packet went to another upstream, since the first upstream showed no sign of life",
	"Evacuated": "a copy of the first packet came after the zone that it went to was evacuated; no request has run for it there",
	"NoRoute":   "the bundle in force has no route for the address; no request has run unless the flow was open before",
	"RouteUnknown": "the bundle in force had no route for the address, but another host may have had one: an open flow went on by " +
		"its cookie, a first packet was dropped until the newer bundle arrives",
	"NoUpstream":    "no upstream of the service could take the flow; no request has run",
	"Gone":          "the flow's upstream had deregistered or crashed; only its log says whether an open request ran",
	"Dead":          "the flow's upstream didn't answer, or something else did at its address; its log says whether a request ran",
	"Restarted":     "the flow's upstream restarted under the same identifier and had no state of the flow",
	"UnknownCookie": "this balancer didn't know the flow's upstream yet, or no longer; it resets the flow after 3 s",
	"Ambiguous":     "two upstreams may have got its first packet: other hosts were asked at which one it opened; the packet waited",
	"NoCookie":      "the packet isn't a first packet and names no upstream: the flow's first packet reached no balancer",
	"StaleOpen":     "a first packet waited while the process was paused; its caller sends copies",
	"Overload": "the flow's service was short of capacity and its caller wasn't in the share of its priority's callers that " +
		"was admitted then; the flow wasn't opened, no request has run",
	"Malformed": "the bytes aren't a valid packet",
}

func causeMeaning(cause string) string {
	if m, ok := causeMeanings[cause]; ok {
		return m
	}
	return "the cause " + cause + " isn't known to this version"
}

// updateLifetime is how long balancers use the sum of the zones' counts for admission control
// (docs/design/008-admission.md). After that, only what a host itself observes counts.
const updateLifetime = 3 * time.Second

// admissionInputs describes the inputs of the decision to refuse a flow and their age. It is empty for
// a line without them.
func admissionInputs(l *Line) string {
	age, err := time.ParseDuration(l.Get("Age"))
	if l.Get("Cause") != "Overload" || err != nil {
		return ""
	}
	out := fmt.Sprintf("; decided on %s at utilization %s (requests per slot) and share %s, ",
		l.Host, l.Get("Utilization"), l.Get("Share"))
	if age > updateLifetime {
		return out + fmt.Sprintf("by this host's own last answers alone: it had no sum of all balancers' counts for %s, "+
			"check whether it was cut off from its zone", age)
	}
	return out + fmt.Sprintf("from a sum of all balancers' counts that was %s old", age)
}
