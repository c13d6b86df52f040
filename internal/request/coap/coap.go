// Package coap decodes those parts of CoAP messages (RFC 7252) that a daemon needs for
// its decisions, and builds the responses that a daemon sends itself.
package coap

import (
	"encoding/binary"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
	"github.com/rotisserie/eris"
)

// ErrMalformed is returned for bytes that aren't a valid CoAP message.
var ErrMalformed = eris.New("coap: malformed message")

const (
	maxOptions  = 64
	classShift  = 5
	replyBytes  = 64
	maxRequest  = codes.Code(1<<classShift - 1)
	minResponse = codes.Code(2 << classShift)
)

// Token is the token of a CoAP message, by which a response is matched to its request.
// It is comparable.
type Token struct {
	Bytes [message.MaxTokenSize]byte
	Len   uint8
}

// Message is a decoded CoAP message.
type Message struct {
	Type      message.Type
	Code      codes.Code
	MessageID uint16
	Token     Token
	// HasObserve reports whether the message has an Observe option (RFC 7641). Observe
	// is its value.
	HasObserve bool
	Observe    uint32
}

// IsRequest reports whether the message's code is that of a request.
func (m *Message) IsRequest() bool {
	return m.Code != codes.Empty && m.Code <= maxRequest
}

// IsResponse reports whether the message's code is that of a response.
func (m *Message) IsResponse() bool {
	return m.Code >= minResponse
}

// IsIdempotent reports whether running the request twice has the same effect as running
// it once (RFC 7252, section 5.8). Unknown methods count as not idempotent.
func (m *Message) IsIdempotent() bool {
	return m.Code == codes.GET || m.Code == codes.PUT || m.Code == codes.DELETE
}

// RegistersObserver reports whether the message registers an observer, and so opens a
// feed (RFC 7641).
func (m *Message) RegistersObserver() bool {
	return m.Code == codes.GET && m.HasObserve && m.Observe == 0
}

// Decoder decodes messages without allocating. It isn't safe for concurrent use. The
// zero value is ready for use.
type Decoder struct {
	msg message.Message
}

// Decode decodes b into m, or returns ErrMalformed. Nothing in m aliases b.
func (d *Decoder) Decode(b []byte, m *Message) error {
	if d.msg.Options == nil {
		d.msg.Options = make(message.Options, 0, maxOptions)
	}
	if _, err := coder.DefaultCoder.Decode(b, &d.msg); err != nil {
		return ErrMalformed
	}
	*m = Message{
		Type:      d.msg.Type,
		Code:      d.msg.Code,
		MessageID: uint16(d.msg.MessageID),
	}
	m.Token.Len = uint8(copy(m.Token.Bytes[:], d.msg.Token))
	if d.msg.Options.HasOption(message.Observe) {
		v, err := d.msg.Options.Observe()
		if err != nil {
			return ErrMalformed
		}
		m.HasObserve, m.Observe = true, v
	}
	return nil
}

// BuildServiceUnavailable returns the response 5.03 to m: the request was not run, and the
// caller may try again after the time after, which is rounded up to seconds (RFC 7252,
// section 5.9.3.4). id is the message ID of a response that isn't an acknowledgement.
func BuildServiceUnavailable(m *Message, after time.Duration, id uint16) ([]byte, error) {
	seconds := uint32((after + time.Second - 1) / time.Second)
	return reply(m, codes.ServiceUnavailable, &seconds, id)
}

// BuildGatewayTimeout returns the response 5.04 to m: the request may have run, and its
// outcome is unknown. id is as for BuildServiceUnavailable.
func BuildGatewayTimeout(m *Message, id uint16) ([]byte, error) {
	return reply(m, codes.GatewayTimeout, nil, id)
}

// reply returns a response to m with the given code, and with a Max-Age option if maxAge,
// in seconds, isn't nil. It is an acknowledgement if m is confirmable, and otherwise a
// non-confirmable message with the message ID id.
func reply(m *Message, code codes.Code, maxAge *uint32, id uint16) ([]byte, error) {
	r := message.Message{
		Type:      message.NonConfirmable,
		Code:      code,
		MessageID: int32(id),
		Token:     m.Token.Bytes[:m.Token.Len],
	}
	if m.Type == message.Confirmable {
		r.Type = message.Acknowledgement
		r.MessageID = int32(m.MessageID)
	}
	if maxAge != nil {
		value := binary.BigEndian.AppendUint32(nil, *maxAge)
		for len(value) > 0 && value[0] == 0 {
			value = value[1:]
		}
		r.Options = message.Options{{ID: message.MaxAge, Value: value}}
	}
	buf := make([]byte, replyBytes)
	n, err := coder.DefaultCoder.Encode(r, buf)
	if err != nil {
		return nil, eris.Wrap(err, "coap: encode message")
	}
	return buf[:n], nil
}
