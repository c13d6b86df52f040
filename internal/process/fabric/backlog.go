package fabric

// backlog recognizes packets that waited in a socket while the process was
// paused. Passed on seconds late, a request would run after its caller has given
// it up, and would hold a slot at an upstream that doesn't answer it again; so
// they are dropped, and what is still wanted is repeated. The zero value works.
type backlog struct {
	pauses uint64
	late   bool
}

// stale reports whether a batch of n packets, of at most size, is from before
// the last of so many pauses. The first batch that isn't full empties the socket.
func (b *backlog) stale(pauses uint64, n, size int) bool {
	if pauses != b.pauses {
		b.pauses = pauses
		b.late = true
	}
	stale := b.late
	if n < size {
		b.late = false
	}
	return stale
}
