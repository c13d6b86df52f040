package emulator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
)

// class is a kind of request with the callers of each zone that send it.
type class struct {
	*Class
	sim     *simulation
	index   int
	service *Service
	// pools holds the long flows of each zone's callers.
	pools []*pool
	// rngs holds one random generator per zone, for what its callers do. Nothing else draws from
	// them, so that all policies are compared with the same requests.
	rngs []*rand.Rand
	// rateFactors multiplies the class's request rate in each zone, in addition to zone.rateFactor.
	rateFactors []float64
}

// pool holds the idle long flows of a zone's callers.
type pool struct {
	rng  *rand.Rand
	idle []*flow
	// size is the number of all flows, busy ones included.
	size int
}

// Times after a caller's first transmission: when it retransmits, and when it stops trying to
// open a flow. It retransmits a request at openTimeout too.
const (
	firstRetransmit  = 200 * time.Millisecond
	secondRetransmit = 600 * time.Millisecond
	openTimeout      = 1400 * time.Millisecond
)

func (sim *simulation) makeClasses() {
	for i := range sim.pattern.Classes {
		c := &class{Class: &sim.pattern.Classes[i], sim: sim, index: i, service: sim.pattern.serviceOf(i)}
		for range sim.zones {
			stream := uint64(2 * (1 + i*len(sim.zones) + len(c.rngs)))
			c.pools = append(c.pools, &pool{rng: rand.New(rand.NewPCG(sim.opts.Seed, stream))})
			c.rngs = append(c.rngs, rand.New(rand.NewPCG(sim.opts.Seed, stream+1)))
			c.rateFactors = append(c.rateFactors, 1)
		}
		sim.classes = append(sim.classes, c)
		for _, z := range sim.zones {
			c.scheduleNext(z)
		}
	}
}

// scheduleNext schedules the next request of a zone's callers.
func (c *class) scheduleNext(z *zone) {
	sum := 0.0
	for _, o := range c.sim.zones {
		sum += o.Share
	}
	rate := c.PerSecond * z.Share / sum * z.rateFactor * c.rateFactors[z.index]
	if rate <= 0 {
		return
	}
	c.sim.after(time.Duration(c.rngs[z.index].ExpFloat64()/rate*float64(time.Second)), func() {
		if c.sim.now > time.Duration(c.sim.pattern.Length) {
			return
		}
		c.startRequest(z)
		c.scheduleNext(z)
	})
}

// startRequest starts a request in a zone, or in the zone to which its callers have shifted.
func (c *class) startRequest(z *zone) {
	rng := c.rngs[z.index]
	work, moves := c.drawWork(rng), rng.Float64() < z.shiftedShare
	if z.shiftTarget != nil && moves {
		z = z.shiftTarget
	}
	r := &request{class: c, zone: z, asked: c.sim.now, attemptsLeft: c.Retries + 1, work: work}
	if z.Callers > 0 {
		r.caller = rng.IntN(z.Callers)
	}
	c.sim.after(time.Duration(c.Deadline), r.timeOut)
	r.startAttempt()
}

// drawWork draws the processing time of a request from a lognormal distribution around the mean.
func (c *class) drawWork(rng *rand.Rand) time.Duration {
	mean := float64(c.Work)
	d := math.Exp(math.Log(mean) - c.Spread*c.Spread/2 + c.Spread*rng.NormFloat64())
	if most := float64(c.WorkAtMost); most > 0 {
		d = min(d, most)
	}
	return time.Duration(d)
}

// request is one request of a caller, with all its attempts.
type request struct {
	class *class
	zone  *zone
	// caller is the number of the caller's address in its zone, if Zone.Callers isn't zero.
	caller int
	asked  time.Duration
	// attemptsLeft is the number of remaining attempts.
	attemptsLeft int
	// work is the processing time at an upstream that isn't slow.
	work    time.Duration
	done    bool
	attempt *attempt
}

// startAttempt starts an attempt on an idle long flow or a new flow. A caller that abandons flows
// opens a new one for each attempt but the first.
func (r *request) startAttempt() {
	first := r.attempt == nil
	r.attemptsLeft--
	t := &attempt{request: r}
	r.attempt = t
	r.class.result().Tries++
	p := r.class.pools[r.zone.index]
	if r.class.Long && (first || !r.class.Abandons) {
		if f := p.takeIdle(r.zone.Flows); f != nil {
			r.caller = f.caller
			t.send(f)
			return
		}
	}
	p.size++
	r.class.sim.openFlow(t)
}

