package geneve_test

import (
	"bytes"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/geneve"
)

func hopHeader() geneve.Header {
	h := geneve.Header{VNI: 0xabcdef, EtherType: geneve.EtherTypeIPv6, Control: true}
	h.Hop = geneve.Hop{Kind: geneve.KindQuery, Flags: geneve.FlagPlace, Count: 3, Upstream: 7, Owner: 9}
	for id := range uint64(5) {
		h.Hop.AddToVisit(id + 100)
	}
	return h
}

var _ = Describe("Header", func() {
	key := geneve.NewKey([]byte("secret"))
	inner := bytes.Repeat([]byte{0x60}, 80)

	It("is decoded as it was encoded, and gopacket decodes the same", func() {
		h := hopHeader()
		b := geneve.Append(nil, &h, key, inner)
		var got geneve.Header
		rest, err := geneve.Decode(b, &got)
		Expect(err).NotTo(HaveOccurred())
		Expect(rest).To(Equal(inner))
		Expect(got.Hop).To(Equal(h.Hop))
		Expect(got.VNI).To(Equal(h.VNI))
		Expect(got.Control).To(BeTrue())
		Expect(key.Verify(&got, rest)).To(BeTrue())
		var reference layers.Geneve
		Expect(reference.DecodeFromBytes(b, gopacket.NilDecodeFeedback)).To(Succeed())
		Expect(reference.VNI).To(BeEquivalentTo(h.VNI))
		Expect(reference.Payload).To(Equal(inner))
	})

	// Guards against delivering a packet of one service to another: if anyone on the
	// network changes a byte of the hop option, the VNI or the inner headers, the tag
	// must not verify.
	It("doesn't verify if any byte of the hop option, the VNI or the inner headers was changed", func() {
		h := hopHeader()
		b := geneve.Append(nil, &h, key, inner)
		for i := 4; i < len(b)-len(inner)+48; i++ {
			c := bytes.Clone(b)
			c[i] ^= 0x10
			var got geneve.Header
			rest, err := geneve.Decode(c, &got)
			if i == 7 {
				continue // Reserved by RFC 8926 and ignored.
			}
			Expect(err == nil && key.Verify(&got, rest)).To(BeFalse(), "byte %d", i)
		}
	})

	It("lists each replica once and moves one to the end", func() {
		var hop geneve.Hop
		for _, id := range []uint64{1, 2, 3, 2} {
			hop.AddToVisit(id)
		}
		hop.MoveLast(1)
		Expect(hop.ToVisit[:hop.NumToVisit]).To(Equal([]uint64{2, 3, 1}))
	})
})

func FuzzDecode(f *testing.F) {
	h := hopHeader()
	f.Add(geneve.Append(nil, &h, geneve.NewKey(nil), []byte{0x45, 0, 0, 20}))
	f.Add([]byte{0, 0, 8, 0, 0, 0, 1, 0, 0x45})
	f.Fuzz(func(t *testing.T, b []byte) {
		var got geneve.Header
		inner, err := geneve.Decode(b, &got)
		if err != nil {
			return
		}
		const maxBytesForGopacket = 240 // gopacket's offset has 8 bits.
		if len(b)-len(inner) > maxBytesForGopacket {
			return
		}
		var reference layers.Geneve
		if err := reference.DecodeFromBytes(b, gopacket.NilDecodeFeedback); err != nil {
			t.Fatalf("accepted a packet that gopacket rejects: %v", err)
		}
		if uint32(got.VNI) != reference.VNI || !bytes.Equal(inner, reference.Payload) {
			t.Fatalf("decoded VNI %d and %d bytes, gopacket %d and %d", got.VNI, len(inner), reference.VNI, len(reference.Payload))
		}
	})
}
