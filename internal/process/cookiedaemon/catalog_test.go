package cookiedaemon

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
)

// Guards against a daemon that can't fetch a catalog from one of an earlier version while hosts are
// upgraded one after the other.
func TestCatalogIsFetchedFromEarlierVersion(t *testing.T) {
	g := NewWithT(t)
	m := &members{ctx: t.Context()}
	g.Expect(m.newCodecs(peer.Keys{Seal: []byte("secret")})).To(Succeed())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	at := netip.MustParseAddrPort(l.Addr().String())
	g.Expect(l.Close()).To(Succeed())
	earlier := func(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		if r.Method != peer.MethodCatalog {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
		}
		return m.catalog.Encode(&peer.Catalog{Version: 42})
	}
	stop, err := peer.ServeRPC(t.Context(), at, jsonrpc2.HandlerWithError(earlier))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(stop)
	got, err := m.requestCatalog(at, peer.CatalogParams{}, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Version).To(BeEquivalentTo(42))
}
