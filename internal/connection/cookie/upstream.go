package cookie

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// Health is this balancer's own view of an upstream, besides its registration.
type Health uint8

// The health states.
const (
	HealthGood Health = iota
	// HealthSuspect: packets went unanswered, so the upstream gets no new flow, unless there is no
	// better choice, until a probe or a packet shows that it is alive.
	HealthSuspect
	// HealthDead: a probe was refused or answered by another upstream, two probes went unanswered,
	// or the upstream fell silent together with others of its zone (see Engine.ProbePending). If
	// the upstream drains, it is dead only after it refused two probes in a row. The flows of a dead
	// upstream are reset.
	HealthDead
)

var healthNames = [...]string{"Good", "Suspect", "Dead"}

// String returns the name of the state.
func (h Health) String() string { return healthNames[h] }

// Times and bounds of the detection of dead upstreams.
const (
	// aliveTTL is how long a sign of life counts. It is more than the 200 ms after which callers
	// retransmit a packet, so that one lost packet makes no upstream a suspect whose other flows go
	// on.
	aliveTTL = 250 * time.Millisecond
	// probeAnswerTTL is how long an answered probe protects an upstream from being suspected again:
	// a busy upstream leaves packets unanswered for a while without being dead.
	probeAnswerTTL = time.Second
	// reprobeInterval is the time between probes of an upstream that is dead or deregistered.
	reprobeInterval = time.Second
	// inconclusiveRetry is the time until the next probe or check after one that showed nothing.
	inconclusiveRetry = 250 * time.Millisecond
	// drainReprobeDelay is the time between the two refusals that show a draining upstream to be
	// dead. A draining upstream closes its health port, and may be deregistered, some milliseconds
	// before it ends its flows; a reset in between would cut off a flow that is still served.
	drainReprobeDelay = 300 * time.Millisecond
	// maxTimeouts is how many probes in a row must time out before an upstream is dead: a single
	// connection attempt may be lost on the way.
	maxTimeouts = 2
	// secondProbeDelay is when the second attempt begins if the first is still unanswered, unless
	// the first is reported as pending sooner (see Engine.ProbePending). A live upstream accepts
	// within milliseconds, so the second attempt costs nothing there; if the two ran one after the
	// other, callers of a crashed upstream would wait longer.
	secondProbeDelay = 100 * time.Millisecond
)

// Upstream is an upstream with what this balancer observed of it. It belongs to the engine; other
// packages may only read Route and Cookie. The engine never changes the route to which Route points:
// if the registration or the bundle changes, it sets Route to a new one.
type Upstream struct {
	Route  *bundle.UpstreamRoute
	Cookie Cookie
	load   *upstream.Load
	// index finds the upstream by its state; positions are its places in the sets there. pool is the
	// one that it is registered in, nil while it isn't registered.
	index     *index
	positions [numSets]int32
	pool      *pool
	// zoneHealth is the state of the path to its zone.
	zoneHealth *zoneHealth
	// registration is the latest usable registration. Its Unusable is set if the present one can't
	// be used.
	registration registry.Registration
	// incarnationSeen is when the registration of the present incarnation was received, zero if no
	// restart was seen.
	incarnationSeen time.Time
	// warmingUntil is when the upstream is no longer slow after its start. sendTimes holds when it
	// got new flows before that.
	warmingUntil time.Time
	sendTimes    sendTimes
	// registered is set while the upstream is registered; deregisteredAt is since when it isn't.
	registered     bool
	deregisteredAt time.Time
	// onlyDeregistered is set if nothing but the end of its registration made it a suspect. If every
	// host probed each upstream whose entry lapsed and is back, that would be hosts times upstreams.
	onlyDeregistered bool
	// mismatched is the present registration if it names a service that the bundle doesn't name, and
	// the upstream isn't known as one of that service.
	mismatched *registry.Registration
	// shadowed is set if an older upstream has the same cookie. The upstream gets no flow: packets
	// of the two couldn't be told apart.
	shadowed bool

	health Health
	// flowRecords is the number of flow records with this upstream.
	flowRecords int
	// lastSeen is the time of the last sign of life, probeAnswered that of the last answered probe.
	lastSeen, probeAnswered time.Time
	// probesInFlight is the number of probes under way. The last one was sent at lastProbe.
	probesInFlight int
	lastProbe      time.Time
	// unaccepted is how many probes were reported as pending, see Engine.ProbePending, since the
	// upstream became a suspect or a probe showed nothing. nextProbe is the earliest time of the
	// next probe, timeouts how many probes in a row timed out.
	unaccepted int
	nextProbe  time.Time
	timeouts   int
	// outcomes are those of requests that passed this balancer. Until ejectedUntil, the upstream
	// gets no new flow, since too many requests failed there over the whole zone. ejections is the
	// number of its ejections, maxEjectSteps at most.
	outcomes     outcomes
	ejectedUntil time.Time
	ejections    int
	// foundDeadAt is when the upstream was last found dead.
	foundDeadAt time.Time
	// refusedOnce is set if the last probe of a draining upstream was refused.
	refusedOnce bool
}

// acceptsFlows reports whether a new flow may be placed at the upstream: it is usable and not
// ejected.
func (u *Upstream) acceptsFlows(now time.Time) bool {
	return !now.Before(u.ejectedUntil) && u.usable()
}

// isDeadFindingStale reports whether the upstream may have started again since it was found dead. A registered one is probed
// all the while, one that isn't registered only while flows lead to it.
func (u *Upstream) isDeadFindingStale(now time.Time) bool {
	return !u.registered && now.Sub(u.foundDeadAt) >= reprobeInterval
}

