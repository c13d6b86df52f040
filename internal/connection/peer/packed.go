package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/version/bundle"
)

// Packed is a value as daemons send it: CBOR (RFC 8949), compressed by DEFLATE (RFC 1951). Routes,
// upstreams and members resemble each other, so a list compresses to a small part of its size.
type Packed[T any] []byte

// PackedUpdate is a bundle.Update as daemons send it.
type PackedUpdate = Packed[*bundle.Update]

// maxUnpackedBytes bounds the size of an unpacked value. It allows for a bundle of the largest
// object that the store accepts, in its most verbose form.
const maxUnpackedBytes = 8 << 20

// Pack encodes and compresses a value.
func Pack[T any](v T) (Packed[T], error) {
	src, err := cbor.Marshal(v)
	if err != nil {
		return nil, eris.Wrap(err, "peer: pack")
	}
	var out bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	_, err = w.Write(src)
	if err == nil {
		err = w.Close()
	}
	return out.Bytes(), eris.Wrap(err, "peer: pack")
}

// writers holds compressors, each of which takes a megabyte.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // The level is valid.
	}
	return w
}}

// readers holds decompressors.
var readers = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// PackUpdate encodes and compresses an update.
func PackUpdate(u *bundle.Update) (PackedUpdate, error) { return Pack(u) }

// Unpack decodes what Pack returned. It returns ErrMessage if the result is larger than
// maxUnpackedBytes.
func (p Packed[T]) Unpack() (T, error) {
	var out T
	r := readers.Get().(io.ReadCloser)
	defer readers.Put(r)
	err := r.(flate.Resetter).Reset(bytes.NewReader(p), nil)
	var src []byte
	if err == nil {
		src, err = io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	}
	if err == nil && len(src) > maxUnpackedBytes {
		err = ErrMessage
	}
	if err != nil {
		return out, eris.Wrap(err, "peer: unpack")
	}
	dec, err := decMode()
	if err != nil {
		return out, err
	}
	return out, eris.Wrap(dec.Unmarshal(src, &out), "peer: unpack")
}

// Packer packs each update once, however many members request it: 57 simultaneous requests would
// otherwise keep the sender busy for a third of a second. It is safe for concurrent use, and its
// zero value is ready to use.
type Packer struct {
	mu sync.Mutex
	// to is the version to which all updates in packed lead. The key of packed is the version from
	// which an update leads there.
	to     bundle.Version
	packed map[bundle.Version]PackedUpdate
}

// Pack returns the update in packed form, from the cache if possible. Updates to an earlier target
// version are dropped from the cache.
func (p *Packer) Pack(u *bundle.Update) (PackedUpdate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u.To != p.to {
		p.to, p.packed = u.To, make(map[bundle.Version]PackedUpdate)
	}
	if b, ok := p.packed[u.From]; ok {
		return b, nil
	}
	b, err := PackUpdate(u)
	if err == nil {
		p.packed[u.From] = b
	}
	return b, err
}
