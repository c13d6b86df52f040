package rawjson

import (
	"bytes"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/rotisserie/eris"
)

// ErrSyntax is returned for a text in which the end of a value can't be found.
var ErrSyntax = eris.New("rawjson: syntax error")

// Reader reads a text from front to back. After the first error, which Err returns, its methods do nothing. It isn't
// safe for concurrent use.
type Reader struct {
	src []byte
	pos int
	err error
}

// NewReader returns a reader of src, which it doesn't modify.
func NewReader(src []byte) *Reader { return &Reader{src: src} }

// Err returns ErrSyntax with the offset at which reading stopped, or nil.
func (r *Reader) Err() error { return r.err }

// Rest returns what hasn't been read, without leading white space.
func (r *Reader) Rest() []byte {
	r.skipSpace()
	return r.src[r.pos:]
}

// End requires that nothing but white space is left.
func (r *Reader) End() {
	if r.err == nil && len(r.Rest()) > 0 {
		r.fail()
	}
}

// Value reads the next value and returns its bytes, or nil after an error.
func (r *Reader) Value() []byte {
	if r.err != nil {
		return nil
	}
	start := len(r.src) - len(r.Rest())
	var open containers
	for more := true; more && r.err == nil; {
		if r.begin(&open) {
			more = r.finish(&open)
		}
	}
	if r.err != nil {
		return nil
	}
	return r.src[start:r.pos]
}

// Object reads an object. It calls member with the name of each member, in order; member may read the value.
func (r *Reader) Object(member func(name []byte)) {
	r.container('{', '}', func() {
		if name := r.name(); r.err == nil {
			r.visit(func() { member(Unquote(name)) })
		}
	})
}

// Array reads an array. It calls element for each element, in order; element may read it.
func (r *Reader) Array(element func()) {
	r.container('[', ']', func() { r.visit(element) })
}

// container reads an object or an array, whose members or elements item reads.
func (r *Reader) container(opening, closing byte, item func()) {
	if r.err != nil || !r.accept(opening) {
		r.fail()
		return
	}
	if r.accept(closing) {
		return
	}
	for r.err == nil {
		item()
		switch {
		case r.err != nil, r.accept(closing):
			return
		case !r.accept(','):
			r.fail()
		}
	}
}

// visit calls f before the next value, and skips the value if f hasn't read it.
func (r *Reader) visit(f func()) {
	r.skipSpace()
	start := r.pos
	f()
	if r.err == nil && r.pos == start {
		r.Value()
	}
}

// begin reads the beginning of a value, or all of one that contains no others. It reports whether the value has ended.
func (r *Reader) begin(open *containers) bool {
	r.skipSpace()
	switch c := r.peek(); c {
	case '{', '[':
		r.pos++
		isObject := c == '{'
		if r.accept(closingByte(isObject)) {
			return true
		}
		open.push(isObject)
		if isObject {
			r.name()
		}
		return false
	case '"':
		r.text()
	default:
		r.scalar()
	}
	return true
}

// finish reads on after the end of a value, past the ends of the containers that end there as well. It reports whether
// another value follows in one of them.
func (r *Reader) finish(open *containers) bool {
	for r.err == nil && open.depth > 0 {
		isObject := open.isObject()
		switch {
		case r.accept(closingByte(isObject)):
			open.depth--
		case !r.accept(','):
			r.fail()
		default:
			if isObject {
				r.name()
			}
			return true
		}
	}
	return false
}

func closingByte(isObject bool) byte {
	if isObject {
		return '}'
	}
	return ']'
}

// name reads the name of a member, which it returns with its quotes, and the colon after it.
func (r *Reader) name() []byte {
	r.skipSpace()
	b := r.text()
	if r.err == nil && !r.accept(':') {
		r.fail()
	}
	return b
}

// text reads a string and returns it with its quotes.
func (r *Reader) text() []byte {
	if r.peek() != '"' {
		r.fail()
		return nil
	}
	start := r.pos
	for at := start + 1; at < len(r.src); {
		n := bytes.IndexByte(r.src[at:], '"')
		if n < 0 {
			break
		}
		quote := at + n
		if at = skipEscapes(r.src, at, quote); at <= quote {
			r.pos = quote + 1
			return r.src[start:r.pos]
		}
	}
	r.fail()
	return nil
}

// skipEscapes returns the offset after the last escape of a string that begins between the offsets at and end, or at if
// there is none. It is end+1 if the byte at end is escaped.
func skipEscapes(src []byte, at, end int) int {
	for at < end {
		n := bytes.IndexByte(src[at:end], '\\')
		if n < 0 {
			break
		}
		at += n + len(`\"`)
	}
	return at
}

// scalar reads a number or a literal, without checking it.
func (r *Reader) scalar() {
	start := r.pos
	for r.pos < len(r.src) && !isStructural[r.src[r.pos]] {
		r.pos++
	}
	if r.pos == start {
		r.fail()
	}
}

// isStructural holds the bytes that end a number or a literal.
var isStructural = func() (set [256]bool) {
	for _, c := range []byte("{}[],:\" \t\r\n") {
		set[c] = true
	}
	return set
}()

// accept reads white space and c, if c follows. It reports whether it does.
func (r *Reader) accept(c byte) bool {
	r.skipSpace()
	if r.peek() != c {
		return false
	}
	r.pos++
	return true
}

// peek returns the next byte, or zero at the end.
func (r *Reader) peek() byte {
	if r.pos == len(r.src) {
		return 0
	}
	return r.src[r.pos]
}

func (r *Reader) skipSpace() {
	for r.pos < len(r.src) && (r.src[r.pos] == ' ' || r.src[r.pos] == '\n' || r.src[r.pos] == '\t' || r.src[r.pos] == '\r') {
		r.pos++
	}
}

func (r *Reader) fail() {
	if r.err == nil {
		r.err = eris.Wrapf(ErrSyntax, "after %d bytes", r.pos)
	}
}

// Unquote returns the content of a string b, which includes its quotes. A content that is invalid is returned as it
// stands. The result may share memory with b.
func Unquote(b []byte) []byte {
	content := b[1 : len(b)-1]
	if bytes.IndexByte(content, '\\') < 0 {
		return content
	}
	out, err := jsontext.AppendUnquote(nil, b)
	if err != nil {
		return content
	}
	return out
}

// containers are the containers around a value, one bit each, set for an object.
type containers struct {
	bits  []uint64
	depth int
}

const wordBits = 64

func (c *containers) push(isObject bool) {
	word, bit := c.depth/wordBits, uint64(1)<<(c.depth%wordBits)
	if word == len(c.bits) {
		c.bits = append(c.bits, 0)
	}
	c.bits[word] &^= bit
	if isObject {
		c.bits[word] |= bit
	}
	c.depth++
}

// isObject reports whether the innermost container is an object.
func (c *containers) isObject() bool {
	last := c.depth - 1
	return c.bits[last/wordBits]>>(last%wordBits)&1 == 1
}
