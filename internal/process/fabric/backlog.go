package fabric

// backlog recognizes packets that waited in a socket while the process was paused.
// They have to be dropped: forwarded seconds late, a request would run after its caller
// has given it up, and would occupy a slot of an upstream that doesn't answer it again.
// Callers repeat the requests that they still need. The zero value is ready for use.
type backlog struct {
	// pauses is the number of pauses as of the previous batch.
	pauses   uint64
	draining bool
}

// stale reports whether a batch of n packets may have been received before or during
// the process's last pause. pauses is the number of pauses until now, size the largest
// possible n. The first batch after a pause that isn't full empties the socket, so it is
// the last stale one.
func (b *backlog) stale(pauses uint64, n, size int) bool {
	if pauses != b.pauses {
		b.pauses = pauses
		b.draining = true
	}
	stale := b.draining
	if n < size {
		b.draining = false
	}
	return stale
}
