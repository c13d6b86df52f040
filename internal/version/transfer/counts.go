package transfer

import "sync/atomic"

// Counts counts the transfers of answers. It is safe for concurrent use; the zero value is ready for use.
type Counts struct {
	// Begun counts all transfers, Failed those that were aborted or broke off.
	Begun, Failed atomic.Uint64
	// Bytes counts the bytes received, Wasted those of failed transfers. If Wasted is large compared to
	// Bytes, a link carries the same data again and again.
	Bytes, Wasted atomic.Uint64
}
