package cookie

import (
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/upstream"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// Health is what this balancer believes of an upstream, beside what the list says.
type Health uint8

// The states of health.
const (
	HealthGood Health = iota
	// HealthSuspect: packets went unanswered, so it gets no new flow until a probe
	// or a packet shows that it lives.
	HealthSuspect
	// HealthDead: a probe was refused, answered by another, or went unanswered
	// twice. Its flows are reset.
	HealthDead
)

var healthNames = [...]string{"Good", "Suspect", "Dead"}

// String names the state.
func (h Health) String() string { return healthNames[h] }

// Times of the search for dead upstreams.
const (
	// aliveTTL is how long a sign of life counts. It is more than the 200 ms after
	// which callers repeat a packet, so that one lost packet doubts nobody whose
	// other flows go on.
	aliveTTL = 250 * time.Millisecond
	// probeAnswerTTL is how long an answered probe protects from the next doubt: a busy
	// upstream leaves packets unanswered for a while without being dead.
	probeAnswerTTL = time.Second
	// reprobeInterval is the pause between probes of an upstream that is dead or that
	// the list no longer has.
	reprobeInterval = time.Second
	// inconclusiveRetry is the pause after a probe that found nothing out.
	inconclusiveRetry = 250 * time.Millisecond
	// drainReprobeDelay is the time between the two refusals that show a draining upstream
	// to be dead. It closes its health port, and may leave the list, some milliseconds
	// before it ends its flows; a reset in between cuts off a flow that is still served.
	drainReprobeDelay = 300 * time.Millisecond
	// maxTimeouts is how many probes in a row go unanswered before an upstream is
	// dead: a single connection attempt may be lost on the way.
	maxTimeouts = 2
	// secondProbeDelay is when the second attempt begins if the first is still unanswered, and nothing shows
	// sooner that it is left open. A live upstream accepts within milliseconds, so it costs nothing
	// there; one after the other, the two would keep a crashed upstream's callers waiting.
	secondProbeDelay = 100 * time.Millisecond
)

// Upstream is an upstream with what this balancer saw of it. It belongs to the
// engine; others only read what doesn't change: Route and Cookie.
type Upstream struct {
	Route  *bundle.UpstreamRoute
	Cookie Cookie
	load   *upstream.Load
	// zoneHealth is what is known of the way to its zone.
	zoneHealth *zoneHealth
	// registration is the latest registration of the list that could be used, Unusable if the present one
	// can't be.
	registration registry.Registration
	// incarnationSeen is when the present incarnation was heard of, zero if it is the first.
	incarnationSeen time.Time
	// warmingUntil is when it is no longer slow after its start.
	warmingUntil time.Time
	warmupSends  sendTimes
	// registered says that the list has it; goneAt is since when it hasn't.
	registered     bool
	deregisteredAt time.Time
	// mismatched is the list's entry if its service isn't one that a bundle names, while the
	// upstream was known as one of another service.
	mismatched *registry.Registration
	// serviceIndex is where it stands among the listed upstreams of its service.
	serviceIndex int
	// shadowed says that an older upstream has the same cookie. It gets no flow:
	// packets of the two couldn't be told apart.
	shadowed bool

	health Health
	// flowRecords counts the records of flowRecords there.
	flowRecords int
	// lastSeen is the last sign of life, probeAnswered the last answered probe.
	lastSeen, probeAnswered time.Time
	// probesInFlight are those under way, the last one sent at lastProbe.
	probesInFlight int
	lastProbe      time.Time
	// unaccepted is how many probes weren't accepted at once since the upstream is doubted.
	unaccepted int
	nextProbe  time.Time
	timeouts   int
	// outcomes are those of requests that passed this balancer. Until ejected, the
	// upstream gets no new flow, since it failed too many over the zone.
	outcomes     outcomes
	ejectedUntil time.Time
	ejections    int
	// refusedOnce says that the last probe of a draining upstream was refusedOnce.
	refusedOnce bool
}

// acceptsFlows reports whether a new flow may go there.
func (u *Upstream) acceptsFlows(now time.Time) bool {
	return !now.Before(u.ejectedUntil) && u.usable()
}

// hasUsableRegistration reports whether the list has an entry of it that can be used.
func (u *Upstream) hasUsableRegistration() bool {
	return u.registered && !u.registration.Unusable && u.mismatched == nil
}

// usable reports whether the upstream takes flows, apart from how it answers.
func (u *Upstream) usable() bool {
	return u.hasUsableRegistration() && !u.Route.Drain && !u.shadowed && u.health == HealthGood
}

// markAlive notes a sign of life: a caller acknowledged what only this upstream can
// have sent.
func (u *Upstream) markAlive(now time.Time) {
	u.lastSeen = now
	if u.health != HealthGood {
		u.health = HealthGood
		u.timeouts = 0
	}
}

// silent reports whether the upstream has shown no sign of life lately.
func (u *Upstream) silent(now time.Time) bool {
	return now.Sub(u.lastSeen) >= aliveTTL && now.Sub(u.probeAnswered) >= probeAnswerTTL
}

// suspect asks for a probe at once.
func (u *Upstream) suspect(now time.Time) {
	u.health = HealthSuspect
	u.nextProbe = now
	u.timeouts, u.refusedOnce, u.unaccepted = 0, false, 0
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
	if !u.registered {
		return u.flowRecords > 0
	}
	return u.health != HealthGood
}

// ProbeResult is what a probe of an upstream found.
type ProbeResult uint8

// The results of a probe.
const (
	// ProbeAlive: the upstream answered under its own identifier, or the connection
	// was accepted and nothing shows that it is another.
	ProbeAlive ProbeResult = iota
	// ProbeOther: an upstream with another identifier answered at the address.
	ProbeOther
	// ProbeRefused: nothing listens at the address.
	ProbeRefused
	// ProbeTimeout: the connection wasn't accepted in time, while another upstream
	// accepted one quickly.
	ProbeTimeout
	// ProbeUnsure: nothing was found out.
	ProbeUnsure
)

// applyProbe takes in a result. It reports whether the upstream is found dead by it.
func (u *Upstream) applyProbe(r ProbeResult, sent, now time.Time) bool {
	u.probesInFlight = max(0, u.probesInFlight-1)
	u.nextProbe = now.Add(reprobeInterval)
	was := u.health
	switch {
	case r == ProbeAlive:
		u.health, u.timeouts, u.probeAnswered, u.refusedOnce = HealthGood, 0, now, false
	case r == ProbeUnsure:
		u.unaccepted = 0 // Its reference was as slow.
		u.nextProbe = now.Add(inconclusiveRetry)
	case r == ProbeRefused && u.Route.Drain && !u.refusedOnce:
		u.refusedOnce = true
		u.nextProbe = now.Add(drainReprobeDelay)
	case r == ProbeOther || r == ProbeRefused:
		u.health = HealthDead
	case u.lastSeen.After(sent):
		// It answered flows while the probe waited: the probe was lost.
		u.health, u.timeouts = HealthGood, 0
	default:
		u.timeouts++
		if u.timeouts >= maxTimeouts {
			u.health = HealthDead
		} else {
			u.nextProbe = now
		}
	}
	return was != HealthDead && u.health == HealthDead
}

var probeNames = [...]string{"Alive", "Other", "Refused", "Timeout", "Unsure"}

// String names the result.
func (r ProbeResult) String() string { return probeNames[r] }
