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

// methodBundle returns the signed bundle that the daemon has in force.
const methodBundle = "Bundle.Get"

// errNoBundle is the JSON-RPC code of a daemon without a bundle, in the range
// that the specification leaves to servers.
const errNoBundle = -32001

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
		return nil, &jsonrpc2.Error{Code: errNoBundle, Message: "no bundle is in force here"}
	}
	return s, nil
}

// fetchBundle asks another daemon for its bundle. What comes is trusted only by
// its signature.
func fetchBundle(ctx context.Context, from netip.AddrPort, counts *transfer.Counts) (*bundle.Signed, error) {
	l := transfer.Limits{FirstByteTimeout: fetchWait, StallTimeout: transfer.DefaultStallTimeout}
	raw, _, err := peer.CallRPC[json.RawMessage](ctx, from, peer.RPC{Method: methodBundle}, l, counts)
	if err != nil {
		return nil, err
	}
	return bundle.DecodeSigned(raw)
}