// takeIdle removes and returns the idle flow of a random one of the callers that have no request
// in progress. It returns nil if that caller has no flow yet, or if all callers have requests in
// progress.
func (p *pool) takeIdle(callers int) *flow {
	p.idle = slices.DeleteFunc(p.idle, func(f *flow) bool { return f.closed })
	withoutFlow := max(0, callers-p.size)
	if len(p.idle) == 0 {
		return nil
	}
	i := p.rng.IntN(len(p.idle) + withoutFlow)
	if i >= len(p.idle) {
		return nil
	}
	f := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	return f
}

// timeOut ends a request at its deadline. Its caller closes the flow, because an answer may still
// arrive on it.
func (r *request) timeOut() {
	if r.done {
		return
	}
	r.end(outcomeFailed)
	if t := r.attempt; !t.ended && t.flow != nil {
		t.ended = true
		t.flow.close()
	}
}

// retry starts another attempt if one is left and the request may be repeated. Otherwise it ends the
// request with the outcome of the last attempt.
func (r *request) retry(surelyNotRun bool, last outcome) {
	switch {
	case r.done:
	case r.attemptsLeft > 0 && (surelyNotRun || r.class.Idempotent):
		r.startAttemptAfterPause()
	default:
		r.end(last)
	}
}

// startAttemptAfterPause starts another attempt after the class's pause, unless the deadline ends
// the request before.
func (r *request) startAttemptAfterPause() {
	pause := time.Duration(r.class.RetryPause)
	if pause == 0 {
		r.startAttempt()
		return
	}
	rng := r.class.pools[r.zone.index].rng
	r.class.sim.after(pause+time.Duration(rng.Int64N(int64(pause))), func() {
		if !r.done {
			r.startAttempt()
		}
	})
}

func (r *request) end(o outcome) {
	r.done = true
	r.class.sim.result.record(r, o)
}

// attempt is one attempt to get a request answered, on one flow.
type attempt struct {
	request *request
	flow    *flow
	// sent says that the request was sent, arrived that an upstream received it, ended that the
	// attempt is finished.
	sent, arrived, ended bool
}

// send sends the request on an open flow, and retransmits it up to three times while the attempt lasts.
func (t *attempt) send(f *flow) {
	t.flow, f.attempt, t.sent = f, t, true
	seq := f.seq
	f.seq += requestBytes
	packet := cookie.Packet{Flags: cookie.FlagACK, Seq: seq, Ack: f.ack, Length: requestBytes}
	f.send(packet)
	for _, d := range [...]time.Duration{firstRetransmit, secondRetransmit, openTimeout} {
		f.sim.after(d, func() {
			if !t.ended && !t.request.done {
				f.send(packet)
			}
		})
	}
}

// requestBytes and answerBytes only advance the sequence numbers.
const (
	requestBytes = 100
	answerBytes  = 2000
)

// answered handles the complete answer and acknowledges it.
func (t *attempt) answered() {
	if t.ended || t.flow.closed {
		return
	}
	t.ended = true
	f := t.flow
	f.attempt = nil
	f.ack += answerBytes
	if t.request.class.Long {
		f.send(cookie.Packet{Flags: cookie.FlagACK, Seq: f.seq, Ack: f.ack})
		f.release()
	} else {
		f.send(cookie.Packet{Flags: cookie.FlagACK | cookie.FlagFIN, Seq: f.seq, Ack: f.ack})
		f.close()
	}
	r := t.request
	if r.done {
		return
	}
	if f.sim.now-r.asked <= time.Duration(r.class.Objective) {
		r.end(outcomeInTime)
	} else {
		r.end(outcomeLate)
	}
}

// refused handles the answer that the upstream has no free capacity.
func (t *attempt) refused() {
	if t.ended || t.flow.closed {
		return
	}
	t.ended = true
	f := t.flow
	f.attempt = nil
	c := t.request.class
	keepsOpen := c.Long || c.Abandons
	f.acknowledgeRejection(keepsOpen)
	switch {
	case c.Abandons:
		f.abandon()
	case keepsOpen:
		f.release()
	default:
		f.close()
	}
	t.request.retry(true, outcomeRefused)
}
