package caller_test

import (
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/fescueshed/fescueshed/internal/connection/caller"
	"github.com/fescueshed/fescueshed/internal/connection/geneve"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/request/ip"
)

var get = request{vni: vniOrders, flow: 4001, code: codes.GET, id: 1, token: 1}

func inner(dst netip.AddrPort, payload []byte) []byte {
	b, err := ip.BuildUDP(callerAt(4001), dst, payload)
	if err != nil {
		panic(err)
	}
	return b
}

var badPackets = map[string]badPacket{
	"from an unknown sender": {
		send: func(c *cluster) caller.Cause {
			return c.inject(c.nodes[0], netip.MustParseAddr("192.0.2.66"), vniOrders, inner(ordersAt, get.payload()))
		},
		want: caller.CauseUnknownSender,
	},
	"unknown VNI": {
		send: func(c *cluster) caller.Cause {
			return c.inject(c.nodes[0], fabricAt.Addr(), 999, inner(ordersAt, get.payload()))
		},
		want: caller.CauseWrongService,
	},
	"address of another service": {
		send: func(c *cluster) caller.Cause {
			return c.inject(c.nodes[0], fabricAt.Addr(), vniOrders, inner(archiveAt, get.payload()))
		},
		want: caller.CauseWrongService,
	},
	"UDP for a TCP service": {
		send: func(c *cluster) caller.Cause {
			return c.inject(c.nodes[0], fabricAt.Addr(), vniStream, inner(streamAt, get.payload()))
		},
		want: caller.CauseWrongService,
	},
	"truncated IP packet": {
		send: func(c *cluster) caller.Cause {
			b := inner(ordersAt, get.payload())
			return c.inject(c.nodes[0], fabricAt.Addr(), vniOrders, b[:len(b)-3])
		},
		want: caller.CauseMalformedIP,
	},
	"invalid CoAP message": {
		send: func(c *cluster) caller.Cause {
			return c.inject(c.nodes[0], fabricAt.Addr(), vniOrders, inner(ordersAt, []byte{1, 2}))
		},
		want: caller.CauseMalformedCoAP,
	},
	"short Geneve header": {
		send: func(c *cluster) caller.Cause {
			return c.receive(c.nodes[0], fabricAt.Addr(), []byte{0, 0, 8})
		},
		want: caller.CauseMalformedGeneve,
	},
	"hop signed with another key": {
		send: func(c *cluster) caller.Cause {
			return hopFrom(c, c.nodes[1].member.Data.Addr(), geneve.NewKey([]byte("another secret")))
		},
		want: caller.CauseBadTag,
	},
	"hop from an unknown sender": {
		send: func(c *cluster) caller.Cause {
			return hopFrom(c, netip.MustParseAddr("192.0.2.66"), geneve.NewKey([]byte("guess")))
		},
		want: caller.CauseBadTag,
	},
	"no bundle yet": {
		send: func(c *cluster) caller.Cause {
			c.nodes[0].engine = caller.NewEngine(caller.Options{Self: peer.ID(1)})
			return c.inject(c.nodes[0], fabricAt.Addr(), vniOrders, inner(ordersAt, get.payload()))
		},
		want: caller.CauseNoBundle,
	},
}

func hopFrom(c *cluster, from netip.Addr, k *geneve.Key) caller.Cause {
	h := geneve.Header{
		VNI: vniOrders, EtherType: geneve.EtherTypeIPv4,
		Hop: geneve.Hop{Kind: geneve.KindForward},
	}
	return c.receive(c.nodes[0], from, geneve.Append(nil, &h, k, inner(ordersAt, get.payload())))
}

var _ = DescribeTableSubtree("An invalid packet",
	func(name string) {
		It("is dropped and counted: "+name, func() {
			c := newCluster(3)
			tc := badPackets[name]
			cause := tc.send(c)
			Expect(cause).To(Equal(tc.want))
			Expect(c.upstreamGot).To(BeEmpty())
			Expect(c.callerGot).To(BeEmpty())
		})
	},
	entries(badPackets),
)

func entries[T any](cases map[string]T) []TableEntry {
	out := make([]TableEntry, 0, len(cases))
	for name := range cases {
		out = append(out, Entry(name, name))
	}
	return out
}

type badPacket struct {
	send func(c *cluster) caller.Cause
	want caller.Cause
}
