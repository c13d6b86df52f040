package bundle

// History keeps the bundle in force and the updates that led to it, so that a member can be sent only
// what it lacks. It isn't safe for concurrent use. The zero value has no bundle.
type History struct {
	current Accepted
	// steps are consecutive updates, the last of which leads to current.
	steps []*Update
	// full is the update that holds the whole current bundle, nil until it is requested.
	full *Update
}

// maxSteps bounds the steps that are kept. A member that lacks more versions was away for longer than a
// burst of changes takes, and is sent the whole bundle.
const maxSteps = 8

// Current returns the bundle in force, the zero value if there is none.
func (h *History) Current() Accepted { return h.current }

// Add puts a later bundle in force. step is the update from the one before. If step is nil or starts from
// another version, the steps so far are dropped, since a member that was sent them would lack the changes
// in between.
func (h *History) Add(a Accepted, step *Update) {
	if step != nil && step.From == h.current.Version {
		h.steps = append(h.steps, step)
	} else {
		h.steps = nil
	}
	h.current, h.full = a, nil
	h.trim()
}

// trim drops the oldest steps, so that the rest are at most maxSteps and have together no more services and
// routes than the bundle itself.
func (h *History) trim() {
	whole := len(h.current.Bundle.Routes) + len(h.current.Bundle.Services)
	kept, size := 0, 0
	for i := len(h.steps) - 1; i >= 0 && kept < maxSteps; i-- {
		if size += h.steps[i].Size(); size > whole {
			break
		}
		kept++
	}
	h.steps = h.steps[len(h.steps)-kept:]
}

// Since returns an update from version v to the current one. It is the whole bundle if no step starts from v.
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
	if h.full == nil {
		h.full = FullUpdate(h.current)
	}
	return h.full
}