// hasUsableRegistration reports whether the upstream is registered by an entry that can be used.
func (u *Upstream) hasUsableRegistration() bool {
	return u.registered && !u.registration.Unusable && u.mismatched == nil
}

// usable reports whether the upstream takes new flows, regardless of how many of its requests
// failed.
func (u *Upstream) usable() bool {
	return u.hasUsableRegistration() && !u.Route.Drain && !u.shadowed && u.health == HealthGood
}

// markAlive notes a sign of life: a caller acknowledged data that only this upstream can have sent.
func (u *Upstream) markAlive(now time.Time) {
	u.lastSeen = now
	if u.health != HealthGood {
		u.timeouts = 0
		u.setHealth(HealthGood)
	}
}

// silent reports whether the upstream has neither shown a sign of life nor answered a probe lately.
func (u *Upstream) silent(now time.Time) bool {
	return now.Sub(u.lastSeen) >= aliveTTL && now.Sub(u.probeAnswered) >= probeAnswerTTL
}

// suspect makes the upstream a suspect and requests an immediate probe.
func (u *Upstream) suspect(now time.Time) {
	u.nextProbe = now
	u.timeouts, u.refusedOnce, u.unaccepted, u.onlyDeregistered = 0, false, 0, false
	u.setHealth(HealthSuspect)
}

// setService replaces the service that the upstream's route refers to.
func (u *Upstream) setService(s *bundle.ServiceRoute) {
	route := *u.Route
	route.Service, route.Connections = s, s.Connections
	u.Route = &route
}

// hasCapacity reports whether the upstream may be given one more flow.
func (u *Upstream) hasCapacity() bool {
	return !u.Route.Drain && u.load.Total() < int64(u.Route.Connections)
}

func (u *Upstream) setHealth(h Health) {
	u.health = h
	u.index.update(u)
}

// addFlowRecords adds n flow records, or removes them if n is negative.
func (u *Upstream) addFlowRecords(n int) {
	before := u.flowRecords
	u.flowRecords += n
	if before == 0 || u.flowRecords == 0 {
		u.index.update(u)
	}
}

// addFlows adds n flows to the load, or removes them if n is negative.
func (u *Upstream) addFlows(n int64) {
	u.load.Flows.Add(n)
	u.markActive()
	if u.has(setUsable) {
		u.pool.flows += n
	}
	if n < 0 && u.pool != nil {
		u.pool.clearExhausted()
	}
}

// markActive makes the upstream's counts part of the next report.
func (u *Upstream) markActive() { u.index.active.put(u, true) }

// inDoubt reports whether the upstream is probed once its next probe is due: a registered one until
// a sign of life clears it, one that is no longer registered while flows lead to it.
func (u *Upstream) inDoubt() bool {
	if u.registered {
		return u.health != HealthGood
	}
	return u.flowRecords > 0
}

// probeDue reports whether a probe is to be sent now.
func (u *Upstream) probeDue(now time.Time) bool {
	switch {
	case u.probesInFlight == 1:
		late := u.unaccepted == 1 || now.Sub(u.lastProbe) >= secondProbeDelay
		return u.health == HealthSuspect && u.timeouts == 0 && late
	case u.probesInFlight > 0 || now.Before(u.nextProbe):
		return false
	}
	return u.inDoubt()
}

// ProbeResult is the result of a probe of an upstream.
type ProbeResult uint8

// The results of a probe.
const (
	// ProbeAlive: the upstream answered with its own identifier, or the connection was accepted and
	// nothing shows that it is another upstream.
	ProbeAlive ProbeResult = iota
	// ProbeOther: an upstream with another identifier answered at the address.
	ProbeOther
	// ProbeRefused: nothing listens at the address.
	ProbeRefused
	// ProbeTimeout: the connection wasn't accepted in time, while another upstream
	// accepted one quickly.
	ProbeTimeout
	// ProbeUnsure: the probe failed and showed nothing, since no reference accepted a connection
	// quickly.
	ProbeUnsure
)

// applyProbe applies the result of a probe. It reports whether the upstream became dead by it.
func (u *Upstream) applyProbe(r ProbeResult, sent, now time.Time) bool {
	u.probesInFlight = max(0, u.probesInFlight-1)
	u.nextProbe = now.Add(reprobeInterval)
	before := u.health
	switch {
	case r == ProbeAlive:
		u.health, u.timeouts, u.probeAnswered, u.refusedOnce = HealthGood, 0, now, false
	case r == ProbeUnsure:
		u.unaccepted = 0 // The reference was as slow.
		u.nextProbe = now.Add(inconclusiveRetry)
	case r == ProbeRefused && u.Route.Drain && !u.refusedOnce:
		u.refusedOnce = true
		u.nextProbe = now.Add(drainReprobeDelay)
	case r == ProbeOther || r == ProbeRefused:
		u.health = HealthDead
	case u.lastSeen.After(sent):
		// It answered flows while the probe waited, so the probe was lost.
		u.health, u.timeouts = HealthGood, 0
	default:
		u.timeouts++
		if u.timeouts >= maxTimeouts {
			u.health = HealthDead
		} else {
			u.nextProbe = now
		}
	}
	if u.health == HealthDead {
		u.foundDeadAt = now
	}
	u.index.update(u)
	return before != HealthDead && u.health == HealthDead
}

var probeNames = [...]string{"Alive", "Other", "Refused", "Timeout", "Unsure"}

// String returns the name of the result.
func (r ProbeResult) String() string { return probeNames[r] }
