package transfer

import (
	"io"
	"sync/atomic"
)

// Counts counts answers that were waited for. It is safe for concurrent use; the zero value is
// ready.
type Counts struct {
	// Begun counts the transfers, Failed those of them that were given up or broke off.
	Begun, Failed atomic.Uint64
	// Bytes counts what arrived, Wasted the part of it that belonged to failed transfers. Much
	// waste beside few bytes of use shows a link that carries the same again and again.
	Bytes, Wasted atomic.Uint64
}

// Meter counts the bytes of one transfer. Only its Bytes may be read while it is in use by
// another goroutine.
type Meter struct {
	counts *Counts
	read   atomic.Uint64
}

// Begin notes a transfer.
func (c *Counts) Begin() *Meter {
	c.Begun.Add(1)
	return &Meter{counts: c}
}

// Bytes returns how many bytes have arrived.
func (m *Meter) Bytes() uint64 { return m.read.Load() }

// Reader returns r, counted.
func (m *Meter) Reader(r io.Reader) io.Reader { return meteredReader{m: m, r: r} }

// End notes whether the transfer failed.
func (m *Meter) End(err error) {
	if err != nil {
		m.counts.Failed.Add(1)
		m.counts.Wasted.Add(m.Bytes())
	}
}

type meteredReader struct {
	m *Meter
	r io.Reader
}

// Read implements io.Reader.
func (r meteredReader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	r.m.read.Add(uint64(n))
	r.m.counts.Bytes.Add(uint64(n))
	return n, err
}
