package transfer

import "sync/atomic"

// Counts counts answers that were waited for. It is safe for concurrent use; the zero value is
// ready.
type Counts struct {
	// Begun counts the transfers, Failed those of them that were given up or broke off.
	Begun, Failed atomic.Uint64
	// Bytes counts what arrived, Wasted the part of it that belonged to failed transfers. Much
	// waste beside few bytes of use shows a link that carries the same again and again.
	Bytes, Wasted atomic.Uint64
}
