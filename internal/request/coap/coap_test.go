package coap_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"github.com/fescueshed/fescueshed/internal/request/coap"
)

func encode(m message.Message) []byte {
	b := make([]byte, 256)
	n, err := coder.DefaultCoder.Encode(m, b)
	if err != nil {
		panic(err)
	}
	return b[:n]
}

func decode(b []byte) message.Message {
	m := message.Message{Options: make(message.Options, 0, 16)}
	_, err := coder.DefaultCoder.Decode(b, &m)
	Expect(err).NotTo(HaveOccurred())
	return m
}

var _ = Describe("Message", func() {
	for name, tc := range map[string]struct {
		code                          codes.Code
		request, response, idempotent bool
	}{
		"GET":     {codes.GET, true, false, true},
		"POST":    {codes.POST, true, false, false},
		"PUT":     {codes.PUT, true, false, true},
		"unknown": {codes.Code(9), true, false, false},
		"empty":   {codes.Empty, false, false, false},
		"2.05":    {codes.Content, false, true, false},
		"5.03":    {codes.ServiceUnavailable, false, true, false},
	} {
		It("is classified by its code: "+name, func() {
			m := coap.Message{Code: tc.code}
			Expect(m.IsRequest()).To(Equal(tc.request))
			Expect(m.IsResponse()).To(Equal(tc.response))
			Expect(m.IsIdempotent()).To(Equal(tc.idempotent))
		})
	}

	It("registers an observer only with Observe 0", func() {
		var d coap.Decoder
		for value, want := range map[uint32]bool{0: true, 1: false} {
			opts, _, err := message.Options{}.SetObserve(make([]byte, 4), value)
			Expect(err).NotTo(HaveOccurred())
			var m coap.Message
			Expect(d.Decode(encode(message.Message{Code: codes.GET, Options: opts}), &m)).To(Succeed())
			Expect(m.RegistersObserver()).To(Equal(want))
		}
	})

	It("is refused with the time until a retry, rounded up to seconds", func() {
		m := coap.Message{Type: message.Confirmable, Code: codes.POST, MessageID: 7, Token: coap.Token{Len: 2}}
		b, err := coap.BuildServiceUnavailable(&m, 1200*time.Millisecond, 99)
		Expect(err).NotTo(HaveOccurred())
		r := decode(b)
		Expect(r.Type).To(Equal(message.Acknowledgement))
		Expect(r.MessageID).To(BeEquivalentTo(7))
		Expect(r.Code).To(Equal(codes.ServiceUnavailable))
		Expect(r.Options.GetUint32(message.MaxAge)).To(BeEquivalentTo(2))
	})

	It("is answered by a non-confirmable message with its own ID if it wasn't confirmable", func() {
		m := coap.Message{Type: message.NonConfirmable, Code: codes.POST, MessageID: 7}
		b, err := coap.BuildGatewayTimeout(&m, 99)
		Expect(err).NotTo(HaveOccurred())
		r := decode(b)
		Expect(r.Type).To(Equal(message.NonConfirmable))
		Expect(r.MessageID).To(BeEquivalentTo(99))
		Expect(r.Code).To(Equal(codes.GatewayTimeout))
	})
})

func FuzzDecode(f *testing.F) {
	f.Add(encode(message.Message{Code: codes.POST, Token: []byte{1, 2}, Payload: []byte("x")}))
	f.Add([]byte{0x40, 1, 0, 0, 0x60})
	f.Fuzz(func(t *testing.T, b []byte) {
		var d coap.Decoder
		var m coap.Message
		if d.Decode(b, &m) != nil {
			return
		}
		if m.IsRequest() && m.IsResponse() || m.Token.Len > message.MaxTokenSize {
			t.Fatalf("accepted %v", m)
		}
	})
}
