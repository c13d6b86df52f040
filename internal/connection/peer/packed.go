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

// PackedUpdate is a bundle.Update in the form in which daemons tell it: compressed CBOR (RFC 1951,
// RFC 8949). Routes are alike, so a whole bundle takes a small part of its bytes like this.
type PackedUpdate []byte

// maxUnpacked bounds what an update may unpack to: a bundle of the largest object that the store
// takes, in the form that takes most.
const maxUnpacked = 8 << 20

// PackUpdate packs an update.
func PackUpdate(u *bundle.Update) (PackedUpdate, error) {
	src, err := cbor.Marshal(u)
	if err != nil {
		return nil, eris.Wrap(err, "peer: pack")
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(src)
	}
	if err == nil {
		err = w.Close()
	}
	return out.Bytes(), eris.Wrap(err, "peer: pack")
}

// Unpack reads what PackUpdate wrote.
func (p PackedUpdate) Unpack() (*bundle.Update, error) {
	r := flate.NewReader(bytes.NewReader(p))
	src, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err == nil && len(src) > maxUnpacked {
		err = ErrMessage
	}
	if err != nil {
		return nil, eris.Wrap(err, "peer: unpack")
	}
	dec, err := decMode()
	if err != nil {
		return nil, err
	}
	u := new(bundle.Update)
	return u, eris.Wrap(dec.Unmarshal(src, u), "peer: unpack")
}

// Packer packs updates once, however many members ask for them: 57 that do so at once would keep
// the one that tells them busy for a third of a second. It is safe for concurrent use; the zero
// value is ready.
type Packer struct {
	mu sync.Mutex
	// to is the version that all in packed lead to, by the version that they lead on from.
	to     bundle.Version
	packed map[bundle.Version]PackedUpdate
}

// Pack returns the update in packed form.
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
