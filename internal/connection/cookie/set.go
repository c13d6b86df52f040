package cookie

// setKind names a set of upstreams that the index keeps up to date.
type setKind uint8

// The sets. An upstream is a member of at most one set of each kind.
const (
	// setRegistered holds the registered upstreams of a pool.
	setRegistered setKind = iota
	// setUsable holds the usable upstreams of a pool, see Upstream.usable.
	setUsable
	// setEjected holds the upstreams of a pool that were ejected lately.
	setEjected
	// setInDoubt holds the upstreams that are to be probed once their next probe is due.
	setInDoubt
	// setWithFlows holds the upstreams that flow records lead to.
	setWithFlows
	// setActive holds the upstreams where flows or outcomes of requests are counted, and some where
	// they were until lately.
	setActive
	// setDeregistered holds the upstreams that are known and not registered.
	setDeregistered
	// setMismatched holds the upstreams whose present registration is mismatched.
	setMismatched
	numSets
)

// set is a set of upstreams in no particular order. Each upstream holds its own position in it, so
// that no operation takes longer in a larger set.
type set struct {
	kind setKind
	list []*Upstream
}

// has reports whether the upstream is in a set of the kind.
func (u *Upstream) has(k setKind) bool { return u.positions[k] > 0 }

// put adds the upstream to the set or, if in is false, removes it. It reports whether that changed
// the set.
func (s *set) put(u *Upstream, in bool) bool {
	if u.has(s.kind) == in {
		return false
	}
	if in {
		s.list = append(s.list, u)
		u.positions[s.kind] = int32(len(s.list))
		return true
	}
	i, end := u.positions[s.kind]-1, len(s.list)-1
	last := s.list[end]
	s.list[i], last.positions[s.kind] = last, i+1
	s.list[end] = nil
	s.list = s.list[:end]
	u.positions[s.kind] = 0
	return true
}
