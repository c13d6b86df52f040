package bundle

// History keeps the bundle in force and the updates that led to it, so that others can be told only
// what they lack. It isn't safe for concurrent use; the zero value knows no bundle.
type History struct {
	now Accepted
	// steps lead one to the next, the last to now.
	steps []*Update
	// whole is the update that holds all of now, nil until it is asked for.
	whole *Update
}

// maxSteps is how many versions are remembered. A member that missed more was away for longer than
// a storm of changes takes, and is told the whole bundle.
const maxSteps = 8

// Current returns the bundle in force, the zero value if there is none.
func (h *History) Current() Accepted { return h.now }

// Add puts a later bundle in force. step leads there from the one before. One that doesn't, or nil,
// is where the history begins: a member that was told by the steps before it would lack what lies
// between.
func (h *History) Add(a Accepted, step *Update) {
	if step != nil && step.From == h.now.Version {
		h.steps = append(h.steps, step)
	} else {
		h.steps = nil
	}
	h.now, h.whole = a, nil
	h.forget()
}

// forget drops the oldest steps beyond what is worth keeping: all together they hold no more than
// the bundle itself.
func (h *History) forget() {
	whole := len(h.now.Bundle.Routes) + len(h.now.Bundle.Services)
	kept, size := 0, 0
	for i := len(h.steps) - 1; i >= 0 && kept < maxSteps; i-- {
		if size += h.steps[i].Size(); size > whole {
			break
		}
		kept++
	}
	h.steps = h.steps[len(h.steps)-kept:]
}

// Since returns what leads on from a version: the whole bundle if that isn't remembered.
func (h *History) Since(v Version) *Update {
	for i, s := range h.steps {
		if s.From != v {
			continue
		}
		out := s
		for _, next := range h.steps[i+1:] {
			out = out.Then(next)
		}
		return out
	}
	if h.whole == nil {
		h.whole = FullUpdate(h.now)
	}
	return h.whole
}
