package daemon

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/transfer"
)

// methodBundle is the RPC method that returns the signed bundle that the daemon has in force.
const methodBundle = "Bundle.Get"

// codeNoBundle is the JSON-RPC error code of a daemon that has no bundle in force. It
// is in the range that the specification reserves for errors defined by servers.
const codeNoBundle = -32001

// startRPC serves JSON-RPC 2.0 to other daemons over TCP.
func (d *Daemon) startRPC(ctx context.Context) (func(), error) {
	return peer.ServeRPC(ctx, d.cfg.ControlAddress, jsonrpc2.HandlerWithError(d.handleRPC))
}

func (d *Daemon) handleRPC(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Method != methodBundle {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
	}
	s := d.bundles.newest()
	if s == nil {
		return nil, &jsonrpc2.Error{Code: codeNoBundle, Message: "no bundle is in force here"}
	}
	return s, nil
}

// fetchBundle requests the bundle of another daemon and decodes it. It doesn't verify
// the signature; bundles.accept does.
func fetchBundle(ctx context.Context, from netip.AddrPort, counts *transfer.Counts) (*bundle.Signed, error) {
	l := transfer.Limits{FirstByteTimeout: fetchFirstByteTimeout, StallTimeout: transfer.DefaultStallTimeout}
	raw, _, err := peer.CallRPC[json.RawMessage](ctx, from, peer.RPC{Method: methodBundle}, l, counts)
	if err != nil {
		return nil, err
	}
	return bundle.DecodeSigned(raw)
}
