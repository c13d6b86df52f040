package admission

import "slices"

const (
	// target is the utilization up to which new flows are admitted. Hosts place flows without knowing
	// of each other's, so some upstreams have free slots while requests wait at others. At three
	// requests per slot, nineteen of twenty slots are busy and a request waits about twice as long as
	// it is worked on; more would only add waiting and requests that upstreams reject.
	target = 3.0
	// urgentTarget is the same for classes to which others give way. The headroom above target
	// belongs to them alone.
	urgentTarget = 4.0
	// minPart is the part of a service's work from which classes give way to more urgent ones.
	// Refusing flows for the sake of less, or to save less, would help nobody.
	minPart = 0.05
	// growth is the part of the throughput by which the admitted flows may change in a window for
	// each unit of the relative distance between utilization and target, while it is below the
	// target. A sum is up to two windows old, and a higher growth oscillates.
	growth = 0.5
	// beginning is the part of the target from which flows of a class begin to be refused, end the part
	// up to which they are refused after that. Below, so few requests wait that upstreams take what is
	// offered.
	beginning = 0.8
	end       = 0.5
	// costError is by how much the cost of requests may be too high, since it includes a little
	// waiting. It bounds what the slots can have done if upstreams' rejections were counted as answers.
	costError = 1.2
	// maxUnanswered bounds the utilization that is added for requests without an answer: upstreams that
	// fell silent leave requests unanswered too.
	maxUnanswered = 1.5
	// attempts is how often a caller tries a request that is refused.
	attempts = 3
	// maxRise is the most by which a share rises with one update while requests wait, so that refused
	// callers don't all return at once. While slots are free, they may: with a bound of 0.5, some were
	// refused for more than the two seconds after a shortage that callers' retries last.
	maxRise = 0.25
)

// classDemand is what the shares of a service's classes are computed from: the counts of the last
// window, the work of a request in seconds, and the share that was in force.
type classDemand struct {
	offered, admitted, requests, answered float64

	cost, share float64
}

// callers estimates the new flows of a window without the repeated attempts of callers who were
// refused, or whose request an upstream rejected.
func (c *classDemand) callers() float64 {
	rejected := 0.0
	if c.requests > 0 {
		rejected = max(0, 1-c.answered/c.requests)
	}
	admitted := 1 + rejected + rejected*rejected
	return c.offered / (c.share*admitted + attempts*(1-c.share))
}

// replaced returns the flows that new ones have to replace, since the requests that they were opened
// for are answered. In a class with one flow for each request these are all, in one with long flows
// few. Flows whose request upstreams rejected need no replacement.
func (c *classDemand) replaced() float64 {
	served := min(c.admitted, c.answered)
	if c.requests == 0 {
		return served
	}
	return served * min(1, c.admitted/c.requests)
}

// workShares returns for each class which part of the work is for it or more urgent ones.
func workShares(classes []classDemand) []float64 {
	out := make([]float64, len(classes))
	total := 0.0
	for i := range classes {
		total += classes[i].answered * classes[i].cost
		out[i] = total
	}
	for i := range out {
		if total > 0 {
			out[i] /= total
		}
	}
	return out
}

// yields reports for each class whether it gives way to more urgent ones, which do a substantial
// part of the work.
func yields(parts []float64) []bool {
	out := make([]bool, len(parts))
	for i := 1; i < len(parts); i++ {
		out[i] = parts[i-1] >= minPart
	}
	return out
}

// targetOf returns the target of a class and more urgent ones, which do a part of the work. Less urgent
// classes whose flows are refused do little work for that reason, and still give way.
func targetOf(part float64, lessUrgent []classDemand) float64 {
	if 1-part >= minPart || slices.ContainsFunc(lessUrgent, func(c classDemand) bool { return c.share < 1 }) {
		return urgentTarget
	}
	return target
}

// withoutRejections returns the classes without the answers by which upstreams rejected requests, as
// far as the slots can't have done so much work in a window. slotTime is the time that they have, in
// seconds.
func withoutRejections(classes []classDemand, slotTime float64) []classDemand {
	work := 0.0
	for i := range classes {
		work += classes[i].answered * classes[i].cost
	}
	if work <= costError*slotTime {
		return classes
	}
	out := slices.Clone(classes)
	for i := range out {
		out[i].answered *= costError * slotTime / work
	}
	return out
}

// withUnanswered returns the utilization with the requests that weren't answered. While all slots are
// busy, upstreams reject requests, and some close the flow instead of sending an answer.
func withUnanswered(u float64, classes []classDemand) float64 {
	var requests, answered float64
	for i := range classes {
		requests += classes[i].requests
		answered += classes[i].answered
	}
	if u <= 1 || answered == 0 {
		return u
	}
	return u + min(maxUnanswered, max(0, requests/answered-1))
}

// computeShares returns the share of each class's callers to admit, most urgent class first. u is the
// mean number of requests per slot, slotTime the time that the slots have in a window, in seconds.
func computeShares(classes []classDemand, u, slotTime float64) []float64 {
	classes = withoutRejections(classes, slotTime)
	u = withUnanswered(u, classes)
	out := make([]float64, len(classes))
	parts := workShares(classes)
	var limit, throughput, admitted, requests, urgent float64
	for i := range classes {
		c := &classes[i]
		limit += c.replaced()
		throughput += c.answered
		admitted += c.admitted
		requests += c.requests
		out[i] = 1
		aim := targetOf(parts[i], classes[i+1:])
		if part := u * parts[i]; part > aim*beginning || part > aim*end && c.share < 1 {
			flows := limit + change(throughput, part, aim, slotTime/Window.Seconds(), min(1, admitted/max(1, requests))) - urgent
			if wanted := c.callers(); flows < wanted {
				out[i] = max(0, flows/wanted)
			}
		}
		urgent += out[i] * c.callers()
	}
	return out
}

// change returns by how many flows those of the next window differ from those that replace others.
// fresh is the part of the requests that came on new flows.
//
// Above the target, one flow for each request that waits beyond it has to be left out where each
// request has a flow of its own. Long flows work on, so that their number has to fall. Below the
// target, the flows grow by a part of the throughput.
func change(throughput, u, aim, slots, fresh float64) float64 {
	if u > aim {
		return fresh*(aim-u)*slots + (1-fresh)*throughput*(aim/u-1)
	}
	return growth * throughput * (aim/u - 1)
}
