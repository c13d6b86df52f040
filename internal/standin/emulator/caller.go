package emulator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
)

// class is a kind of request with its callers in each zone.
type class struct {
	*Class
	w     *play
	index int
	// pools are the long flows of each zone's callers.
	pools []*pool
	// rngs draw what the callers of each zone do. They are drawn from by nothing else, so
	// that policies are compared with the same requests.
	rngs []*rand.Rand
}

// pool holds the idle long flows of a zone's callers, and how many there are in all.
type pool struct {
	rng  *rand.Rand
	idle []*flow
	open int
}

// Times at which callers send copies of a first packet, and again what isn't acknowledged.
const (
	firstCopy  = 200 * time.Millisecond
	secondCopy = 600 * time.Millisecond
	openWithin = 1400 * time.Millisecond
)

func (w *play) makeClasses() {
	for i := range w.pattern.Classes {
		c := &class{Class: &w.pattern.Classes[i], w: w, index: i}
		for range w.zones {
			stream := uint64(2 * (1 + i*len(w.zones) + len(c.rngs)))
			c.pools = append(c.pools, &pool{rng: rand.New(rand.NewPCG(w.opts.Seed, stream))})
			c.rngs = append(c.rngs, rand.New(rand.NewPCG(w.opts.Seed, stream+1)))
		}
		w.classes = append(w.classes, c)
		for _, z := range w.zones {
			c.next(z)
		}
	}
}

// next plans the next request of a zone's callers.
func (c *class) next(z *zone) {
	sum := 0.0
	for _, o := range c.w.zones {
		sum += o.Share
	}
	rate := c.PerSecond * z.Share / sum * z.factor
	if rate <= 0 {
		return
	}
	c.w.after(time.Duration(c.rngs[z.index].ExpFloat64()/rate*float64(time.Second)), func() {
		if c.w.now > time.Duration(c.w.pattern.Length) {
			return
		}
		c.ask(z)
		c.next(z)
	})
}

// ask begins a request.
func (c *class) ask(z *zone) {
	rng := c.rngs[z.index]
	work, moves := c.work(rng), rng.Float64() < z.shiftedShare
	if z.shifted != nil && moves {
		z = z.shifted
	}
	r := &request{class: c, zone: z, asked: c.w.now, tries: c.Retries + 1, work: work}
	c.w.after(time.Duration(c.Deadline), r.giveUp)
	r.begin()
}

// work draws how long an upstream works on a request: lognormal around its mean.
func (c *class) work(rng *rand.Rand) time.Duration {
	mean := float64(c.Work)
	d := math.Exp(math.Log(mean) - c.Spread*c.Spread/2 + c.Spread*rng.NormFloat64())
	if most := float64(c.WorkAtMost); most > 0 {
		d = min(d, most)
	}
	return time.Duration(d)
}

// request is what a caller wants, over all its tries.
type request struct {
	class *class
	zone  *zone
	asked time.Duration
	// tries is how many are left.
	tries int
	// work is how long an upstream that isn't slow works on it.
	work time.Duration
	done bool
	try  *try
}

// begin makes a try, on an idle long flow or a new one.
func (r *request) begin() {
	r.tries--
	t := &try{request: r}
	r.try = t
	p := r.class.pools[r.zone.index]
	if r.class.Long {
		if f := p.take(r.zone.Flows); f != nil {
			t.send(f)
			return
		}
	}
	p.open++
	r.class.w.open(t)
}

// take removes the idle flow of any caller that has no request in progress. It returns nil if
// that caller has no flow yet, or if all have requests in progress.
func (p *pool) take(callers int) *flow {
	p.idle = slices.DeleteFunc(p.idle, func(f *flow) bool { return f.closed })
	without := max(0, callers-p.open)
	if len(p.idle) == 0 {
		return nil
	}
	i := p.rng.IntN(len(p.idle) + without)
	if i >= len(p.idle) {
		return nil
	}
	f := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	return f
}

// giveUp ends a request whose deadline has passed. Its caller drops the flow, since an answer
// may still come on it.
func (r *request) giveUp() {
	if r.done {
		return
	}
	r.end(outcomeFailed)
	if t := r.try; !t.over && t.flow != nil {
		t.over = true
		t.flow.close()
	}
}

// again tries once more, if there is a try left.
func (r *request) again(surelyNotRun bool, last outcome) {
	switch {
	case r.done:
	case r.tries > 0 && (surelyNotRun || r.class.Idempotent):
		r.begin()
	default:
		r.end(last)
	}
}

func (r *request) end(o outcome) {
	r.done = true
	r.class.w.result.ended(r, o)
}

// try is one attempt at a request.
type try struct {
	request *request
	flow    *flow
	// sent says that its data went out, arrived that an upstream has it, over that it ended.
	sent, arrived, over bool
}

// send sends the request on an open flow, and again while no answer comes.
func (t *try) send(f *flow) {
	t.flow, f.try, t.sent = f, t, true
	seq := f.seq
	f.seq += requestBytes
	packet := cookie.Packet{Flags: cookie.FlagACK, Seq: seq, Ack: f.ack, Length: requestBytes}
	f.send(packet)
	for _, d := range [...]time.Duration{firstCopy, secondCopy, openWithin} {
		f.w.after(d, func() {
			if !t.over && !t.request.done {
				f.send(packet)
			}
		})
	}
}

// requestBytes and answerBytes only let sequence numbers move on.
const (
	requestBytes = 100
	answerBytes  = 2000
)

// answered takes in the whole answer, and acknowledges it.
func (t *try) answered() {
	if t.over || t.flow.closed {
		return
	}
	t.over = true
	f := t.flow
	f.try = nil
	f.ack += answerBytes
	if t.request.class.Long {
		f.send(cookie.Packet{Flags: cookie.FlagACK, Seq: f.seq, Ack: f.ack})
		f.rest()
	} else {
		f.send(cookie.Packet{Flags: cookie.FlagACK | cookie.FlagFIN, Seq: f.seq, Ack: f.ack})
		f.close()
	}
	r := t.request
	if r.done {
		return
	}
	if f.w.now-r.asked <= time.Duration(r.class.Objective) {
		r.end(outcomeInTime)
	} else {
		r.end(outcomeLate)
	}
}

// refused takes in that the upstream had no room.
func (t *try) refused() {
	if t.over || t.flow.closed {
		return
	}
	t.over = true
	f := t.flow
	f.try = nil
	if t.request.class.Long {
		f.rest()
	} else {
		f.close()
	}
	t.request.again(true, outcomeRefused)
}
